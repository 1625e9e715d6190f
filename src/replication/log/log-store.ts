import * as r from "restructure";
import { array, create, number, object, omit, string, type Infer } from "superstruct";
import type { Disk } from "../../runtime/disk.js";
import { Task } from "../../runtime/task.js";
import type { LogRecord } from "../../consensus/log-record.js";
import { decodeExactly } from "../../rpc/frame.js";
import { Utf8TextCodec } from "../../rpc/utf8-text-codec.js";
import { ConfigHistory } from "../history/config-history.js";
import { withChecksum, CHECKSUM_HEADER_BYTES, readChecksummed } from "./checksum.js";
import { SnapshotPartFile } from "../snapshot/snapshot-part-file.js";

const entryShape = object({ index: number(), term: number(), text: string() });

const standingShape = object({
  fleet: string(),
  /** Set while the recorder may neither vote nor acknowledge. */
  rejoining: string(),
  term: number(),
  votedFor: string(),
  lastIndex: number(),
  lastTerm: number(),
  book: string(),
  entries: array(entryShape),
});

/** All that a recorder must still know after it has lost its memory. */
export type DurableState = Infer<typeof standingShape>;

/** What a recorder finds on its disk. */
export type LoadResult =
  { kind: "empty" } | { kind: "damaged"; why: string } | { kind: "whole"; standing: DurableState };

const payload = new r.Struct({
  kind: r.uint8,
  term: r.uint32,
  index: r.uint32,
  text: new Utf8TextCodec(),
});
const encode = (record: LogRecord): Uint8Array => {
  switch (record.kind) {
    case "entry":
      return withChecksum(
        payload.toBuffer({ kind: 1, term: record.term, index: record.index, text: record.text }),
      );
    case "vote":
      return withChecksum(
        payload.toBuffer({ kind: 2, term: record.term, index: 0, text: record.text }),
      );
    case "cut":
      return withChecksum(payload.toBuffer({ kind: 3, term: 0, index: record.index, text: "" }));
  }
};

/** Applies one change; false where it doesn't follow on what came before. */
const replay = (durableState: DurableState, body: Buffer): boolean => {
  const { kind, term, index, text } = decodeExactly(payload, body);
  if (kind === 1) {
    if (index > durableState.lastIndex + durableState.entries.length + 1) return false;
    if (index > durableState.lastIndex) {
      durableState.entries.splice(index - durableState.lastIndex - 1);
      durableState.entries.push({ index, term, text });
    }
    durableState.term = Math.max(durableState.term, term);
  } else if (kind === 2) {
    durableState.term = term;
    durableState.votedFor = text;
  } else durableState.entries = durableState.entries.filter((entry) => entry.index < index);
  return true;
};

const slots = ["slot-a", "slot-b"];
const clearing = "clearing";
const logName = (sequence: number): string => `log-${sequence}`;

const slotShape = object({ sequence: number(), standing: omit(standingShape, ["book"]) });

/** Two checkpoint slots written in turn, and a short log after the newer one. */
export class LogStore {
  private readonly disk: Disk;
  /** Accepted configs, beside the slots, as far back as there is room. */
  readonly history: ConfigHistory;
  /** What has been received of a leader's snapshot. */
  readonly snapshotPart: SnapshotPartFile;
  private sequence = 0;
  private logBytes = 0;
  private torn = false;
  private isClearing = false;

  constructor(disk: Disk, historyBytes = Infinity) {
    this.disk = disk;
    this.history = new ConfigHistory(disk, historyBytes);
    this.snapshotPart = new SnapshotPartFile(disk);
  }

  /** How much has been added to the log since the last checkpoint. */
  get addedBytes(): number {
    return this.logBytes;
  }

