import { inflateRawSync } from "node:zlib";
import { enums, object, string, type Infer } from "superstruct";
import {
  failureResponse,
  isFailureResponse,
  overloadedResponse,
} from "../../src/control-protocol/command-response.js";
import { readClaimResponse } from "../../src/control-protocol/claim-response.js";
import { readCommand } from "../../src/control-protocol/command.js";
import { readWatchRequest, readLeasedView } from "../../src/control-protocol/watch-request.js";
import { readCompressedText } from "../../src/control-protocol/compressed-text.js";
import {
  encodeKeyedOutcome,
  decodeKeyedOutcome,
  type KeyedOutcome as Outcome,
} from "../../src/proxy/idempotency/keyed-outcome.js";
import {
  decodeExactly,
  type Frame,
  encodeFrame,
  FrameReader,
  FRAME_VERSION,
} from "../../src/rpc/frame.js";
import { type RpcMethod, rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import type { Task } from "../../src/runtime/task.js";
import type { Connection, Network } from "../../src/runtime/network.js";
import { readAggregatedCounts } from "../../src/retry-budget/count-messages.js";
import {
  RequestCounts,
  defaultRequestCountsFormat,
} from "../../src/retry-budget/request-counts.js";
import {
  ClusterFixture,
  type ProcessEnvironment,
  type FixtureMachine,
} from "../replication/fleet-stage.js";
import { encodeHistoryPiece, recordTexts, runTaskOn } from "./stored-data.js";

/** One sample of a message: how it is encoded now, and how a recorded frame is decoded and encoded again. */
export interface Sample {
  readonly name: string;
  readonly hex: string;
  /** Whether a recorded frame says what the sample does, and is encoded again to the same bytes. */
  decodesFrom(hex: string): boolean;
}

/** A value as text, by which two of them are compared. */
const toComparableText = (value: unknown): string =>
  JSON.stringify(value, (_, one: unknown) =>
    one instanceof Uint8Array ? Buffer.from(one).toString("hex") : one,
  );

const createSample = <T>(
  name: string,
  methodId: number,
  isResponse: boolean,
  coder: RpcMethod<T, unknown>["request"],
  value: T,
): Sample => {
  const frameOf = (body: T): string =>
    Buffer.from(
      encodeFrame({
        version: FRAME_VERSION,
        methodId,
        isResponse,
        requestId: 0x01020304,
        body: coder.toBuffer(body),
      }),
    ).toString("hex");
  return {
    name,
    hex: frameOf(value),
    decodesFrom(hex) {
      const [frame] = new FrameReader().read(Buffer.from(hex, "hex"));
      if (!frame || frame.methodId !== methodId || frame.isResponse !== isResponse) return false;
      const body = decodeExactly(coder, frame.body);
      return (
        frame.requestId === 0x01020304 &&
        toComparableText(body) === toComparableText(value) &&
        frameOf(body) === hex
      );
    },
  };
};

/** A request and its response of one kind, each with a value in which no two fields are equal. */
const createSamples = <A, R>(
  name: string,
  kind: RpcMethod<A, R>,
  request: A,
  response: R,
): Sample[] => [
  createSample(`${name} request`, kind.id, false, kind.request, request),
  createSample(`${name} response`, kind.id, true, kind.response, response),
];

const bytes = Buffer.from("bytes, é");
const keyedRequest = { scope: "scope", job: "job" };
const entries = [
  { index: 11, term: 5, text: "one, é" },
  { index: 12, term: 6, text: "two" },
];

/** Every kind of message between daemons, once as a request and once as a response. */
export const samples: readonly Sample[] = [
  ...createSamples(
    "vote",
    rpcMethods.vote,
    {
      isPreVote: true,
      term: 7,
      candidate: "10.0.0.1:7000",
      lastIndex: 8,
      lastTerm: 6,
      handOver: false,
    },
    { term: 9, granted: true },
  ),
  ...createSamples(
    "hand-over vote",
    rpcMethods.vote,
    {
      isPreVote: false,
      term: 7,
      candidate: "10.0.0.1:7000",
      lastIndex: 8,
      lastTerm: 6,
      handOver: true,
    },
    { term: 9, granted: false },
  ),
  ...createSamples(
    "append",
    rpcMethods.append,
    { term: 7, leader: "10.0.0.1:7000", previousIndex: 10, previousTerm: 4, committed: 3, entries },
    { term: 9, fits: true, counts: false, matched: 12 },
  ),
  ...createSamples(
    "refused append",
    rpcMethods.append,
    { term: 7, leader: "", previousIndex: 0, previousTerm: 0, committed: 0, entries: [] },
    { term: 9, fits: false, counts: true, matched: 0 },
  ),
  ...createSamples(
    "snapshot",
    rpcMethods.snapshot,
    { term: 7, leader: "10.0.0.1:7000", lastIndex: 10, lastTerm: 4, text: "{}" },
    { term: 9, counts: true, matched: 10 },
  ),
  ...createSamples(
    "meeting",
    rpcMethods.discover,
    {
      peer: "10.0.0.1:7000",
      fleet: "fleet",
      incarnation: "incarnation",
      voters: ["10.0.0.2:7000", "10.0.0.3:7000"],
      learners: ["10.0.0.4:7000"],
      open: true,
    },
    {
      machine: "machine",
      zone: "zone",
      state: "formed",
      fleet: "fleet",
      leader: "10.0.0.2:7000",
      founds: true,
      incarnation: "incarnation",
      voters: ["10.0.0.2:7000"],
      learners: ["10.0.0.4:7000"],
      recorders: ["10.0.0.5:7000"],
    },
  ),
  ...createSamples("hand-over", rpcMethods.handOver, { term: 7 }, { taken: true }),
  ...createSamples(
    "poll",
    rpcMethods.watch,
    { forwarded: true, text: "{}" },
    { leader: "leader", text: "{}" },
  ),
  ...createSamples(
    "command",
    rpcMethods.command,
    { forwarded: false, text: "{}" },
    { leader: "leader", text: overloadedResponse },
  ),
  ...createSamples(
    "refused command",
    rpcMethods.command,
    { forwarded: true, text: "{}" },
    { leader: "", text: failureResponse("notLeader") },
  ),
  ...createSamples(
    "sketch",
    rpcMethods.pushCounts,
    { text: "{}", sketches: bytes },
    { text: "[]", sketches: bytes },
  ),
  ...createSamples("history", rpcMethods.history, { from: 2 }, { configs: bytes }),
  ...createSamples(
    "snapshot piece",
    rpcMethods.snapshotPiece,
    {
      term: 7,
      leader: "10.0.0.1:7000",
      lastIndex: 10,
      lastTerm: 4,
      totalBytes: 600_000,
      checksum: 77,
      offset: 262_144,
      bytes,
    },
    { term: 9, counts: true, matched: 10, receivedBytes: 524_288 },
  ),
  ...createSamples(
    "keeping an outcome",
    rpcMethods.replicateOutcome,
    { ...keyedRequest, state: 3, code: 200, headers: '{"a":"b"}', body: bytes },
    { isKept: true },
  ),
  ...createSamples("asking for an outcome", rpcMethods.keyedOutcome, keyedRequest, {
    state: 3,
    code: 200,
    headers: '{"a":"b"}',
    body: bytes,
  }),
];

/** What became of a request with a key, in every way that there is, as it travels. */
export const encodedOutcomes = (): Record<string, string> => {
  const response = { code: 201, headers: { "content-type": "text/plain" }, body: bytes };
  const outcomes: Array<Outcome | undefined> = [
    undefined,
    { kind: "inHand" },
    { kind: "neverRan" },
    { kind: "ran", response },
    { kind: "ranNotKept" },
    { kind: "mayHaveRun" },
  ];
  return Object.fromEntries(
    outcomes.map((outcome) => [
      outcome?.kind ?? "unknown",
      Buffer.from(rpcMethods.keyedOutcome.response.toBuffer(encodeKeyedOutcome(outcome))).toString(
        "hex",
      ),
    ]),
  );
};

/** The outcome that a recorded message tells, encoded again. */
export const reencodeOutcome = (hex: string): string => {
  const outcome = decodeKeyedOutcome(
    decodeExactly(rpcMethods.keyedOutcome.response, Buffer.from(hex, "hex")),
  );
  const message = encodeKeyedOutcome(outcome);
  return Buffer.from(rpcMethods.keyedOutcome.response.toBuffer(message)).toString("hex");
};

/** How sketches were encoded: tries of two services and requests of two routes at fixed moments. */
export const encodeSketch = (withRoutes: boolean): string => {
  const counts = new RequestCounts(defaultRequestCountsFormat);
  for (let at = 0; at < 40; at += 1) {
    counts.countAttempt(1, at % 4 === 0, 1000 + at * 50);
    counts.countAttempt(2, false, 1010 + at * 40);
    counts.countRoute(3 + (at % 2), 1020 + at * 30);
  }
  return Buffer.from(counts.encode(5000, withRoutes)).toString("base64");
};

/** A recorded sketch, decoded and encoded again. */
export const reencodeSketch = (base64: string): string =>
  Buffer.from(
    RequestCounts.decode(Buffer.from(base64, "base64"), defaultRequestCountsFormat, 5000, 0).encode(
      5000,
    ),
  ).toString("base64");

/** What a recorded sketch says of two services and of the heaviest routes. */
export const estimatesFromSketch = (base64: string) => {
  const counts = RequestCounts.decode(
    Buffer.from(base64, "base64"),
    defaultRequestCountsFormat,
    5000,
    0,
  );
  const { firstAttempts: first, retries: further } = counts.ofService(1, 5000, 10_000);
  const routes = counts.findHeavyRoutes(0.1, 5000, 10_000);
  return {
    firstTries: first,
    furtherTries: further,
    routes: routes.map(({ item, estimate }) => [item, estimate]),
  };
};

/** Reads a JSON body by the present code, and gives what the receiver holds then as JSON. */
export const readers: Readonly<Record<string, (text: string) => string>> = {
  command: (text) => JSON.stringify(readCommand(text)),
  poll: (text) => JSON.stringify(readWatchRequest(text)),
  view: (text) => JSON.stringify(readLeasedView(text)),
  claim: (text) => JSON.stringify(readClaimResponse(text)),
  sketchResponse: (text) => JSON.stringify(readAggregatedCounts(text)),
  breakdown: (text) => JSON.stringify(isFailureResponse(text)),
};

/** The text of a packed answer. */
export const unpackText = (packedText: string): string => readCompressedText({ packedText });

/** The JSON texts of a piece of the history. */
export const historyRecordTexts = (): string[] => recordTexts(encodeHistoryPiece());

/** Words whose values are compared too, since receivers decide by them. */
const comparedFields = new Set([
  ...["kind", "state", "verdict", "breakdown", "tier", "roles", "configDigest"],
]);

const parseJson = (text: string): unknown => {
  const value: unknown = JSON.parse(text);
  return value;
};

/** A text that holds JSON, deflated; undefined where it is no such text. */
const tryUnpackJson = (text: string): unknown => {
  try {
    return parseJson(inflateRawSync(Buffer.from(text, "base64")).toString("utf8"));
  } catch {
    return undefined;
  }
};

/** Sections whose keys are names that operators chose. */
const operatorNamedSections = new Set(["services", "routes", "goals", "numbers"]);

/** The path of a key under another one. */
const joinPath = (path: string, parent: string, key: string): string => {
  const shownKey = operatorNamedSections.has(parent) ? "*" : key;
  return path === "" ? shownKey : `${path}.${shownKey}`;
};

/** The paths of all keys in a JSON value, with the types of the leaves; packed parts are unpacked. */
export const keyPaths = (value: unknown, path = ""): string[] => {
  const name = path.replace(/\[\]$/, "").split(/[.>]/).at(-1) ?? "";
  if (Array.isArray(value)) {
    const items: unknown[] = value;
    return items.length === 0
      ? [`${path}[]`]
      : [...new Set(items.flatMap((item) => keyPaths(item, `${path}[]`)))].sort();
  }
  if (typeof value === "object" && value !== null)
    return [
      ...new Set(
        Object.entries(value).flatMap(([key, one]: [string, unknown]) =>
          keyPaths(one, joinPath(path, name, key)),
        ),
      ),
    ].sort();
  if (typeof value !== "string") return [`${path}: ${value === null ? "null" : typeof value}`];
  if (comparedFields.has(name)) return [`${path} = ${value}`];
  const inner = name.startsWith("packed") ? tryUnpackJson(value) : undefined;
  return inner === undefined
    ? [`${path}: string`]
    : [`${path}: string`, ...keyPaths(inner, `${path}>`)];
};

/** The union of the key paths of some JSON texts, by a name for each text. */
export class KeyPathTable {
  private readonly table = new Map<string, Set<string>>();

  /** Notes the keys of one text under a name. */
  add(name: string, text: string): void {
    const known = this.table.get(name) ?? new Set();
    for (const path of keyPaths(parseJson(text))) known.add(path);
    this.table.set(name, known);
  }

  /** All names and their key paths, sorted. */
  get all(): Record<string, string[]> {
    return Object.fromEntries(
      [...this.table]
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([name, paths]) => [name, [...paths].sort()]),
    );
  }
}

