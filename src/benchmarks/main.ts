/** The program that measures elections, config roll-outs, the replicated log, the retry budget, sketches and snapshots in the simulator. */
import { cac } from "cac";
import { StateMachine } from "../state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../state/log-command.js";
import { MAX_IDEMPOTENCY_CLAIMS } from "../state/idempotency-claim-table.js";
import { defaultReplicationTimeouts } from "../replication/replication-timeouts.js";
import { withChecksum } from "../replication/log/checksum.js";
import {
  RequestCounts,
  defaultRequestCountsFormat,
  RETRY_WINDOW_MS,
} from "../retry-budget/request-counts.js";
import { EcmSketch } from "../sketch/ecm-sketch.js";
import { stampOf } from "../sketch/exponential-histogram.js";
import { measureRetryBudget, type RetryDecisions } from "./retry-budget-benchmark.js";
import { RandomDraw } from "../simulation/random-draw.js";
import { type Profile, shippedProfiles } from "../simulation/profile.js";
import { Simulation } from "../simulation/simulation.js";
import type { SimulatedMachine } from "../simulation/simulated-machine.js";

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const formatDistribution = (values: number[], digits = 2): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const quantile = (fraction: number): string =>
    (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0).toFixed(
      digits,
    );
  return `min ${quantile(0)}, median ${quantile(0.5)}, 90th percentile ${quantile(0.9)}, max ${quantile(1)} (${sorted.length} samples)`;
};

/** Resolution of the measured delays. */
const stepMs = 2;
/** Duration of a lease that an edge holds. */
const edgeLeaseMs = 1600;

/** Advances virtual time until a condition holds or the limit is reached; returns the elapsed time in ms. */
const runUntil = (simulation: Simulation, condition: () => boolean, limitMs: number): number => {
  const startMs = simulation.virtualClock.nowMs();
  while (!condition() && simulation.virtualClock.nowMs() < startMs + limitMs)
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + stepMs);
  return simulation.virtualClock.nowMs() - startMs;
};

const findLeader = (simulation: Simulation): SimulatedMachine | undefined =>
  simulation.machines.find(({ daemon }) => daemon?.replicationNode?.holdsLease);
const findRunningEdges = (simulation: Simulation): SimulatedMachine[] =>
  simulation.machines.filter(
    ({ settings, daemon }) => settings.callers !== undefined && daemon !== undefined,
  );

/** Starts a simulated cluster and waits until it has a leader and all edges hold a lease, for at most 20 s. */
const startSimulation = (profile: Profile, seed: number, rate: number): Simulation => {
  const simulation = new Simulation(profile, seed, rate);
  simulation.startAll();
  runUntil(
    simulation,
    () =>
      findLeader(simulation) !== undefined &&
      findRunningEdges(simulation).every(({ daemon }) => daemon?.servingState.isGranted),
    20_000,
  );
  return simulation;
};

/** Kills leaders, and measures the time to the next leader, the expired leases and the catch-up of the restarted member. */
const measureElections = (profile: Profile, seeds: number): void => {
  const electionDelays: number[] = [];
  const catchUpDelays: number[] = [];
  let electionsWithExpiry = 0;
  for (let seed = 1; seed <= seeds; seed += 1) {
    const simulation = startSimulation(profile, seed, 0.05);
    simulation.virtualClock.runUntil(
      simulation.virtualClock.nowMs() + 1000 + simulation.random() * 500,
    );
    const formerLeader = findLeader(simulation);
    if (!formerLeader) continue;
    simulation.kill(formerLeader, true);
    let expiredLeases = 0;
    electionDelays.push(
      runUntil(simulation, () => findLeader(simulation) !== undefined, 10_000) /
        defaultReplicationTimeouts.electionMinMs,
    );
    runUntil(
      simulation,
      () => {
        expiredLeases = Math.max(
          expiredLeases,
          findRunningEdges(simulation).filter(({ daemon }) => !daemon?.servingState.isGranted)
            .length,
        );
        return false;
      },
      1500,
    );
    if (expiredLeases > 0) electionsWithExpiry += 1;
    simulation.boot(formerLeader);
    catchUpDelays.push(
      runUntil(
        simulation,
        () =>
          formerLeader.daemon?.replicationNode?.status.role === "follower" &&
          (formerLeader.daemon?.replicationNode?.status.applied ?? -1) >=
            (findLeader(simulation)?.daemon?.replicationNode?.status.committed ?? Infinity),
        10_000,
      ) / defaultReplicationTimeouts.electionMinMs,
    );
  }
  printLine(
    `${profile.name}: time from a leader's death until its successor holds the lease, in minimum election timeouts: ${formatDistribution(electionDelays)}`,
  );
  printLine(
    `${profile.name}: time until the restarted member has caught up, in minimum election timeouts: ${formatDistribution(catchUpDelays)}`,
  );
  printLine(
    `${profile.name}: leader failures after which the lease of some edge expired: ${electionsWithExpiry} of ${seeds}`,
  );
};

