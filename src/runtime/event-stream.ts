/** Streams of external events. */
import { runEffects, tap } from "@most/core";
import type { Scheduler, Sink, Stream } from "@most/types";

/** A stream of external events, such as requests, signals and changed settings. */
export class EventStream<T> {
  private readonly sinks = new Map<Sink<T>, Scheduler>();

  /** The stream of all events from now on. */
  readonly stream: Stream<T> = {
    run: (sink, scheduler) => {
      this.sinks.set(sink, scheduler);
      return { dispose: () => this.sinks.delete(sink) };
    },
  };

  /** Sends an event to all subscribers. */
  emit(event: T): void {
    for (const [sink, scheduler] of this.sinks) sink.event(scheduler.currentTime(), event);
  }

  /** Calls a handler with each event from now on. */
  subscribe(scheduler: Scheduler, handler: (event: T) => void): void {
    void runEffects(tap(handler, this.stream), scheduler);
  }
}
