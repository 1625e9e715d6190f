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
import { measureRetryBudget } from "./retry-budget-benchmark.js";
import { RandomDraw } from "../simulation/random-draw.js";
import { type Profile, shippedProfiles } from "../simulation/profile.js";
import { Simulation } from "../simulation/simulation.js";
import type { SimulatedMachine } from "../simulation/simulated-machine.js";

const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const formatDistribution = (values: number[], digits = 2): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (part: number): string =>
    (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0).toFixed(digits);
  return `least ${at(0)}, half ${at(0.5)}, nine of ten ${at(0.9)}, most ${at(1)} (${sorted.length} readings)`;
};

const stepMs = 2;

const runUntil = (simulation: Simulation, holds: () => boolean, limitMs: number): number => {
  const startMs = simulation.virtualClock.nowMs();
  while (!holds() && simulation.virtualClock.nowMs() < startMs + limitMs)
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + stepMs);
  return simulation.virtualClock.nowMs() - startMs;
};

const findLeader = (simulation: Simulation): SimulatedMachine | undefined =>
  simulation.machines.find(({ daemon }) => daemon?.replicationNode?.holdsLease);
const findRunningEdges = (simulation: Simulation): SimulatedMachine[] =>
  simulation.machines.filter(
    ({ settings, daemon }) => settings.callers !== undefined && daemon !== undefined,
  );

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

const measureElections = (profile: Profile, seeds: number): void => {
  const elected: number[] = [];
  const shortest: number[] = [];
  let stopped = 0;
  for (let seed = 1; seed <= seeds; seed += 1) {
    const simulation = startSimulation(profile, seed, 0.05);
    simulation.virtualClock.runUntil(
      simulation.virtualClock.nowMs() + 1000 + simulation.random() * 500,
    );
    const old = findLeader(simulation);
    if (!old) continue;
    simulation.kill(old, true);
    let lapsed = 0;
    elected.push(
      runUntil(simulation, () => findLeader(simulation) !== undefined, 10_000) /
        defaultReplicationTimeouts.electionMinMs,
    );
    runUntil(
      simulation,
      () => {
        lapsed = Math.max(
          lapsed,
          findRunningEdges(simulation).filter(({ daemon }) => !daemon?.servingState.isGranted)
            .length,
        );
        return false;
      },
      1500,
    );
    if (lapsed > 0) stopped += 1;
    simulation.boot(old);
    shortest.push(
      runUntil(
        simulation,
        () =>
          old.daemon?.replicationNode?.status.role === "follower" &&
          (old.daemon?.replicationNode?.status.applied ?? -1) >=
            (findLeader(simulation)?.daemon?.replicationNode?.status.committed ?? Infinity),
        10_000,
      ) / defaultReplicationTimeouts.electionMinMs,
    );
  }
  printLine(
    `${profile.name}: a leader's death to the next leader's first answer, in shortest election waits: ${formatDistribution(elected)}`,
  );
  printLine(
    `${profile.name}: a restarted recorder has caught up, in shortest election waits: ${formatDistribution(shortest)}`,
  );
  printLine(
    `${profile.name}: leaders' deaths after which some edge lost its grant: ${stopped} of ${seeds}`,
  );
};

const measureRollOut = (profile: Profile, seeds: number, extraRoutes: number): void => {
  const delays: number[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    const simulation = startSimulation(profile, seed, 0.05);
    simulation.workload.growRoutes(extraRoutes);
    for (let round = 0; round < 3; round += 1) {
      const wanted = simulation.workload.sequence + 1;
      simulation.start(simulation.workload.putConfig());
      runUntil(
        simulation,
        () => simulation.recorder.ofKind("accepted").some(({ sequence }) => sequence === wanted),
        10_000,
      );
      const startMs = simulation.virtualClock.nowMs();
      const waiting = new Set(findRunningEdges(simulation));
      runUntil(
        simulation,
        () => {
          for (const edge of waiting) {
            if ((edge.daemon?.servingState.configSequence ?? 0) < wanted) continue;
            delays.push((simulation.virtualClock.nowMs() - startMs) / 1600);
            waiting.delete(edge);
          }
          return waiting.size === 0;
        },
        5000,
      );
    }
  }
  printLine(
    `${profile.name}: an acceptance to an edge serving by it, in grants, with ${extraRoutes} more routes: ${formatDistribution(delays)}`,
  );
};

