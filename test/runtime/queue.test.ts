import { expect, test } from "vitest";
import { Queue } from "../../src/runtime/queue.js";
import { runTask } from "../../src/runtime/task.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";

test("an item goes to the first taker that is still waiting", async () => {
  const virtual = new VirtualClock();
  const clock = virtual.clock();
  const queue = new Queue<string>();
  const taken: Array<string | undefined> = [];
  const fail = (error: unknown): void => {
    throw error;
  };
  runTask(queue.takeUntil(clock, 10), fail, (item) => taken.push(item));
  virtual.runUntil(20);
  runTask(queue.takeUntil(clock, 50), fail, (item) => taken.push(item));
  queue.put("a");
  queue.put("b");
  runTask(queue.take(), fail, (item) => taken.push(item));
  expect(taken).toEqual([undefined, "a", "b"]);
});

// Guards against daemons whose memory grows with every poll for a signal that comes rarely.
test("a taker that gave up is not retained", () => {
  const virtual = new VirtualClock();
  const clock = virtual.clock();
  const queue = new Queue<string>();
  const fail = (error: unknown): void => {
    throw error;
  };
  for (let round = 1; round <= 1000; round += 1) {
    runTask(queue.takeUntil(clock, round * 10), fail);
    virtual.runUntil(round * 10 + 1);
  }
  expect(queue.waitingTakers).toBe(0);
  runTask(queue.takeUntil(clock, 20_000), fail);
  expect(queue.waitingTakers).toBe(1);
});
