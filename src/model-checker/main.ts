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

const reportCounterexample = (found: Counterexample, out: string | undefined): void => {
  const shrunk = shrink(found);
  print(formatTrace(shrunk));
  if (out !== undefined) writeFileSync(out, formatTraceFile(shrunk));
  process.exitCode = 1;
};

const exploreProduction = ({ steps, run, seed, depth, out }: Options): void => {
  const all = exploreAll(depth, steps);
  print(`all orders: depth ${all.depth}, ${all.steps} steps, ${all.states} situations`);
  if (all.counterexample !== undefined) return reportCounterexample(all.counterexample, out);
  const random = exploreRandomly({ firstSeed: seed, maxSteps: steps, stepsPerRun: run });
  print(`at random: ${random.runs} runs, ${random.steps} steps`);
  if (random.counterexample !== undefined) {
    print(`seed ${random.seed ?? 0}`);
    reportCounterexample(random.counterexample, out);
  } else print("no promise was broken");
};

const exploreMutants = ({ steps, run, seed }: Options): void => {
  for (const { name, ruleOverride: alteration } of mutants) {
    const extent = { firstSeed: seed, maxSteps: steps, stepsPerRun: run };
    const found = exploreRandomly(extent, alteration);
    const promise = found.counterexample?.invariant ?? "not found";
    print(`| ${name} | ${promise} | ${found.steps} | ${found.seed ?? "-"} |`);
  }
};

const replayFile = (file: string, seed: number): void => {
  const found = replay(settingsFor(seed, {}), parseSteps(readFileSync(file, "utf8")));
  print(found === undefined ? "no promise was broken" : formatTrace(found));
  if (found !== undefined) process.exitCode = 1;
};

const cli = cac("explore");
cli
  .command("", "Searches the decisions of the agreement for a broken promise")
  .option("--steps <count>", "How many steps at most", { default: 1_000_000 })
  .option("--run <count>", "How many steps a random run has", { default: 1000 })
  .option("--seed <number>", "The first seed, or the seed of the group of a trace", { default: 1 })
  .option("--depth <count>", "Up to how many steps all orders are tried", { default: 6 })
  .option("--mutants", "Searches with each safety rule taken out instead")
  .option("--replay <file>", "Plays a trace again instead")
  .option("--out <file>", "Where the trace of a counterexample goes")
  .action((options: Options) => {
    if (options.replay !== undefined) replayFile(options.replay, options.seed);
    else if (options.mutants === true) exploreMutants(options);
    else exploreProduction(options);
  });
cli.help();
cli.parse();
