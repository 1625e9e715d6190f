/** The program that kills a whole zone of a running fleet, restores it, and checks the invariants. */
import { cac } from "cac";
import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { Fleet } from "./fleet.js";
import { servedFraction } from "../simulation/invariant-checker.js";
import {
  startFleet,
  applyConfigsPeriodically,
  findProfile,
  printLine,
  stopFleet,
} from "./report.js";

interface Options {
  profile: string;
  zone?: string;
  seconds: number;
  rate: number;
  seed: number;
  keep?: boolean;
}

/** Durations: before the zone fails, for machines to become ready after its restart, and after that. */
const phases = { beforeMs: 10_000, recoveryMs: 15_000, afterMs: 6000 };

/** Kills all machines and backends of a zone at the same time. */
const failZone = function* (fleet: Fleet, zone: string): Task {
  const machines = fleet.machines.filter(({ settings }) => settings.zone === zone);
  const testBackends = fleet.testBackends.filter((testBackend) => testBackend.zone === zone);
  for (const machine of machines) fleet.start(fleet.kill(machine));
  for (const testBackend of testBackends) fleet.start(fleet.crash(testBackend));
  yield* fleet.waitUntil(() => machines.every((machine) => machine.process === undefined), 5000);
  printLine(
    `zone ${zone} failed: ${machines.map(({ settings }) => settings.machine).join(", ")} and ${testBackends.length} backends`,
  );
};

/** Restarts all machines and backends of a zone. */
const restoreZone = function* (fleet: Fleet, zone: string): Task {
  for (const machine of fleet.machines) if (machine.settings.zone === zone) fleet.boot(machine);
  for (const testBackend of fleet.testBackends)
    if (testBackend.zone === zone) yield* fleet.replace(testBackend, testBackend.service);
  printLine(`zone ${zone} is restored`);
};

const formatPercent = (fraction: number): string => `${(fraction * 100).toFixed(2)}%`;

const program = cac("drill");
program
  .command("", "Kill all machines and backends of a zone, restore them, and check the invariants")
  .option("--profile <name>", "kovacic or rastro", { default: "kovacic" })
  .option("--zone <name>", "The zone that fails; by default the first")
  .option("--seconds <count>", "How long the zone is down", { default: 20 })
  .option("--rate <part>", "Fraction of the profile's requests that is sent", { default: 0.5 })
  .option("--seed <number>", "Seed of clients and backends", { default: 1 })
  .option("--keep", "Keep the folder with settings, data and logs")
  .action(async (options: Options) => {
    const profile = findProfile(options.profile);
    const zone = options.zone ?? profile?.zones[0] ?? "";
    if (!profile?.zones.includes(zone)) {
      if (profile)
        process.stderr.write(`unknown zone "${zone}"; known zones: ${profile.zones.join(", ")}\n`);
      process.exitCode = 2;
      return;
    }
    const fleet = await Fleet.create(profile, options.seed, options.rate);
    for (const name of ["SIGINT", "SIGTERM"] as const)
      process.once(name, () => void fleet.shutDown(false).then(() => process.exit(130)));
    printLine(
      `Drill on ${profile.name}: zone ${zone} of ${profile.zones.join(", ")} fails for ${options.seconds} s; logs under ${fleet.folder}`,
    );
    if (!(await startFleet(fleet))) process.exit(1);
    const { clock, recorder } = fleet;
    const startedMs = clock.nowMs();
    fleet.startRequests();
    fleet.start(applyConfigsPeriodically(fleet));
    await fleet.run(sleep(clock, phases.beforeMs));
    const failedAtMs = clock.nowMs();
    await fleet.run(failZone(fleet, zone));
    await fleet.run(sleep(clock, options.seconds * 1000));
    const restoredAtMs = clock.nowMs();
    await fleet.run(restoreZone(fleet, zone));
    recorder.environmentRecords.push({ kind: "recovered", atMs: clock.nowMs() });
    const areReady = await fleet.run(
      fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), phases.recoveryMs),
    );
    const readyAfterMs = clock.nowMs() - restoredAtMs;
    await fleet.run(sleep(clock, Math.max(0, phases.recoveryMs - readyAfterMs) + phases.afterMs));
    const endMs = clock.nowMs();
    const violations = await stopFleet(fleet, startedMs);
    printLine(
      `Served before ${formatPercent(servedFraction(recorder, startedMs, failedAtMs))}, in the first 5 s without the zone ${formatPercent(servedFraction(recorder, failedAtMs, failedAtMs + 5000))}, then ${formatPercent(servedFraction(recorder, failedAtMs + 5000, restoredAtMs))}, after its restoration ${formatPercent(servedFraction(recorder, restoredAtMs, endMs))}`,
    );
    printLine(
      areReady
        ? `All machines were ready ${(readyAfterMs / 1000).toFixed(1)} s after the zone was restored`
        : `Not all machines became ready within ${phases.recoveryMs / 1000} s`,
    );
    const hasPassed = violations === 0 && areReady;
    printLine(hasPassed ? "The drill passed: no invariant was violated." : "The drill FAILED.");
    await fleet.shutDown(options.keep ?? false);
    process.exit(hasPassed ? 0 : 1);
  });
program.help();
program.parse();
