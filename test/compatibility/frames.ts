/** Samples of all messages between daemons, and a virtual cluster that records what its daemons send. */
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

/** A sample of a message: its present encoding, and a check of a recorded frame. */
export interface Sample {
  readonly name: string;
  /** The frame as the present code encodes it, in hexadecimal digits. */
  readonly hex: string;
  /** Whether a recorded frame decodes to the sample's value and encodes to the same bytes again. */
  decodesFrom(hex: string): boolean;
}

/** Converts a value to text, so that two values can be compared. */
const toComparableText = (value: unknown): string =>
  JSON.stringify(value, (_, nested: unknown) =>
    nested instanceof Uint8Array ? Buffer.from(nested).toString("hex") : nested,
  );

const createSample = <T>(
  name: string,
  methodId: number,
  isResponse: boolean,
  coder: RpcMethod<T, unknown>["request"],
  value: T,
): Sample => {
  const encodeToHex = (body: T): string =>
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
    hex: encodeToHex(value),
    decodesFrom(hex) {
      const [frame] = new FrameReader().read(Buffer.from(hex, "hex"));
      if (!frame || frame.methodId !== methodId || frame.isResponse !== isResponse) return false;
      const body = decodeExactly(coder, frame.body);
      return (
        frame.requestId === 0x01020304 &&
        toComparableText(body) === toComparableText(value) &&
        encodeToHex(body) === hex
      );
    },
  };
};

/** The samples of a method: a request and a response whose fields all differ. */
const createSamples = <A, R>(
  name: string,
  method: RpcMethod<A, R>,
  request: A,
  response: R,
): Sample[] => [
  createSample(`${name} request`, method.id, false, method.request, request),
  createSample(`${name} response`, method.id, true, method.response, response),
];

const bytes = Buffer.from("bytes, é");
const keyedRequest = { scope: "scope", job: "job" };
const entries = [
  { index: 11, term: 5, text: "one, é" },
  { index: 12, term: 6, text: "two" },
];

/** Samples of every method between daemons, as a request and as a response. */
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

/** The messages of all kinds of outcomes of a request with an idempotency key, by kind, in hexadecimal digits. */
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

/** Decodes the outcome in a recorded message and encodes it again. */
export const reencodeOutcome = (hex: string): string => {
  const outcome = decodeKeyedOutcome(
    decodeExactly(rpcMethods.keyedOutcome.response, Buffer.from(hex, "hex")),
  );
  const message = encodeKeyedOutcome(outcome);
  return Buffer.from(rpcMethods.keyedOutcome.response.toBuffer(message)).toString("hex");
};

/** Encodes a sketch of attempts on two services and requests on two routes at fixed times, as Base64. */
export const encodeSketch = (withRoutes: boolean): string => {
  const counts = new RequestCounts(defaultRequestCountsFormat);
  for (let at = 0; at < 40; at += 1) {
    counts.countAttempt(1, at % 4 === 0, 1000 + at * 50);
    counts.countAttempt(2, false, 1010 + at * 40);
    counts.countRoute(3 + (at % 2), 1020 + at * 30);
  }
  return Buffer.from(counts.encode(5000, withRoutes)).toString("base64");
};

/** Decodes a recorded sketch and encodes it again. */
export const reencodeSketch = (base64: string): string =>
  Buffer.from(
    RequestCounts.decode(Buffer.from(base64, "base64"), defaultRequestCountsFormat, 5000, 0).encode(
      5000,
    ),
  ).toString("base64");

/** The estimates of a recorded sketch for one service and for the heaviest routes. */
export const estimatesFromSketch = (base64: string) => {
  const counts = RequestCounts.decode(
    Buffer.from(base64, "base64"),
    defaultRequestCountsFormat,
    5000,
    0,
  );
  const { firstAttempts, retries } = counts.ofService(1, 5000, 10_000);
  const routes = counts.findHeavyRoutes(0.1, 5000, 10_000);
  return {
    firstTries: firstAttempts,
    furtherTries: retries,
    routes: routes.map(({ item, estimate }) => [item, estimate]),
  };
};

