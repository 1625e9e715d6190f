import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import type { AcceptedConfig } from "../../state/state-machine.js";
import { HistoryFormat, type HistoryLayout } from "./history-format.js";

/** How many configs one file holds at most: more take less room, since only the first is whole, but longer to read back. Former builds' files hold so many, save the last. */
export const CONFIGS_PER_FILE = 64;
/** A file is at most this part of what the history may take, unless a single config is larger. */
const filesInLimit = 16;
/** No file is closed because of its size before it has this many bytes. */
const leastFileBytes = 64 * 1024;
/** How much text one piece of the history carries, unless a single config is larger. */
const pieceTextBytes = 1024 * 1024;

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
  /** How many configs it holds; until the file was measured, as many as its place allows. */
  count: number;
  /** How long it is, once it was measured. */
  bytes: number | undefined;
  /** Whether fewer configs were read from it than it should hold. */
  isDamaged: boolean;
}

const lastOf = ({ first, count }: HistoryFile): number => first + count - 1;
const formerName = /^history-(\d+)$/;
const currentName = /^configs-(\d+)$/;

const fileOf = (name: string): HistoryFile | undefined => {
  const unread = { name, count: 0, bytes: undefined, isDamaged: false };
  const former = formerName.exec(name)?.[1];
  if (former !== undefined)
    return { ...unread, layout: "whole", first: Number(former) * CONFIGS_PER_FILE + 1 };
  const first = currentName.exec(name)?.[1];
  return first === undefined ? undefined : { ...unread, layout: "changes", first: Number(first) };
};

/**
 * Accepted configs on this member's disk, in files that are only added to. The files together take a bounded number of
 * bytes: the oldest file is removed first. Sequences may be missing between files, after a snapshot or damage.
 * All methods that write are called by the owner of the disk, one at a time.
 */
export class ConfigHistory {
  private readonly disk: Disk;
  /** How many bytes all files together may take; it shrinks when the disk proved full. */
  private limitBytes: number;
  /** By their first sequences, upward. */
  private files: HistoryFile[] = [];
  /** The config that was added last and its file, to which the next one is added as a change. */
  private tail: { file: HistoryFile; config: AcceptedConfig } | undefined;
  /** The newest config that this member removed for lack of room, or 0. */
  letGoUpTo = 0;

  constructor(disk: Disk, limitBytes = Infinity) {
    this.disk = disk;
    this.limitBytes = limitBytes;
  }

  static isName(name: string): boolean {
    return formerName.test(name) || currentName.test(name);
  }

  /** The newest config that is kept, or 0. */
  get newest(): number {
    const last = this.files.at(-1);
    return last ? lastOf(last) : 0;
  }

  /** How many bytes the files take that were measured. */
  get bytes(): number {
    return this.files.reduce((sum, { bytes = 0 }) => sum + bytes, 0);
  }

  /** Whether older configs may still be added without others having to go. */
  get hasRoom(): boolean {
    return this.bytes < (this.limitBytes * 3) / 4;
  }

  /** Whether a file was found to hold fewer configs than it should. */
  get isDamaged(): boolean {
    return this.files.some((file) => file.isDamaged);
  }

  /** Reads which files there are, and how far the newest goes; what is torn or damaged at its end is cut. */
  *load(names: string[]): Task {
    this.tail = undefined;
    this.files = names
      .map(fileOf)
      .filter((file) => file !== undefined)
      .sort((a, b) => a.first - b.first);
    for (const [at, file] of this.files.entries()) {
      const next = this.files[at + 1];
      file.count = next ? Math.min(CONFIGS_PER_FILE, next.first - file.first) : 0;
    }
    for (let last = this.files.at(-1); last && last.bytes === undefined; last = this.files.at(-1))
      yield* this.measure(last);
  }

  /** Measures every file that was not yet; where one is damaged the rest of it is cut off, and what went so is told. */
  *check(): Task<SequenceRange[]> {
    const damaged: SequenceRange[] = [];
    for (const file of [...this.files]) {
      if (file.bytes !== undefined && !file.isDamaged) continue;
      const last = lastOf(file);
      const wasCut = yield* this.measure(file);
      if (wasCut && lastOf(file) < last) damaged.push({ from: lastOf(file) + 1, to: last });
    }
    return damaged;
  }

  /** Adds configs in the order of their sequences; what is kept already is passed over. They last once this has ended. */
  *add(configs: readonly AcceptedConfig[]): Task {
    const lacking = configs.filter(({ sequence }) => !this.fileWith(sequence));
    for (let at = 0; at < lacking.length;) at += yield* this.addSome(lacking.slice(at));
  }

  /** Removes the oldest files until the rest is within what the history may take; tells what went. */
  *shrink(): Task<SequenceRange | undefined> {
    let from: number | undefined;
    while (this.bytes > this.limitBytes && this.files.length > 1) {
      const range = yield* this.removeOldest();
      from ??= range?.from;
    }
    return from === undefined ? undefined : { from, to: this.letGoUpTo };
  }

  /** Makes room on a full disk by removing the oldest file, never the newest; the history takes no more than the rest from then on. */
  *makeRoom(): Task<SequenceRange | undefined> {
    const range = yield* this.removeOldest();
    if (range) this.limitBytes = Math.min(this.limitBytes, this.bytes);
    return range;
  }

  /** One config; `undefined` where it isn't kept here or is damaged. */
  *read(sequence: number): Task<AcceptedConfig | undefined> {
    for (const config of yield* this.from(sequence, () => true)) return config;
    return undefined;
  }

  /** Configs from a sequence on that follow one another, as they travel. */
  *piece(from: number): Task<Uint8Array> {
    let textBytes = 0;
    const configs = yield* this.from(from, ({ text }) => {
      textBytes += text.length;
      return textBytes >= pieceTextBytes;
    });
    return ConfigHistory.pack(configs);
  }

