import { deflateRawSync, inflateRawSync } from "node:zlib";
import { create } from "superstruct";
import type { Disk } from "../machine/disk.js";
import type { Task } from "../machine/task.js";
import { acceptedConfigShape, type AcceptedConfig } from "./book.js";
import { seal, unseal, sealBytes } from "./seal.js";

/** How many configs one file holds. */
const fileConfigs = 64;
/** How much of the history one return carries, unless a single config is larger. */
const pieceBytes = 1024 * 1024;

const fileOf = (sequence: number): number => Math.floor((sequence - 1) / fileConfigs);
const nameOf = (file: number): string => `history-${file}`;
const firstOf = (file: number): number => file * fileConfigs + 1;

const encode = (config: AcceptedConfig): Buffer => Buffer.from(seal(deflateRawSync(Buffer.from(JSON.stringify(config), "utf8"))));

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
    this.damaged.clear();
    if (last < 0) return;
    const name = nameOf(last);
    const bytes = Buffer.from((yield* this.disk.read(name)) ?? Buffer.alloc(0));
    const { configs, wholeBytes } = decode(bytes, last);
    if (wholeBytes < bytes.length) yield* this.disk.truncate(name, wholeBytes);
    this.newest = firstOf(last) - 1 + configs.length;
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
      const own = left.filter(({ sequence }, at) => sequence === this.newest + 1 + at && fileOf(sequence) === file);
      const bytes = Buffer.from((yield* this.disk.read(nameOf(file))) ?? Buffer.alloc(0));
      const { wholeBytes } = decode(bytes, file);
      if (wholeBytes < bytes.length) yield* this.disk.truncate(nameOf(file), wholeBytes);
      yield* this.disk.append(nameOf(file), Buffer.concat(own.map(encode)));
      this.newest += own.length;
      left = left.slice(own.length);
    }
  }

  /** Writes a damaged file anew from what others hold. */
  *mend(file: number, configs: AcceptedConfig[]): Task {
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
    return History.pack((yield* this.readFile(fileOf(from))).filter(({ sequence }) => sequence >= from));
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

  private *readFile(file: number): Task<AcceptedConfig[]> {
    const { from, to } = History.span(file, this.newest);
    const bytes = Buffer.from((yield* this.disk.read(nameOf(file))) ?? Buffer.alloc(0));
    const { configs } = decode(bytes, file);
    if (configs.length < to - from + 1) this.damaged.add(file);
    return configs;
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Simulation } = await import("../rehearsal/simulation.js");
  const { Profile } = await import("../rehearsal/profile.js");
  const { VirtualDisk } = await import("../rehearsal/virtualDisk.js");
  const { VirtualClock } = await import("../rehearsal/virtualClock.js");
  const { Draw } = await import("../rehearsal/draw.js");
  const { judge } = await import("../rehearsal/judge.js");
  const { Task: Tasks } = await import("../machine/task.js");
  const fail = (error: unknown): void => {
    throw error;
  };
  const config = (sequence: number): AcceptedConfig => ({ sequence, index: sequence, changeId: `c${sequence}`, acceptedAt: "", text: `{"n":${sequence}}` });
  const setUp = () => {
    const time = new VirtualClock();
    const disk = new VirtualDisk(time.clock(), () => 0.5);
    const run = <T>(task: Task<T>): T => {
      const values: T[] = [];
      Tasks.start(task, fail, (value) => values.push(value));
      time.runUntil(time.nowMs() + 5000);
      for (const value of values) return value;
      throw new Error("The task has not ended.");
    };
    const reopened = (): History => {
      const history = new History(disk);
      run(history.load(run(disk.list())));
      return history;
    };
    return { disk, run, reopened };
  };

  test("hundreds of accepted configs are read back, also after a disk was lost, damaged and the others' machines are gone", () => {
    const simulation = new Simulation(Profile.all.rastro, 3, 0.01);
    const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
    simulation.begin();
    wait(3000);
    while (simulation.ledger.of("accepted").length < 230) {
      simulation.start(simulation.day.putConfig());
      wait(40);
    }
    const [one, two, three] = simulation.machines.filter(({ disk }) => disk);
    if (!one?.disk || !two?.disk || !three?.disk) throw new Error("A recorder is missing.");
    simulation.kill(one, true);
    one.disk.wipe();
    simulation.boot(one);
    simulation.kill(two, true);
    const bent = Buffer.from(two.disk.peek("history-0"));
    bent[400] = (bent[400] ?? 0) ^ 255;
    two.disk.poke("history-0", bent);
    simulation.boot(two);
    wait(8000);
    expect([one, two].map(({ daemon }) => daemon?.recorder?.status.state)).toEqual(["formed", "formed"]);
    expect(simulation.lines.filter((line) => line.includes("damaged file of the history is whole again"))).toHaveLength(1);
    simulation.kill(three, true);
    three.disk.wipe();
    wait(4000);
    simulation.start(simulation.day.readBack());
    wait(60_000);
    expect(simulation.ledger.of("readBack")).toHaveLength(230);
    expect(judge(simulation.ledger).filter(({ rule }) => rule.includes("accepted"))).toEqual([]);
    const slots = ["slot-a", "slot-b"].map((name) => two.disk?.peek(name).length ?? 0);
    expect(Math.max(...slots)).toBeLessThan(150_000);
  });

  test("configs are kept in order across files, once each, and a torn tail is cut", () => {
    const { disk, run, reopened } = setUp();
    const history = reopened();
    run(history.append(Array.from({ length: 150 }, (_, at) => config(at + 1))));
    run(history.append([config(149), config(150), config(151), config(153)]));
    expect(history.newest).toBe(151);
    const tail = disk.peek("history-2");
    disk.poke("history-2", tail.subarray(0, tail.length - 3));
    const again = reopened();
    expect(again.newest).toBe(150);
    run(again.append([config(151), config(152)]));
    for (const sequence of [1, 64, 65, 128, 129, 152]) expect(run(reopened().read(sequence))).toEqual(config(sequence));
    expect(run(again.read(153))).toBeUndefined();
    expect(History.unpack(run(again.piece(100)), 100).map(({ sequence }) => sequence)).toEqual(Array.from({ length: 29 }, (_, at) => at + 100));
  });

  test("whatever bytes stand in its files, a history returns a config as it was kept or none, and takes more", () => {
    const random = Draw.of(11);
    let missing = 0;
    for (let round = 0; round < 60; round += 1) {
      const { disk, run, reopened } = setUp();
      run(reopened().append(Array.from({ length: 70 }, (_, at) => config(at + 1))));
      const name = `history-${round % 2}`;
      const bytes = Buffer.from(disk.peek(name));
      const at = Math.floor(random() * bytes.length);
      if (random() < 0.5) disk.poke(name, bytes.subarray(0, at));
      else {
        bytes[at] = Math.floor(random() * 256);
        disk.poke(name, bytes);
      }
      const history = reopened();
      for (const sequence of [1, 30, 64, 65, 70]) {
        const read = run(history.read(sequence));
        if (read) expect(read).toEqual(config(sequence));
        else missing += 1;
      }
      const { newest } = history;
      run(history.append([config(newest + 1)]));
      expect(run(reopened().read(newest + 1))).toEqual(config(newest + 1));
    }
    expect(missing).toBeGreaterThan(20);
    expect(History.unpack(Buffer.from(Array.from({ length: 300 }, () => Math.floor(random() * 256))), 1)).toEqual([]);
  });
}
