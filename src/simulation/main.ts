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
  .command("", "Rehearse days of a simulated fleet, one for each seed, and judge them")
  .option("--profile <name>", "kovacic, rastro, five (voters) or both of the first two", {
    default: "both",
  })
  .option("--seeds <from-to>", "Seeds to run", { default: "1-10" })
  .option("--seconds <count>", "How long failures go on, in virtual seconds", { default: 60 })
  .option("--rate <part>", "Part of the profile's requests that are sent", { default: 0.25 })
  .option("--only <names>", `Failures to draw from: ${Object.keys(faults).join(", ")}`)
  .option("--trace <file>", "Write the last day's log lines to a file")
  .action((options: Options) => {
    const [from = 1, to = from] = String(options.seeds).split("-").map(Number);
    const profiles =
      options.profile === "both"
        ? Object.values(shippedProfiles)
        : [...Object.values(shippedProfiles), fiveMemberProfile].filter(
            ({ name }) => options.profile === name,
          );
    let broken = 0;
    let days = 0;
    const startedMs = performance.now();
    for (const profile of profiles) {
      for (let seed = from; seed <= to; seed += 1) {
        const day = runSimulation({
          profile,
          seed,
          faultPeriodMs: options.seconds * 1000,
          rateFactor: options.rate,
          ...(options.only === undefined ? {} : { faultNames: options.only.split(",") }),
        });
        days += 1;
        if (day.violations.length > 0) broken += 1;
        const line = `${profile.name} ${seed}: ${day.requests} requests, ${Math.round(day.servedFraction * 100)}% served, ${day.configs} configs, ${day.elections} elections, ${day.injectedFaults.length} faults, repeats at ${Math.round(day.peakRetryUse * 100)}% of what is allowed, ${day.violations.length} breaches`;
        process.stdout.write(`${line}\n`);
        if (day.violations.length > 0) process.stdout.write(`  ${day.injectedFaults.join(" ")}\n`);
        for (const { rule, detail: what } of day.violations.slice(0, 8))
          process.stdout.write(`  BROKEN ${rule}: ${what}\n`);
        if (options.trace !== undefined) {
          const marks = day.simulation.recorder
            .ofKind("fault")
            .map(({ atMs, name: what }) => `${(atMs / 1000).toFixed(3)} FAULT ${what}`);
          writeFileSync(
            options.trace,
            [...day.simulation.logLines, ...marks]
              .sort((a, b) => parseFloat(a) - parseFloat(b))
              .join("\n"),
          );
        }
      }
    }
    process.stdout.write(
      `${days} days, ${broken} with a broken rule, ${((performance.now() - startedMs) / 1000).toFixed(1)} s\n`,
    );
    process.exitCode = broken > 0 ? 1 : 0;
  });
program.help();
program.parse();