/** The readers of JSON bodies by name; each returns as JSON what the receiver gets. */
export const readers: Readonly<Record<string, (text: string) => string>> = {
  command: (text) => JSON.stringify(readCommand(text)),
  poll: (text) => JSON.stringify(readWatchRequest(text)),
  view: (text) => JSON.stringify(readLeasedView(text)),
  claim: (text) => JSON.stringify(readClaimResponse(text)),
  sketchResponse: (text) => JSON.stringify(readAggregatedCounts(text)),
  breakdown: (text) => JSON.stringify(isFailureResponse(text)),
};

/** Unpacks the text of a compressed response. */
export const unpackText = (packedText: string): string => readCompressedText({ packedText });

/** The JSON texts in an encoded piece of the history. */
export const historyRecordTexts = (): string[] => recordTexts(encodeHistoryPiece());

/** Fields whose values are compared too, since receivers branch on them. */
const comparedFields = new Set([
  ...["kind", "state", "verdict", "breakdown", "tier", "roles", "configDigest"],
]);

const parseJson = (text: string): unknown => {
  const value: unknown = JSON.parse(text);
  return value;
};

/** Parses deflated JSON in Base64; returns undefined if the text is something else. */
const tryUnpackJson = (text: string): unknown => {
  try {
    return parseJson(inflateRawSync(Buffer.from(text, "base64")).toString("utf8"));
  } catch {
    return undefined;
  }
};

/** Sections whose keys are names chosen by operators; the path shows `*` for them. */
const operatorNamedSections = new Set(["services", "routes", "goals", "numbers"]);

/** Appends a key to the path of its parent. */
const joinPath = (path: string, parent: string, key: string): string => {
  const displayedKey = operatorNamedSections.has(parent) ? "*" : key;
  return path === "" ? displayedKey : `${path}.${displayedKey}`;
};

/** The paths of all keys in a JSON value, with the types of the leaves. Packed parts are unpacked. */
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
        Object.entries(value).flatMap(([key, nested]: [string, unknown]) =>
          keyPaths(nested, joinPath(path, name, key)),
        ),
      ),
    ].sort();
  if (typeof value !== "string") return [`${path}: ${value === null ? "null" : typeof value}`];
  if (comparedFields.has(name)) return [`${path} = ${value}`];
  const unpacked = name.startsWith("packed") ? tryUnpackJson(value) : undefined;
  return unpacked === undefined
    ? [`${path}: string`]
    : [`${path}: string`, ...keyPaths(unpacked, `${path}>`)];
};

/** The union of the key paths of JSON texts, by the name under which a text was added. */
export class KeyPathTable {
  private readonly pathsByName = new Map<string, Set<string>>();

  /** Adds the key paths of a JSON text under a name. */
  add(name: string, text: string): void {
    const paths = this.pathsByName.get(name) ?? new Set();
    for (const path of keyPaths(parseJson(text))) paths.add(path);
    this.pathsByName.set(name, paths);
  }

  /** All names and their key paths, sorted. */
  get all(): Record<string, string[]> {
    return Object.fromEntries(
      [...this.pathsByName]
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([name, paths]) => [name, [...paths].sort()]),
    );
  }
}

