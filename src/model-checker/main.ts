/** The command `explore`: searches the consensus algorithm for violations of its invariants. */
import { readFileSync, writeFileSync } from "node:fs";
import { cac } from "cac";
import { exploreAll } from "./exhaustive-search.js";
import { exploreRandomly, settingsFor } from "./random-search.js";
import { mutants } from "./mutants.js";
import { replay, type Counterexample } from "./search-run.js";
import { shrink } from "./shrink.js";
import { parseSteps } from "./step.js";
import { formatTraceFile, formatTrace } from "./trace.js";

interface Options {
  readonly steps: number;
  readonly run: number;
  readonly seed: number;
  readonly depth: number;
  readonly mutants?: boolean;
  readonly replay?: string;
  readonly out?: string;
}

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const reportCounterexample = (counterexample: Counterexample, out: string | undefined): void => {
  const shrunk = shrink(counterexample);
  print(formatTrace(shrunk));
  if (out !== undefined) writeFileSync(out, formatTraceFile(shrunk));
  process.exitCode = 1;
};

const exploreProduction = ({ steps, run, seed, depth, out }: Options): void => {
  const exhaustive = exploreAll(depth, steps);
  print(
    `exhaustive search: depth ${exhaustive.depth}, ${exhaustive.steps} steps, ${exhaustive.states} states`,
  );
  if (exhaustive.counterexample !== undefined)
    return reportCounterexample(exhaustive.counterexample, out);
  const random = exploreRandomly({ firstSeed: seed, maxSteps: steps, stepsPerRun: run });
  print(`random search: ${random.runs} runs, ${random.steps} steps`);
  if (random.counterexample !== undefined) {
    print(`seed ${random.seed ?? 0}`);
    reportCounterexample(random.counterexample, out);
  } else print("no invariant was violated");
};

const exploreMutants = ({ steps, run, seed }: Options): void => {
  for (const { name, ruleOverride } of mutants) {
    const limits = { firstSeed: seed, maxSteps: steps, stepsPerRun: run };
    const result = exploreRandomly(limits, ruleOverride);
    const invariant = result.counterexample?.invariant ?? "not found";
    print(`| ${name} | ${invariant} | ${result.steps} | ${result.seed ?? "-"} |`);
  }
};

const replayFile = (file: string, seed: number): void => {
  const counterexample = replay(settingsFor(seed, {}), parseSteps(readFileSync(file, "utf8")));
  print(counterexample === undefined ? "no invariant was violated" : formatTrace(counterexample));
  if (counterexample !== undefined) process.exitCode = 1;
};

const cli = cac("explore");
cli
  .command("", "Searches the consensus algorithm for violated invariants")
  .option("--steps <count>", "The maximum number of steps of each search", { default: 1_000_000 })
  .option("--run <count>", "The number of steps in a random run", { default: 1000 })
  .option(
    "--seed <number>",
    "The seed of the first random run, or of the group of a replayed trace",
    { default: 1 },
  )
  .option("--depth <count>", "The depth of the exhaustive search, in steps", { default: 6 })
  .option("--mutants", "Searches with each safety rule disabled in turn instead")
  .option("--replay <file>", "Replays a trace file instead")
  .option("--out <file>", "The file to which the trace of a counterexample is written")
  .action((options: Options) => {
    if (options.replay !== undefined) replayFile(options.replay, options.seed);
    else if (options.mutants === true) exploreMutants(options);
    else exploreProduction(options);
  });
cli.help();
cli.parse();
