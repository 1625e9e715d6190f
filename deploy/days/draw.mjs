/**
 * Draws a day for the users' bench: a scenario with random events at random times. It draws from all kinds of events below, and
 * may repeat them, whereas the bench's own hunt draws only from the kinds that a site file names. The same seed gives the same
 * day.
 *
 *   node deploy/days/draw.mjs SEED > target/drawn-SEED.toml
 *   fleetbench run SITE target/drawn-SEED.toml --seed SEED --why "a drawn day"
 */
const seed = Number(process.argv[2] ?? "1");

/** Creates a seeded generator of numbers in [0, 1) (mulberry32). */
const createGenerator = (initial) => {
  let state = initial >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
};
const random = createGenerator(seed);
const between = (min, max) => Number((min + random() * (max - min)).toFixed(2));
const integer = (min, max) => Math.floor(min + random() * (max - min + 1));
const pick = (choices) => choices[Math.floor(random() * choices.length)];

/** Planned operations by kind; each function draws the other fields. */
const plans = {
  config_change: () => ({ how: pick(["route", "weights", "timeout", "idle"]) }),
  config_storm: () => ({ for_s: between(2, 6), gap_s: between(0.1, 0.6) }),
  config_race: () => ({ count: integer(1, 5), gap_s: between(0.4, 1.5) }),
  bad_config: () => ({ count: integer(1, 5), gap_s: between(0.2, 1) }),
  big_config: () => ({}),
  release: () => ({ share: between(0.2, 0.6), x: 1, gap_s: between(0.5, 1.5) }),
  scale_in: () => ({ share: between(0.1, 0.25), how: pick(["", "spot"]) }),
  scale_out: () => ({ share: between(0.1, 0.3), gap_s: between(0.5, 1.5) }),
  roll_term: () => ({
    share: between(0.3, 1),
    x: 1,
    gap_s: between(0.8, 1.6),
    how: pick(["", "busy"]),
  }),
  replace_core: () => ({ x: between(0.5, 2), how: "planned" }),
  seed_turnover: () => ({}),
  hup: () => ({ share: between(0.2, 0.6), gap_s: between(0.2, 1) }),
  replace_with_reuse: () => ({ share: between(0.1, 0.25), how: "drain" }),
};

/** Faults by kind; each function draws the other fields. */
const faults = {
  srv_crash: () => ({
    share: between(0.1, 0.25),
    for_s: between(2, 6),
    how: pick(["", "dark", "gone"]),
  }),
  srv_slow: () => ({ share: between(0.1, 0.3), x: between(2, 5), for_s: between(3, 8) }),
  answer_lost: () => ({ share: 0.5, x: between(0.02, 0.06), for_s: between(4, 10) }),
  garble: () => ({
    share: 0.5,
    x: between(0.02, 0.05),
    for_s: between(4, 10),
    how: pick(["", "extra"]),
  }),
  replace_with_reuse: () => ({ share: between(0.1, 0.2), how: pick(["", "dark"]) }),
  node_kill: () => ({ share: between(0.1, 0.2), for_s: between(2, 6), how: pick(["", "power"]) }),
  node_freeze: () => ({ share: between(0.1, 0.2), for_s: between(1, 4) }),
  node_slow: () => ({ share: between(0.1, 0.2), x: between(3, 6), for_s: between(2, 6) }),
  node_cut: () => ({ share: between(0.1, 0.3), for_s: between(2, 8), how: pick(["", "servers"]) }),
  core_cut: () => ({
    count: 1,
    for_s: between(3, 20),
    how: pick([
      "",
      "one_way",
      "leader",
      "leader one_way",
      "both",
      "seeds",
      "leader race",
      "leader meet",
    ]),
  }),
  herd_kill: () => ({ share: between(0.4, 0.8), how: pick(["", "power"]) }),
  after_ack_kill: () => ({
    count: 1,
    for_s: between(1, 5),
    how: pick(["", "kill", "timed", "taken"]),
  }),
  after_ack_wipe: () => ({ count: 1, for_s: between(1, 5) }),
  replace_core: () => ({ x: between(0.5, 2) }),
  disk_full: () => ({ count: 1, for_s: between(3, 8) }),
  disk_stall: () => ({ count: 1, for_s: between(1, 4) }),
  disk_slow: () => ({ count: 1, x: between(10, 30), for_s: between(3, 8) }),
  clock_step: () => ({ share: 0.3, x: 2000, for_s: between(3, 8), how: pick(["back", "ahead"]) }),
  reset_conns: () => ({ share: 0.3, x: 0.5 }),
  ack_lost: () => ({ x: 0.7, for_s: between(5, 12) }),
  burst: () => ({ x: between(1.3, 2), for_s: between(2, 5) }),
  retry_abuse: () => ({ share: 0.2, x: 2, for_s: between(3, 6) }),
};

const lengthS = integer(32, 44);
const latestEventS = lengthS - 8;
const drawEvents = (kinds, count) =>
  Array.from({ length: count }, () => {
    const kind = pick(Object.keys(kinds));
    return { at: between(1.5, latestEventS), kind, ...kinds[kind]() };
  }).sort((a, b) => a.at - b.at);

const formatField = ([name, value]) =>
  `${name} = ${typeof value === "string" ? JSON.stringify(value) : value}`;
const formatList = (entries) =>
  entries.length === 0
    ? "[]"
    : `[\n${entries.map((entry) => `  { ${Object.entries(entry).map(formatField).join(", ")} },\n`).join("")}]`;
const closing = pick([
  undefined,
  { kind: "power_off_all", down_s: 1.4 },
  { kind: "kill_all", down_s: 1.2 },
  { kind: "wipe_after_ack", down_s: 1, how: pick(["", "timed", "taken"]) },
]);

console.log(`name = "drawn-${seed}"
slot = "trouble"
seed = ${seed}
length_s = ${lengthS}
plan = ${formatList(drawEvents(plans, integer(2, 4)))}
faults = ${formatList(drawEvents(faults, integer(3, 6)))}${closing ? `\nclosing = { ${Object.entries(closing).map(formatField).join(", ")} }` : ""}`);
