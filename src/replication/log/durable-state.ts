/** A member's durable state, and its layout on disk. */
import * as r from "restructure";
import { array, create, number, object, string } from "superstruct";
import type { LogRecord } from "../../consensus/log-record.js";
import { decodeExactly } from "../../rpc/frame.js";
import type { Entry } from "../../rpc/rpc-method.js";
import { Utf8TextCodec } from "../../rpc/utf8-text-codec.js";
import { CHECKSUM_HEADER_BYTES, readChecksummed, withChecksum } from "./checksum.js";

/** All that a member must still know after a restart. */
export interface DurableState {
  fleet: string;
  /** The nonce of a rejoin under way, during which the member neither votes nor acknowledges; else an empty text. */
  rejoinNonce: string;
  term: number;
  votedFor: string;
  lastIndex: number;
  lastTerm: number;
  /** The state machine as of `lastIndex`. */
  snapshot: string;
  /** The entries after `lastIndex`. */
  entries: Entry[];
}

/** A durable state with the sequence number under which it was written. */
export interface SnapshotSlot {
  readonly sequence: number;
  readonly state: DurableState;
}

const slotShape = object({
  sequence: number(),
  standing: object({
    fleet: string(),
    rejoining: string(),
    term: number(),
    votedFor: string(),
    lastIndex: number(),
    lastTerm: number(),
    entries: array(object({ index: number(), term: number(), text: string() })),
  }),
});

/** The bytes of a slot: a record of all but the snapshot as JSON, then a record of the snapshot's text. */
export const encodeSlot = ({ sequence, state }: SnapshotSlot): Uint8Array => {
  const { fleet, rejoinNonce: rejoining, term, votedFor, lastIndex, lastTerm, entries } = state;
  const standing = { fleet, rejoining, term, votedFor, lastIndex, lastTerm, entries };
  const head = Buffer.from(JSON.stringify({ sequence, standing }), "utf8");
  return Buffer.concat([withChecksum(head), withChecksum(Buffer.from(state.snapshot, "utf8"))]);
};

/** The slot in a file's bytes; `undefined` where it is damaged. */
export const decodeSlot = (bytes: Buffer): SnapshotSlot | undefined => {
  const head = readChecksummed(bytes, 0);
  if (head === undefined) return undefined;
  const snapshot = readChecksummed(bytes, CHECKSUM_HEADER_BYTES + head.length);
  if (snapshot === undefined) return undefined;
  const { sequence, standing } = create(JSON.parse(head.toString("utf8")), slotShape);
  const { rejoining: rejoinNonce, ...others } = standing;
  return { sequence, state: { ...others, rejoinNonce, snapshot: snapshot.toString("utf8") } };
};

const recordLayout = new r.Struct({
  kind: r.uint8,
  term: r.uint32,
  index: r.uint32,
  text: new Utf8TextCodec(),
});

/** The kinds of records by their numbers on disk. */
const RecordKind = { entry: 1, vote: 2, truncate: 3 };

const recordFields = (record: LogRecord) => {
  switch (record.kind) {
    case "entry":
      return { term: record.term, index: record.index, text: record.text };
    case "vote":
      return { term: record.term, index: 0, text: record.text };
    case "truncate":
      return { term: 0, index: record.index, text: "" };
  }
};

/** The bytes of a record of the log. */
export const encodeLogRecord = (record: LogRecord): Uint8Array =>
  withChecksum(recordLayout.toBuffer({ kind: RecordKind[record.kind], ...recordFields(record) }));

/** Applies a record's body to a durable state; false where it doesn't follow on what came before. */
export const replayLogRecord = (state: DurableState, body: Buffer): boolean => {
  const { kind, term, index, text } = decodeExactly(recordLayout, body);
  if (kind === RecordKind.entry) {
    if (index > state.lastIndex + state.entries.length + 1) return false;
    if (index > state.lastIndex) {
      state.entries.splice(index - state.lastIndex - 1);
      state.entries.push({ index, term, text });
    }
    state.term = Math.max(state.term, term);
  } else if (kind === RecordKind.vote) {
    state.term = term;
    state.votedFor = text;
  } else state.entries = state.entries.filter((entry) => entry.index < index);
  return true;
};