const commandKind = (text: string): string => /^\{"kind":"(\w+)"/.exec(text)?.[1] ?? "none";

/** A peer that isn't a daemon: it sends what it is told, as bytes recorded before, and hears the answers. */
class RawPeer {
  private readonly rpc: RpcEndpoint;

  constructor(private readonly stage: RecordingFleet) {
    const runtime = virtualRuntime({
      clock: stage.virtualClock.clock(),
      network: stage.network.createInterface("raw-peer", new EventGate()),
      random: stage.random,
    });
    this.rpc = new RpcEndpoint(runtime, "10.0.0.99:7000");
  }

  private run<T>(task: Task<T | undefined>): T {
    const value = runTaskOn(this.stage.virtualClock, task);
    if (value === undefined) throw new Error("The daemon gave no answer.");
    return value;
  }

  /** Sends a command to a daemon and gives the text of its answer. */
  command(to: FixtureMachine, text: string): string {
    return this.run(this.rpc.call(to.peer, rpcMethods.command, { forwarded: true, text }, 5000))
      .text;
  }

  /** Sends a poll to a daemon and gives the text of its answer. */
  poll(to: FixtureMachine, text: string): string {
    return this.run(this.rpc.call(to.peer, rpcMethods.watch, { forwarded: true, text }, 5000)).text;
  }

  /** Sends a sketch to a daemon and gives the text of its answer. */
  push(to: FixtureMachine, text: string, base64: string): string {
    const ask = { text, sketches: Buffer.from(base64, "base64") };
    return this.run(this.rpc.call(to.peer, rpcMethods.pushCounts, ask, 5000)).text;
  }

  /** How a daemon says that it stands, when it is met. */
  bootstrapState(to: FixtureMachine): string {
    const ask = { peer: "", fleet: "", incarnation: "", voters: [], learners: [], open: false };
    return this.run(this.rpc.call(to.peer, rpcMethods.discover, ask, 5000)).state;
  }
}

/** A virtual fleet whose requests and log entries are noted by the keys of their JSON. */
export class RecordingFleet extends ClusterFixture {
  /** What daemons sent one another of themselves: requests, and log entries by their kinds. */
  readonly sentKeyPaths = new KeyPathTable();
  /** How members said they stood, when they met. */
  readonly bootstrapStates = new Set<string>();
  readonly peer: RawPeer;

  /** Three voters, a learner and two edges, with a fixed seed. */
  constructor() {
    super(["d:a", "d:b", "d:c", "d:a", "e:a", "e:b"], [0, 1, 2]);
    this.peer = new RawPeer(this);
  }

  protected override createEnvironment(machine: FixtureMachine): ProcessEnvironment {
    const life = super.createEnvironment(machine);
    return { ...life, network: this.tapped(life.network) };
  }

  private tapped(network: Network): Network {
    const tap = (connection: Connection): Connection => this.tappedChannel(connection);
    return {
      *connect(address) {
        const connection = yield* network.connect(address);
        return connection && tap(connection);
      },
      *listen(address, accept) {
        yield* network.listen(address, (connection) => accept(tap(connection)));
      },
    };
  }

  private tappedChannel(connection: Connection): Connection {
    const reader = new FrameReader();
    return {
      incoming: connection.incoming,
      send: (piece) => {
        for (const frame of reader.read(piece)) this.note(frame);
        connection.send(piece);
      },
      close: () => connection.close(),
    };
  }

  private note({ methodId, isResponse, body }: Frame): void {
    if (methodId === rpcMethods.discover.id && isResponse)
      this.bootstrapStates.add(decodeExactly(rpcMethods.discover.response, body).state);
    if (isResponse) return;
    if (methodId === rpcMethods.watch.id)
      this.sentKeyPaths.add("poll", decodeExactly(rpcMethods.watch.request, body).text);
    if (methodId === rpcMethods.pushCounts.id)
      this.notePush(decodeExactly(rpcMethods.pushCounts.request, body).text);
    if (methodId === rpcMethods.command.id)
      this.noteCommand(decodeExactly(rpcMethods.command.request, body).text);
    if (methodId === rpcMethods.append.id)
      for (const { text } of decodeExactly(rpcMethods.append.request, body).entries)
        this.sentKeyPaths.add(`log entry ${commandKind(text)}`, text);
  }

  private notePush(text: string): void {
    this.sentKeyPaths.add(
      `sketch of ${text.includes('"tier":"edge"') ? "an edge" : "a collector"}`,
      text,
    );
  }

  private noteCommand(text: string): void {
    this.sentKeyPaths.add(`command ${commandKind(text)}`, text);
  }

  /** Ends a run: a voter comes back with an empty disk, a learner that was forgotten comes back, and the leader stops. */
  runRecoveryAndLeaderDrain(): void {
    const follower = this.diskMachines.find((one) => one !== this.leader);
    if (!follower) throw new Error("Nobody follows.");
    this.kill(follower, true);
    this.wait(3000);
    this.boot(follower, { bootstrap: false });
    this.wait(8000);
    const learner = this.diskMachines.find(({ peer }) =>
      this.leader.status?.learners.includes(peer),
    );
    if (!learner) throw new Error("Nobody learns.");
    this.kill(learner);
    this.wait(130_000);
    this.boot(learner, { bootstrap: false });
    this.wait(8000);
    this.drain(this.leader);
    this.wait(2000);
  }

  /** Tells a daemon to stop, and waits until it has. */
  drain(machine: FixtureMachine): void {
    const { daemon } = machine;
    if (!daemon) throw new Error("The daemon doesn't run.");
    runTaskOn(this.virtualClock, daemon.drain());
    this.kill(machine);
  }
}

/** One request of the raw peer, as its text was recorded; a name in capitals between braces stands for what only a run knows. */
export const stepShape = object({
  name: string(),
  kind: enums(["command", "poll", "sketch"]),
  to: enums(["leader", "follower", "edge"]),
  text: string(),
});

export type Step = Infer<typeof stepShape>;

/** Fields of answers that later requests name again. */
const rememberedFields = [
  "contract",
  "configSequence",
  "directorySequence",
  "grantNumber",
] as const;

/** Sends recorded requests to a fleet, one after another, and notes the keys of the answers. */
export class RequestScript {
  readonly responseKeyPaths = new KeyPathTable();
  private readonly known = new Map<string, string>();

  constructor(
    private readonly fleet: RecordingFleet,
    private readonly encodeSketch: string,
  ) {}

  /** Sends one request. */
  send(step: Step): void {
    const to = this.target(step.to);
    const text = this.filled(step.text);
    this.fleet.wait(20);
    const { peer } = this.fleet;
    const answer =
      step.kind === "command"
        ? peer.command(to, text)
        : step.kind === "poll"
          ? peer.poll(to, text)
          : peer.push(to, text, this.encodeSketch);
    this.responseKeyPaths.add(step.name, answer);
    this.remember(answer);
  }

  private target(to: Step["to"]): FixtureMachine {
    const { leader, diskMachines: disks } = this.fleet;
    const follower = disks.find((one) => one !== leader);
    const found = to === "leader" ? leader : to === "edge" ? this.fleet.machineAt(4) : follower;
    if (!found) throw new Error("There is no such machine.");
    return found;
  }

  private filled(text: string): string {
    const { fleet } = this;
    const values = new Map(this.known)
      .set("FLEET", fleet.fleetIdOf(fleet.leader))
      .set("FOLLOWER", this.target("follower").peer);
    return text.replace(/\{([A-Z]+)\}/g, (_, name: string) => values.get(name) ?? "0");
  }

  private remember(answer: string): void {
    for (const field of rememberedFields) {
      const found = new RegExp(`"${field}":"?([^",}]+)`).exec(answer)?.[1];
      if (found !== undefined) this.known.set(field.toUpperCase(), found);
    }
  }
}
