/** Measures how the retry budget decides in a simulated cluster, against a count of all attempts. */
import { defaultSketchRule } from "../retry-budget/retry-budget.js";
import { RETRY_WINDOW_MS } from "../retry-budget/request-counts.js";
import type { Profile } from "../simulation/profile.js";
import { Simulation } from "../simulation/simulation.js";
import type { SimulatedMachine } from "../simulation/simulated-machine.js";

/** Which edges get no response from failing backends: all edges alike ("even") or one edge alone ("one"). */
export type FaultScope = "even" | "one";

/** The decisions on retries during a measured failure of backends. */
export interface RetryDecisions {
  grantedRetries: number;
  /** Retries refused by the cluster-wide sketch. */
  sketch: number;
  /** Retries refused by the local guard. */
  guard: number;
  /** Refusals although the true counts allowed a retry under the sketch's rule. */
  needlessRefusals: { sketch: number; guard: number };
  /** Relative differences between the sketch's counts and the attempts that were sent, one per sample. */
  relativeErrors: number[];
  /** Ages of the sketch's counts, one per sample. */
  sketchAgesMs: number[];
  /** Numbers of edges that the sketch's counts covered, one per sample. */
  coveredEdges: number[];
  worst: number;
}

/** Interval at which refusals and attempts are read. */
const stepMs = 10;

/**
 * Runs a simulated cluster while the backends of its first service drop a fraction of their responses.
 *
 * `rate` is the fraction of the profile's requests that is sent. Returns how the sketch and the guard decided on retries.
 */
export const measureRetryBudget = (
  profile: Profile,
  seed: number,
  rate: number,
  scope: FaultScope,
  lostFraction: number,
  durationMs: number,
): RetryDecisions => {
  const simulation = new Simulation(profile, seed, rate);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  simulation.virtualClock.runUntil(20_000);
  const edges = simulation.machines.filter(
    (machine): machine is SimulatedMachine => machine.settings.callers !== undefined,
  );
  const [firstEdge] = edges;
  const [service = ""] = Object.keys(profile.backends);
  for (const testBackend of simulation.testBackends)
    if (testBackend.service === service)
      testBackend.setBehavior({
        lossFraction: lostFraction,
        ...(scope === "one" && firstEdge ? { onlyFromDaemon: firstEdge.daemon?.name ?? "" } : {}),
      });
  const decisions: RetryDecisions = {
    grantedRetries: 0,
    sketch: 0,
    guard: 0,
    needlessRefusals: { sketch: 0, guard: 0 },
    relativeErrors: [],
    sketchAgesMs: [],
    coveredEdges: [],
    worst: 0,
  };
  const refusedBefore = new Map<SimulatedMachine, { sketch: number; guard: number }>();
  const readRefusedRetries = (edge: SimulatedMachine): { sketch: number; guard: number } =>
    edge.daemon?.proxy.counters.furtherRefused ?? { sketch: 0, guard: 0 };
  const attemptedRequests = new Set<string>();
  const retryTimesMs: number[] = [];
  let readRunCount = 0;
  for (const edge of edges) refusedBefore.set(edge, { ...readRefusedRetries(edge) });
  const grantedBefore = edges.reduce(
    (sum, { daemon }) => sum + (daemon?.proxy.counters.furtherTries ?? 0),
    0,
  );
  const untilMs = simulation.virtualClock.nowMs() + durationMs;
  while (simulation.virtualClock.nowMs() < untilMs) {
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + stepMs);
    const nowMs = simulation.virtualClock.nowMs();
    for (; readRunCount < simulation.recorder.runs.length; readRunCount += 1) {
      const run = simulation.recorder.runs[readRunCount];
      if (!run || run.intendedService !== service) continue;
      if (attemptedRequests.has(run.requestId)) retryTimesMs.push(run.atMs);
      attemptedRequests.add(run.requestId);
    }
    let isAllowed: boolean | undefined;
    for (const edge of edges) {
      const before = refusedBefore.get(edge) ?? { sketch: 0, guard: 0 };
      const now = readRefusedRetries(edge);
      for (const limiter of ["sketch", "guard"] as const) {
        const refused = now[limiter] - before[limiter];
        if (refused === 0) continue;
        isAllowed ??= allowsRetry(simulation, service, retryTimesMs, nowMs);
        decisions[limiter] += refused;
        if (isAllowed) decisions.needlessRefusals[limiter] += refused;
      }
      refusedBefore.set(edge, { ...now });
    }
    if (nowMs % 500 < stepMs) sampleCounts(simulation, edges, service, decisions, nowMs);
  }
  decisions.grantedRetries =
    edges.reduce((sum, { daemon }) => sum + (daemon?.proxy.counters.furtherTries ?? 0), 0) -
    grantedBefore;
  return decisions;
};

/** Whether the true counts allow one more retry now under the sketch's rule, in every span of the window. */
const allowsRetry = (
  simulation: Simulation,
  service: string,
  retryTimesMs: readonly number[],
  nowMs: number,
): boolean => {
  const requestTimesMs: number[] = [];
  for (let index = simulation.recorder.clientRecords.length - 1; index >= 0; index -= 1) {
    const record = simulation.recorder.clientRecords[index];
    if (!record || record.endedMs < nowMs - RETRY_WINDOW_MS) break;
    if (record.service === service && record.sentMs > nowMs - RETRY_WINDOW_MS)
      requestTimesMs.push(record.sentMs);
  }
  const recentRetryTimesMs = retryTimesMs.filter((atMs) => atMs > nowMs - RETRY_WINDOW_MS);
  return recentRetryTimesMs.every(
    (fromMs, index) =>
      recentRetryTimesMs.length - index + 1 <=
      defaultSketchRule.earned * requestTimesMs.filter((atMs) => atMs >= fromMs).length +
        defaultSketchRule.pool,
  );
};

/** Compares each edge's counts of the cluster's attempts with the true count. */
const sampleCounts = (
  simulation: Simulation,
  edges: readonly SimulatedMachine[],
  service: string,
  decisions: RetryDecisions,
  nowMs: number,
): void => {
  const trueCount = simulation.recorder.runs.filter(
    (run) => run.intendedService === service && run.atMs > nowMs - RETRY_WINDOW_MS,
  ).length;
  for (const { daemon } of edges) {
    const counts = daemon?.fleetRetryCounts(service);
    if (!counts || trueCount === 0) continue;
    decisions.relativeErrors.push(
      Math.abs(counts.firstAttempts + counts.retries - trueCount) / trueCount,
    );
    decisions.sketchAgesMs.push(counts.ageMs);
    decisions.coveredEdges.push(counts.edges);
  }
};
