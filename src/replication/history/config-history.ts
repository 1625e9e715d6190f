/** The accepted configs on a member's disk. */
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
 * How many configs one file has at most: more take less room, since only the first is complete, but longer to read back.
 * Files of former builds have so many, save the last.
 */
export const CONFIGS_PER_FILE = 64;
/** A file takes at most this part of the quota, unless a single config is larger. */
const MAX_FILE_QUOTA_FRACTION = 1 / 16;
/** No file is full because of its size before it has this many bytes. */
const MIN_FULL_FILE_BYTES = 64 * 1024;
/** How much text one piece that travels carries, unless a single config is larger. */
const MAX_PIECE_TEXT_LENGTH = 1024 * 1024;

/** Sequences from the first to the last, both included. */
export interface SequenceRange {
  readonly from: number;
  readonly to: number;
}

/** One file of the history: configs that follow one another. */
interface HistoryFile {
  readonly name: string;
  readonly layout: HistoryLayout;
  readonly first: number;
  /** How many configs it has; until the file was measured, as many as fit before the next file. */
  count: number;
  /** How long it is, once it was measured. */
  measuredBytes: number | undefined;
  /** Whether fewer configs were read from it than it should have. */
  isDamaged: boolean;
}

const lastSequenceOf = ({ first, count }: HistoryFile): number => first + count - 1;
const LEGACY_FILE_NAME = /^history-(\d+)$/;
const FILE_NAME = /^configs-(\d+)$/;

const fileFromName = (name: string): HistoryFile | undefined => {
  const unmeasured = { name, count: 0, measuredBytes: undefined, isDamaged: false };
  const former = LEGACY_FILE_NAME.exec(name)?.[1];
  if (former !== undefined)
    return { ...unmeasured, layout: "complete", first: Number(former) * CONFIGS_PER_FILE + 1 };
  const first = FILE_NAME.exec(name)?.[1];
  return first === undefined
    ? undefined
    : { ...unmeasured, layout: "deltas", first: Number(first) };
};

/**
 * Accepted configs on this member's disk, in files that are only added to. The files together take a bounded number of
 * bytes: the oldest file is removed first. Sequences may be missing between files, after a snapshot or damage.
 * All methods that write are called by the owner of the disk, one at a time.
 */
export class ConfigHistory {
  private readonly disk: Disk;
  /** How many bytes all files together may take; it shrinks when the disk was full. */
  private quotaBytes: number;
  /** By their first sequences, upward. */
  private files: HistoryFile[] = [];
  /** The config that was added last and its file, to which the next one is added as a delta. */
  private tail: { file: HistoryFile; config: AcceptedConfig } | undefined;
  private lastRemoved = 0;

  constructor(disk: Disk, quotaBytes = Infinity) {
    this.disk = disk;
    this.quotaBytes = quotaBytes;
  }

  /** Whether a file of this name belongs to a history. */
  static isHistoryFileName(name: string): boolean {
    return LEGACY_FILE_NAME.test(name) || FILE_NAME.test(name);
  }

  /** The sequence of the newest config that this member removed for lack of room, or 0. */
  get removedUpTo(): number {
    return this.lastRemoved;
  }

  /** The sequence of the newest stored config, or 0. */
  get newestSequence(): number {
    const last = this.files.at(-1);
    return last ? lastSequenceOf(last) : 0;
  }

  /** The size of all files that were measured. */
  get measuredBytes(): number {
    return this.files.reduce((sum, { measuredBytes = 0 }) => sum + measuredBytes, 0);
  }

  /** Whether older configs may still be added without the removal of others. */
  get hasSpareQuota(): boolean {
    return this.measuredBytes < (this.quotaBytes * 3) / 4;
  }

  /** Whether a file was found to have fewer configs than it should. */
  get isDamaged(): boolean {
    return this.files.some((file) => file.isDamaged);
  }

  /** Finds the files among a disk's names, and measures the newest; what is incomplete or damaged at its end is cut off. */
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

