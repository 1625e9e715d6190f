import { cac } from "cac";
import { ScaleFleet } from "./scaleFleet.js";
import { ScaleLine } from "./scaleLine.js";
import { ScaleSlopes } from "./scaleSlopes.js";
import { ScaleSpec } from "./scaleSpec.js";

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const spread = (values: number[]): string => {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (part: number): string =>
    (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0).toFixed(0);
  return `half ${at(0.5)} ms, most ${at(1)} ms (${sorted.length} daemons)`;
};

const settle = (waitMs: number): Promise<void> => new Promise((done) => setTimeout(done, waitMs));

const tell = (figures: Record<string, number>): void => {
  for (const [name, value] of Object.entries(figures))
    say(`  ${name}: ${Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)}`);
};

/** One whole run: build the fleet up, measure it, change the config, lose machines, back ends and the leader. */
const runOnce = async (spec: ScaleSpec, seconds: number, lost: number): Promise<void> => {
  const fleet = await ScaleFleet.begin(spec);
  try {
    await fleet.put();
    await fleet.open(Math.min(spec.daemons, 4 * spec.processes));
    if (spec.backEnds > 0) await fleet.announce(spec.backEnds);
    await fleet.open(spec.daemons - Math.min(spec.daemons, 4 * spec.processes));
    await fleet.until(() => fleet.edgesReady(), 60_000, "the real edges");
    say(
      `${spec.recorders} recorders, ${spec.edges} real edges, ${spec.daemons} hollow daemons in ${spec.processes} processes, ${spec.backEnds} back ends of ${spec.services} services, ${spec.routes} routes, ${spec.zones} zones in ${spec.regions} regions`,
    );
    await fleet.load(spec.requests, spec.keyedWrites);
    await settle(4000);
    tell(await fleet.measure(seconds, spec.configChanges, spec.replacements));
    for (let round = 0; round < 3; round += 1)
      say(`a config in force, after its acceptance: ${spread(await fleet.rollOut())}`);
    if (spec.backEnds > 0)
      say(`back ends that fell silent are chosen no more: ${spread(await fleet.silence(5))}`);
    if (lost > 0) {
      const child = await fleet.openLost(lost);
      say(
        `${lost} daemons lost at once are all noted after ${(await fleet.lose(child)).toFixed(0)} ms`,
      );
    }
    say(
      `a config in force, its leader killed right after it was sent: ${spread(await fleet.rollOut(() => fleet.killLeader()))}`,
    );
  } finally {
    await fleet.end();
  }
};

/** The leader's cost for each real edge, of this build and of another, in turn. */
const paired = async (
  other: string,
  edges: number[],
  seconds: number,
  rounds: number,
): Promise<void> => {
  const points: Record<string, Array<readonly [number, number]>> = { now: [], before: [] };
  for (let round = 0; round < rounds; round += 1) {
    for (const [name, program] of [
      ["before", other],
      ["now", ""],
    ] as const) {
      for (const count of edges) {
        const fleet = await ScaleFleet.begin({
          ...ScaleSpec.small,
          daemons: 0,
          edges: count,
          processes: 0,
          zones: 4,
          regions: 1,
          program,
        });
        try {
          await fleet.until(() => fleet.edgesReady(), 60_000, "the real edges");
          await settle(3000);
          const {
            leaderCore = NaN,
            edgeCore = NaN,
            edgeMiB = NaN,
            leaderIn = NaN,
            leaderOut = NaN,
          } = await fleet.measure(seconds);
          points[name]?.push([count, leaderCore]);
          say(
            `${name}, ${count} edges: leader ${(leaderCore * 100).toFixed(2)}% of a core, an edge ${(edgeCore * 100).toFixed(2)}% and ${edgeMiB.toFixed(1)} MiB, leader's bytes a second in ${leaderIn.toFixed(0)}, out ${leaderOut.toFixed(0)}`,
          );
        } finally {
          await fleet.end();
        }
      }
    }
  }
  for (const [name, all] of Object.entries(points)) {
    const { slope, error, start } = ScaleLine.fit(all);
    say(
      `${name}: the leader takes ${(slope * 100).toFixed(3)} ± ${(error * 100).toFixed(3)}% of a core for each idle edge, and ${(start * 100).toFixed(2)}% for itself`,
    );
  }
};

const numbers = (
  options: Record<string, unknown>,
): Partial<Record<Exclude<keyof ScaleSpec, "program">, number>> =>
  Object.fromEntries(
    Object.entries(options).filter(
      (entry): entry is [string, number] =>
        typeof entry[1] === "number" && entry[0] in ScaleSpec.small && entry[0] !== "program",
    ),
  );

const program = cac("scale");
const run = program.command(
  "",
  "Hollow daemons beside real recorders and edges; processor time, bytes, memory, and the time of news",
);
for (const [name, usual] of Object.entries(ScaleSpec.small))
  if (typeof usual === "number")
    run.option(`--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)} <count>`, "", {
      default: usual,
    });
run
  .option("--seconds <count>", "How long it is measured", { default: 8 })
  .option("--lost <count>", "Daemons that are lost at once", { default: 10 })
  .action(({ seconds, lost, ...options }: { seconds: number; lost: number }) =>
    runOnce({ ...ScaleSpec.small, ...numbers(options) }, seconds, lost),
  );
program
  .command("slopes", "Varies one thing at a time and fits its slope")
  .option("--only <names>", ScaleSlopes.names.join(", "))
  .option("--seconds <count>", "How long each point is measured", { default: 6 })
  .action(({ only, seconds }: { only?: string; seconds: number }) =>
    ScaleSlopes.measure(only, seconds, say),
  );
program
  .command(
    "paired <program>",
    "The leader's cost for an idle edge: this build, and a daemon's program of another, in turn",
  )
  .option("--edges <counts>", "Real edges", { default: "4,10,16" })
  .option("--seconds <count>", "How long each point is measured", { default: 6 })
  .option("--rounds <count>", "How often", { default: 2 })
  .action(
    (
      other: string,
      { edges, seconds, rounds }: { edges: string; seconds: number; rounds: number },
    ) => paired(other, String(edges).split(",").map(Number), seconds, rounds),
  );
for (const name of ["SIGTERM", "SIGINT"] as const) process.once(name, () => process.exit(1));
program.help();
program.parse();
