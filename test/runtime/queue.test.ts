import { expect, test } from "vitest";
import { Queue } from "../../src/runtime/queue.js";
import { Task } from "../../src/runtime/task.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";

test("an item goes to the first taker that is still waiting", async () => {
  const virtual = new VirtualClock();
  const clock = virtual.clock();
  const queue = new Queue<string>();
  const seen: Array<string | undefined> = [];
  const fail = (error: unknown): void => {
    throw error;
  };
  Task.start(queue.takeUntil(clock, 10), fail, (item) => seen.push(item));
  virtual.runUntil(20);
  Task.start(queue.takeUntil(clock, 50), fail, (item) => seen.push(item));
  queue.put("a");
  queue.put("b");
  Task.start(queue.take(), fail, (item) => seen.push(item));
  expect(seen).toEqual([undefined, "a", "b"]);
});
