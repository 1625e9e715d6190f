import { expect, test } from "vitest";
import { Holding } from "../../src/runtime/holding.js";
import { Task } from "../../src/runtime/task.js";
import { VirtualClock } from "../../src/rehearsal/virtualClock.js";

test("a command goes to the first taker still waiting", async () => {
  const virtual = new VirtualClock();
  const clock = virtual.clock();
  const holding = new Holding<string>();
  const seen: Array<string | undefined> = [];
  const fail = (error: unknown): void => {
    throw error;
  };
  Task.start(holding.takeUntil(clock, 10), fail, (item) => seen.push(item));
  virtual.runUntil(20);
  Task.start(holding.takeUntil(clock, 50), fail, (item) => seen.push(item));
  holding.put("a");
  holding.put("b");
  Task.start(holding.take(), fail, (item) => seen.push(item));
  expect(seen).toEqual([undefined, "a", "b"]);
});
