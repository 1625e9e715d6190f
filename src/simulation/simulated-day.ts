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

/** What one rehearsed day came to. */
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

/** How a day is rehearsed. */
export interface SimulationOptions {
  readonly profile: Profile;
  readonly seed: number;
  /** How long failures go on. */
  readonly faultPeriodMs: number;
  /** The part of the profile's requests that are sent. */
  readonly rateFactor: number;
  /** Names of the failures to draw from; all where none are named. */
  readonly faultNames?: readonly string[];
  /** How many failures may strike at once; two where it isn't set. */
  readonly concurrentFaults?: number;
  /** Waits of the replicated log that differ from what the bounds make of them. */
  readonly replicationTimeouts?: Partial<ReplicationTimeouts>;
}

const settleMs = 8000;
const tailMs = 19_000;
const nothingDrawnMs = 1000;

/** Rehearses one day: a fleet comes up, failures strike by seed, one last fault, then recovery; and judges it. */
export const runSimulation = ({
  profile,
  seed,
  faultPeriodMs: dayMs,
  rateFactor,
  faultNames: only,
  concurrentFaults: atOnce = 2,
  replicationTimeouts: waits = {},
}: SimulationOptions): SimulationResult => {
  const simulation = new Simulation(profile, seed, rateFactor, waits);
  const random = RandomDraw.of(seed + 7919);
  const struck: string[] = [];
  const draw = new FaultSelection(only ?? [], random);

  const strike = function* (): Task {
    const name = draw.begin();
    if (name === undefined) return yield* sleep(simulation.clock, nothingDrawnMs);
    struck.push(name);
    simulation.recorder.environmentRecords.push({
      kind: "fault",
      atMs: simulation.virtualClock.nowMs(),
      name,
    });
    yield* faults[name]?.(simulation) ?? sleep(simulation.clock, 1);
    draw.end(name);
  };
  const striking = function* (): Task {
    while (simulation.virtualClock.nowMs() < settleMs + dayMs) {
      yield* sleep(simulation.clock, random() * 3000);
      if (simulation.virtualClock.nowMs() < settleMs + dayMs) yield* strike();
    }
    yield* strike();
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
  const configuring = function* (): Task {
    while (!simulation.workload.isOver) {
      yield* simulation.workload.putConfig();
      yield* sleep(simulation.clock, 1500 + random() * 4000);
    }
  };

  simulation.startAll();
  simulation.start(configuring());
  simulation.virtualClock.runUntil(settleMs);
  for (let strikers = 0; strikers < atOnce; strikers += 1) simulation.start(striking());
  while (
    simulation.recorder.ofKind("recovered").length < atOnce &&
    simulation.virtualClock.nowMs() < settleMs + dayMs + 120_000
  )
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 500);
  const recoveredMs = Math.max(
    0,
    ...simulation.recorder.ofKind("recovered").map(({ atMs }) => atMs),
  );
  const marks = simulation.recorder.environmentRecords.filter(
    (record) => record.kind !== "recovered" || record.atMs === recoveredMs,
  );
  simulation.recorder.environmentRecords.splice(0, Infinity, ...marks);
  simulation.virtualClock.runUntil(recoveredMs + tailMs);
  simulation.recorder.endMs = simulation.virtualClock.nowMs();
  let readBack = false;
  simulation.start(
    (function* () {
      yield* simulation.workload.readBack();
      readBack = true;
    })(),
  );
  while (!readBack) simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 200);
  simulation.workload.isOver = true;

  const { recorder } = simulation;
  return {
    simulation,
    injectedFaults: struck,
    violations: checkRules(recorder),
    servedFraction: servedFraction(recorder, settleMs, recorder.endMs),
    requests: recorder.clientRecords.length,
    configs: recorder.ofKind("accepted").length,
    elections: simulation.logLines.filter((line) => line.includes("leader elected")).length,
    peakRetryUse: Math.max(
      0,
      ...[...findPeakRetries(recorder).values()].map(
        ({ retries: further, allowed }) => further / allowed,
      ),
    ),
  };
};
