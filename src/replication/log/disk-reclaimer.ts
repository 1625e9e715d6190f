/** Reclaims room on a full disk. */
import type { Clock } from "../../runtime/clock.js";
import { DiskError } from "../../runtime/disk.js";
import type { Logger } from "../../runtime/logger.js";
import type { Task } from "../../runtime/task.js";
import type { ConfigHistory } from "../history/config-history.js";

/** The time between the removals of the first and the second file while a disk refuses writes; doubled for each further one. */
const FIRST_INTERVAL_MS = 1000;

/**
 * Removes old configs from a full disk, so that the history never prevents what must be written. A disk may also refuse all
 * writes for a while without being full: files are removed one at a time, at growing intervals.
 */
export class DiskReclaimer {
  private readonly clock: Clock;
  private readonly history: ConfigHistory;
  private readonly log: Logger;
  private intervalMs = FIRST_INTERVAL_MS;
  private nextRemovalMs = -Infinity;

  constructor(clock: Clock, history: ConfigHistory, log: Logger) {
    this.clock = clock;
    this.history = history;
    this.log = log;
  }

  /** A write was refused; returns whether a file was removed, so that a retry may succeed. */
  *onWriteRefused(): Task<boolean> {
    const nowMs = this.clock.nowMs();
    if (nowMs < this.nextRemovalMs) return false;
    this.nextRemovalMs = nowMs + this.intervalMs;
    this.intervalMs *= 2;
    try {
      const removed = yield* this.history.reclaim();
      if (!removed) return false;
      this.log.warn("disk full, oldest configs removed", {
        ...removed,
      });
      return true;
    } catch (error) {
      if (!(error instanceof DiskError)) throw error;
      return false;
    }
  }

  /** The disk accepts writes. */
  onWriteAccepted(): void {
    this.intervalMs = FIRST_INTERVAL_MS;
    this.nextRemovalMs = -Infinity;
  }
}
