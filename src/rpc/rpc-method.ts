import * as r from "restructure";
import { Utf8TextCodec } from "./utf8-text-codec.js";

/** One kind of exchange between processes: what is asked and what is returned. */
export interface RpcMethod<A, R> {
  readonly id: number;
  readonly request: r.Coder<A>;
  readonly response: r.Coder<R>;
  /** How long after an ask its return may still be of use. */
  readonly waitMs?: number;
}

const text = new Utf8TextCodec();
const flag = new r.Boolean(r.uint8);
const texts = new r.Array(text, r.uint32);
/** A keyed request is named by the scope of its key and by its own name. */
const keyedRequest = { scope: text, job: text };
/** What became of it, as door/keyedOutcome numbers it, and the response if there is one: status, headers as JSON, body. */
const keyedOutcome = {
  state: r.uint8,
  code: r.uint16,
  headers: text,
  body: new r.Buffer(r.uint32),
};
const entry = new r.Struct({ index: r.uint32, term: r.uint32, text });

/** One entry of the record as it travels and as it lies on disk. */
export type Entry = r.Held<typeof entry>;

export const RpcMethod = {
  /** A voter is asked for its vote, or in a pre-vote whether it would give it. */
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
  /** A leader sends entries, or none as a heartbeat. */
  append: {
    id: 2,
    request: new r.Struct({
      term: r.uint32,
      leader: text,
      previousIndex: r.uint32,
      previousTerm: r.uint32,
      committed: r.uint32,
      entries: new r.Array(entry, r.uint32),
    }),
    response: new r.Struct({ term: r.uint32, fits: flag, counts: flag, matched: r.uint32 }),
  },
  /** A leader sends its whole checkpoint to one too far behind. */
  checkpoint: {
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
   * Daemons meet. A recorder tells its peer address, others an empty text. With a fleet, the record is to be formed with
   * these members, at the process that `incarnation` names; with `open`, all its voters have formed it.
   */
  meet: {
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
  /** The leader asks a follower to stand at once. */
  handOver: {
    id: 5,
    request: new r.Struct({ term: r.uint32 }),
    response: new r.Struct({ taken: flag }),
  },
  /** An edge or collector asks for a fresh view; the return is its grant. */
  poll: {
    id: 6,
    /** A large view over a thin link is taken though the poll was asked again meanwhile; the leader sends it once. */
    waitMs: 30_000,
    request: new r.Struct({ forwarded: flag, text }),
    response: new r.Struct({ leader: text, text }),
  },
  /** A command for the leader, forwarded by whoever hears it. */
  command: {
    id: 7,
    request: new r.Struct({ forwarded: flag, text }),
    response: new r.Struct({ leader: text, text }),
  },
  /** A sketch goes up, the fleet's merged one comes down. */
  push: {
    id: 8,
    request: new r.Struct({ text, sketches: new r.Buffer(r.uint32) }),
    response: new r.Struct({ text, sketches: new r.Buffer(r.uint32) }),
  },
  /** A recorder asks another for accepted configs, from one on. */
  history: {
    id: 9,
    request: new r.Struct({ from: r.uint32 }),
    response: new r.Struct({ configs: new r.Buffer(r.uint32) }),
  },
  /** A daemon has another keep what became of a keyed request. */
  keepOutcome: {
    id: 11,
    request: new r.Struct({ ...keyedRequest, ...keyedOutcome }),
    response: new r.Struct({ isKept: flag }),
  },
  /** A daemon asks another what became of a keyed request. */
  keyedOutcome: {
    id: 12,
    request: new r.Struct(keyedRequest),
    response: new r.Struct(keyedOutcome),
  },
  /**
   * A leader sends one piece of its snapshot, deflated, to a member that is behind its log; without bytes it asks how much the
   * member has received. A build that doesn't know of pieces closes the link; it is sent the whole as `checkpoint`.
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
