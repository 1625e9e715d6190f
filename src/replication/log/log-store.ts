/**
 * Stores a member's durable state in files: two snapshot slots that are written alternately, and the log after the
 * newer one.
 */
import type { LogRecord } from "../../consensus/log-record.js";
import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import { ConfigHistory } from "../history/config-history.js";
import { SnapshotPartFile } from "../snapshot/snapshot-part-file.js";
import { CHECKSUM_HEADER_BYTES, readChecksummed, readRecords } from "./checksum.js";
import {
  decodeSlot,
  encodeLogRecord,
  encodeSlot,
  replayLogRecord,
  type DurableState,
  type SnapshotSlot,
} from "./durable-state.js";

/** The result of loading a member's disk. */
export type LoadResult =
  | { readonly kind: "empty" }
  | DamagedDisk
  | { readonly kind: "loaded"; readonly state: DurableState };

/** A disk whose files are inconsistent or can't be read. */
interface DamagedDisk {
  readonly kind: "damaged";
  readonly why: string;
}

const SLOT_NAMES = ["slot-a", "slot-b"];
/** Marker file that exists from the start of clearing a damaged disk until a new snapshot is written. */
const CLEARING_MARKER = "clearing";
const LOG_PREFIX = "log-";

const logName = (sequence: number): string => `${LOG_PREFIX}${sequence}`;
const isLogName = (name: string): boolean => name.startsWith(LOG_PREFIX);
const damaged = (why: string): DamagedDisk => ({ kind: "damaged", why });

/**
 * Whether an intact record starts anywhere after an offset; if so, the bytes before it are damaged, not an incomplete
 * write.
 */
const hasRecordAfter = (bytes: Buffer, offset: number): boolean => {
  for (
    let candidateOffset = offset + 1;
    candidateOffset + CHECKSUM_HEADER_BYTES < bytes.length;
    candidateOffset += 1
  )
    if (readChecksummed(bytes, candidateOffset) !== undefined) return true;
  return false;
};

/** Reads and writes a member's durable state, one write at a time. */
export class LogStore {
  private readonly disk: Disk;
  /** The history of accepted configs, which is stored beside the slots and bounded by its quota. */
  readonly history: ConfigHistory;
  /** The received pieces of a leader's snapshot. */
  readonly snapshotPart: SnapshotPartFile;
  /** The sequence number of the newer slot and of its log. */
  private sequence = 0;
  private currentLogBytes = 0;
  /** Whether an append to the log started and didn't complete. */
  private isAppendIncomplete = false;
  private isClearing = false;

  constructor(disk: Disk, historyBytes = Infinity) {
    this.disk = disk;
    this.history = new ConfigHistory(disk, historyBytes);
    this.snapshotPart = new SnapshotPartFile(disk);
  }

  /** The size of the log after the newest snapshot, in bytes. */
  get logBytes(): number {
    return this.currentLogBytes;
  }

  /** Reads the disk; truncates an incomplete record at the log's end, and reports damage before it. */
  *load(): Task<LoadResult> {
    const names = yield* this.disk.list();
    yield* this.snapshotPart.load(names);
    if (names.includes(CLEARING_MARKER))
      return damaged("A previous clearing of the disk was not completed.");
    const { newest, damagedCount } = yield* this.readSlots();
    if (!newest) {
      const hasOtherFiles = names.some(
        (name) => isLogName(name) || ConfigHistory.isHistoryFileName(name),
      );
      return hasOtherFiles || damagedCount > 1
        ? damaged(`None of ${SLOT_NAMES.join(", ")} can be read.`)
        : { kind: "empty" };
    }
    this.sequence = newest.sequence;
    if (damagedCount > 0 && names.includes(logName(newest.sequence + 1)))
      return damaged(`The slot of ${logName(newest.sequence + 1)} can't be read.`);
    const damage = yield* this.replayLog(newest.state);
    if (damage) return damage;
    for (const name of names)
      if (isLogName(name) && name !== logName(newest.sequence)) yield* this.disk.remove(name);
    yield* this.history.load(names);
    return { kind: "loaded", state: newest.state };
  }

  /** Clears a damaged disk; it counts as damaged until a new snapshot is written. */
  *clear(): Task {
    yield* this.disk.write(CLEARING_MARKER, Buffer.alloc(0));
    for (const name of yield* this.disk.list())
      if (SLOT_NAMES.includes(name) || isLogName(name) || ConfigHistory.isHistoryFileName(name))
        yield* this.disk.remove(name);
    yield* this.history.load([]);
    this.sequence = 0;
    this.currentLogBytes = 0;
    this.isClearing = true;
  }

  /** Appends records to the log; they are durable once this has ended. */
  *append(records: LogRecord[]): Task {
    const bytes = Buffer.concat(records.map(encodeLogRecord));
    if (this.isAppendIncomplete)
      yield* this.disk.truncate(logName(this.sequence), this.currentLogBytes);
    this.isAppendIncomplete = true;
    yield* this.disk.append(logName(this.sequence), bytes);
    this.isAppendIncomplete = false;
    this.currentLogBytes += bytes.length;
  }

  /** Writes a durable state to the older slot and starts a new log. */
  *writeSnapshot(state: DurableState): Task {
    const sequence = this.sequence + 1;
    const name = SLOT_NAMES[sequence % SLOT_NAMES.length] ?? "slot-a";
    yield* this.disk.write(name, encodeSlot({ sequence, state }));
    yield* this.disk.write(logName(sequence), Buffer.alloc(0));
    const previousSequence = this.sequence;
    this.sequence = sequence;
    this.currentLogBytes = 0;
    this.isAppendIncomplete = false;
    if (previousSequence > 0) yield* this.disk.remove(logName(previousSequence));
    if (this.isClearing) yield* this.disk.remove(CLEARING_MARKER);
    this.isClearing = false;
  }

  private *readSlots(): Task<{ newest: SnapshotSlot | undefined; damagedCount: number }> {
    let newest: SnapshotSlot | undefined;
    let damagedCount = 0;
    for (const name of SLOT_NAMES) {
      const bytes = yield* this.disk.read(name);
      if (bytes === undefined) continue;
      const slot = decodeSlot(Buffer.from(bytes));
      if (!slot) damagedCount += 1;
      else if (!newest || slot.sequence > newest.sequence) newest = slot;
    }
    return { newest, damagedCount };
  }

  /** Applies the log after the newer slot to the slot's state; returns the damage, if there is any. */
  private *replayLog(state: DurableState): Task<DamagedDisk | undefined> {
    const name = logName(this.sequence);
    const bytes = Buffer.from((yield* this.disk.read(name)) ?? Buffer.alloc(0));
    let intactBytes = 0;
    for (const { body, offset, endOffset } of readRecords(bytes)) {
      if (!replayLogRecord(state, body))
        return damaged(`${name} has a gap in its entries at byte ${offset}.`);
      intactBytes = endOffset;
    }
    if (intactBytes < bytes.length) {
      if (hasRecordAfter(bytes, intactBytes))
        return damaged(`${name} is damaged at byte ${intactBytes}, before an intact record.`);
      yield* this.disk.truncate(name, intactBytes);
    }
    this.currentLogBytes = intactBytes;
    return undefined;
  }
}