/** Measures the time from the acceptance of a config until each edge serves requests by it. */
const measureRollOut = (profile: Profile, seeds: number, extraRoutes: number): void => {
  const delays: number[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const simulation = startSimulation(profile, seed, 0.05);
    simulation.workload.growRoutes(extraRoutes);
    for (let round = 0; round < 3; round += 1) {
      const newSequence = simulation.workload.sequence + 1;
      simulation.start(simulation.workload.putConfig());
      runUntil(
        simulation,
        () =>
          simulation.recorder.ofKind("accepted").some(({ sequence }) => sequence === newSequence),
        10_000,
      );
      const startMs = simulation.virtualClock.nowMs();
      const pendingEdges = new Set(findRunningEdges(simulation));
      runUntil(
        simulation,
        () => {
          for (const edge of pendingEdges) {
            if ((edge.daemon?.servingState.configSequence ?? 0) < newSequence) continue;
            delays.push((simulation.virtualClock.nowMs() - startMs) / edgeLeaseMs);
            pendingEdges.delete(edge);
          }
          return pendingEdges.size === 0;
        },
        5000,
      );
    }
  }
  printLine(
    `${profile.name}: time from the acceptance of a config until an edge serves by it, in edge leases, with ${extraRoutes} more routes: ${formatDistribution(delays)}`,
  );
};

/** Measures keyed writes, log entries and entries per disk sync at a fraction of the profile's rate, over 10 s. */
const measureReplicatedLog = (profile: Profile, rate: number): void => {
  const simulation = startSimulation(profile, 1, rate);
  simulation.start(simulation.workload.putConfig());
  simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 3000);
  const readStatus = () => findLeader(simulation)?.daemon?.replicationNode?.status;
  const [before, fromMs, earlierRequests] = [
    readStatus(),
    simulation.virtualClock.nowMs(),
    simulation.recorder.clientRecords.length,
  ];
  simulation.virtualClock.runUntil(fromMs + 10_000);
  const after = readStatus();
  if (!before || !after) return;
  const writes = simulation.recorder.clientRecords
    .slice(earlierRequests)
    .filter(({ key }) => key !== undefined).length;
  const entries = after.written - before.written;
  printLine(
    `${profile.name} at ${rate} of its rate: ${(writes / 10).toFixed(0)} keyed writes/s, ${(entries / 10).toFixed(0)} log entries/s, ${(entries / (after.syncs - before.syncs)).toFixed(2)} entries per sync`,
  );
};

