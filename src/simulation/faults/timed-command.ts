import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";

/** Submits a config change as an operator and records how long it took. */
export const timedCommand = function* (simulation: Simulation, during: string): Task {
  const { recorder, virtualClock, workload } = simulation;
  const atMs = virtualClock.nowMs();
  const change = workload.operators.prepare();
  yield* workload.operators.submit(change, { timeoutMs: OPERATOR_TIMEOUT_MS });
  const command = recorder.configCommands.find(({ probe }) => probe === change.probe);
  recorder.environmentRecords.push({
    kind: "commandTimed",
    atMs,
    during,
    outcome: command?.outcome ?? "unknown",
    waitedMs: virtualClock.nowMs() - atMs,
  });
};

/** The time without a response after which an operator tries another daemon, in ms. */
export const OPERATOR_TIMEOUT_MS = 1000;