const commandKind = (text: string): string => /^\{"kind":"(\w+)"/.exec(text)?.[1] ?? "none";

/** A peer that is not a daemon: sends recorded requests and returns the responses. */
class RawPeer {
  private readonly rpc: RpcEndpoint;

  constructor(private readonly fleet: RecordingFleet) {
    const runtime = virtualRuntime({
      clock: fleet.virtualClock.clock(),
      network: fleet.network.createInterface("raw-peer", new EventGate()),
      random: fleet.random,
    });
    this.rpc = new RpcEndpoint(runtime, "10.0.0.99:7000");
  }

  private runCall<T>(task: Task<T | undefined>): T {
    const value = runTaskOn(this.fleet.virtualClock, task);
    if (value === undefined) throw new Error("no response from the daemon, timeout 5000 ms");
    return value;
  }

  /** Sends a command to a daemon and returns the text of its response. */
  command(to: FixtureMachine, text: string): string {
    return this.runCall(this.rpc.call(to.peer, rpcMethods.command, { forwarded: true, text }, 5000))
      .text;
  }

  /** Sends a watch request to a daemon and returns the text of its response. */
  poll(to: FixtureMachine, text: string): string {
    return this.runCall(this.rpc.call(to.peer, rpcMethods.watch, { forwarded: true, text }, 5000))
      .text;
  }

  /** Sends a sketch to a daemon and returns the text of its response. */
  push(to: FixtureMachine, text: string, base64: string): string {
    const request = { text, sketches: Buffer.from(base64, "base64") };
    return this.runCall(this.rpc.call(to.peer, rpcMethods.pushCounts, request, 5000)).text;
  }

  /** The bootstrap state in the response of a daemon to a discovery request. */
  bootstrapState(to: FixtureMachine): string {
    const request = { peer: "", fleet: "", incarnation: "", voters: [], learners: [], open: false };
    return this.runCall(this.rpc.call(to.peer, rpcMethods.discover, request, 5000)).state;
  }
}

/** A virtual cluster that records the key paths of all requests and log entries that its daemons send. */
export class RecordingFleet extends ClusterFixture {
  /** The key paths of requests and log entries that the daemons sent to each other, by kind. */
  readonly sentKeyPaths = new KeyPathTable();
  /** The bootstrap states that members sent in discovery responses. */
  readonly bootstrapStates = new Set<string>();
  readonly peer: RawPeer;

  /** Creates three voters, a learner and two edge daemons, with a fixed seed. */
  constructor() {
    super(["d:a", "d:b", "d:c", "d:a", "e:a", "e:b"], [0, 1, 2]);
    this.peer = new RawPeer(this);
  }

  protected override createEnvironment(machine: FixtureMachine): ProcessEnvironment {
    const environment = super.createEnvironment(machine);
    return { ...environment, network: this.recordingNetwork(environment.network) };
  }

  private recordingNetwork(network: Network): Network {
    const wrap = (connection: Connection): Connection => this.recordingConnection(connection);
    return {
      *connect(address) {
        const connection = yield* network.connect(address);
        return connection && wrap(connection);
      },
      *listen(address, accept) {
        yield* network.listen(address, (connection) => accept(wrap(connection)));
      },
    };
  }

  private recordingConnection(connection: Connection): Connection {
    const reader = new FrameReader();
    return {
      incoming: connection.incoming,
      send: (chunk) => {
        for (const frame of reader.read(chunk)) this.recordFrame(frame);
        connection.send(chunk);
      },
      close: () => connection.close(),
    };
  }

  private recordFrame({ methodId, isResponse, body }: Frame): void {
    if (methodId === rpcMethods.discover.id && isResponse)
      this.bootstrapStates.add(decodeExactly(rpcMethods.discover.response, body).state);
    if (isResponse) return;
    if (methodId === rpcMethods.watch.id)
      this.sentKeyPaths.add("poll", decodeExactly(rpcMethods.watch.request, body).text);
    if (methodId === rpcMethods.pushCounts.id)
      this.recordPush(decodeExactly(rpcMethods.pushCounts.request, body).text);
    if (methodId === rpcMethods.command.id)
      this.recordCommand(decodeExactly(rpcMethods.command.request, body).text);
    if (methodId === rpcMethods.append.id)
      for (const { text } of decodeExactly(rpcMethods.append.request, body).entries)
        this.sentKeyPaths.add(`log entry ${commandKind(text)}`, text);
  }

  private recordPush(text: string): void {
    this.sentKeyPaths.add(
      `sketch of ${text.includes('"tier":"edge"') ? "an edge" : "a collector"}`,
      text,
    );
  }

  private recordCommand(text: string): void {
    this.sentKeyPaths.add(`command ${commandKind(text)}`, text);
  }

  /**
   * Causes the messages of failures: a voter restarts with an empty disk, a learner restarts after its removal from the members,
   * and the leader drains.
   */
  runRecoveryAndLeaderDrain(): void {
    const follower = this.diskMachines.find((member) => member !== this.leader);
    if (!follower) throw new Error("no follower is running");
    this.kill(follower, true);
    this.wait(3000);
    this.boot(follower, { bootstrap: false });
    this.wait(8000);
    const learner = this.diskMachines.find(({ peer }) =>
      this.leader.status?.learners.includes(peer),
    );
    if (!learner) throw new Error("the leader has no learner");
    this.kill(learner);
    this.wait(130_000);
    this.boot(learner, { bootstrap: false });
    this.wait(8000);
    this.drain(this.leader);
    this.wait(2000);
  }

  /** Drains a daemon, then stops its process. */
  drain(machine: FixtureMachine): void {
    const { daemon } = machine;
    if (!daemon) throw new Error(`daemon ${machine.peer} is not running`);
    runTaskOn(this.virtualClock, daemon.drain());
    this.kill(machine);
  }
}

/** A recorded request of the raw peer. A name in capitals between braces is a placeholder for a value that differs by run. */
export const stepShape = object({
  name: string(),
  kind: enums(["command", "poll", "sketch"]),
  to: enums(["leader", "follower", "edge"]),
  text: string(),
});

/** A recorded request of the raw peer. */
export type Step = Infer<typeof stepShape>;

/** Fields of responses whose values later requests contain. */
const rememberedFields = [
  "contract",
  "configSequence",
  "directorySequence",
  "grantNumber",
] as const;

/** Sends recorded requests to a cluster in order, and records the key paths of the responses. */
export class RequestScript {
  readonly responseKeyPaths = new KeyPathTable();
  private readonly rememberedValues = new Map<string, string>();

  constructor(
    private readonly fleet: RecordingFleet,
    private readonly sketchBase64: string,
  ) {}

  /** Sends one request and records its response. */
  send(step: Step): void {
    const to = this.selectMachine(step.to);
    const text = this.fillPlaceholders(step.text);
    this.fleet.wait(20);
    const { peer } = this.fleet;
    const response =
      step.kind === "command"
        ? peer.command(to, text)
        : step.kind === "poll"
          ? peer.poll(to, text)
          : peer.push(to, text, this.sketchBase64);
    this.responseKeyPaths.add(step.name, response);
    this.rememberFields(response);
  }

  private selectMachine(to: Step["to"]): FixtureMachine {
    const { leader, diskMachines } = this.fleet;
    const follower = diskMachines.find((member) => member !== leader);
    const machine = to === "leader" ? leader : to === "edge" ? this.fleet.machineAt(4) : follower;
    if (!machine) throw new Error(`no machine for the target "${to}"`);
    return machine;
  }

  private fillPlaceholders(text: string): string {
    const { fleet } = this;
    const values = new Map(this.rememberedValues)
      .set("FLEET", fleet.fleetIdOf(fleet.leader))
      .set("FOLLOWER", this.selectMachine("follower").peer);
    return text.replace(/\{([A-Z]+)\}/g, (_, name: string) => values.get(name) ?? "0");
  }

  private rememberFields(response: string): void {
    for (const field of rememberedFields) {
      const value = new RegExp(`"${field}":"?([^",}]+)`).exec(response)?.[1];
      if (value !== undefined) this.rememberedValues.set(field.toUpperCase(), value);
    }
  }
}
