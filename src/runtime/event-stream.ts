import { runEffects, tap } from "@most/core";
import type { Scheduler, Sink, Stream } from "@most/types";

/** A stream of what arrives from outside: requests, signals, settings that changed. */
export class EventStream<T> {
  private readonly sinks = new Map<Sink<T>, Scheduler>();

  /** The stream, for whoever wants to hear it. */
  readonly stream: Stream<T> = {
    run: (sink, scheduler) => {
      this.sinks.set(sink, scheduler);
      return { dispose: () => this.sinks.delete(sink) };
    },
  };

  /** Something arrived. */
  emit(item: T): void {
    for (const [sink, scheduler] of this.sinks) sink.event(scheduler.currentTime(), item);
  }

  /** Hears all that arrives from now on. */
  subscribe(scheduler: Scheduler, hear: (item: T) => void): void {
    void runEffects(tap(hear, this.stream), scheduler);
  }
}
