import { sleep } from "../runtime/clock.js";
import type { ReplicationTimeouts } from "../replication/replication-timeouts.js";
import type { Task } from "../runtime/task.js";
import { RandomDraw } from "./random-draw.js";
import { FaultSelection } from "./fault-selection.js";
import { faults } from "./faults.js";
import { checkRules, servedPart, worstRepeats, type RuleViolation } from "./invariant-checker.js";
import type { Profile } from "./profile.js";
import { Simulation } from "./simulation.js";

/** What one rehearsed day came to. */
export interface SimulatedDay {
  readonly simulation: Simulation;
  readonly faults: string[];
  readonly breaches: RuleViolation[];
  readonly served: number;
  readonly requests: number;
  readonly configs: number;
  readonly elections: number;
  readonly worstRepeats: number;
}

/** How a day is rehearsed. */
export interface SimulationOptions {
  readonly profile: Profile;
  readonly seed: number;
  /** How long failures go on. */
  readonly dayMs: number;
  /** The part of the profile's requests that are sent. */
  readonly rateFactor: number;
  /** Names of the failures to draw from; all where none are named. */
  readonly only?: readonly string[];
  /** How many failures may strike at once; two where it isn't set. */
  readonly atOnce?: number;
  /** Waits of the replicated log that differ from what the bounds make of them. */
  readonly waits?: Partial<ReplicationTimeouts>;
}

const settleMs = 8000;
const tailMs = 19_000;
const nothingDrawnMs = 1000;

/** Rehearses one day: a fleet comes up, failures strike by seed, one last fault, then recovery; and judges it. */
export const simulateDay = ({
  profile,
  seed,
  dayMs,
  rateFactor,
  only,
  atOnce = 2,
  waits = {},
}: SimulationOptions): SimulatedDay => {
  const simulation = new Simulation(profile, seed, rateFactor, waits);
  const random = RandomDraw.of(seed + 7919);
  const struck: string[] = [];
  const draw = new FaultSelection(only ?? [], random);

  const strike = function* (): Task {
    const name = draw.begin();
    if (name === undefined) return yield* sleep(simulation.clock, nothingDrawnMs);
    struck.push(name);
    simulation.recorder.world.push({
      kind: "fault",
      atMs: simulation.virtualClock.nowMs(),
      what: name,
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
    simulation.network.heal();
    simulation.workload.crowd = 1;
    simulation.lostAnswerPart = 0;
    for (const machine of simulation.machines) {
      machine.gate.thaw();
      simulation.boot(machine);
      if (machine.disk) machine.disk.full = false;
    }
    for (const testBackend of simulation.testBackends)
      if (!testBackend.isUp || !testBackend.isAnnouncing) testBackend.replace(testBackend.service);
    simulation.recorder.world.push({ kind: "recovered", atMs: simulation.virtualClock.nowMs() });
  };
  const configuring = function* (): Task {
    while (!simulation.workload.isOver) {
      yield* simulation.workload.putConfig();
      yield* sleep(simulation.clock, 1500 + random() * 4000);
    }
  };

  simulation.begin();
  simulation.start(configuring());
  simulation.virtualClock.runUntil(settleMs);
  for (let strikers = 0; strikers < atOnce; strikers += 1) simulation.start(striking());
  while (
    simulation.recorder.of("recovered").length < atOnce &&
    simulation.virtualClock.nowMs() < settleMs + dayMs + 120_000
  )
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 500);
  const recoveredMs = Math.max(0, ...simulation.recorder.of("recovered").map(({ atMs }) => atMs));
  const marks = simulation.recorder.world.filter(
    (record) => record.kind !== "recovered" || record.atMs === recoveredMs,
  );
  simulation.recorder.world.splice(0, Infinity, ...marks);
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
    faults: struck,
    breaches: checkRules(recorder),
    served: servedPart(recorder, settleMs, recorder.endMs),
    requests: recorder.callers.length,
    configs: recorder.of("accepted").length,
    elections: simulation.lines.filter((line) => line.includes("leader elected")).length,
    worstRepeats: Math.max(
      0,
      ...[...worstRepeats(recorder).values()].map(({ further, allowed }) => further / allowed),
    ),
  };
};