  /** The newest sequences below one that are not kept here, as a range without a gap; `undefined` where none is missing. */
  missingBelow(sequence: number): SequenceRange | undefined {
    let to = sequence - 1;
    for (const file of [...this.files].reverse()) {
      if (lastOf(file) < to) return { from: lastOf(file) + 1, to };
      to = Math.min(to, file.first - 1);
    }
    return to < 1 ? undefined : { from: 1, to };
  }

  /** Configs as they travel, as many as one piece may carry. */
  static pack(configs: readonly AcceptedConfig[]): Uint8Array {
    const pieces: Buffer[] = [];
    let textBytes = 0;
    for (const config of configs) {
      if (pieces.length > 0 && textBytes + config.text.length > pieceTextBytes) break;
      pieces.push(HistoryFormat.whole(config));
      textBytes += config.text.length;
    }
    return Buffer.concat(pieces);
  }

  /** Reads what another sent; nothing where it doesn't begin with the wanted config. */
  static unpack(bytes: Uint8Array, from: number): AcceptedConfig[] {
    return [...HistoryFormat.read(Buffer.from(bytes), from, "whole")];
  }

  private fileWith(sequence: number): HistoryFile | undefined {
    return this.files.find((file) => file.first <= sequence && sequence <= lastOf(file));
  }

  private get fileBytes(): number {
    return Math.max(leastFileBytes, this.limitBytes / filesInLimit);
  }

  /** Adds what fits into one file, and tells how many configs that were. */
  private *addSome(configs: readonly AcceptedConfig[]): Task<number> {
    const [first] = configs;
    if (!first) return 0;
    const { file, former } = yield* this.fileFor(first.sequence);
    const records: Buffer[] = [];
    let last = former;
    let bytes = file.bytes ?? 0;
    for (const config of configs) {
      const isFull = file.count + records.length >= CONFIGS_PER_FILE || bytes > this.fileBytes;
      if (last && (isFull || config.sequence !== last.sequence + 1)) break;
      const record = HistoryFormat.following(last, config);
      records.push(record);
      bytes += record.length;
      last = config;
    }
    yield* this.write(file, Buffer.concat(records));
    file.count += records.length;
    file.bytes = bytes;
    if (last) this.tail = { file, config: last };
    return records.length;
  }

  private *write(file: HistoryFile, records: Uint8Array): Task {
    this.tail = undefined;
    if (file.count > 0) return yield* this.disk.append(file.name, records);
    yield* this.disk.write(file.name, records);
    this.files = [...this.files, file].sort((a, b) => a.first - b.first);
  }

  /** The file that takes the config of a sequence, and the config before it in that file; what a broken addition left is cut. */
  private *fileFor(
    sequence: number,
  ): Task<{ file: HistoryFile; former: AcceptedConfig | undefined }> {
    const before = this.fileWith(sequence - 1);
    if (before && this.goesOn(before, sequence)) {
      if (this.tail?.file === before) return { file: before, former: this.tail.config };
      yield* this.measure(before);
      const former = this.goesOn(before, sequence) ? yield* this.read(sequence - 1) : undefined;
      if (former) return { file: before, former };
    }
    const file: HistoryFile = {
      name: `configs-${sequence}`,
      layout: "changes",
      first: sequence,
      count: 0,
      bytes: 0,
      isDamaged: false,
    };
    return { file, former: undefined };
  }

  /** Whether a file can take the config of a sequence as its next one. */
  private goesOn(file: HistoryFile, sequence: number): boolean {
    return (
      file.layout === "changes" &&
      lastOf(file) + 1 === sequence &&
      file.count < CONFIGS_PER_FILE &&
      (file.bytes ?? 0) <= this.fileBytes
    );
  }

  /** Reads configs of one file from a sequence on, until one of them is enough. */
  private *from(
    sequence: number,
    isEnough: (config: AcceptedConfig) => boolean,
  ): Task<AcceptedConfig[]> {
    const file = this.fileWith(sequence);
    if (!file) return [];
    const last = lastOf(file);
    const bytes = Buffer.from((yield* this.disk.read(file.name)) ?? Buffer.alloc(0));
    const found: AcceptedConfig[] = [];
    let read = file.first - 1;
    for (const config of HistoryFormat.read(bytes, file.first, file.layout)) {
      if (config.sequence > last) break;
      read = config.sequence;
      if (read < sequence) continue;
      found.push(config);
      if (isEnough(config)) return found;
    }
    if (read < last && this.files.includes(file)) file.isDamaged = true;
    return found;
  }

  /** Reads how many configs a file holds and cuts off what is torn or damaged after them; tells whether anything was. */
  private *measure(file: HistoryFile): Task<boolean> {
    const bytes = Buffer.from((yield* this.disk.read(file.name)) ?? Buffer.alloc(0));
    const { count, wholeBytes } = HistoryFormat.measure(bytes);
    if (wholeBytes < bytes.length) yield* this.disk.truncate(file.name, wholeBytes);
    file.count = count;
    file.bytes = wholeBytes;
    file.isDamaged = false;
    if (count === 0) {
      this.files = this.files.filter((one) => one !== file);
      yield* this.disk.remove(file.name);
    }
    return wholeBytes < bytes.length;
  }

  private *removeOldest(): Task<SequenceRange | undefined> {
    const [oldest, ...others] = this.files;
    if (!oldest || others.length === 0) return undefined;
    yield* this.disk.remove(oldest.name);
    this.files = this.files.filter((file) => file !== oldest);
    this.letGoUpTo = Math.max(this.letGoUpTo, lastOf(oldest));
    return { from: oldest.first, to: lastOf(oldest) };
  }
}
