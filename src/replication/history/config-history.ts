/** Stores accepted configs on a member's disk. */
import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import type { AcceptedConfig } from "../../state/accepted-config.js";
import {
  encodeCompleteConfig,
  encodeNextConfig,
  measureRecords,
  readConfigs,
  type HistoryLayout,
} from "./history-format.js";

/**
 * Maximum number of configs in a file. More would need fewer bytes, since only the first is complete, but take longer to
 * read back. All files of earlier builds, except their last, contain exactly this number.
 */
export const CONFIGS_PER_FILE = 64;
/** Maximum size of a file as a fraction of the quota; a single larger config exceeds it. */
const MAX_FILE_QUOTA_FRACTION = 1 / 16;
/** Minimum size at which a file may count as full, in bytes. */
const MIN_FULL_FILE_BYTES = 64 * 1024;
/** Maximum length of the configs' text in one transmitted piece, in UTF-16 code units; a single larger config exceeds it. */
const MAX_PIECE_TEXT_LENGTH = 1024 * 1024;

/** Length of the configs' text from which a batch is written, in UTF-16 code units. */
const MAX_BATCH_TEXT_LENGTH = 4 * 1024 * 1024;

/** A range of sequences, inclusive. */
export interface SequenceRange {
  readonly from: number;
  readonly to: number;
}

/** One file of the history; its configs have consecutive sequences. */
interface HistoryFile {
  readonly name: string;
  readonly layout: HistoryLayout;
  readonly first: number;
  /** The number of configs; until the file is measured, the number that fits before the next file's first sequence. */
  count: number;
  /** The file's size, once it is measured. */
  measuredBytes: number | undefined;
  /** Whether fewer configs than `count` could be read. */
  isDamaged: boolean;
}

const lastSequenceOf = ({ first, count }: HistoryFile): number => first + count - 1;
const LEGACY_FILE_NAME = /^history-(\d+)$/;
const FILE_NAME = /^configs-(\d+)$/;

const fileFromName = (name: string): HistoryFile | undefined => {
  const unmeasured = { name, count: 0, measuredBytes: undefined, isDamaged: false };
  const legacyNumber = LEGACY_FILE_NAME.exec(name)?.[1];
  if (legacyNumber !== undefined)
    return {
      ...unmeasured,
      layout: "complete",
      first: Number(legacyNumber) * CONFIGS_PER_FILE + 1,
    };
  const first = FILE_NAME.exec(name)?.[1];
  return first === undefined
    ? undefined
    : { ...unmeasured, layout: "deltas", first: Number(first) };
};

/**
 * Accepted configs on this member's disk, in append-only files. Their total size is bounded: the oldest file is removed
 * first. Sequences may be missing between files, after a snapshot or damage. The owner of the disk calls the methods that
 * write, one at a time.
 */
export class ConfigHistory {
  private readonly disk: Disk;
  /** Maximum total size of the files, in bytes; it shrinks when the disk is full. */
  private quotaBytes: number;
  /** The files in ascending order of their first sequences. */
  private files: HistoryFile[] = [];
  /** The last added config and its file, to which the next config is appended as a delta. */
  private tail: { file: HistoryFile; config: AcceptedConfig } | undefined;
  private lastRemoved = 0;

  constructor(disk: Disk, quotaBytes = Infinity) {
    this.disk = disk;
    this.quotaBytes = quotaBytes;
  }

  /** Whether a file name is that of a history file. */
  static isHistoryFileName(name: string): boolean {
    return LEGACY_FILE_NAME.test(name) || FILE_NAME.test(name);
  }

  /** The sequence of the newest config that this member removed to free disk space, or 0. */
  get removedUpTo(): number {
    return this.lastRemoved;
  }

  /** The sequence of the newest stored config, or 0. */
  get newestSequence(): number {
    const last = this.files.at(-1);
    return last ? lastSequenceOf(last) : 0;
  }

  /** The total size of the measured files. */
  get measuredBytes(): number {
    return this.files.reduce((sum, { measuredBytes = 0 }) => sum + measuredBytes, 0);
  }

  /** Whether older configs may be added without exceeding the quota soon: less than three quarters of it are used. */
  get hasSpareQuota(): boolean {
    return this.measuredBytes < (this.quotaBytes * 3) / 4;
  }

  /** Whether fewer configs than expected could be read from some file. */
  get isDamaged(): boolean {
    return this.files.some((file) => file.isDamaged);
  }

