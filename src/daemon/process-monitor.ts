import { performance } from "node:perf_hooks";
import { Clock } from "../runtime/clock.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";

/** How often the event loop is looked at. */
const periodMs = 1000;
/** From which part of a period on a busy event loop is told of. */
const busyPart = 0.9;
/** From how late a timer on is told of. */
const lateMs = 200;
const usPerMs = 1000;

/**
 * Watches this process's event loop once a second and warns where it is saturated or was held up: the part of the time in which
 * it was busy, how late the timer of this look came, and the processor time that was used since the last one.
 */
export const monitorProcess = function* (clock: Clock, log: Logger): Task {
  let loop = performance.eventLoopUtilization();
  let processor = process.cpuUsage();
  for (;;) {
    const dueMs = clock.nowMs() + periodMs;
    yield* Clock.sleep(clock, periodMs);
    const behindMs = clock.nowMs() - dueMs;
    const used = process.cpuUsage(processor);
    const { utilization } = performance.eventLoopUtilization(loop);
    loop = performance.eventLoopUtilization();
    processor = process.cpuUsage();
    if (utilization < busyPart && behindMs < lateMs) continue;
    log.warn("The event loop is saturated.", {
      busyPart: Number(utilization.toFixed(2)),
      lateMs: Math.round(behindMs),
      processorMs: Math.round((used.user + used.system) / usPerMs),
    });
  }
};
