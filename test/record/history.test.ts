import { expect, test } from "vitest";
import { Task } from "../../src/runtime/task.js";
import type { AcceptedConfig } from "../../src/record/book.js";
import { History } from "../../src/record/history.js";
import { Draw } from "../../src/rehearsal/draw.js";
import { judge } from "../../src/rehearsal/judge.js";
import { Profile } from "../../src/rehearsal/profile.js";
import { Simulation } from "../../src/rehearsal/simulation.js";
import { VirtualClock } from "../../src/rehearsal/virtualClock.js";
import { VirtualDisk } from "../../src/rehearsal/virtualDisk.js";

const config = (sequence: number, version?: number): AcceptedConfig => ({
  sequence,
  index: sequence,
  changeId: `c${sequence}`,
  acceptedAt: "",
  text: `{"n":${sequence}}`,
  ...(version === undefined ? {} : { version }),
});

test("what a broken addition left behind is cut before more is added, and versions are kept", () => {
  const time = new VirtualClock();
  const disk = new VirtualDisk(time.clock(), () => 0.5);
  const errors: unknown[] = [];
  const run = <T>(task: Task<T>): T | undefined => {
    const values: T[] = [];
    Task.start(
      task,
      (error) => errors.push(error),
      (value) => values.push(value),
    );
    time.runUntil(time.nowMs() + 5000);
    return values[0];
  };
  const history = new History(disk);
  run(history.load([]));
  run(history.append([config(1), config(2, 9)]));
  const whole = Buffer.from(disk.peek("history-0"));
  disk.full = true;
  run(history.append([config(3, 12)]));
  expect(errors).toHaveLength(1);
  disk.full = false;
  disk.poke("history-0", Buffer.concat([whole, whole.subarray(0, 20)]));
  run(history.append([config(3, 12), config(4, 13)]));
  const again = new History(disk);
  run(again.load(["history-0"]));
  expect(again.newest).toBe(4);
  expect([1, 2, 3, 4].map((sequence) => run(again.read(sequence)))).toEqual([
    config(1),
    config(2, 9),
    config(3, 12),
    config(4, 13),
  ]);
  expect(errors).toHaveLength(1);
});

const fail = (error: unknown): void => {
  throw error;
};
const setUp = () => {
  const time = new VirtualClock();
  const disk = new VirtualDisk(time.clock(), () => 0.5);
  const run = <T>(task: Task<T>): T => {
    const values: T[] = [];
    Task.start(task, fail, (value) => values.push(value));
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
  expect([one, two].map(({ daemon }) => daemon?.recorder?.status.state)).toEqual([
    "formed",
    "formed",
  ]);
  expect(
    simulation.lines.filter((line) => line.includes("damaged file of the history is whole again")),
  ).toHaveLength(1);
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
  for (const sequence of [1, 64, 65, 128, 129, 152])
    expect(run(reopened().read(sequence))).toEqual(config(sequence));
  expect(run(again.read(153))).toBeUndefined();
  expect(History.unpack(run(again.piece(100)), 100).map(({ sequence }) => sequence)).toEqual(
    Array.from({ length: 29 }, (_, at) => at + 100),
  );
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
  expect(
    History.unpack(Buffer.from(Array.from({ length: 300 }, () => Math.floor(random() * 256))), 1),
  ).toEqual([]);
});
