import { expect, test } from "vitest";
import { StateMachine, LogCommand, MAX_TOMBSTONES } from "../../src/state/state-machine.js";

const contract = (
  instance: string,
  more: Partial<Extract<LogCommand, { kind: "contract" }>> = {},
): LogCommand => ({
  kind: "contract",
  address: "a:1",
  service: "s",
  zone: "z",
  warmth: 1,
  instance,
  ...more,
});
const leave = (instance: string): LogCommand => ({
  kind: "leave",
  address: "",
  service: "",
  drained: false,
  instance,
});
const members = { voters: ["a"], learners: [] };

test("a contract that is entered after its instance's leave changes nothing, on a restored copy too", () => {
  const book = new StateMachine();
  const apply = (on: StateMachine, index: number, deed: LogCommand): unknown =>
    JSON.parse(on.apply(index, LogCommand.text(deed)));
  expect(apply(book, 1, contract("one"))).toEqual({ number: 1 });
  expect(apply(book, 2, leave("one"))).toEqual({ known: true });
  expect(apply(book, 3, leave("never-seen"))).toEqual({ known: false });
  const copy = new StateMachine();
  copy.restore(book.checkpoint(members));
  for (const on of [book, copy]) {
    expect(apply(on, 4, contract("one"))).toEqual({ gone: true });
    expect(apply(on, 5, contract("never-seen"))).toEqual({ gone: true });
    expect(apply(on, 6, contract("two"))).toEqual({ number: 6 });
    expect(apply(on, 7, contract("three"))).toEqual({ number: 7 });
    expect([...on.gone]).toEqual([
      ["one", 2],
      ["never-seen", 3],
      ["two", 7],
    ]);
  }
});

test("a drain by address takes its instance away for good; a record of before reads as one without instances", () => {
  const book = new StateMachine();
  book.apply(1, LogCommand.text(contract("one")));
  book.apply(2, LogCommand.text({ kind: "leave", address: "a:1", service: "s", drained: true }));
  expect(book.gone.has("one")).toBe(true);
  const before = {
    address: "a:1",
    service: "s",
    zone: "z",
    warmth: 1,
    number: 1,
    leaving: false,
    leftAt: 0,
    drained: false,
  };
  const text = new StateMachine()
    .checkpoint(members)
    .replace('"gone":[],', "")
    .replace('"contracts":[]', `"contracts":${JSON.stringify([before])}`);
  expect(text).not.toContain("gone");
  const copy = new StateMachine();
  copy.restore(text);
  expect(copy.contracts.get("a:1")).toEqual({
    ...before,
    instance: "",
    capacity: 0,
    warmMs: 0,
    order: 0,
  });
});

test("instances that are gone are bounded: the oldest are forgotten", () => {
  const book = new StateMachine();
  for (let at = 1; at <= MAX_TOMBSTONES + 5; at += 1)
    book.apply(at, LogCommand.text(leave(`i${at}`)));
  expect(book.gone.size).toBe(MAX_TOMBSTONES);
  expect([book.gone.has("i5"), book.gone.has("i6")]).toEqual([false, true]);
});
