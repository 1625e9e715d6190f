import { sleep } from "../runtime/clock.js";
import type { ReplicationTimeouts } from "../replication/replication-timeouts.js";
import type { Task } from "../runtime/task.js";
import { RandomDraw } from "./random-draw.js";
import { FaultSelection } from "./fault-selection.js";
import { faults } from "./faults.js";
import {
  checkRules,
  servedFraction,
  findPeakRetries,
  type RuleViolation,
} from "./invariant-checker.js";
import type { Profile } from "./profile.js";
import { Simulation } from "./simulation.js";

/** The result of one simulated run. */
export interface SimulationResult {
  readonly simulation: Simulation;
  readonly injectedFaults: string[];
  readonly violations: RuleViolation[];
  readonly servedFraction: number;
  readonly requests: number;
  readonly configs: number;
  readonly elections: number;
  readonly peakRetryUse: number;
}

/** The options of a simulated run. */
export interface SimulationOptions {
  readonly profile: Profile;
  readonly seed: number;
  /** How long faults are injected, in ms. */
  readonly faultPeriodMs: number;
  /** The factor on the profile's request rates. */
  readonly rateFactor: number;
  /** The faults to select from; all where undefined. */
  readonly faultNames?: readonly string[];
  /** How many faults are injected at the same time; 2 by default. */
  readonly concurrentFaults?: number;
  /** Timeouts of the replicated log that override those computed from the bounds. */
  readonly replicationTimeouts?: Partial<ReplicationTimeouts>;
}

/** How long the fleet runs before the first fault. */
const WARM_UP_MS = 8000;
/** How long the fleet runs after the last fault, longer than the rules allow for its recovery. */
const RECOVERY_PERIOD_MS = 19_000;
/** The delay until the next selection where the active faults allow no other. */
const NO_FAULT_ALLOWED_DELAY_MS = 1000;

/**
 * Simulates one run and checks the rules: a fleet starts, faults are injected as selected by the seed, one last fault
 * ends, and the fleet recovers.
 */
export const runSimulation = ({
  profile,
  seed,
  faultPeriodMs,
  rateFactor,
  faultNames,
  concurrentFaults = 2,
  replicationTimeouts = {},
}: SimulationOptions): SimulationResult => {
  const simulation = new Simulation(profile, seed, rateFactor, replicationTimeouts);
  const random = RandomDraw.of(seed + 7919);
  const injectedFaults: string[] = [];
  const selection = new FaultSelection(faultNames ?? [], random);

  const injectFault = function* (): Task {
    const name = selection.begin();
    if (name === undefined) return yield* sleep(simulation.clock, NO_FAULT_ALLOWED_DELAY_MS);
    injectedFaults.push(name);
    simulation.recorder.environmentRecords.push({
      kind: "fault",
      atMs: simulation.virtualClock.nowMs(),
      name,
    });
    yield* faults[name]?.(simulation) ?? sleep(simulation.clock, 1);
    selection.end(name);
  };
  const injectFaults = function* (): Task {
    while (simulation.virtualClock.nowMs() < WARM_UP_MS + faultPeriodMs) {
      yield* sleep(simulation.clock, random() * 3000);
      if (simulation.virtualClock.nowMs() < WARM_UP_MS + faultPeriodMs) yield* injectFault();
    }
    yield* injectFault();
    simulation.network.healAll();
    simulation.workload.clientFactor = 1;
    simulation.lostResponseFraction = 0;
    for (const machine of simulation.machines) {
      machine.gate.thaw();
      simulation.boot(machine);
      if (machine.disk) machine.disk.isFull = false;
    }
    for (const testBackend of simulation.testBackends)
      if (!testBackend.isUp || !testBackend.isAnnouncing) testBackend.replace(testBackend.service);
    simulation.recorder.environmentRecords.push({
      kind: "recovered",
      atMs: simulation.virtualClock.nowMs(),
    });
  };
  const changeConfigs = function* (): Task {
    while (!simulation.workload.isOver) {
      yield* simulation.workload.putConfig();
      yield* sleep(simulation.clock, 1500 + random() * 4000);
    }
  };

  simulation.startAll();
  simulation.start(changeConfigs());
  simulation.virtualClock.runUntil(WARM_UP_MS);
  for (let started = 0; started < concurrentFaults; started += 1) simulation.start(injectFaults());
  while (
    simulation.recorder.ofKind("recovered").length < concurrentFaults &&
    simulation.virtualClock.nowMs() < WARM_UP_MS + faultPeriodMs + 120_000
  )
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 500);
  const recoveredMs = Math.max(
    0,
    ...simulation.recorder.ofKind("recovered").map(({ atMs }) => atMs),
  );
  const records = simulation.recorder.environmentRecords.filter(
    (record) => record.kind !== "recovered" || record.atMs === recoveredMs,
  );
  simulation.recorder.environmentRecords.splice(0, Infinity, ...records);
  simulation.virtualClock.runUntil(recoveredMs + RECOVERY_PERIOD_MS);
  simulation.recorder.endMs = simulation.virtualClock.nowMs();
  let hasReadBack = false;
  simulation.start(
    (function* () {
      yield* simulation.workload.readBack();
      hasReadBack = true;
    })(),
  );
  while (!hasReadBack) simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 200);
  simulation.workload.isOver = true;

  const { recorder } = simulation;
  return {
    simulation,
    injectedFaults,
    violations: checkRules(recorder),
    servedFraction: servedFraction(recorder, WARM_UP_MS, recorder.endMs),
    requests: recorder.clientRecords.length,
    configs: recorder.ofKind("accepted").length,
    elections: simulation.logLines.filter((line) => line.includes("leader elected")).length,
    peakRetryUse: Math.max(
      0,
      ...[...findPeakRetries(recorder).values()].map(({ retries, allowed }) => retries / allowed),
    ),
  };
};