/** Measures the encoded size of an edge's counts, the cost of merging, and the error of sketches merged over two levels. */
const measureSketches = (): void => {
  for (const epsilon of [0.05, 0.1, 0.2]) {
    const format = {
      ...defaultRequestCountsFormat,
      tries: { ...defaultRequestCountsFormat.attempts, epsilon },
      routes: { ...defaultRequestCountsFormat.routes, epsilon: epsilon * 2 },
    };
    const random = RandomDraw.of(3);
    const edgeCounts = Array.from({ length: 16 }, () => new RequestCounts(format));
    const sketches = Array.from({ length: 16 }, () => new EcmSketch(format.tries));
    const attemptTimesMs: number[][] = [[], [], []];
    for (let atMs = 0; atMs < 15_000; atMs += 1.8) {
      const edge = Math.floor(random() * 16);
      const service = random() < 0.75 ? 0 : random() < 0.85 ? 1 : 2;
      edgeCounts[edge]?.countAttempt(service, false, atMs);
      edgeCounts[edge]?.countRoute(Math.floor(200 * random() ** 4), atMs);
      sketches[edge]?.add(service * 2, stampOf(atMs));
      attemptTimesMs[service]?.push(atMs);
    }
    const bytes = (edgeCounts[0]?.encode(15_000).length ?? 0) / 1024;
    const relativeCosts: number[] = [];
    let singleMs = 0;
    for (const fanIn of [1, 4, 16]) {
      const startMs = performance.now();
      for (let round = 0; round < 5; round += 1)
        RequestCounts.merge(edgeCounts.slice(0, fanIn), format, 15_000);
      const durationMs = performance.now() - startMs;
      if (fanIn === 1) singleMs = durationMs;
      relativeCosts.push(durationMs / singleMs);
    }
    const mergedSketch = EcmSketch.merge(
      [
        EcmSketch.merge(sketches.slice(0, 8), format.tries, stampOf(15_000)),
        EcmSketch.merge(sketches.slice(8), format.tries, stampOf(15_000)),
      ],
      format.tries,
      stampOf(15_000),
    );
    const totalAttempts = attemptTimesMs
      .flat()
      .filter((atMs) => atMs > 15_000 - RETRY_WINDOW_MS).length;
    const maxError = Math.max(
      ...attemptTimesMs.map(
        (timesMs, service) =>
          Math.abs(
            mergedSketch.estimate(service * 2, stampOf(15_000), RETRY_WINDOW_MS) -
              timesMs.filter((atMs) => atMs > 15_000 - RETRY_WINDOW_MS).length,
          ) / totalAttempts,
      ),
    );
    const cellEpsilon = mergedSketch.cellEpsilon;
    const mergedEpsilon = 2 * cellEpsilon * (1 + cellEpsilon) + cellEpsilon;
    printLine(
      `eps ${epsilon}: an edge's encoded counts have ${bytes.toFixed(1)} KiB; relative cost of merging 1, 4, 16 of them ${relativeCosts.map((cost) => cost.toFixed(1)).join(", ")}; error after two merge levels ${(maxError * 100).toFixed(2)}% of all attempts, bound ${((mergedEpsilon + cellEpsilon + mergedEpsilon * cellEpsilon) * 100).toFixed(1)}%`,
    );
  }
};

/** Measures the decisions on retries while all edges, or one edge alone, receive no response to some requests. */
const measureRetryBudgets = (profile: Profile, seeds: number, rate: number): void => {
  for (const scope of ["even", "one"] as const) {
    for (const lostFraction of [0.05, 0.3, 1]) {
      const runs = Array.from({ length: seeds }, (_, index) =>
        measureRetryBudget(profile, index + 1, rate, scope, lostFraction, 20_000),
      );
      const sumOver = (valueOf: (run: RetryDecisions) => number): number =>
        runs.reduce((total, run) => total + valueOf(run), 0);
      const [sketch, guard] = [sumOver((run) => run.sketch), sumOver((run) => run.guard)];
      printLine(
        `${profile.name} at ${rate} of its rate, ${scope === "even" ? "all edges" : "one edge"} losing ${lostFraction * 100}% of responses: ${sumOver((run) => run.grantedRetries)} retries granted, ${sketch} refused by the sketch and ${guard} by the guard, of which ${sumOver((run) => run.needlessRefusals.sketch)} and ${sumOver((run) => run.needlessRefusals.guard)} needlessly; relative error of the sketch ${formatDistribution(runs.flatMap((run) => run.relativeErrors))}; age of the sketch ${formatDistribution(
          runs.flatMap((run) => run.sketchAgesMs),
          0,
        )} ms; edges covered ${formatDistribution(
          runs.flatMap((run) => run.coveredEdges),
          0,
        )}`,
      );
    }
  }
};

