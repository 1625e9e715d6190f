/** The config history on disk, and its repair from other members. */
import { expect, test } from "vitest";
import { type Task, runTask } from "../../../src/runtime/task.js";
import type { AcceptedConfig } from "../../../src/state/accepted-config.js";
import { ConfigHistory } from "../../../src/replication/history/config-history.js";
import { encodeCompleteConfig } from "../../../src/replication/history/history-format.js";
import { applyTextDelta, computeTextDelta } from "../../../src/state/text-delta.js";
import { RandomDraw } from "../../../src/simulation/random-draw.js";
import { checkRules } from "../../../src/simulation/invariant-checker.js";
import { shippedProfiles } from "../../../src/simulation/profile.js";
import { Simulation } from "../../../src/simulation/simulation.js";
import { VirtualClock } from "../../../src/simulation/virtual-clock.js";
import { VirtualDisk } from "../../../src/simulation/virtual-disk.js";

const createConfig = (sequence: number, version?: number): AcceptedConfig => ({
  sequence,
  index: sequence,
  changeId: `c${sequence}`,
  acceptedAt: "",
  text: `{"n":${sequence}}`,
  ...(version === undefined ? {} : { version }),
});

test("the remains of a failed append are truncated before the next one, and versions are stored", () => {
  const virtualClock = new VirtualClock();
  const disk = new VirtualDisk(virtualClock.clock(), () => 0.5);
  const errors: unknown[] = [];
  const runTaskToEnd = <T>(task: Task<T>): T | undefined => {
    const values: T[] = [];
    runTask(
      task,
      (error) => errors.push(error),
      (value) => values.push(value),
    );
    virtualClock.runUntil(virtualClock.nowMs() + 5000);
    return values[0];
  };
  const history = new ConfigHistory(disk);
  runTaskToEnd(history.load([]));
  runTaskToEnd(history.add([createConfig(1), createConfig(2, 9)]));
  const storedBytes = Buffer.from(disk.peek("configs-1"));
  disk.isFull = true;
  runTaskToEnd(history.add([createConfig(3, 12)]));
  expect(errors).toHaveLength(1);
  disk.isFull = false;
  disk.poke("configs-1", Buffer.concat([storedBytes, storedBytes.subarray(0, 20)]));
  runTaskToEnd(history.add([createConfig(3, 12), createConfig(4, 13)]));
  const reopened = new ConfigHistory(disk);
  runTaskToEnd(reopened.load(["configs-1"]));
  expect(reopened.newestSequence).toBe(4);
  expect([1, 2, 3, 4].map((sequence) => runTaskToEnd(reopened.read(sequence)))).toEqual([
    createConfig(1),
    createConfig(2, 9),
    createConfig(3, 12),
    createConfig(4, 13),
  ]);
  expect(errors).toHaveLength(1);
});

const throwError = (error: unknown): void => {
  throw error;
};
const setUp = () => {
  const virtualClock = new VirtualClock();
  const disk = new VirtualDisk(virtualClock.clock(), () => 0.5);
  const runTaskToEnd = <T>(task: Task<T>): T => {
    const values: T[] = [];
    runTask(task, throwError, (value) => values.push(value));
    virtualClock.runUntil(virtualClock.nowMs() + 5000);
    for (const value of values) return value;
    throw new Error("The task has not ended.");
  };
  const reopenHistory = (): ConfigHistory => {
    const history = new ConfigHistory(disk);
    runTaskToEnd(history.load(runTaskToEnd(disk.list())));
    return history;
  };
  return { disk, runTaskToEnd, reopenHistory };
};

test("hundreds of accepted configs are readable after one disk was lost, one was damaged and the third machine was lost", () => {
  const simulation = new Simulation(shippedProfiles.rastro, 3, 0.01);
  const wait = (durationMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + durationMs);
  simulation.startAll();
  wait(3000);
  while (simulation.recorder.ofKind("accepted").length < 230) {
    simulation.start(simulation.workload.putConfig());
    wait(40);
  }
  const [one, two, three] = simulation.machines.filter(({ disk }) => disk);
  if (!one?.disk || !two?.disk || !three?.disk) throw new Error("A node is missing.");
  simulation.kill(one, true);
  one.disk.wipe();
  simulation.boot(one);
  simulation.kill(two, true);
  const corruptedBytes = Buffer.from(two.disk.peek("configs-1"));
  corruptedBytes[400] = (corruptedBytes[400] ?? 0) ^ 255;
  two.disk.poke("configs-1", corruptedBytes);
  simulation.boot(two);
  wait(8000);
  expect([one, two].map(({ daemon }) => daemon?.replicationNode?.status.state)).toEqual([
    "formed",
    "formed",
  ]);
  expect(simulation.logLines.filter((line) => line.includes("history file repaired"))).toHaveLength(
    1,
  );
  simulation.kill(three, true);
  three.disk.wipe();
  wait(4000);
  simulation.start(simulation.workload.readBack());
  wait(60_000);
  expect(simulation.recorder.ofKind("readBack")).toHaveLength(230);
  expect(checkRules(simulation.recorder).filter(({ rule }) => rule.includes("accepted"))).toEqual(
    [],
  );
  const slots = ["slot-a", "slot-b"].map((name) => two.disk?.peek(name).length ?? 0);
  expect(Math.max(...slots)).toBeLessThan(150_000);
});

