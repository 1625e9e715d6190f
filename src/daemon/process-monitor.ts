/** Monitors the event loop of this process for saturation. */
import { performance } from "node:perf_hooks";
import { type Clock, sleep } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";

const CHECK_INTERVAL_MS = 1000;
/** The utilization of the event loop, as a part of the interval, from which on a warning is logged. */
const SATURATED_UTILIZATION = 0.9;
/** The delay of a check's timer from which on a warning is logged. */
const LATE_TIMER_MS = 200;
const US_PER_MS = 1000;

/**
 * Checks the event loop every second and logs a warning where it is saturated or was blocked, with its utilization, the
 * delay of the check's timer and the processor time used since the last check.
 */
export const monitorProcess = function* (clock: Clock, log: Logger): Task {
  let loop = performance.eventLoopUtilization();
  let processor = process.cpuUsage();
  for (;;) {
    const dueMs = clock.nowMs() + CHECK_INTERVAL_MS;
    yield* sleep(clock, CHECK_INTERVAL_MS);
    const lateMs = clock.nowMs() - dueMs;
    const used = process.cpuUsage(processor);
    const { utilization } = performance.eventLoopUtilization(loop);
    loop = performance.eventLoopUtilization();
    processor = process.cpuUsage();
    if (utilization < SATURATED_UTILIZATION && lateMs < LATE_TIMER_MS) continue;
    log.warn("event loop saturated", {
      busyPart: Number(utilization.toFixed(2)),
      lateMs: Math.round(lateMs),
      processorMs: Math.round((used.user + used.system) / US_PER_MS),
    });
  }
};
