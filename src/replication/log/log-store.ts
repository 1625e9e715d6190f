/** The files of a member's durable state: two snapshot slots written in turn, and a log after the newer one. */
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

/** What a member finds on its disk. */
export type LoadResult =
  | { readonly kind: "empty" }
  | DamagedDisk
  | { readonly kind: "loaded"; readonly state: DurableState };

/** A disk whose files contradict each other or can't be read. */
interface DamagedDisk {
  readonly kind: "damaged";
  readonly why: string;
}

const SLOT_NAMES = ["slot-a", "slot-b"];
/** Exists from before the first file of a damaged disk is removed until a new snapshot is written. */
const CLEARING_MARKER = "clearing";
const LOG_PREFIX = "log-";

const logName = (sequence: number): string => `${LOG_PREFIX}${sequence}`;
const isLogName = (name: string): boolean => name.startsWith(LOG_PREFIX);
const damaged = (why: string): DamagedDisk => ({ kind: "damaged", why });

/** Whether a readable record begins anywhere after an offset: what precedes it is damage, not an incomplete write. */
const hasRecordAfter = (bytes: Buffer, offset: number): boolean => {
  for (let later = offset + 1; later + CHECKSUM_HEADER_BYTES < bytes.length; later += 1)
    if (readChecksummed(bytes, later) !== undefined) return true;
  return false;
};

/** Reads and writes a member's durable state; one write at a time. */
export class LogStore {
  private readonly disk: Disk;
  /** Accepted configs, beside the slots, as far back as there is room. */
  readonly history: ConfigHistory;
  /** What has been received of a leader's snapshot. */
  readonly snapshotPart: SnapshotPartFile;
  /** The number of the newer slot, and of its log. */
  private sequence = 0;
  private logBytes = 0;
  /** Whether an append to the log was begun and not completed. */
  private isAppendIncomplete = false;
  private isClearing = false;

  constructor(disk: Disk, historyBytes = Infinity) {
    this.disk = disk;
    this.history = new ConfigHistory(disk, historyBytes);
    this.snapshotPart = new SnapshotPartFile(disk);
  }

  /** The size of the log after the newest snapshot. */
  get logBytes(): number {
    return this.logBytes;
  }

  /** Reads the disk; an incomplete record at the log's end is cut off, damage before it is reported. */
  *load(): Task<LoadResult> {
    const names = yield* this.disk.list();
    yield* this.snapshotPart.load(names);
    if (names.includes(CLEARING_MARKER)) return damaged("The disk was being cleared.");
    const { newest, damagedCount } = yield* this.readSlots();
    if (!newest) {
      const hasOthers = names.some(
        (name) => isLogName(name) || ConfigHistory.isHistoryFileName(name),
      );
      return hasOthers || damagedCount > 1 ? damaged("No slot can be read.") : { kind: "empty" };
    }
    this.sequence = newest.sequence;
    if (damagedCount > 0 && names.includes(logName(newest.sequence + 1)))
      return damaged("The newer slot can't be read though its log was begun.");
    const damage = yield* this.replayLog(newest.state);
    if (damage) return damage;
    for (const name of names)
      if (isLogName(name) && name !== logName(newest.sequence)) yield* this.disk.remove(name);
    yield* this.history.load(names);
    return { kind: "loaded", state: newest.state };
  }

  /** Clears a damaged disk, which counts as damaged until a new snapshot is written. */
  *clear(): Task {
    yield* this.disk.write(CLEARING_MARKER, Buffer.alloc(0));
    for (const name of yield* this.disk.list())
      if (SLOT_NAMES.includes(name) || isLogName(name) || ConfigHistory.isHistoryFileName(name))
        yield* this.disk.remove(name);
    yield* this.history.load([]);
    this.sequence = 0;
    this.logBytes = 0;
    this.isClearing = true;
  }

  /** Appends records to the log; they are durable once this has ended. */
  *append(records: LogRecord[]): Task {
    const bytes = Buffer.concat(records.map(encodeLogRecord));
    if (this.isAppendIncomplete) yield* this.disk.truncate(logName(this.sequence), this.logBytes);
    this.isAppendIncomplete = true;
    yield* this.disk.append(logName(this.sequence), bytes);
    this.isAppendIncomplete = false;
    this.logBytes += bytes.length;
  }

  /** Writes a durable state to the older slot and begins a new log. */
  *writeSnapshot(state: DurableState): Task {
    const sequence = this.sequence + 1;
    const name = SLOT_NAMES[sequence % SLOT_NAMES.length] ?? "slot-a";
    yield* this.disk.write(name, encodeSlot({ sequence, state }));
    yield* this.disk.write(logName(sequence), Buffer.alloc(0));
    const former = this.sequence;
    this.sequence = sequence;
    this.logBytes = 0;
    this.isAppendIncomplete = false;
    if (former > 0) yield* this.disk.remove(logName(former));
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

  /** Applies the log after the newer slot to its state; returns the damage that was found, if any. */
  private *replayLog(state: DurableState): Task<DamagedDisk | undefined> {
    const name = logName(this.sequence);
    const bytes = Buffer.from((yield* this.disk.read(name)) ?? Buffer.alloc(0));
    let end = 0;
    for (const { body, offset, endOffset } of readRecords(bytes)) {
      if (!replayLogRecord(state, body)) return damaged(`The log has a gap at byte ${offset}.`);
      end = endOffset;
    }
    if (end < bytes.length) {
      if (hasRecordAfter(bytes, end))
        return damaged(`The log is damaged at byte ${end}, before its tail.`);
      yield* this.disk.truncate(name, end);
    }
    this.logBytes = end;
    return undefined;
  }
}
