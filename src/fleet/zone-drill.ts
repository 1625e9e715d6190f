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

const phases = { beforeMs: 10_000, recoveryMs: 15_000, afterMs: 6000 };

/** Takes every machine and back end of a zone away at once. */
const failZone = function* (fleet: Fleet, zone: string): Task {
  const machines = fleet.machines.filter(({ settings }) => settings.zone === zone);
  const testBackends = fleet.testBackends.filter((testBackend) => testBackend.zone === zone);
  for (const machine of machines) fleet.start(fleet.kill(machine));
  for (const testBackend of testBackends) fleet.start(fleet.crash(testBackend));
  yield* fleet.waitUntil(() => machines.every((machine) => machine.process === undefined), 5000);
  printLine(
    `zone ${zone} is out: ${machines.map(({ settings }) => settings.machine).join(", ")} and ${testBackends.length} back ends`,
  );
};

/** Brings a zone's machines and back ends back. */
const restoreZone = function* (fleet: Fleet, zone: string): Task {
  for (const machine of fleet.machines) if (machine.settings.zone === zone) fleet.boot(machine);
  for (const testBackend of fleet.testBackends)
    if (testBackend.zone === zone) yield* fleet.replace(testBackend, testBackend.service);
  printLine(`zone ${zone} is back`);
};

const formatPercent = (part: number): string => `${(part * 100).toFixed(2)}%`;

const program = cac("drill");
program
  .command("", "Take a zone out of a running fleet, bring it back, and check every promise")
  .option("--profile <name>", "kovacic or rastro", { default: "kovacic" })
  .option("--zone <name>", "The zone to take out; by default the first")
  .option("--seconds <count>", "How long the zone stays out", { default: 20 })
  .option("--rate <part>", "Part of the profile's requests that are sent", { default: 0.5 })
  .option("--seed <number>", "Seed of callers and back ends", { default: 1 })
  .option("--keep", "Keep the folder with settings, data and logs")
  .action(async (options: Options) => {
    const profile = findProfile(options.profile);
    const zone = options.zone ?? profile?.zones[0] ?? "";
    if (!profile?.zones.includes(zone)) {
      if (profile)
        process.stderr.write(
          `There is no zone "${zone}"; there are ${profile.zones.join(", ")}.\n`,
        );
      process.exitCode = 2;
      return;
    }
    const fleet = await Fleet.create(profile, options.seed, options.rate);
    for (const name of ["SIGINT", "SIGTERM"] as const)
      process.once(name, () => void fleet.shutDown(false).then(() => process.exit(130)));
    printLine(
      `Drill on ${profile.name}: zone ${zone} of ${profile.zones.join(", ")} goes out for ${options.seconds} s; logs under ${fleet.folder}`,
    );
    if (!(await startFleet(fleet))) process.exit(1);
    const { clock, recorder } = fleet;
    const fromMs = clock.nowMs();
    fleet.startRequests();
    fleet.start(applyConfigsPeriodically(fleet));
    await fleet.run(sleep(clock, phases.beforeMs));
    const outMs = clock.nowMs();
    await fleet.run(failZone(fleet, zone));
    await fleet.run(sleep(clock, options.seconds * 1000));
    const backMs = clock.nowMs();
    await fleet.run(restoreZone(fleet, zone));
    recorder.environmentRecords.push({ kind: "recovered", atMs: clock.nowMs() });
    const ready = await fleet.run(
      fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), phases.recoveryMs),
    );
    const readyMs = clock.nowMs() - backMs;
    await fleet.run(sleep(clock, Math.max(0, phases.recoveryMs - readyMs) + phases.afterMs));
    const endMs = clock.nowMs();
    const breaches = await stopFleet(fleet, fromMs);
    printLine(
      `Served before ${formatPercent(servedFraction(recorder, fromMs, outMs))}, in the first 5 s without the zone ${formatPercent(servedFraction(recorder, outMs, outMs + 5000))}, then ${formatPercent(servedFraction(recorder, outMs + 5000, backMs))}, after its return ${formatPercent(servedFraction(recorder, backMs, endMs))}`,
    );
    printLine(
      ready
        ? `All machines were ready ${(readyMs / 1000).toFixed(1)} s after the zone's return`
        : "NOT all machines became ready again",
    );
    const kept = breaches === 0 && ready;
    printLine(kept ? "The drill is passed: every promise was kept." : "The drill is FAILED.");
    await fleet.shutDown(options.keep ?? false);
    process.exit(kept ? 0 : 1);
  });
program.help();
program.parse();