  /** Reads what the disk holds; a torn tail is cut, damage before it is told. */
  *load(): Task<LoadResult> {
    const names = yield* this.disk.list();
    yield* this.snapshotPart.load(names);
    if (names.includes(clearing)) return { kind: "damaged", why: "The disk was being cleared." };
    let best: { sequence: number; standing: DurableState } | undefined;
    let broken = 0;
    for (const name of slots) {
      const bytes = yield* this.disk.read(name);
      if (bytes === undefined) continue;
      const body = readChecksummed(Buffer.from(bytes), 0);
      const book = body && readChecksummed(Buffer.from(bytes), CHECKSUM_HEADER_BYTES + body.length);
      if (body === undefined || book === undefined) {
        broken += 1;
        continue;
      }
      const { sequence, standing: durableState } = create(
        JSON.parse(body.toString("utf8")),
        slotShape,
      );
      if (!best || sequence > best.sequence)
        best = { sequence, standing: { ...durableState, book: book.toString("utf8") } };
    }
    if (!best) {
      const logged = names.some((name) => name.startsWith("log-") || ConfigHistory.isName(name));
      return logged || broken > 1
        ? { kind: "damaged", why: "No slot can be read." }
        : { kind: "empty" };
    }
    this.sequence = best.sequence;
    if (broken > 0 && names.includes(logName(best.sequence + 1)))
      return { kind: "damaged", why: "The newer slot can't be read though its log was begun." };
    const bytes = Buffer.from((yield* this.disk.read(logName(best.sequence))) ?? Buffer.alloc(0));
    let at = 0;
    for (
      let body = readChecksummed(bytes, at);
      body !== undefined;
      body = readChecksummed(bytes, at)
    ) {
      if (!replay(best.standing, body))
        return { kind: "damaged", why: `The log has a gap at byte ${at}.` };
      at += CHECKSUM_HEADER_BYTES + body.length;
    }
    if (at < bytes.length) {
      for (let later = at + 1; later + CHECKSUM_HEADER_BYTES < bytes.length; later += 1)
        if (readChecksummed(bytes, later) !== undefined)
          return { kind: "damaged", why: `The log is damaged at byte ${at}, before its tail.` };
      yield* this.disk.truncate(logName(best.sequence), at);
    }
    this.logBytes = at;
    for (const name of names)
      if (name.startsWith("log-") && name !== logName(best.sequence)) yield* this.disk.remove(name);
    yield* this.history.load(names);
    return { kind: "whole", standing: best.standing };
  }

  /** Clears a damaged disk. A mark stands from before the first file goes until a new checkpoint is whole. */
  *clear(): Task {
    yield* this.disk.write(clearing, Buffer.alloc(0));
    for (const name of yield* this.disk.list())
      if (slots.includes(name) || name.startsWith("log-") || ConfigHistory.isName(name))
        yield* this.disk.remove(name);
    yield* this.history.load([]);
    this.sequence = 0;
    this.logBytes = 0;
    this.isClearing = true;
  }

  /** Adds changes to the log; they last once this has ended. */
  *append(records: LogRecord[]): Task {
    const bytes = Buffer.concat(records.map(encode));
    if (this.torn) yield* this.disk.truncate(logName(this.sequence), this.logBytes);
    this.torn = true;
    yield* this.disk.append(logName(this.sequence), bytes);
    this.torn = false;
    this.logBytes += bytes.length;
  }

  /** Writes a standing whole into the other slot and begins a new log. */
  *writeSnapshot(durableState: DurableState): Task {
    const sequence = this.sequence + 1;
    const name = slots[sequence % slots.length] ?? "slot-a";
    const { book, ...rest } = durableState;
    const head = withChecksum(Buffer.from(JSON.stringify({ sequence, standing: rest }), "utf8"));
    yield* this.disk.write(name, Buffer.concat([head, withChecksum(Buffer.from(book, "utf8"))]));
    yield* this.disk.write(logName(sequence), Buffer.alloc(0));
    const former = this.sequence;
    this.sequence = sequence;
    this.logBytes = 0;
    this.torn = false;
    if (former > 0) yield* this.disk.remove(logName(former));
    if (this.isClearing) yield* this.disk.remove(clearing);
    this.isClearing = false;
  }
}
