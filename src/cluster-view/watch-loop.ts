/** The loop that requests new views from the leader while the daemon runs. */
import { rpcMethods } from "../rpc/rpc-method.js";
import { sleep } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import type { CommandForwarder } from "./command-forwarder.js";

/** Default timeout of a watch request. */
export const DEFAULT_WATCH_TIMEOUT_MS = 450;
/** Minimum pause after a response. */
const MIN_PAUSE_MS = 40;
/** Pause after a request without a response. */
const RETRY_PAUSE_MS = 50;

/** A watch request and the handler of its response. */
export interface PreparedWatch {
  readonly text: string;
  /** Handles the response, which may arrive after the timeout. */
  receive(response: string): void;
}

/** The owner of the state that the loop updates. */
export interface WatchTarget {
  /** Creates the request to send now. */
  prepareWatch(sentMs: number): PreparedWatch;
  /** Called after each response or timeout. */
  onWatchEnded(): void;
}

/** Sends watch requests at an interval, or earlier on demand. */
export class WatchLoop {
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly target: WatchTarget;
  private readonly expedited = new Queue<true>();

  constructor(runtime: Runtime, forwarder: CommandForwarder, target: WatchTarget) {
    this.runtime = runtime;
    this.forwarder = forwarder;
    this.target = target;
  }

  /** Sends the next request as soon as the minimum pause allows. */
  expedite(): void {
    this.expedited.putIfEmpty(true);
  }

  /** Runs while the daemon does; after `timeoutMs` without a response, sends another request. */
  *run(intervalMs: number, timeoutMs: number): Task {
    const { clock } = this.runtime;
    for (;;) {
      const sentMs = clock.nowMs();
      const { text, receive } = this.target.prepareWatch(sentMs);
      const response = yield* this.forwarder.forward(rpcMethods.watch, text, timeoutMs, {
        waitMs: rpcMethods.watch.waitMs,
        onResponse: receive,
      });
      if (response !== undefined) receive(response);
      this.target.onWatchEnded();
      yield* sleep(clock, response === undefined ? RETRY_PAUSE_MS : MIN_PAUSE_MS);
      if (response !== undefined) yield* this.expedited.takeUntil(clock, sentMs + intervalMs);
    }
  }
}
