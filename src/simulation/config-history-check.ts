import type { ConfigCommandRecord, ConfigReadRecord } from "./event-recorder.js";

/** What an operator's call shows of the configuration register: a version that stood at some moment of the call. */
interface Sighting {
  readonly startMs: number;
  readonly endMs: number;
  /** The lowest version that may stand when the call takes effect. */
  readonly version: number;
  /** The version that stands once it has taken effect. */
  readonly leaves: number;
  readonly what: string;
}

const sightingOf = (command: ConfigCommandRecord): Sighting | undefined => {
  const { startMs, endMs, base, probe, outcome, version } = command;
  const own = { startMs, endMs, leaves: version };
  if (outcome === "accepted")
    return { ...own, version: base, what: `order ${probe} was accepted as ${version} on ${base}` };
  if (outcome === "lost") return { ...own, version, what: `order ${probe} was told of ${version}` };
  return undefined;
};

const sightingsOf = (
  commands: readonly ConfigCommandRecord[],
  reads: readonly ConfigReadRecord[],
): Sighting[] => [
  ...commands.flatMap((command) => sightingOf(command) ?? []),
  ...reads.map(({ startMs, endMs, version }) => ({
    startMs,
    endMs,
    version,
    leaves: version,
    what: `a read showed ${version}`,
  })),
];

/** Calls that show a version older than one that an earlier call had already shown. */
const staleSightings = function* (sightings: readonly Sighting[]): Iterable<string> {
  const ended = [...sightings].sort((a, b) => a.endMs - b.endMs);
  const started = [...sightings].sort((a, b) => a.startMs - b.startMs);
  let at = 0;
  let newest = 0;
  for (const { startMs, version, what } of started) {
    for (let one = ended[at]; one && one.endMs < startMs; one = ended[at]) {
      newest = Math.max(newest, one.leaves);
      at += 1;
    }
    if (version < newest) yield `${what}, begun after ${newest} had been shown`;
  }
};

/** Accepted orders that do not form one chain, each built on the one before. */
const brokenChain = function* (accepted: readonly ConfigCommandRecord[]): Iterable<string> {
  const chain = [...accepted].sort((a, b) => a.version - b.version);
  for (const [at, { base, version, probe }] of chain.entries()) {
    const before = chain[at - 1];
    if (version <= base)
      yield `order ${probe} was accepted as ${version}, not above its base ${base}`;
    if (before && before.version > base)
      yield `order ${probe} was accepted on ${base} though ${before.version} came before ${version}`;
  }
};

/** Versions that were shown before any order that could have made them was sent. */
const unmadeVersions = function* (
  commands: readonly ConfigCommandRecord[],
  sightings: readonly Sighting[],
): Iterable<string> {
  const accepted = new Map(
    commands.filter(({ outcome }) => outcome === "accepted").map((one) => [one.version, one]),
  );
  const unknown = commands.filter(({ outcome }) => outcome === "unknown");
  for (const { endMs, version, what } of sightings) {
    const maker = accepted.get(version);
    const mayBe = [...(maker ? [maker] : []), ...unknown].some(
      ({ startMs, base }) => startMs <= endMs && base < version,
    );
    if (version > 0 && !mayBe) yield `${what}, which nobody had sent by then`;
  }
};

/**
 * What operators saw that no single register of versions could have shown them. Every order is a
 * compare-and-set on its base and versions only rise, so a history is linearizable exactly if the
 * accepted orders form a chain and no call shows less than a call that ended before it began.
 */
export const configHistoryViolations = function* (
  commands: readonly ConfigCommandRecord[],
  reads: readonly ConfigReadRecord[],
): Iterable<string> {
  for (const { outcome, probe } of commands)
    if (outcome === "refused") yield `order ${probe} was refused for good, though it was proper`;
  const sightings = sightingsOf(commands, reads);
  yield* brokenChain(commands.filter(({ outcome }) => outcome === "accepted"));
  yield* staleSightings(sightings);
  yield* unmadeVersions(commands, sightings);
  for (const { outcome, version, base, probe } of commands)
    if (outcome === "lost" && version === base)
      yield `order ${probe} lost to ${version}, the very version that it builds on`;
};
