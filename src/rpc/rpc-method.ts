/** The RPC methods between daemons: ids and message layouts. The order of fields is part of the layout. */
import * as r from "restructure";
import { Utf8TextCodec } from "./utf8-text-codec.js";

/** An RPC method: its id on the wire, and the encodings of its requests and responses. */
export interface RpcMethod<A, R> {
  readonly id: number;
  readonly request: r.Coder<A>;
  readonly response: r.Coder<R>;
  /** How long after a request its response is still useful; unlimited by default. */
  readonly waitMs?: number;
}

const text = new Utf8TextCodec();
const flag = new r.Boolean(r.uint8);
const texts = new r.Array(text, r.uint32);
/** Identifies a keyed request by the scope of its key and its own id. */
const keyedRequest = { scope: text, job: text };
/** The outcome of a keyed request, as `src/proxy/idempotency/keyed-outcome.ts` numbers it, and the response if there is one: status, headers as JSON, body. */
const keyedOutcome = {
  state: r.uint8,
  code: r.uint16,
  headers: text,
  body: new r.Buffer(r.uint32),
};
const entryStruct = new r.Struct({ index: r.uint32, term: r.uint32, text });

/** An entry of the replicated log, as it is sent and stored. */
export type Entry = r.Decoded<typeof entryStruct>;

/** All RPC methods by name. */
export const rpcMethods = {
  /** Requests a vote; a pre-vote asks only whether the vote would be granted. */
  vote: {
    id: 1,
    request: new r.Struct({
      isPreVote: flag,
      term: r.uint32,
      candidate: text,
      lastIndex: r.uint32,
      lastTerm: r.uint32,
      handOver: flag,
    }),
    response: new r.Struct({ term: r.uint32, granted: flag }),
  },
  /** The leader sends log entries, or none as a heartbeat. */
  append: {
    id: 2,
    request: new r.Struct({
      term: r.uint32,
      leader: text,
      previousIndex: r.uint32,
      previousTerm: r.uint32,
      committed: r.uint32,
      entries: new r.Array(entryStruct, r.uint32),
    }),
    response: new r.Struct({ term: r.uint32, fits: flag, counts: flag, matched: r.uint32 }),
  },
  /** The leader sends its full snapshot to a member whose log is too far behind. */
  snapshot: {
    id: 3,
    request: new r.Struct({
      term: r.uint32,
      leader: text,
      lastIndex: r.uint32,
      lastTerm: r.uint32,
      text,
    }),
    response: new r.Struct({ term: r.uint32, counts: flag, matched: r.uint32 }),
  },
  /**
   * Discovers daemons. A member sends its peer address, other daemons an empty string. If `fleet` is set, it requests the process
   * that `incarnation` identifies to bootstrap the cluster with these members; with `open`, all voters have done so.
   */
  discover: {
    id: 4,
    request: new r.Struct({
      peer: text,
      fleet: text,
      incarnation: text,
      voters: texts,
      learners: texts,
      open: flag,
    }),
    response: new r.Struct({
      machine: text,
      zone: text,
      state: text,
      fleet: text,
      leader: text,
      founds: flag,
      incarnation: text,
      voters: texts,
      learners: texts,
      recorders: texts,
    }),
  },
  /** The leader requests a follower to start an election immediately. */
  handOver: {
    id: 5,
    request: new r.Struct({ term: r.uint32 }),
    response: new r.Struct({ taken: flag }),
  },
  /** An edge or collector requests a new view; the response renews its lease. */
  watch: {
    id: 6,
    /** The leader sends a large view once. Over a slow link it may arrive after the request was repeated, and is still accepted. */
    waitMs: 30_000,
    request: new r.Struct({ forwarded: flag, text }),
    response: new r.Struct({ leader: text, text }),
  },
  /** A command for the leader, forwarded by any daemon. */
  command: {
    id: 7,
    request: new r.Struct({ forwarded: flag, text }),
    response: new r.Struct({ leader: text, text }),
  },
  /** An edge or collector pushes its sketch; the response contains the cluster's merged sketch. */
  pushCounts: {
    id: 8,
    request: new r.Struct({ text, sketches: new r.Buffer(r.uint32) }),
    response: new r.Struct({ text, sketches: new r.Buffer(r.uint32) }),
  },
  /** A member requests the accepted configurations from another member, starting at a sequence. */
  history: {
    id: 9,
    request: new r.Struct({ from: r.uint32 }),
    response: new r.Struct({ configs: new r.Buffer(r.uint32) }),
  },
  /** A daemon replicates the outcome of a keyed request to another. */
  replicateOutcome: {
    id: 11,
    request: new r.Struct({ ...keyedRequest, ...keyedOutcome }),
    response: new r.Struct({ isKept: flag }),
  },
  /** A daemon requests the outcome of a keyed request from another. */
  keyedOutcome: {
    id: 12,
    request: new r.Struct(keyedRequest),
    response: new r.Struct(keyedOutcome),
  },
  /**
   * The leader sends one piece of its deflated snapshot to a member whose log is too far behind; a request without bytes asks how
   * much the member has received. A build without this method closes the connection; it receives the full snapshot by `snapshot`.
   */
  snapshotPiece: {
    id: 10,
    request: new r.Struct({
      term: r.uint32,
      leader: text,
      lastIndex: r.uint32,
      lastTerm: r.uint32,
      totalBytes: r.uint32,
      checksum: r.uint32,
      offset: r.uint32,
      bytes: new r.Buffer(r.uint32),
    }),
    response: new r.Struct({
      term: r.uint32,
      counts: flag,
      matched: r.uint32,
      receivedBytes: r.uint32,
    }),
  },
};