  /** Finds the history files among a disk's file names and measures the newest, truncating incomplete or damaged records. */
  *load(names: string[]): Task {
    this.tail = undefined;
    this.files = names
      .map(fileFromName)
      .filter((file) => file !== undefined)
      .sort((a, b) => a.first - b.first);
    for (const [position, file] of this.files.entries()) {
      const next = this.files[position + 1];
      file.count = next ? Math.min(CONFIGS_PER_FILE, next.first - file.first) : 0;
    }
    for (
      let last = this.files.at(-1);
      last && last.measuredBytes === undefined;
      last = this.files.at(-1)
    )
      yield* this.measure(last);
  }

  /** Measures all unmeasured or damaged files; truncates each at the first damage, and returns the lost sequences. */
  *check(): Task<SequenceRange[]> {
    const damaged: SequenceRange[] = [];
    for (const file of [...this.files]) {
      if (file.measuredBytes !== undefined && !file.isDamaged) continue;
      const last = lastSequenceOf(file);
      const wasTruncated = yield* this.measure(file);
      if (wasTruncated && lastSequenceOf(file) < last)
        damaged.push({ from: lastSequenceOf(file) + 1, to: last });
    }
    return damaged;
  }

  /** Adds configs in the order of their sequences, except those already stored. They are durable once this has ended. */
  *add(configs: Iterable<AcceptedConfig>): Task {
    let batch: AcceptedConfig[] = [];
    let textLength = 0;
    for (const config of configs) {
      if (this.findFile(config.sequence)) continue;
      batch.push(config);
      textLength += config.text.length;
      if (batch.length < CONFIGS_PER_FILE && textLength < MAX_BATCH_TEXT_LENGTH) continue;
      yield* this.addBatch(batch);
      batch = [];
      textLength = 0;
    }
    yield* this.addBatch(batch);
  }

  /** Removes the oldest files until the rest is within the quota; returns the removed sequences. */
  *shrink(): Task<SequenceRange | undefined> {
    let from: number | undefined;
    while (this.measuredBytes > this.quotaBytes && this.files.length > 1) {
      const range = yield* this.removeOldest();
      from ??= range?.from;
    }
    return from === undefined ? undefined : { from, to: this.lastRemoved };
  }

  /** Removes the oldest file because the disk is full, never the newest; the quota shrinks to the size of the rest. */
  *reclaim(): Task<SequenceRange | undefined> {
    const range = yield* this.removeOldest();
    if (range) this.quotaBytes = Math.min(this.quotaBytes, this.measuredBytes);
    return range;
  }

  /** Reads one config; `undefined` if it isn't stored here or is damaged. */
  *read(sequence: number): Task<AcceptedConfig | undefined> {
    for (const config of yield* this.readFrom(sequence, () => true)) return config;
    return undefined;
  }

  /** Reads consecutive configs from a sequence on, encoded as one transmitted piece. */
  *readPiece(from: number): Task<Uint8Array> {
    let textLength = 0;
    const configs = yield* this.readFrom(from, ({ text }) => {
      textLength += text.length;
      return textLength >= MAX_PIECE_TEXT_LENGTH;
    });
    return ConfigHistory.packPiece(configs);
  }

  /**
   * Returns the newest contiguous range of sequences below a given one that isn't stored here; `undefined` if none is
   * missing.
   */
  findMissingBelow(sequence: number): SequenceRange | undefined {
    let to = sequence - 1;
    for (const file of [...this.files].reverse()) {
      if (lastSequenceOf(file) < to) return { from: lastSequenceOf(file) + 1, to };
      to = Math.min(to, file.first - 1);
    }
    return to < 1 ? undefined : { from: 1, to };
  }

  /** Encodes as many of the configs as one transmitted piece may contain. */
  static packPiece(configs: Iterable<AcceptedConfig>): Uint8Array {
    const pieces: Buffer[] = [];
    let textLength = 0;
    for (const config of configs) {
      if (pieces.length > 0 && textLength + config.text.length > MAX_PIECE_TEXT_LENGTH) break;
      pieces.push(encodeCompleteConfig(config));
      textLength += config.text.length;
    }
    return Buffer.concat(pieces);
  }

  /** Decodes a piece that another member sent; empty if it doesn't begin with the requested config. */
  static unpackPiece(bytes: Uint8Array, from: number): AcceptedConfig[] {
    return [...readConfigs(Buffer.from(bytes), from, "complete")];
  }

  private findFile(sequence: number): HistoryFile | undefined {
    return this.files.find((file) => file.first <= sequence && sequence <= lastSequenceOf(file));
  }

  private get maxFileBytes(): number {
    return Math.max(MIN_FULL_FILE_BYTES, this.quotaBytes * MAX_FILE_QUOTA_FRACTION);
  }