/** Creates a state machine at its maximum size: idempotency claims with stored outcomes, 5,000 routes and 400 backends. */
const createFullState = (keys: number, bodyBytes: number): StateMachine => {
  const stateMachine = new StateMachine();
  let index = 0;
  const apply = (command: LogCommand): void =>
    void stateMachine.apply((index += 1), encodeLogCommand(command));
  const names = Array.from({ length: 5000 }, (_, number) => `route-${number}`);
  const routes = Object.fromEntries(
    names.map((name) => [name, { match: { path: `/${name}/*` }, service: "issues" }]),
  );
  apply({
    kind: "config",
    expected: 0,
    changeId: "c",
    acceptedAt: "",
    text: JSON.stringify({ services: { issues: {} }, routes }),
    services: ["issues"],
    routes: names,
  });
  for (let number = 0; number < 400; number += 1)
    apply({
      kind: "contract",
      address: `10.0.0.1:${number}`,
      service: "issues",
      zone: "red",
      warmth: 1,
    });
  for (let number = 0; number < keys; number += 1) {
    const scope = String(number).padStart(64, "f");
    const job = `abcdef-ghijkl-mnopqr/${number}`;
    apply({
      kind: "claim",
      scope,
      bodyHash: "a".repeat(64),
      job,
      holders: ["x".repeat(bodyBytes)],
    });
  }
  return stateMachine;
};

/** Measures how long the snapshot of a state of maximum size takes to write and to restore. */
const measureSnapshots = (): void => {
  const members = { voters: ["a"], learners: [] };
  const durationInLeases = (run: () => unknown): number => {
    const startMs = performance.now();
    run();
    return (performance.now() - startMs) / defaultReplicationTimeouts.leaderLeaseMs;
  };
  for (const [keys, bodyBytes] of [
    [14_400, 120],
    [14_400, 21_844],
    [MAX_IDEMPOTENCY_CLAIMS, 120],
  ] as const) {
    const stateMachine = createFullState(keys, bodyBytes);
    let text = "";
    const snapshotDurations = Array.from({ length: 5 }, () =>
      durationInLeases(() =>
        withChecksum(Buffer.from((text = stateMachine.snapshot(members)), "utf8")),
      ),
    );
    const restoreDurations = Array.from({ length: 5 }, () =>
      durationInLeases(() => new StateMachine().restore(text)),
    );
    printLine(
      `${keys} keys, responses of ${bodyBytes} bytes, 5,000 routes, 400 backends: a snapshot of ${(text.length / 2 ** 20).toFixed(1)} MiB, in leader leases: written in ${formatDistribution(snapshotDurations)}, restored in ${formatDistribution(restoreDurations)}`,
    );
  }
};

const program = cac("measure");
program
  .command(
    "",
    "Measure elections, roll-outs, the replicated log, retries, sketches and snapshots, as ratios and counts without absolute times",
  )
  .option("--seeds <count>", "Number of simulated clusters per figure", { default: 20 })
  .option("--only <part>", "elections, rollout, record, sketches, bounds or budget")
  .action(async ({ seeds, only }: { seeds: number; only?: string }) => {
    const isSelected = (part: string): boolean => only === undefined || only === part;
    for (const profile of Object.values(shippedProfiles)) {
      if (isSelected("elections")) measureElections(profile, seeds);
      if (isSelected("rollout"))
        for (const routes of [0, 2000]) measureRollOut(profile, Math.ceil(seeds / 4), routes);
      if (isSelected("record")) for (const rate of [0.25, 1]) measureReplicatedLog(profile, rate);
      if (isSelected("budget")) measureRetryBudgets(profile, Math.ceil(seeds / 10), 1);
    }
    if (isSelected("sketches")) measureSketches();
    if (isSelected("bounds")) measureSnapshots();
  });
program.help();
program.parse();
