/** The program that runs a fleet of real daemons under faults and checks the simulator's invariants on what it recorded. */
import { cac } from "cac";
import { is, number, string, type } from "superstruct";
import { fileURLToPath } from "node:url";
import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import {
  type DeploymentProfile,
  deploymentProfiles,
  withMachines,
} from "./deployment/deployment-profile.js";
import { type DeploymentPlan, runDeployment } from "./deployment/deployment-run.js";
import { Fleet } from "./fleet.js";
import type { FleetMachine } from "./fleet-layout.js";
import {
  startFleet,
  applyConfigsPeriodically,
  findProfile,
  printLine,
  stopFleet,
} from "./report.js";

interface Options {
  profile: string;
  seconds: number;
  rate: number;
  seed: number;
  calm?: boolean;
  keep?: boolean;
  machines?: number;
  plan: DeploymentPlan;
  routes: number;
  changeGap: number;
  root?: string;
}

const retryCountersShape = type({
  door: type({
    furtherTries: number(),
    furtherRefused: type({ sketch: number(), guard: number() }),
  }),
});
const roleShape = type({ record: type({ role: string() }) });
/** How long clients keep sending requests after the last fault: the time to recover, with a margin. */
const recoveryMs = 18_000;

const findLeader = function* (fleet: Fleet): Task<FleetMachine | undefined> {
  for (const machine of fleet.machines) {
    const status = yield* fleet.fetchStatus(machine);
    if (is(status, roleShape) && status.record.role === "leader") return machine;
  }
  return undefined;
};

/** Prints how many retries the running daemons granted and how many the sketch and the guard refused. */
const printRetryDecisions = function* (fleet: Fleet): Task {
  const sum = { granted: 0, sketch: 0, guard: 0 };
  for (const machine of fleet.machines) {
    const status = yield* fleet.fetchStatus(machine);
    if (!is(status, retryCountersShape)) continue;
    sum.granted += status.door.furtherTries;
    sum.sketch += status.door.furtherRefused.sketch;
    sum.guard += status.door.furtherRefused.guard;
  }
  printLine(
    `  Retries: ${sum.granted} granted, ${sum.sketch} refused by the sketch, ${sum.guard} refused by the guard`,
  );
};

/** Injects one fault after another, each at a fixed fraction of the run's duration. */
const injectFaults = function* (fleet: Fleet, durationMs: number): Task {
  const { clock } = fleet;
  const waitUntilFraction = function* (fraction: number, startedMs: number): Task {
    yield* sleep(clock, startedMs + durationMs * fraction - clock.nowMs());
  };
  const startedMs = clock.nowMs();
  const edges = fleet.machines.filter(({ settings }) => settings.callers !== undefined);
  const [edgeToKill, edgeToStop, edgeToFreeze] = edges;
  yield* waitUntilFraction(0.15, startedMs);
  const leader = yield* findLeader(fleet);
  if (leader) {
    printLine(`${leader.settings.machine}, the leader, is killed`);
    yield* fleet.kill(leader);
    yield* sleep(clock, 3000);
    fleet.boot(leader);
  }
  yield* waitUntilFraction(0.3, startedMs);
  if (edgeToKill) {
    printLine(`${edgeToKill.settings.machine}, an edge, is killed`);
    yield* fleet.kill(edgeToKill);
    yield* sleep(clock, 2000);
    fleet.boot(edgeToKill);
  }
  yield* waitUntilFraction(0.4, startedMs);
  const [crashing, deregistering, reused, faulty] = fleet.testBackends.filter(
    (_, index) => index % 7 === 3,
  );
  if (crashing) {
    printLine(`${crashing.address} of ${crashing.service} crashes and is replaced`);
    yield* fleet.crash(crashing);
    yield* sleep(clock, 2500);
    yield* fleet.replace(crashing, crashing.service);
  }
  if (deregistering) {
    printLine(`${deregistering.address} of ${deregistering.service} deregisters`);
    yield* fleet.workload.deregister(deregistering);
    yield* sleep(clock, 3000);
    yield* fleet.crash(deregistering);
  }
  if (reused) {
    const otherService =
      fleet.testBackends.find(({ service }) => service !== reused.service)?.service ??
      reused.service;
    printLine(`${reused.address} of ${reused.service} is reused by ${otherService}`);
    yield* fleet.crash(reused);
    yield* sleep(clock, 1500);
    fleet.recorder.environmentRecords.push({
      kind: "reused",
      atMs: clock.nowMs(),
      address: reused.address,
      service: otherService,
    });
    yield* fleet.replace(reused, otherService);
  }
  if (faulty) {
    printLine(
      `${faulty.address} of ${faulty.service} drops responses, sends garbage and truncates bodies`,
    );
    faulty.setBehavior({ lossFraction: 0.3, garbageFraction: 0.3, truncatedFraction: 0.3 });
  }
  yield* waitUntilFraction(0.55, startedMs);
  if (edgeToFreeze) {
    printLine(`${edgeToFreeze.settings.machine}, an edge, is suspended for two lease durations`);
    yield* fleet.freeze(edgeToFreeze, 3200);
  }
  faulty?.setBehavior({});
  yield* waitUntilFraction(0.6, startedMs);
  const [service] = Object.keys(fleet.profile.backends);
  const failing = fleet.testBackends.filter((testBackend) => testBackend.service === service);
  printLine(`all ${failing.length} backends of ${service ?? ""} drop 7 of 10 responses`);
  for (const testBackend of failing) testBackend.setBehavior({ lossFraction: 0.7 });
  yield* waitUntilFraction(0.7, startedMs);
  for (const testBackend of failing) testBackend.setBehavior({});
  yield* printRetryDecisions(fleet);
  if (edgeToStop) {
    printLine(`${edgeToStop.settings.machine}, an edge, is stopped and restarted`);
    yield* fleet.stop(edgeToStop);
    if (edgeToStop.exitCode !== 0) printLine(`  its exit code is ${String(edgeToStop.exitCode)}`);
    fleet.boot(edgeToStop);
  }
  yield* waitUntilFraction(0.8, startedMs);
  fleet.recorder.environmentRecords.push({ kind: "recovered", atMs: clock.nowMs() });
};