  /** Measures every file that was not yet; cuts off what follows damage, and returns the sequences that were lost. */
  *check(): Task<SequenceRange[]> {
    const damaged: SequenceRange[] = [];
    for (const file of [...this.files]) {
      if (file.measuredBytes !== undefined && !file.isDamaged) continue;
      const last = lastSequenceOf(file);
      const wasCut = yield* this.measure(file);
      if (wasCut && lastSequenceOf(file) < last)
        damaged.push({ from: lastSequenceOf(file) + 1, to: last });
    }
    return damaged;
  }

  /** Adds configs in the order of their sequences, save those that are stored already. They are durable once this has ended. */
  *add(configs: readonly AcceptedConfig[]): Task {
    const missing = configs.filter(({ sequence }) => !this.fileWith(sequence));
    for (let added = 0; added < missing.length;)
      added += yield* this.addToFile(missing.slice(added));
  }

  /** Removes the oldest files until the rest is within the quota; returns the sequences that were removed. */
  *shrink(): Task<SequenceRange | undefined> {
    let from: number | undefined;
    while (this.measuredBytes > this.quotaBytes && this.files.length > 1) {
      const range = yield* this.removeOldest();
      from ??= range?.from;
    }
    return from === undefined ? undefined : { from, to: this.lastRemoved };
  }

  /** Removes the oldest file of a full disk, never the newest; the quota is what the rest takes from then on. */
  *reclaim(): Task<SequenceRange | undefined> {
    const range = yield* this.removeOldest();
    if (range) this.quotaBytes = Math.min(this.quotaBytes, this.measuredBytes);
    return range;
  }

  /** Reads one config; `undefined` where it isn't stored here or is damaged. */
  *read(sequence: number): Task<AcceptedConfig | undefined> {
    for (const config of yield* this.readFrom(sequence, () => true)) return config;
    return undefined;
  }

  /** Reads configs from a sequence on that follow one another, as they travel. */
  *readPiece(from: number): Task<Uint8Array> {
    let textBytes = 0;
    const configs = yield* this.readFrom(from, ({ text }) => {
      textBytes += text.length;
      return textBytes >= MAX_PIECE_TEXT_LENGTH;
    });
    return ConfigHistory.packPiece(configs);
  }

  /** The newest sequences below one that are not stored here, as a range without a gap; `undefined` where none is missing. */
  findMissingBelow(sequence: number): SequenceRange | undefined {
    let to = sequence - 1;
    for (const file of [...this.files].reverse()) {
      if (lastSequenceOf(file) < to) return { from: lastSequenceOf(file) + 1, to };
      to = Math.min(to, file.first - 1);
    }
    return to < 1 ? undefined : { from: 1, to };
  }

  /** Configs as they travel, as many as one piece may carry. */
  static packPiece(configs: readonly AcceptedConfig[]): Uint8Array {
    const pieces: Buffer[] = [];
    let textBytes = 0;
    for (const config of configs) {
      if (pieces.length > 0 && textBytes + config.text.length > MAX_PIECE_TEXT_LENGTH) break;
      pieces.push(encodeCompleteConfig(config));
      textBytes += config.text.length;
    }
    return Buffer.concat(pieces);
  }

  /** Reads what another sent; nothing where it doesn't begin with the wanted config. */
  static unpackPiece(measuredBytes: Uint8Array, from: number): AcceptedConfig[] {
    return [...readConfigs(Buffer.from(measuredBytes), from, "complete")];
  }

  private fileWith(sequence: number): HistoryFile | undefined {
    return this.files.find((file) => file.first <= sequence && sequence <= lastSequenceOf(file));
  }

  private get fileBytes(): number {
    return Math.max(MIN_FULL_FILE_BYTES, this.quotaBytes * MAX_FILE_QUOTA_FRACTION);
  }

