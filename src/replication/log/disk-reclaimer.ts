import type { Clock } from "../../runtime/clock.js";
import { DiskError } from "../../runtime/disk.js";
import type { Logger } from "../../runtime/logger.js";
import type { Task } from "../../runtime/task.js";
import type { ConfigHistory } from "../history/config-history.js";

/** How long a disk must go on refusing before a second file of the history is removed; doubled for each further one. */
const firstWaitMs = 1000;

/**
 * Gives a full disk room by removing old configs, so that the history never stands in the way of what must be written.
 * A disk may also refuse everything for a while without being full: files go one at a time, at growing intervals.
 */
export class DiskReclaimer {
  private readonly clock: Clock;
  private readonly history: ConfigHistory;
  private readonly log: Logger;
  private waitMs = firstWaitMs;
  private nextMs = -Infinity;

  constructor(clock: Clock, history: ConfigHistory, log: Logger) {
    this.clock = clock;
    this.history = history;
    this.log = log;
  }

  /** A write was refused; tells whether a file was removed, so that another try is worth while. */
  *refused(): Task<boolean> {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.nextMs) return false;
    this.nextMs = nowMs + this.waitMs;
    this.waitMs *= 2;
    try {
      const removed = yield* this.history.makeRoom();
      if (!removed) return false;
      this.log.warn("The disk is full; the oldest configs of the history are no longer kept.", {
        ...removed,
      });
      return true;
    } catch (error) {
      if (!(error instanceof DiskError)) throw error;
      return false;
    }
  }

  /** The disk takes writes. */
  accepted(): void {
    this.waitMs = firstWaitMs;
    this.nextMs = -Infinity;
  }
}
