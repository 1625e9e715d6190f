import { defaultSketchRule } from "../retry-budget/retry-budget.js";
import { RETRY_WINDOW_MS } from "../retry-budget/request-counts.js";
import type { Profile } from "../simulation/profile.js";
import { Simulation } from "../simulation/simulation.js";
import type { SimulatedMachine } from "../simulation/simulated-machine.js";

/** Where back ends break down: for all edges alike, or for one edge alone. */
export type FaultScope = "even" | "one";

/** How a measured stretch of breakdowns was decided. */
export interface RetryDecisions {
  grantedRetries: number;
  sketch: number;
  guard: number;
  /** Refused though true counts had room under the sketch's rule. */
  needlessRefusals: { sketch: number; guard: number };
  /** How far the sketch's counts were from what was sent, relative, at worst and on the average, and how old they were. */
  relativeErrors: number[];
  sketchAgesMs: number[];
  coveredEdges: number[];
  worst: number;
}

const stepMs = 10;

/** Runs a fleet at some part of its rate while back ends lose a part of their answers, and tells who decided on further tries. */
export const measureRetryBudget = (
  profile: Profile,
  seed: number,
  rate: number,
  where: FaultScope,
  lostFraction: number,
  forMs: number,
): RetryDecisions => {
  const simulation = new Simulation(profile, seed, rate);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  simulation.virtualClock.runUntil(20_000);
  const edges = simulation.machines.filter(
    (machine): machine is SimulatedMachine => machine.settings.callers !== undefined,
  );
  const [only] = edges;
  const [service = ""] = Object.keys(profile.backends);
  for (const testBackend of simulation.testBackends)
    if (testBackend.service === service)
      testBackend.setBehavior({
        lossFraction: lostFraction,
        ...(where === "one" && only ? { onlyFromDaemon: only.daemon?.name ?? "" } : {}),
      });
  const decided: RetryDecisions = {
    grantedRetries: 0,
    sketch: 0,
    guard: 0,
    needlessRefusals: { sketch: 0, guard: 0 },
    relativeErrors: [],
    sketchAgesMs: [],
    coveredEdges: [],
    worst: 0,
  };
  const seen = new Map<SimulatedMachine, { sketch: number; guard: number }>();
  const tallyOf = (edge: SimulatedMachine): { sketch: number; guard: number } =>
    edge.daemon?.proxy.counters.furtherRefused ?? { sketch: 0, guard: 0 };
  const tried = new Set<string>();
  const further: number[] = [];
  let readRuns = 0;
  for (const edge of edges) seen.set(edge, { ...tallyOf(edge) });
  const grantedBefore = edges.reduce(
    (sum, { daemon }) => sum + (daemon?.proxy.counters.furtherTries ?? 0),
    0,
  );
  const untilMs = simulation.virtualClock.nowMs() + forMs;
  while (simulation.virtualClock.nowMs() < untilMs) {
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + stepMs);
    const nowMs = simulation.virtualClock.nowMs();
    for (; readRuns < simulation.recorder.runs.length; readRuns += 1) {
      const run = simulation.recorder.runs[readRuns];
      if (!run || run.intendedService !== service) continue;
      if (tried.has(run.requestId)) further.push(run.atMs);
      tried.add(run.requestId);
    }
    let hasRoom: boolean | undefined;
    for (const edge of edges) {
      const before = seen.get(edge) ?? { sketch: 0, guard: 0 };
      const now = tallyOf(edge);
      for (const who of ["sketch", "guard"] as const) {
        const refused = now[who] - before[who];
        if (refused === 0) continue;
        hasRoom ??= allowsRetry(simulation, service, further, nowMs);
        decided[who] += refused;
        if (hasRoom) decided.needlessRefusals[who] += refused;
      }
      seen.set(edge, { ...now });
    }
    if (nowMs % 500 < stepMs) sampleCounts(simulation, edges, service, decided, nowMs);
  }
  decided.grantedRetries =
    edges.reduce((sum, { daemon }) => sum + (daemon?.proxy.counters.furtherTries ?? 0), 0) -
    grantedBefore;
  return decided;
};

/** Whether one more further try now would keep the sketch's rule, on true counts, in every stretch of the window. */
const allowsRetry = (
  simulation: Simulation,
  service: string,
  further: readonly number[],
  nowMs: number,
): boolean => {
  const requests: number[] = [];
  for (let at = simulation.recorder.clientRecords.length - 1; at >= 0; at -= 1) {
    const record = simulation.recorder.clientRecords[at];
    if (!record || record.endedMs < nowMs - RETRY_WINDOW_MS) break;
    if (record.service === service && record.sentMs > nowMs - RETRY_WINDOW_MS)
      requests.push(record.sentMs);
  }
  const lately = further.filter((atMs) => atMs > nowMs - RETRY_WINDOW_MS);
  return lately.every(
    (fromMs, at) =>
      lately.length - at + 1 <=
      defaultSketchRule.earned * requests.filter((atMs) => atMs >= fromMs).length +
        defaultSketchRule.pool,
  );
};

const sampleCounts = (
  simulation: Simulation,
  edges: readonly SimulatedMachine[],
  service: string,
  decided: RetryDecisions,
  nowMs: number,
): void => {
  const truth = simulation.recorder.runs.filter(
    (run) => run.intendedService === service && run.atMs > nowMs - RETRY_WINDOW_MS,
  ).length;
  for (const { daemon } of edges) {
    const told = daemon?.fleetRetryCounts(service);
    if (!told || truth === 0) continue;
    decided.relativeErrors.push(Math.abs(told.firstAttempts + told.retries - truth) / truth);
    decided.sketchAgesMs.push(told.ageMs);
    decided.coveredEdges.push(told.edges);
  }
};
