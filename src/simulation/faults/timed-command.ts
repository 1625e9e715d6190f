import type { Task } from "../../runtime/task.js";
import type { Simulation } from "../simulation.js";

/** An operator changes the configuration; how long that took goes into the ledger. */
export const timedCommand = function* (simulation: Simulation, during: string): Task {
  const { recorder, virtualClock: time, workload: day } = simulation;
  const atMs = time.nowMs();
  const change = day.operators.prepare();
  yield* day.operators.submit(change, { timeoutMs: OPERATOR_TIMEOUT_MS });
  const command = recorder.configCommands.find(({ probe }) => probe === change.probe);
  recorder.environmentRecords.push({
    kind: "orderedDuring",
    atMs,
    during,
    outcome: command?.outcome ?? "unknown",
    waitedMs: time.nowMs() - atMs,
  });
};

/** After so long without an answer an operator turns to another daemon. */
export const OPERATOR_TIMEOUT_MS = 1000;
