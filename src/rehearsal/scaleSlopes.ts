import { ScaleFleet, type ScaleFigures } from "./scaleFleet.js";
import { ScaleLine } from "./scaleLine.js";
import { ScaleSpec } from "./scaleSpec.js";

type Point = readonly [x: number, figures: ScaleFigures];
type Say = (line: string) => void;

/** One thing that is varied while all else stays. */
interface Variation {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly number[];
  readonly figures: readonly string[];
  run(points: readonly number[], seconds: number): Promise<Point[]>;
}

const settleMs = 2500;
const settled = (): Promise<void> => new Promise((done) => setTimeout(done, settleMs));

const withFleet = async <T>(
  spec: ScaleSpec,
  use: (fleet: ScaleFleet) => Promise<T>,
): Promise<T> => {
  const fleet = await ScaleFleet.begin(spec);
  try {
    return await use(fleet);
  } finally {
    await fleet.end();
  }
};

/** One fleet for all points: `grow` brings it from one to the next. */
const growing = (
  spec: Partial<ScaleSpec>,
  grow: (fleet: ScaleFleet, to: number, from: number) => Promise<void>,
  rates: (x: number) => readonly [configChanges: number, replacements: number] = () => [0, 0],
) => {
  const whole: ScaleSpec = { ...ScaleSpec.small, ...spec };
  return (points: readonly number[], seconds: number): Promise<Point[]> =>
    withFleet(whole, async (fleet) => {
      await fleet.put();
      if (whole.daemons > 0) await fleet.open(whole.daemons);
      if (whole.backEnds > 0) await fleet.announce(whole.backEnds);
      const measured: Point[] = [];
      let from = 0;
      for (const to of points) {
        await grow(fleet, to, from);
        from = to;
        await settled();
        measured.push([to, await fleet.measure(seconds, ...rates(to))]);
      }
      return measured;
    });
};

/** A fleet of its own for each point. */
const fresh =
  (spec: (x: number) => Partial<ScaleSpec>) =>
  async (points: readonly number[], seconds: number): Promise<Point[]> => {
    const measured: Point[] = [];
    for (const x of points) {
      const whole: ScaleSpec = { ...ScaleSpec.small, ...spec(x) };
      measured.push([
        x,
        await withFleet(whole, async (fleet) => {
          await fleet.put();
          await fleet.open(whole.daemons);
          if (whole.backEnds > 0) await fleet.announce(whole.backEnds);
          await fleet.load(whole.requests, whole.keyedWrites);
          await settled();
          return fleet.measure(seconds, whole.configChanges, whole.replacements);
        }),
      ]);
    }
    return measured;
  };

const none = async (): Promise<void> => undefined;

const steady = [
  "leaderCore",
  "followerCore",
  "hollowCore",
  "leaderIn",
  "leaderOut",
  "daemonIn",
  "daemonOut",
  "leaderMiB",
  "hollowHeapMiB",
];

