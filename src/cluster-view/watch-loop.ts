/** The loop that requests fresh views from the leader for as long as the daemon runs. */
import { rpcMethods } from "../rpc/rpc-method.js";
import { sleep } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import type { CommandForwarder } from "./command-forwarder.js";

/** How long a request waits for its response until it is sent again, where no bound is set. */
export const DEFAULT_WATCH_TIMEOUT_MS = 450;
/** How long the loop pauses after a response, at the least. */
const MIN_PAUSE_MS = 40;
/** How long the loop pauses after a request without a response. */
const RETRY_PAUSE_MS = 50;

/** One watch request, and what takes its response. */
export interface PreparedWatch {
  readonly text: string;
  /** Takes the response, which may come after the timeout. */
  receive(response: string): void;
}

/** The owner of the state that the loop brings up to date. */
export interface WatchTarget {
  /** Makes the request that is sent now. */
  prepareWatch(sentMs: number): PreparedWatch;
  /** Called after each response or timeout. */
  onWatchEnded(): void;
}

/** Sends watch requests at an interval, or sooner where an update is wanted. */
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

  /** Has the next request sent as soon as the pause allows. */
  expedite(): void {
    this.expedited.putIfEmpty(true);
  }

  /** Runs for as long as the daemon does; a request without a response within `timeoutMs` is sent again. */
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