  private *addBatch(configs: readonly AcceptedConfig[]): Task {
    for (let added = 0; added < configs.length;)
      added += yield* this.addToFile(configs.slice(added));
  }

  /** Adds as many configs as fit into one file; returns their number. */
  private *addToFile(configs: readonly AcceptedConfig[]): Task<number> {
    const [first] = configs;
    if (!first) return 0;
    const { file, previous } = yield* this.selectFile(first.sequence);
    const records: Buffer[] = [];
    let last = previous;
    let bytes = file.measuredBytes ?? 0;
    for (const config of configs) {
      const isFull = file.count + records.length >= CONFIGS_PER_FILE || bytes > this.maxFileBytes;
      if (last && (isFull || config.sequence !== last.sequence + 1)) break;
      const record = encodeNextConfig(last, config);
      records.push(record);
      bytes += record.length;
      last = config;
    }
    yield* this.write(file, Buffer.concat(records));
    file.count += records.length;
    file.measuredBytes = bytes;
    if (last) this.tail = { file, config: last };
    return records.length;
  }

  private *write(file: HistoryFile, records: Uint8Array): Task {
    this.tail = undefined;
    if (file.count > 0) return yield* this.disk.append(file.name, records);
    yield* this.disk.write(file.name, records);
    this.files = [...this.files, file].sort((a, b) => a.first - b.first);
  }

  /** Selects the file for a sequence, and the config before it in that file; truncates the remains of a failed append. */
  private *selectFile(
    sequence: number,
  ): Task<{ file: HistoryFile; previous: AcceptedConfig | undefined }> {
    const previousFile = this.findFile(sequence - 1);
    if (previousFile && this.canAppend(previousFile, sequence)) {
      if (this.tail?.file === previousFile)
        return { file: previousFile, previous: this.tail.config };
      yield* this.measure(previousFile);
      const previous = this.canAppend(previousFile, sequence)
        ? yield* this.read(sequence - 1)
        : undefined;
      if (previous) return { file: previousFile, previous };
    }
    const file: HistoryFile = {
      name: `configs-${sequence}`,
      layout: "deltas",
      first: sequence,
      count: 0,
      measuredBytes: 0,
      isDamaged: false,
    };
    return { file, previous: undefined };
  }

  /** Whether the config with a sequence can be appended to a file. */
  private canAppend(file: HistoryFile, sequence: number): boolean {
    return (
      file.layout === "deltas" &&
      lastSequenceOf(file) + 1 === sequence &&
      file.count < CONFIGS_PER_FILE &&
      (file.measuredBytes ?? 0) <= this.maxFileBytes
    );
  }

  /** Reads the configs of one file from a sequence on, up to the first for which `isEnough` holds. */
  private *readFrom(
    sequence: number,
    isEnough: (config: AcceptedConfig) => boolean,
  ): Task<AcceptedConfig[]> {
    const file = this.findFile(sequence);
    if (!file) return [];
    const last = lastSequenceOf(file);
    const bytes = Buffer.from((yield* this.disk.read(file.name)) ?? Buffer.alloc(0));
    const found: AcceptedConfig[] = [];
    let lastRead = file.first - 1;
    for (const config of readConfigs(bytes, file.first, file.layout)) {
      if (config.sequence > last) break;
      lastRead = config.sequence;
      if (lastRead < sequence) continue;
      found.push(config);
      if (isEnough(config)) return found;
    }
    if (lastRead < last && this.files.includes(file)) file.isDamaged = true;
    return found;
  }

  /** Counts the intact configs of a file and truncates the rest; returns whether the file was truncated. */
  private *measure(file: HistoryFile): Task<boolean> {
    const bytes = Buffer.from((yield* this.disk.read(file.name)) ?? Buffer.alloc(0));
    const { count, intactBytes } = measureRecords(bytes);
    if (intactBytes < bytes.length) yield* this.disk.truncate(file.name, intactBytes);
    file.count = count;
    file.measuredBytes = intactBytes;
    file.isDamaged = false;
    if (count === 0) {
      this.files = this.files.filter((other) => other !== file);
      yield* this.disk.remove(file.name);
    }
    return intactBytes < bytes.length;
  }

  private *removeOldest(): Task<SequenceRange | undefined> {
    const [oldest, ...newerFiles] = this.files;
    if (!oldest || newerFiles.length === 0) return undefined;
    yield* this.disk.remove(oldest.name);
    this.files = this.files.filter((file) => file !== oldest);
    this.lastRemoved = Math.max(this.lastRemoved, lastSequenceOf(oldest));
    return { from: oldest.first, to: lastSequenceOf(oldest) };
  }
}
