/** Monitors the event loop of this process for saturation. */
import { performance } from "node:perf_hooks";
import { type Clock, sleep } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";

const CHECK_INTERVAL_MS = 1000;
/** Minimum utilization of the event loop, as a fraction of the interval, that is logged as a warning. */
const SATURATED_UTILIZATION = 0.9;
/** Minimum delay of the check's timer that is logged as a warning. */
const LATE_TIMER_MS = 200;
const US_PER_MS = 1000;

/**
 * Checks the event loop every second and logs a warning if it is saturated or was blocked, with its utilization, the
 * delay of the check's timer and the CPU time used since the previous check.
 */
export const monitorProcess = function* (clock: Clock, log: Logger): Task {
  let previousUtilization = performance.eventLoopUtilization();
  let previousCpuUsage = process.cpuUsage();
  for (;;) {
    const dueMs = clock.nowMs() + CHECK_INTERVAL_MS;
    yield* sleep(clock, CHECK_INTERVAL_MS);
    const lateMs = clock.nowMs() - dueMs;
    const cpuUsage = process.cpuUsage(previousCpuUsage);
    const { utilization } = performance.eventLoopUtilization(previousUtilization);
    previousUtilization = performance.eventLoopUtilization();
    previousCpuUsage = process.cpuUsage();
    if (utilization < SATURATED_UTILIZATION && lateMs < LATE_TIMER_MS) continue;
    log.warn("event loop saturated", {
      busyPart: Number(utilization.toFixed(2)),
      lateMs: Math.round(lateMs),
      processorMs: Math.round((cpuUsage.user + cpuUsage.system) / US_PER_MS),
    });
  }
};
