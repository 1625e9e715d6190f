import { cac } from "cac";
import { is, number, string, type } from "superstruct";
import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
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
}

const retryCountersShape = type({
  door: type({
    furtherTries: number(),
    furtherRefused: type({ sketch: number(), guard: number() }),
  }),
});
const roleShape = type({ record: type({ role: string() }) });
/** How long callers come after the last fault: the time to recover, and then some. */
const recoveryMs = 18_000;

const findLeader = function* (fleet: Fleet): Task<FleetMachine | undefined> {
  for (const machine of fleet.machines) {
    const status = yield* fleet.fetchStatus(machine);
    if (is(status, roleShape) && status.record.role === "leader") return machine;
  }
  return undefined;
};

/** Says who decided on the further tries of the daemons that run. */
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
    `  ${sum.granted} further tries were granted, ${sum.sketch} refused by the sketch, ${sum.guard} by the guard`,
  );
};

const injectFaults = function* (fleet: Fleet, secondsMs: number): Task {
  const { clock } = fleet;
  const after = function* (part: number, startedMs: number): Task {
    yield* sleep(clock, startedMs + secondsMs * part - clock.nowMs());
  };
  const startedMs = clock.nowMs();
  const edges = fleet.machines.filter(({ settings }) => settings.callers !== undefined);
  const [edgeToKill, edgeToStop, edgeToFreeze] = edges;
  yield* after(0.15, startedMs);
  const leader = yield* findLeader(fleet);
  if (leader) {
    printLine(`${leader.settings.machine}, which leads the record, is killed`);
    yield* fleet.kill(leader);
    yield* sleep(clock, 3000);
    fleet.boot(leader);
  }
  yield* after(0.3, startedMs);
  if (edgeToKill) {
    printLine(`${edgeToKill.settings.machine}, an edge, is killed`);
    yield* fleet.kill(edgeToKill);
    yield* sleep(clock, 2000);
    fleet.boot(edgeToKill);
  }
  yield* after(0.4, startedMs);
  const [crashed, leaver, reused, liar] = fleet.testBackends.filter((_, at) => at % 7 === 3);
  if (crashed) {
    printLine(`${crashed.address} of ${crashed.service} crashes and is replaced`);
    yield* fleet.crash(crashed);
    yield* sleep(clock, 2500);
    yield* fleet.replace(crashed, crashed.service);
  }
  if (leaver) {
    printLine(`${leaver.address} of ${leaver.service} leaves`);
    yield* fleet.workload.deregister(leaver);
    yield* sleep(clock, 3000);
    yield* fleet.crash(leaver);
  }
  if (reused) {
    const other =
      fleet.testBackends.find(({ service }) => service !== reused.service)?.service ??
      reused.service;
    printLine(`${reused.address} of ${reused.service} is reused by ${other}`);
    yield* fleet.crash(reused);
    yield* sleep(clock, 1500);
    fleet.recorder.environmentRecords.push({
      kind: "reused",
      atMs: clock.nowMs(),
      address: reused.address,
      service: other,
    });
    yield* fleet.replace(reused, other);
  }
  if (liar) {
    printLine(
      `${liar.address} of ${liar.service} loses answers, sends garbage and cuts bodies short`,
    );
    liar.setBehavior({ lossFraction: 0.3, garbageFraction: 0.3, truncatedFraction: 0.3 });
  }
  yield* after(0.55, startedMs);
  if (edgeToFreeze) {
    printLine(`${edgeToFreeze.settings.machine}, an edge, is frozen for twice a grant`);
    yield* fleet.freeze(edgeToFreeze, 3200);
  }
  liar?.setBehavior({});
  yield* after(0.6, startedMs);
  const [service] = Object.keys(fleet.profile.backends);
  const broken = fleet.testBackends.filter((testBackend) => testBackend.service === service);
  printLine(`all ${broken.length} back ends of ${service ?? ""} lose 7 of 10 answers`);
  for (const testBackend of broken) testBackend.setBehavior({ lossFraction: 0.7 });
  yield* after(0.7, startedMs);
  for (const testBackend of broken) testBackend.setBehavior({});
  yield* printRetryDecisions(fleet);
  if (edgeToStop) {
    printLine(`${edgeToStop.settings.machine}, an edge, is told to stop and started again`);
    yield* fleet.stop(edgeToStop);
    if (edgeToStop.exitCode !== 0) printLine(`  it ended with code ${String(edgeToStop.exitCode)}`);
    fleet.boot(edgeToStop);
  }
  yield* after(0.8, startedMs);
  fleet.recorder.environmentRecords.push({ kind: "recovered", atMs: clock.nowMs() });
};

const program = cac("fleet");
program
  .command(
    "",
    "Start a whole fleet of real daemons on this machine, with callers and back ends, and judge it",
  )
  .option("--profile <name>", "kovacic or rastro", { default: "kovacic" })
  .option("--seconds <count>", "How long callers come", { default: 60 })
  .option("--rate <part>", "Part of the profile's requests that are sent", { default: 1 })
  .option("--seed <number>", "Seed of callers and back ends", { default: 1 })
  .option("--calm", "Kill and break nothing")
  .option("--keep", "Keep the folder with settings, data and logs")
  .action(async (options: Options) => {
    const profile = findProfile(options.profile);
    if (!profile) {
      process.exitCode = 2;
      return;
    }
    const fleet = await Fleet.create(profile, options.seed, options.rate);
    for (const name of ["SIGINT", "SIGTERM"] as const)
      process.once(name, () => void fleet.shutDown(false).then(() => process.exit(130)));
    printLine(
      `${profile.name}: ${profile.diskMachines} machines with disks, ${profile.disklessMachines} small ones, ${fleet.testBackends.length} back ends; logs under ${fleet.folder}`,
    );
    if (!(await startFleet(fleet))) process.exit(1);
    printLine("All machines are ready and a config is in force; callers come");
    const fromMs = fleet.clock.nowMs();
    fleet.startRequests();
    fleet.start(applyConfigsPeriodically(fleet));
    await fleet.run(
      options.calm
        ? sleep(fleet.clock, options.seconds * 1000)
        : injectFaults(fleet, options.seconds * 1000),
    );
    if (!options.calm) await fleet.run(sleep(fleet.clock, recoveryMs));
    const breaches = await stopFleet(fleet, fromMs);
    await fleet.shutDown(options.keep ?? false);
    process.exit(breaches > 0 ? 1 : 0);
  });
program.help();
program.parse();