const variations: Variation[] = [
  {
    name: "daemons",
    unit: "daemon",
    points: [25, 50, 100, 150],
    figures: [...steady, "polls"],
    run: growing({ daemons: 0 }, (fleet, to, from) => fleet.open(to - from)),
  },
  {
    name: "lease",
    unit: "lease a second, of 100 daemons",
    points: [0.16, 0.31, 0.62],
    figures: ["leaderCore", "hollowCore", "leaderIn", "daemonIn", "polls"],
    run: fresh((x) => ({ daemons: 100, applyMs: 1250 / x, drainMs: 1250 / x })),
  },
  {
    name: "backEnds",
    unit: "back end announcing every second at 20 daemons",
    points: [250, 500, 1000, 2000],
    figures: steady,
    run: growing({ services: 20, routes: 20 }, (fleet, to, from) => fleet.announce(to - from)),
  },
  {
    name: "directory",
    unit: "back end in the directory, one replaced a second, 20 daemons",
    points: [250, 500, 1000],
    figures: steady,
    run: growing(
      { services: 20, routes: 20 },
      (fleet, to, from) => fleet.announce(to - from),
      () => [0, 1],
    ),
  },
  {
    name: "replacements",
    unit: "replacement a second, 500 back ends, 20 daemons",
    points: [0.5, 1, 2, 4],
    figures: steady,
    run: growing({ services: 20, routes: 20, backEnds: 500 }, none, (x) => [0, x]),
  },
  {
    name: "services",
    unit: "service with a back end, 40 daemons",
    points: [5, 90, 270],
    figures: steady,
    run: fresh((x) => ({ daemons: 40, services: x, routes: x, backEnds: x })),
  },
  {
    name: "routes",
    unit: "route, no change, 40 daemons",
    points: [20, 1000, 2500],
    figures: steady,
    run: fresh((x) => ({ daemons: 40, routes: x })),
  },
  {
    name: "size",
    unit: "route, one config change a second, 40 daemons",
    points: [20, 1000, 2500],
    figures: steady,
    run: fresh((x) => ({ daemons: 40, routes: x, configChanges: 1 })),
  },
  {
    name: "changes",
    unit: "config change a second, 500 routes, 40 daemons",
    points: [0.5, 1, 2, 4],
    figures: steady,
    run: growing({ daemons: 40, routes: 500 }, none, (x) => [x, 0]),
  },
  {
    name: "writes",
    unit: "keyed write a second, 20 daemons",
    points: [50, 150, 300],
    figures: [...steady, "settled", "failed"],
    run: growing({}, (fleet, to) => fleet.load(0, to)),
  },
  {
    name: "keys",
    unit: "key in force, no writes, 20 daemons",
    points: [0, 3000, 6000],
    figures: ["leaderCore", "followerCore", "leaderMiB", "followerMiB"],
    run: growing({}, async (fleet, to) => {
      if (to === 0) return;
      await fleet.load(0, 600);
      await fleet.until(async () => (await fleet.keys()) >= to, 60_000, `${to} keys`);
      await fleet.load(0, 0);
    }),
  },
  {
    name: "requests",
    unit: "request a second, counted only, 20 daemons, 200 routes",
    points: [0, 400, 800, 1600],
    figures: [...steady, "covered"],
    run: growing({ routes: 200, services: 20 }, (fleet, to) =>
      fleet.load(to, 0).then(() => new Promise((done) => setTimeout(done, 4000))),
    ),
  },
  {
    name: "counted routes",
    unit: "route with requests, 1,600 requests a second, 20 daemons",
    points: [50, 200, 800, 2500],
    figures: steady,
    run: fresh((x) => ({ routes: x, services: 20, requests: 1600 })),
  },
  {
    name: "zones",
    unit: "zone, 40 daemons",
    points: [2, 4, 8],
    figures: ["leaderCore", "hollowCore", "daemonIn", "polls"],
    run: fresh((x) => ({ daemons: 40, zones: x })),
  },
];

const show = (value: number): string =>
  Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);

/** Varies one thing at a time and fits a line through what was measured. */
export const ScaleSlopes = {
  names: variations.map(({ name }) => name),

  async measure(only: string | undefined, seconds: number, say: Say): Promise<void> {
    for (const { name, unit, points, figures, run } of variations) {
      if (only !== undefined && !only.split(",").includes(name)) continue;
      const measured = await run(points, seconds);
      say(`${name}: for each ${unit}`);
      for (const figure of figures) {
        const values = measured.map(([x, one]) => [x, one[figure] ?? NaN] as const);
        const { slope, error, start } = ScaleLine.fit(values);
        say(
          `  ${figure}: ${slope.toExponential(2)} ± ${error.toExponential(1)} from ${show(start)} (${values.map(([x, y]) => `${x}: ${show(y)}`).join(", ")})`,
        );
      }
    }
  },
};