  /** Adds what fits into one file; returns how many configs that were. */
  private *addToFile(configs: readonly AcceptedConfig[]): Task<number> {
    const [first] = configs;
    if (!first) return 0;
    const { file, previous } = yield* this.fileFor(first.sequence);
    const records: Buffer[] = [];
    let last = previous;
    let measuredBytes = file.measuredBytes ?? 0;
    for (const config of configs) {
      const isFull =
        file.count + records.length >= CONFIGS_PER_FILE || measuredBytes > this.fileBytes;
      if (last && (isFull || config.sequence !== last.sequence + 1)) break;
      const record = encodeNextConfig(last, config);
      records.push(record);
      measuredBytes += record.length;
      last = config;
    }
    yield* this.write(file, Buffer.concat(records));
    file.count += records.length;
    file.measuredBytes = measuredBytes;
    if (last) this.tail = { file, config: last };
    return records.length;
  }

  private *write(file: HistoryFile, records: Uint8Array): Task {
    this.tail = undefined;
    if (file.count > 0) return yield* this.disk.append(file.name, records);
    yield* this.disk.write(file.name, records);
    this.files = [...this.files, file].sort((a, b) => a.first - b.first);
  }

  /** The file to which a sequence is added, and the config before it in that file; what a failed addition left is cut off. */
  private *fileFor(
    sequence: number,
  ): Task<{ file: HistoryFile; previous: AcceptedConfig | undefined }> {
    const before = this.fileWith(sequence - 1);
    if (before && this.canAppend(before, sequence)) {
      if (this.tail?.file === before) return { file: before, previous: this.tail.config };
      yield* this.measure(before);
      const previous = this.canAppend(before, sequence)
        ? yield* this.read(sequence - 1)
        : undefined;
      if (previous) return { file: before, previous };
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

  /** Whether the config of a sequence can be the next one of a file. */
  private canAppend(file: HistoryFile, sequence: number): boolean {
    return (
      file.layout === "deltas" &&
      lastSequenceOf(file) + 1 === sequence &&
      file.count < CONFIGS_PER_FILE &&
      (file.measuredBytes ?? 0) <= this.fileBytes
    );
  }

  /** Reads configs of one file from a sequence on, until one of them is enough. */
  private *readFrom(
    sequence: number,
    isEnough: (config: AcceptedConfig) => boolean,
  ): Task<AcceptedConfig[]> {
    const file = this.fileWith(sequence);
    if (!file) return [];
    const last = lastSequenceOf(file);
    const measuredBytes = Buffer.from((yield* this.disk.read(file.name)) ?? Buffer.alloc(0));
    const found: AcceptedConfig[] = [];
    let lastRead = file.first - 1;
    for (const config of readConfigs(measuredBytes, file.first, file.layout)) {
      if (config.sequence > last) break;
      lastRead = config.sequence;
      if (lastRead < sequence) continue;
      found.push(config);
      if (isEnough(config)) return found;
    }
    if (lastRead < last && this.files.includes(file)) file.isDamaged = true;
    return found;
  }

  /** Counts the configs of a file and cuts off what is incomplete or damaged after them; returns whether anything was. */
  private *measure(file: HistoryFile): Task<boolean> {
    const measuredBytes = Buffer.from((yield* this.disk.read(file.name)) ?? Buffer.alloc(0));
    const { count, intactBytes } = measureRecords(measuredBytes);
    if (intactBytes < measuredBytes.length) yield* this.disk.truncate(file.name, intactBytes);
    file.count = count;
    file.measuredBytes = intactBytes;
    file.isDamaged = false;
    if (count === 0) {
      this.files = this.files.filter((one) => one !== file);
      yield* this.disk.remove(file.name);
    }
    return intactBytes < measuredBytes.length;
  }

  private *removeOldest(): Task<SequenceRange | undefined> {
    const [oldest, ...others] = this.files;
    if (!oldest || others.length === 0) return undefined;
    yield* this.disk.remove(oldest.name);
    this.files = this.files.filter((file) => file !== oldest);
    this.lastRemoved = Math.max(this.lastRemoved, lastSequenceOf(oldest));
    return { from: oldest.first, to: lastSequenceOf(oldest) };
  }
}