test("configs are stored once each, in order across files, and an incomplete record at the end is truncated", () => {
  const { disk, runTaskToEnd, reopenHistory } = setUp();
  const history = reopenHistory();
  runTaskToEnd(history.add(Array.from({ length: 150 }, (_, at) => createConfig(at + 1))));
  runTaskToEnd(history.add([createConfig(149), createConfig(150), createConfig(151)]));
  expect(history.newestSequence).toBe(151);
  const tail = disk.peek("configs-129");
  disk.poke("configs-129", tail.subarray(0, tail.length - 3));
  const reopened = reopenHistory();
  expect(reopened.newestSequence).toBe(150);
  runTaskToEnd(reopened.add([createConfig(151), createConfig(152)]));
  for (const sequence of [1, 64, 65, 128, 129, 152])
    expect(runTaskToEnd(reopenHistory().read(sequence))).toEqual(createConfig(sequence));
  expect(runTaskToEnd(reopened.read(153))).toBeUndefined();
  expect(
    ConfigHistory.unpackPiece(runTaskToEnd(reopened.readPiece(100)), 100).map(
      ({ sequence }) => sequence,
    ),
  ).toEqual(Array.from({ length: 29 }, (_, at) => at + 100));
  expect(runTaskToEnd(disk.list()).sort()).toEqual(["configs-1", "configs-129", "configs-65"]);
  expect([reopened.findMissingBelow(153), reopened.findMissingBelow(160)]).toEqual([
    undefined,
    { from: 153, to: 159 },
  ]);
});

const createLegacyFiles = (count: number): Array<[string, Buffer]> =>
  Array.from({ length: Math.ceil(count / 64) }, (_, file) => [
    `history-${file}`,
    Buffer.concat(
      Array.from({ length: Math.min(64, count - file * 64) }, (__, at) =>
        encodeCompleteConfig(createConfig(file * 64 + at + 1)),
      ),
    ),
  ]);

test("files of earlier builds are read, and later configs are added in the current layout", () => {
  const { disk, runTaskToEnd, reopenHistory } = setUp();
  for (const [name, bytes] of createLegacyFiles(70)) disk.poke(name, bytes);
  const history = reopenHistory();
  expect(history.newestSequence).toBe(70);
  runTaskToEnd(history.add(Array.from({ length: 140 }, (_, at) => createConfig(at + 65))));
  expect(runTaskToEnd(disk.list()).sort()).toEqual([
    "configs-135",
    "configs-199",
    "configs-71",
    "history-0",
    "history-1",
  ]);
  const reopened = reopenHistory();
  expect(runTaskToEnd(reopened.check())).toEqual([]);
  expect(reopened.newestSequence).toBe(204);
  for (const sequence of [1, 64, 65, 70, 71, 150, 198, 199, 204])
    expect(runTaskToEnd(reopened.read(sequence))).toEqual(createConfig(sequence));
  expect(reopened.findMissingBelow(205)).toBeUndefined();
});

test("older configs fill gaps between files, and later ones are appended to them", () => {
  const { runTaskToEnd, reopenHistory } = setUp();
  const history = reopenHistory();
  runTaskToEnd(history.add([createConfig(1), createConfig(2)]));
  runTaskToEnd(history.add([createConfig(300), createConfig(301)]));
  expect(history.findMissingBelow(300)).toEqual({ from: 3, to: 299 });
  runTaskToEnd(history.add(Array.from({ length: 20 }, (_, at) => createConfig(at + 190))));
  runTaskToEnd(history.add(Array.from({ length: 100 }, (_, at) => createConfig(at + 205))));
  expect(history.findMissingBelow(300)).toEqual({ from: 3, to: 189 });
  const reopened = reopenHistory();
  runTaskToEnd(reopened.check());
  expect(reopened.findMissingBelow(302)).toEqual({ from: 3, to: 189 });
  for (const sequence of [1, 2, 190, 209, 210, 299, 300, 301])
    expect(runTaskToEnd(reopened.read(sequence))).toEqual(createConfig(sequence));
  expect(runTaskToEnd(reopened.read(189))).toBeUndefined();
});

