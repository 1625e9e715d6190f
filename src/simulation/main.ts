import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { faults } from "./faults.js";
import { shippedProfiles, fiveMemberProfile } from "./profile.js";
import { runSimulation } from "./simulated-day.js";

interface Options {
  profile: string;
  seeds: string;
  seconds: number;
  rate: number;
  only?: string;
  trace?: string;
}

const program = cac("rehearse");
program
  .command("", "Simulate a fleet under injected faults, once for each seed, and check the rules")
  .option("--profile <name>", "kovacic, rastro, five (voters), or both for kovacic and rastro", {
    default: "both",
  })
  .option("--seeds <from-to>", "Seeds to run", { default: "1-10" })
  .option("--seconds <count>", "How long faults are injected, in virtual seconds", { default: 60 })
  .option("--rate <part>", "Fraction of the profile's request rate", { default: 0.25 })
  .option("--only <names>", `Faults to select from: ${Object.keys(faults).join(", ")}`)
  .option("--trace <file>", "Write the log lines of the last run to a file")
  .action((options: Options) => {
    const [from = 1, to = from] = String(options.seeds).split("-").map(Number);
    const profiles =
      options.profile === "both"
        ? Object.values(shippedProfiles)
        : [...Object.values(shippedProfiles), fiveMemberProfile].filter(
            ({ name }) => options.profile === name,
          );
    let runsWithViolations = 0;
    let runCount = 0;
    const startedMs = performance.now();
    for (const profile of profiles) {
      for (let seed = from; seed <= to; seed += 1) {
        const result = runSimulation({
          profile,
          seed,
          faultPeriodMs: options.seconds * 1000,
          rateFactor: options.rate,
          ...(options.only === undefined ? {} : { faultNames: options.only.split(",") }),
        });
        runCount += 1;
        if (result.violations.length > 0) runsWithViolations += 1;
        const line = `${profile.name} ${seed}: ${result.requests} requests, ${Math.round(result.servedFraction * 100)}% served, ${result.configs} configs, ${result.elections} elections, ${result.injectedFaults.length} faults, repeats at ${Math.round(result.peakRetryUse * 100)}% of what is allowed, ${result.violations.length} breaches`;
        process.stdout.write(`${line}\n`);
        if (result.violations.length > 0)
          process.stdout.write(`  ${result.injectedFaults.join(" ")}\n`);
        for (const { rule, detail } of result.violations.slice(0, 8))
          process.stdout.write(`  BROKEN ${rule}: ${detail}\n`);
        if (options.trace !== undefined) {
          const faultLines = result.simulation.recorder
            .ofKind("fault")
            .map(({ atMs, name }) => `${(atMs / 1000).toFixed(3)} FAULT ${name}`);
          writeFileSync(
            options.trace,
            [...result.simulation.logLines, ...faultLines]
              .sort((a, b) => parseFloat(a) - parseFloat(b))
              .join("\n"),
          );
        }
      }
    }
    process.stdout.write(
      `${runCount} days, ${runsWithViolations} with a broken rule, ${((performance.now() - startedMs) / 1000).toFixed(1)} s\n`,
    );
    process.exitCode = runsWithViolations > 0 ? 1 : 0;
  });
program.help();
program.parse();