const measureReplicatedLog = (profile: Profile, rate: number): void => {
  const simulation = startSimulation(profile, 1, rate);
  simulation.start(simulation.workload.putConfig());
  simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + 3000);
  const status = () => findLeader(simulation)?.daemon?.replicationNode?.status;
  const [before, fromMs, keyed] = [
    status(),
    simulation.virtualClock.nowMs(),
    simulation.recorder.clientRecords.length,
  ];
  simulation.virtualClock.runUntil(fromMs + 10_000);
  const after = status();
  if (!before || !after) return;
  const writes = simulation.recorder.clientRecords
    .slice(keyed)
    .filter(({ key }) => key !== undefined).length;
  const entries = after.written - before.written;
  printLine(
    `${profile.name} at ${rate} of its rate: ${(writes / 10).toFixed(0)} keyed writes a second, ${(entries / 10).toFixed(0)} entries a second, ${(entries / (after.syncs - before.syncs)).toFixed(2)} entries in a sync`,
  );
};

const measureSketches = (): void => {
  for (const epsilon of [0.05, 0.1, 0.2]) {
    const form = {
      ...defaultRequestCountsFormat,
      tries: { ...defaultRequestCountsFormat.attempts, epsilon },
      routes: { ...defaultRequestCountsFormat.routes, epsilon: epsilon * 2 },
    };
    const random = RandomDraw.of(3);
    const leaves = Array.from({ length: 16 }, () => new RequestCounts(form));
    const sketches = Array.from({ length: 16 }, () => new EcmSketch(form.tries));
    const times: number[][] = [[], [], []];
    for (let atMs = 0; atMs < 15_000; atMs += 1.8) {
      const leaf = Math.floor(random() * 16);
      const service = random() < 0.75 ? 0 : random() < 0.85 ? 1 : 2;
      leaves[leaf]?.countAttempt(service, false, atMs);
      leaves[leaf]?.countRoute(Math.floor(200 * random() ** 4), atMs);
      sketches[leaf]?.add(service * 2, stampOf(atMs));
      times[service]?.push(atMs);
    }
    const bytes = (leaves[0]?.encode(15_000).length ?? 0) / 1024;
    const cost: number[] = [];
    let single = 0;
    for (const fanIn of [1, 4, 16]) {
      const startMs = performance.now();
      for (let round = 0; round < 5; round += 1)
        RequestCounts.merge(leaves.slice(0, fanIn), form, 15_000);
      const tookMs = performance.now() - startMs;
      if (fanIn === 1) single = tookMs;
      cost.push(tookMs / single);
    }
    const root = EcmSketch.merge(
      [
        EcmSketch.merge(sketches.slice(0, 8), form.tries, stampOf(15_000)),
        EcmSketch.merge(sketches.slice(8), form.tries, stampOf(15_000)),
      ],
      form.tries,
      stampOf(15_000),
    );
    const total = times.flat().filter((atMs) => atMs > 15_000 - RETRY_WINDOW_MS).length;
    const worst = Math.max(
      ...times.map(
        (one, service) =>
          Math.abs(
            root.estimate(service * 2, stampOf(15_000), RETRY_WINDOW_MS) -
              one.filter((atMs) => atMs > 15_000 - RETRY_WINDOW_MS).length,
          ) / total,
      ),
    );
    const cell = root.cellEpsilon;
    const merged = 2 * cell * (1 + cell) + cell;
    printLine(
      `eps ${epsilon}: an edge's push has ${bytes.toFixed(1)} KiB; merging 1, 4, 16 costs ${cost.map((one) => one.toFixed(1)).join(", ")}; error over two levels ${(worst * 100).toFixed(2)}% of all arrivals, bound ${((merged + cell + merged * cell) * 100).toFixed(1)}%`,
    );
  }
};

