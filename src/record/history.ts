import { deflateRawSync, inflateRawSync } from "node:zlib";
import { create } from "superstruct";
import type { Disk } from "../runtime/disk.js";
import type { Task } from "../runtime/task.js";
import { acceptedConfigShape, type AcceptedConfig } from "./book.js";
import { seal, unseal, sealBytes } from "./seal.js";

/** How many configs one file holds. */
const fileConfigs = 64;
/** How much of the history one return carries, unless a single config is larger. */
const pieceBytes = 1024 * 1024;

const fileOf = (sequence: number): number => Math.floor((sequence - 1) / fileConfigs);
const nameOf = (file: number): string => `history-${file}`;
const firstOf = (file: number): number => file * fileConfigs + 1;

const encode = (config: AcceptedConfig): Buffer =>
  Buffer.from(seal(deflateRawSync(Buffer.from(JSON.stringify(config), "utf8"))));

/** What a file's bytes hold: configs that follow one another from the file's first on, until the end or the first damage. */
const decode = (bytes: Buffer, file: number): { configs: AcceptedConfig[]; wholeBytes: number } => {
  const configs: AcceptedConfig[] = [];
  let at = 0;
  for (let body = unseal(bytes, at); body !== undefined; body = unseal(bytes, at)) {
    const config = create(JSON.parse(inflateRawSync(body).toString("utf8")), acceptedConfigShape);
    if (config.sequence !== firstOf(file) + configs.length) break;
    configs.push(config);
    at += sealBytes + body.length;
  }
  return { configs, wholeBytes: at };
};

/** Every accepted config, in files that are only added to; none is ever dropped, so the disk is their bound. */
export class History {
  private readonly disk: Disk;
  /** The newest config up to which all are kept, save those in damaged files. */
  newest = 0;
  /** The file added to last and how long it is, where that is known. */
  private tail: { file: number; bytes: number } | undefined;
  /** Files in which damage was found; their configs must be learned again. */
  readonly damaged = new Set<number>();

  constructor(disk: Disk) {
    this.disk = disk;
  }

  static isName(name: string): boolean {
    return /^history-\d+$/.test(name);
  }

  /** Reads how far the history goes; a tail that is torn or damaged is cut. */
  *load(names: string[]): Task {
    const last = Math.max(-1, ...names.filter(History.isName).map((name) => Number(name.slice(8))));
    this.newest = 0;
    this.tail = undefined;
    this.damaged.clear();
    if (last < 0) return;
    const name = nameOf(last);
    const bytes = Buffer.from((yield* this.disk.read(name)) ?? Buffer.alloc(0));
    const { configs, wholeBytes } = decode(bytes, last);
    if (wholeBytes < bytes.length) yield* this.disk.truncate(name, wholeBytes);
    this.newest = firstOf(last) - 1 + configs.length;
    this.tail = { file: last, bytes: wholeBytes };
  }

  /** Reads every full file through; what is damaged is noted. */
  *check(): Task {
    for (let file = 0; firstOf(file + 1) <= this.newest + 1; file += 1) yield* this.readFile(file);
  }

  /** Adds configs that follow on the newest; those that are kept already are passed over. They last once this has ended. */
  *append(configs: AcceptedConfig[]): Task {
    let left = configs.filter(({ sequence }) => sequence > this.newest);
    while (left[0]?.sequence === this.newest + 1) {
      const file = fileOf(this.newest + 1);
      const own = left.filter(
        ({ sequence }, at) => sequence === this.newest + 1 + at && fileOf(sequence) === file,
      );
      const bytes = this.tail?.file === file ? this.tail.bytes : yield* this.cut(file);
      this.tail = undefined;
      const added = Buffer.concat(own.map(encode));
      yield* this.disk.append(nameOf(file), added);
      this.tail = { file, bytes: bytes + added.length };
      this.newest += own.length;
      left = left.slice(own.length);
    }
  }

  /** Writes a damaged file anew from what others hold. */
  *mend(file: number, configs: AcceptedConfig[]): Task {
    this.tail = undefined;
    yield* this.disk.write(nameOf(file), Buffer.concat(configs.map(encode)));
    this.damaged.delete(file);
  }

  /** One config; `undefined` where it isn't kept here or is damaged. */
  *read(sequence: number): Task<AcceptedConfig | undefined> {
    if (sequence < 1 || sequence > this.newest) return undefined;
    return (yield* this.readFile(fileOf(sequence))).find((config) => config.sequence === sequence);
  }

  /** Configs from a sequence on that follow one another, as they travel. */
  *piece(from: number): Task<Uint8Array> {
    if (from < 1 || from > this.newest) return new Uint8Array();
    return History.pack(
      (yield* this.readFile(fileOf(from))).filter(({ sequence }) => sequence >= from),
    );
  }

  /** Configs as they travel, as many as one piece may carry. */
  static pack(configs: AcceptedConfig[]): Uint8Array {
    const pieces: Buffer[] = [];
    let heldBytes = 0;
    for (const config of configs) {
      const piece = encode(config);
      if (pieces.length > 0 && heldBytes + piece.length > pieceBytes) break;
      pieces.push(piece);
      heldBytes += piece.length;
    }
    return Buffer.concat(pieces);
  }

  /** Reads what another sent; nothing where it doesn't begin with the wanted config. */
  static unpack(bytes: Uint8Array, from: number): AcceptedConfig[] {
    const configs: AcceptedConfig[] = [];
    const held = Buffer.from(bytes);
    let at = 0;
    for (let body = unseal(held, at); body !== undefined; body = unseal(held, at)) {
      const config = create(JSON.parse(inflateRawSync(body).toString("utf8")), acceptedConfigShape);
      if (config.sequence !== from + configs.length) return [];
      configs.push(config);
      at += sealBytes + body.length;
    }
    return configs;
  }

  /** The configs of a damaged file that are wanted, from the first to the last. */
  static span(file: number, newest: number): { from: number; to: number } {
    return { from: firstOf(file), to: Math.min(newest, firstOf(file + 1) - 1) };
  }

  /** Cuts off what a broken addition left at a file's end, and tells how long it is then. */
  private *cut(file: number): Task<number> {
    const bytes = Buffer.from((yield* this.disk.read(nameOf(file))) ?? Buffer.alloc(0));
    const { wholeBytes } = decode(bytes, file);
    if (wholeBytes < bytes.length) yield* this.disk.truncate(nameOf(file), wholeBytes);
    return wholeBytes;
  }

  private *readFile(file: number): Task<AcceptedConfig[]> {
    const { from, to } = History.span(file, this.newest);
    const bytes = Buffer.from((yield* this.disk.read(nameOf(file))) ?? Buffer.alloc(0));
    const { configs } = decode(bytes, file);
    if (configs.length < to - from + 1) this.damaged.add(file);
    return configs;
  }
}
