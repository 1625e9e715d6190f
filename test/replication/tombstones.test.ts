import { expect, test } from "vitest";
import { Book, Deed, keptGone } from "../../src/state/state-machine.js";

const contract = (
  instance: string,
  more: Partial<Extract<Deed, { kind: "contract" }>> = {},
): Deed => ({
  kind: "contract",
  address: "a:1",
  service: "s",
  zone: "z",
  warmth: 1,
  instance,
  ...more,
});
const leave = (instance: string): Deed => ({
  kind: "leave",
  address: "",
  service: "",
  drained: false,
  instance,
});
const members = { voters: ["a"], learners: [] };

test("a contract that is entered after its instance's leave changes nothing, on a restored copy too", () => {
  const book = new Book();
  const apply = (on: Book, index: number, deed: Deed): unknown =>
    JSON.parse(on.apply(index, Deed.text(deed)));
  expect(apply(book, 1, contract("one"))).toEqual({ number: 1 });
  expect(apply(book, 2, leave("one"))).toEqual({ known: true });
  expect(apply(book, 3, leave("never-seen"))).toEqual({ known: false });
  const copy = new Book();
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
  const book = new Book();
  book.apply(1, Deed.text(contract("one")));
  book.apply(2, Deed.text({ kind: "leave", address: "a:1", service: "s", drained: true }));
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
  const text = new Book()
    .checkpoint(members)
    .replace('"gone":[],', "")
    .replace('"contracts":[]', `"contracts":${JSON.stringify([before])}`);
  expect(text).not.toContain("gone");
  const copy = new Book();
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
  const book = new Book();
  for (let at = 1; at <= keptGone + 5; at += 1) book.apply(at, Deed.text(leave(`i${at}`)));
  expect(book.gone.size).toBe(keptGone);
  expect([book.gone.has("i5"), book.gone.has("i6")]).toEqual([false, true]);
});