const measureRetryBudgets = (profile: Profile, seeds: number, rate: number): void => {
  for (const where of ["even", "one"] as const) {
    for (const losesPart of [0.05, 0.3, 1]) {
      const all = Array.from({ length: seeds }, (_, at) =>
        measureRetryBudget(profile, at + 1, rate, where, losesPart, 20_000),
      );
      const sum = (of: (one: (typeof all)[number]) => number): number =>
        all.reduce((total, one) => total + of(one), 0);
      const [sketch, guard] = [sum((one) => one.sketch), sum((one) => one.guard)];
      printLine(
        `${profile.name} at ${rate} of its rate, ${where === "even" ? "all edges" : "one edge"} losing ${losesPart * 100}% of answers: ${sum((one) => one.grantedRetries)} further tries granted, ${sketch} refused by the sketch and ${guard} by the guard; ${sum((one) => one.needlessRefusals.sketch)} and ${sum((one) => one.needlessRefusals.guard)} of them though there was room; the sketch's error ${formatDistribution(all.flatMap((one) => one.relativeErrors))}; own part ${formatDistribution(
          all.flatMap((one) => one.sketchAgesMs),
          0,
        )} ms old; edges covered ${formatDistribution(
          all.flatMap((one) => one.coveredEdges),
          0,
        )}`,
      );
    }
  }
};

/** A book at its fullest: keys with their returns, routes, back ends. */
const createFullState = (keys: number, bodyBytes: number): StateMachine => {
  const stateMachine = new StateMachine();
  let index = 0;
  const apply = (command: LogCommand): void =>
    void stateMachine.apply((index += 1), encodeLogCommand(command));
  const names = Array.from({ length: 5000 }, (_, at) => `route-${at}`);
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
  for (let at = 0; at < 400; at += 1)
    apply({
      kind: "contract",
      address: `10.0.0.1:${at}`,
      service: "issues",
      zone: "red",
      warmth: 1,
    });
  for (let at = 0; at < keys; at += 1) {
    const scope = String(at).padStart(64, "f");
    const job = `abcdef-ghijkl-mnopqr/${at}`;
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

const measureSnapshots = (): void => {
  const members = { voters: ["a"], learners: [] };
  const inGrants = (run: () => unknown): number => {
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
    const made = Array.from({ length: 5 }, () =>
      inGrants(() => withChecksum(Buffer.from((text = stateMachine.snapshot(members)), "utf8"))),
    );
    const restored = Array.from({ length: 5 }, () =>
      inGrants(() => new StateMachine().restore(text)),
    );
    printLine(
      `${keys} keys, returns of ${bodyBytes} bytes, 5,000 routes, 400 back ends: a checkpoint of ${(text.length / 2 ** 20).toFixed(1)} MiB, made in ${formatDistribution(made)} and restored in ${formatDistribution(restored)} of a leader's grant`,
    );
  }
};

const program = cac("measure");
program
  .command(
    "",
    "Measure elections, roll-outs, the record and the sketches; ratios and counts, no absolute times",
  )
  .option("--seeds <count>", "How many fleets each figure is drawn from", { default: 20 })
  .option("--only <part>", "elections, rollout, record, sketches, bounds or budget")
  .action(async ({ seeds, only }: { seeds: number; only?: string }) => {
    const wants = (part: string): boolean => only === undefined || only === part;
    for (const profile of Object.values(shippedProfiles)) {
      if (wants("elections")) measureElections(profile, seeds);
      if (wants("rollout"))
        for (const routes of [0, 2000]) measureRollOut(profile, Math.ceil(seeds / 4), routes);
      if (wants("record")) for (const rate of [0.25, 1]) measureReplicatedLog(profile, rate);
      if (wants("budget")) measureRetryBudgets(profile, Math.ceil(seeds / 10), 1);
    }
    if (wants("sketches")) measureSketches();
    if (wants("bounds")) measureSnapshots();
  });
program.help();
program.parse();
