import { expect, test } from "vitest";
import { type Task, runTask } from "../../../src/runtime/task.js";
import type { DurableState } from "../../../src/replication/log/durable-state.js";
import { LogStore } from "../../../src/replication/log/log-store.js";
import { RandomDraw } from "../../../src/simulation/random-draw.js";
import { VirtualClock } from "../../../src/simulation/virtual-clock.js";
import { VirtualDisk } from "../../../src/simulation/virtual-disk.js";

const durableState: DurableState = {
  fleet: "f",
  rejoinNonce: "",
  term: 1,
  votedFor: "",
  lastIndex: 0,
  lastTerm: 0,
  snapshot: "{}",
  entries: [],
};
const setUp = () => {
  const time = new VirtualClock();
  const disk = new VirtualDisk(time.clock(), () => 0.5);
  const runTaskToEnd = <T>(task: Task<T>): T => {
    const values: T[] = [];
    runTask(
      task,
      (error) => {
        throw error;
      },
      (value) => values.push(value),
    );
    time.runUntil(time.nowMs() + 1000);
    for (const value of values) return value;
    throw new Error("The task has not ended.");
  };
  return { disk, run: runTaskToEnd };
};

test("an incomplete record at the log's end is cut off, damage before it is reported, and nothing synced is lost", () => {
  const { disk, run: runTaskToEnd } = setUp();
  const store = new LogStore(disk);
  expect(runTaskToEnd(store.load())).toEqual({ kind: "empty" });
  runTaskToEnd(store.writeSnapshot(durableState));
  for (let index = 1; index <= 3; index += 1)
    runTaskToEnd(store.append([{ kind: "entry", index, term: 1, text: `e${index}` }]));
  runTaskToEnd(
    store.append([
      { kind: "truncate", index: 3 },
      { kind: "vote", term: 4, text: "x" },
    ]),
  );
  const name = "log-1";
  const bytes = disk.peek(name);
  for (let size = bytes.length; size >= 0; size -= 1) {
    disk.poke(name, bytes.subarray(0, size));
    const loaded = runTaskToEnd(new LogStore(disk).load());
    expect(loaded.kind).toBe("loaded");
    if (loaded.kind === "loaded" && size === bytes.length)
      expect([loaded.state.entries.map((entry) => entry.text), loaded.state.term]).toEqual([
        ["e1", "e2"],
        4,
      ]);
  }
  const bent = Buffer.from(bytes);
  bent[12] = (bent[12] ?? 0) ^ 255;
  disk.poke(name, bent);
  expect(runTaskToEnd(new LogStore(disk).load()).kind).toBe("damaged");
});

test("an entry that is both in the slot and in the log counts once; a gap is reported", () => {
  const { disk, run: runTaskToEnd } = setUp();
  const store = new LogStore(disk);
  runTaskToEnd(store.load());
  const entries = [1, 2].map((index) => ({ index, term: 1, text: `e${index}` }));
  runTaskToEnd(store.writeSnapshot({ ...durableState, entries }));
  runTaskToEnd(
    store.append([
      { kind: "entry", index: 2, term: 1, text: "e2" },
      { kind: "entry", index: 3, term: 1, text: "e3" },
    ]),
  );
  const loaded = runTaskToEnd(new LogStore(disk).load());
  expect(loaded.kind === "loaded" && loaded.state.entries.map((entry) => entry.index)).toEqual([
    1, 2, 3,
  ]);
  runTaskToEnd(store.append([{ kind: "entry", index: 5, term: 1, text: "e5" }]));
  expect(runTaskToEnd(new LogStore(disk).load()).kind).toBe("damaged");
});

test("a disk with arbitrary damage is loaded or reported as damaged, and then accepts writes", async () => {
  const random = RandomDraw.of(6);
  const seen = new Set<string>();
  for (let round = 0; round < 200; round += 1) {
    const { disk, run: runTaskToEnd } = setUp();
    const store = new LogStore(disk);
    runTaskToEnd(store.load());
    runTaskToEnd(store.writeSnapshot(durableState));
    runTaskToEnd(store.append([{ kind: "entry", index: 1, term: 1, text: "a" }]));
    if (round % 2 === 0)
      runTaskToEnd(
        store.writeSnapshot({ ...durableState, entries: [{ index: 1, term: 1, text: "a" }] }),
      );
    for (const name of runTaskToEnd(disk.list())) {
      if (random() < 0.5) continue;
      const bytes = disk.peek(name);
      const at = Math.floor(random() * bytes.length);
      if (random() < 0.5) disk.poke(name, bytes.subarray(0, at));
      else
        disk.poke(
          name,
          Buffer.concat([
            bytes.subarray(0, at),
            Buffer.from([Math.floor(random() * 256), 7]),
            bytes.subarray(at + 2),
          ]),
        );
    }
    const again = new LogStore(disk);
    const loaded = runTaskToEnd(again.load());
    seen.add(loaded.kind);
    if (loaded.kind === "damaged") {
      runTaskToEnd(again.clear());
      expect(runTaskToEnd(new LogStore(disk).load()).kind).toBe("damaged");
    }
    runTaskToEnd(again.writeSnapshot(durableState));
    expect(runTaskToEnd(new LogStore(disk).load())).toMatchObject({
      kind: "loaded",
      state: { entries: [] },
    });
  }
  expect([...seen].sort()).toEqual(["damaged", "loaded"]);
});

test("an incomplete snapshot leaves the older slot and its log valid", () => {
  const { disk, run: runTaskToEnd } = setUp();
  const store = new LogStore(disk);
  runTaskToEnd(store.load());
  runTaskToEnd(store.writeSnapshot(durableState));
  runTaskToEnd(store.append([{ kind: "entry", index: 1, term: 1, text: "kept" }]));
  disk.poke("slot-a", Buffer.from("half a slo"));
  const loaded = runTaskToEnd(new LogStore(disk).load());
  expect(loaded.kind === "loaded" && loaded.state.entries.map((entry) => entry.text)).toEqual([
    "kept",
  ]);
});