/** Runs a deployment of the platform, and exits with 1 if a rule is broken, with 2 if the run isn't valid. */
const runDeploymentProfile = async (
  profile: DeploymentProfile,
  options: Options,
): Promise<void> => {
  const { machines = profile.members + profile.edges } = options;
  const violations = await runDeployment(withMachines(profile, machines), {
    ...options,
    root: options.root ?? fileURLToPath(new URL("../..", import.meta.url)),
  });
  process.exit(violations === undefined ? 2 : violations > 0 ? 1 : 0);
};

const program = cac("fleet");
program
  .command(
    "",
    "Start a fleet of real daemons on this machine, with clients and backends, and check its invariants",
  )
  .option("--profile <name>", "kovacic, rastro, kovacic-grown, rastro-grown or ptice-vrata", {
    default: "kovacic",
  })
  .option("--seconds <count>", "How long clients send requests", { default: 60 })
  .option("--rate <part>", "Fraction of the profile's requests that is sent", { default: 1 })
  .option("--seed <number>", "Seed of clients and backends", { default: 1 })
  .option("--calm", "Inject no faults")
  .option("--keep", "Keep the folder with settings, data and logs")
  .option("--machines <count>", "Number of machines of a deployment of the platform")
  .option(
    "--plan <name>",
    "What happens to a deployment of the platform: calm, changes, stops, both, losses or closing",
    {
      default: "both",
    },
  )
  .option("--routes <count>", "Routes that one change adds to a deployment of the platform", {
    default: 1400,
  })
  .option("--change-gap <ms>", "Longest pause between two changes", { default: 700 })
  .option(
    "--root <folder>",
    "The repository whose bundle a deployment of the platform runs; this one by default",
  )
  .action(async (options: Options) => {
    const deploymentProfile = deploymentProfiles.get(options.profile);
    if (deploymentProfile) return runDeploymentProfile(deploymentProfile, options);
    const profile = findProfile(options.profile);
    if (!profile) {
      process.exitCode = 2;
      return;
    }
    const fleet = await Fleet.create(profile, options.seed, options.rate);
    for (const name of ["SIGINT", "SIGTERM"] as const)
      process.once(name, () => void fleet.shutDown(false).then(() => process.exit(130)));
    printLine(
      `${profile.name}: ${profile.diskMachines} machines with disks, ${profile.disklessMachines} small ones, ${fleet.testBackends.length} backends; logs under ${fleet.folder}`,
    );
    if (!(await startFleet(fleet))) process.exit(1);
    printLine("All machines are ready and a config is in force; clients start sending requests");
    const startedMs = fleet.clock.nowMs();
    fleet.startRequests();
    fleet.start(applyConfigsPeriodically(fleet));
    await fleet.run(
      options.calm
        ? sleep(fleet.clock, options.seconds * 1000)
        : injectFaults(fleet, options.seconds * 1000),
    );
    if (!options.calm) await fleet.run(sleep(fleet.clock, recoveryMs));
    const violations = await stopFleet(fleet, startedMs);
    await fleet.shutDown(options.keep ?? false);
    process.exit(violations > 0 ? 1 : 0);
  });
program.help();
program.parse();