test("the oldest files are removed when the quota is exceeded or the disk is full, but never the newest", () => {
  const { disk, runTaskToEnd } = setUp();
  const random = RandomDraw.of(5);
  const createLargeConfig = (sequence: number): AcceptedConfig => ({
    ...createConfig(sequence),
    text: Array.from({ length: 4000 }, () => random().toString(36)).join(" "),
  });
  const history = new ConfigHistory(disk, 1_000_000);
  runTaskToEnd(history.load([]));
  for (let sequence = 1; sequence <= 60; sequence += 1)
    runTaskToEnd(history.add([createLargeConfig(sequence)]));
  const bytesBeforeShrink = history.measuredBytes;
  const removed = runTaskToEnd(history.shrink());
  expect(removed?.from).toBe(1);
  expect(history.removedUpTo).toBe(removed?.to);
  expect(bytesBeforeShrink).toBeGreaterThan(1_000_000);
  expect(history.measuredBytes).toBeLessThanOrEqual(1_000_000);
  expect(disk.usedBytes).toBe(history.measuredBytes);
  expect(runTaskToEnd(history.read(removed?.to ?? 0))).toBeUndefined();
  expect(runTaskToEnd(history.read((removed?.to ?? 0) + 1))?.sequence).toBe((removed?.to ?? 0) + 1);
  for (let round = 0; round < 40; round += 1) runTaskToEnd(history.reclaim());
  expect(runTaskToEnd(history.read(60))?.sequence).toBe(60);
  expect([history.measuredBytes > 0, history.hasSpareQuota]).toEqual([true, false]);
});

test("a delta restores any text, including unrelated texts and texts whose parts only moved", () => {
  const random = RandomDraw.of(9);
  const randomItem = (): string => `"${random().toString(36)}":{"a":${Math.floor(random() * 9)}},`;
  const items = Array.from({ length: 300 }, randomItem);
  const base = items.join("");
  const texts = [
    base,
    "",
    "x",
    `${base}tail`,
    `head${base}`,
    [...items.slice(0, 100), randomItem(), ...items.slice(101)].join(""),
    [...items].reverse().join(""),
    [...items.slice(200), ...items.slice(0, 200)].join(""),
    `${base.slice(0, 500)}\u{1f600}${base.slice(700)}`,
    Array.from({ length: 300 }, randomItem).join(""),
  ];
  for (const text of texts) {
    expect(applyTextDelta(base, computeTextDelta(base, text))).toBe(text);
    expect(applyTextDelta(text, computeTextDelta(text, base))).toBe(base);
  }
  expect(JSON.stringify(computeTextDelta(base, texts[5] ?? "")).length).toBeLessThan(120);
  expect(JSON.stringify(computeTextDelta(base, texts[7] ?? "")).length).toBeLessThan(120);
});

test("a history with arbitrary damage returns each config unchanged or not at all, and accepts further configs", () => {
  const random = RandomDraw.of(11);
  let missingCount = 0;
  for (let round = 0; round < 60; round += 1) {
    const { disk, runTaskToEnd, reopenHistory } = setUp();
    const isLegacy = round % 4 >= 2;
    if (isLegacy) for (const [file, bytes] of createLegacyFiles(70)) disk.poke(file, bytes);
    else
      runTaskToEnd(
        reopenHistory().add(Array.from({ length: 150 }, (_, at) => createConfig(at + 1))),
      );
    const names = isLegacy ? ["history-0", "history-1"] : ["configs-1", "configs-65"];
    const name = names[round % 2] ?? "";
    const bytes = Buffer.from(disk.peek(name));
    const at = Math.floor(random() * bytes.length);
    if (random() < 0.5) disk.poke(name, bytes.subarray(0, at));
    else {
      bytes[at] = Math.floor(random() * 256);
      disk.poke(name, bytes);
    }
    const history = reopenHistory();
    for (const sequence of isLegacy ? [1, 30, 64, 65, 70] : [1, 64, 65, 128, 150]) {
      const read = runTaskToEnd(history.read(sequence));
      if (read) expect(read).toEqual(createConfig(sequence));
      else missingCount += 1;
    }
    const { newestSequence } = history;
    runTaskToEnd(history.add([createConfig(newestSequence + 1)]));
    expect(runTaskToEnd(reopenHistory().read(newestSequence + 1))).toEqual(
      createConfig(newestSequence + 1),
    );
  }
  expect(missingCount).toBeGreaterThan(20);
  expect(
    ConfigHistory.unpackPiece(
      Buffer.from(Array.from({ length: 300 }, () => Math.floor(random() * 256))),
      1,
    ),
  ).toEqual([]);
});
