/** Monitors the event loop of this process for saturation, and its heap for exhaustion. */
import { performance } from "node:perf_hooks";
import { type Clock, sleep } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import { readHeapUsage, type RetainedAmounts } from "./memory-usage.js";

const CHECK_INTERVAL_MS = 1000;
/** Minimum utilization of the event loop, as a fraction of the interval, that is logged as a warning. */
const SATURATED_UTILIZATION = 0.9;
/** Minimum delay of the check's timer that is logged as a warning. */
const LATE_TIMER_MS = 200;
const US_PER_MS = 1000;
/** Minimum part of the heap's limit in use that is logged as a warning, and the interval between two such warnings. */
const FULL_HEAP_PART = 0.6;
const HEAP_WARNING_INTERVAL_MS = 5000;

/** Checks the heap every second and logs a warning if it is nearly full, with what the daemon's parts retain. */
export const monitorHeap = function* (
  clock: Clock,
  log: Logger,
  retained: () => RetainedAmounts,
): Task {
  for (;;) {
    yield* sleep(clock, CHECK_INTERVAL_MS);
    const heap = readHeapUsage();
    if (heap.usedMb < FULL_HEAP_PART * heap.limitMb) continue;
    log.warn("heap nearly full", { ...heap, retained: retained() });
    yield* sleep(clock, HEAP_WARNING_INTERVAL_MS);
  }
};

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
