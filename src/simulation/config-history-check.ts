import type { ConfigCommandRecord, ConfigReadRecord } from "./event-recorder.js";

/** What one operator request shows: the config version was current at some time between its start and its end. */
interface Observation {
  readonly startMs: number;
  readonly endMs: number;
  /** The lowest version that may be current when the request takes effect. */
  readonly version: number;
  /** The current version after the request has taken effect. */
  readonly versionAfter: number;
  readonly description: string;
}

const observationOfCommand = (command: ConfigCommandRecord): Observation | undefined => {
  const { startMs, endMs, base, probe, outcome, version } = command;
  const common = { startMs, endMs, versionAfter: version };
  if (outcome === "accepted")
    return {
      ...common,
      version: base,
      description: `change ${probe} was accepted as version ${version} on base ${base}`,
    };
  if (outcome === "lost")
    return {
      ...common,
      version,
      description: `change ${probe} conflicted with version ${version}`,
    };
  return undefined;
};

const collectObservations = (
  commands: readonly ConfigCommandRecord[],
  reads: readonly ConfigReadRecord[],
): Observation[] => [
  ...commands.flatMap((command) => observationOfCommand(command) ?? []),
  ...reads.map(({ startMs, endMs, version }) => ({
    startMs,
    endMs,
    version,
    versionAfter: version,
    description: `a read returned version ${version}`,
  })),
];

/** Finds requests that observe an older version than a request that ended before they started. */
const findStaleObservations = function* (observations: readonly Observation[]): Iterable<string> {
  const ended = [...observations].sort((a, b) => a.endMs - b.endMs);
  const started = [...observations].sort((a, b) => a.startMs - b.startMs);
  let endedCount = 0;
  let highestVersion = 0;
  for (const { startMs, version, description } of started) {
    for (
      let observation = ended[endedCount];
      observation && observation.endMs < startMs;
      observation = ended[endedCount]
    ) {
      highestVersion = Math.max(highestVersion, observation.versionAfter);
      endedCount += 1;
    }
    if (version < highestVersion)
      yield `${description}, but version ${highestVersion} was observed before it started`;
  }
};

/** Finds accepted changes that do not form one chain, in which each is based on the one before. */
const findChainViolations = function* (accepted: readonly ConfigCommandRecord[]): Iterable<string> {
  const chain = [...accepted].sort((a, b) => a.version - b.version);
  for (const [index, { base, version, probe }] of chain.entries()) {
    const previous = chain[index - 1];
    if (version <= base)
      yield `change ${probe} was accepted as version ${version}, which is not above its base ${base}`;
    if (previous && previous.version > base)
      yield `change ${probe} was accepted as version ${version} on base ${base}, though version ${previous.version} precedes it`;
  }
};

/** Finds versions that were observed before any change was sent that could have created them. */
const findUnsentVersions = function* (
  commands: readonly ConfigCommandRecord[],
  observations: readonly Observation[],
): Iterable<string> {
  const acceptedByVersion = new Map(
    commands
      .filter(({ outcome }) => outcome === "accepted")
      .map((command) => [command.version, command]),
  );
  const unknownCommands = commands.filter(({ outcome }) => outcome === "unknown");
  for (const { endMs, version, description } of observations) {
    const acceptedCommand = acceptedByVersion.get(version);
    const mayExist = [...(acceptedCommand ? [acceptedCommand] : []), ...unknownCommands].some(
      ({ startMs, base }) => startMs <= endMs && base < version,
    );
    if (version > 0 && !mayExist)
      yield `${description}, though no change that could create it had been sent`;
  }
};

/**
 * Finds where the requests of operators are not linearizable, with the config as a single register. Every change is a
 * compare-and-set on its base version and versions only increase. So a history is linearizable exactly if the accepted
 * changes form a chain and no request observes an older version than a request that ended before it started.
 */
export const configHistoryViolations = function* (
  commands: readonly ConfigCommandRecord[],
  reads: readonly ConfigReadRecord[],
): Iterable<string> {
  for (const { outcome, probe } of commands)
    if (outcome === "refused") yield `change ${probe} was rejected, though it is valid`;
  const observations = collectObservations(commands, reads);
  yield* findChainViolations(commands.filter(({ outcome }) => outcome === "accepted"));
  yield* findStaleObservations(observations);
  yield* findUnsentVersions(commands, observations);
  for (const { outcome, version, base, probe } of commands)
    if (outcome === "lost" && version === base)
      yield `change ${probe} conflicted with version ${version}, which is its own base`;
};
