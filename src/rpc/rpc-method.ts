/** The methods that daemons call of one another: ids and layouts of their messages, in which the order of fields is fixed. */
import * as r from "restructure";
import { Utf8TextCodec } from "./utf8-text-codec.js";

/** One method: its id on the wire, and the encodings of its requests and responses. */
export interface RpcMethod<A, R> {
  readonly id: number;
  readonly request: r.Coder<A>;
  readonly response: r.Coder<R>;
  /** How long after a request its response is still of use; without it there is no limit. */
  readonly waitMs?: number;
}

const text = new Utf8TextCodec();
const flag = new r.Boolean(r.uint8);
const texts = new r.Array(text, r.uint32);
/** A keyed request is identified by the scope of its key and by its own id. */
const keyedRequest = { scope: text, job: text };
/** The outcome of a keyed request, as `src/proxy/idempotency/keyed-outcome.ts` numbers it, and the response if there is one: status, headers as JSON, body. */
const keyedOutcome = {
  state: r.uint8,
  code: r.uint16,
  headers: text,
  body: new r.Buffer(r.uint32),
};
const entryStruct = new r.Struct({ index: r.uint32, term: r.uint32, text });

/** One entry of the replicated log as it travels and as it is stored. */
export type Entry = r.Decoded<typeof entryStruct>;

export const rpcMethods = {
  /** Requests a vote; in a pre-vote, whether it would be given. */
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
   * Discovery among daemons. A member sends its peer address, others an empty text. With `fleet`, the cluster is to be
   * bootstrapped with these members, at the process that `incarnation` names; with `open`, all its voters have done so.
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
  /** The leader has a follower start an election at once. */
  handOver: {
    id: 5,
    request: new r.Struct({ term: r.uint32 }),
    response: new r.Struct({ taken: flag }),
  },
  /** An edge or collector requests a fresh view; the response renews its lease. */
  watch: {
    id: 6,
    /** A large view over a slow link is taken though the request was repeated meanwhile; the leader sends it once. */
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
  /** An edge or collector pushes its sketch; the response carries the cluster's merged one. */
  pushCounts: {
    id: 8,
    request: new r.Struct({ text, sketches: new r.Buffer(r.uint32) }),
    response: new r.Struct({ text, sketches: new r.Buffer(r.uint32) }),
  },
  /** A member requests accepted configurations from another, from a sequence on. */
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
   * The leader sends one piece of its deflated snapshot to a member whose log is behind; without bytes it requests how much the
   * member has received. A build without this method closes the connection; it is sent the full snapshot as `checkpoint`.
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
