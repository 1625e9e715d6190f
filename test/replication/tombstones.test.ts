import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import { MAX_TOMBSTONES } from "../../src/state/tombstone-table.js";

const createRegistration = (
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
const createLeave = (instance: string): LogCommand => ({
  kind: "leave",
  address: "",
  service: "",
  drained: false,
  instance,
});
const members = { voters: ["a"], learners: [] };

test("a registration that is entered after its instance left changes nothing, on a restored copy too", () => {
  const stateMachine = new StateMachine();
  const apply = (on: StateMachine, index: number, command: LogCommand): unknown =>
    JSON.parse(on.apply(index, encodeLogCommand(command)));
  expect(apply(stateMachine, 1, createRegistration("one"))).toEqual({ number: 1 });
  expect(apply(stateMachine, 2, createLeave("one"))).toEqual({ known: true });
  expect(apply(stateMachine, 3, createLeave("never-seen"))).toEqual({ known: false });
  const copy = new StateMachine();
  copy.restore(stateMachine.snapshot(members));
  for (const on of [stateMachine, copy]) {
    expect(apply(on, 4, createRegistration("one"))).toEqual({ gone: true });
    expect(apply(on, 5, createRegistration("never-seen"))).toEqual({ gone: true });
    expect(apply(on, 6, createRegistration("two"))).toEqual({ number: 6 });
    expect(apply(on, 7, createRegistration("three"))).toEqual({ number: 7 });
    expect([...on.tombstones]).toEqual([
      ["one", 2],
      ["never-seen", 3],
      ["two", 7],
    ]);
  }
});

test("a drain by address removes its instance for good; an older log is read as one without instances", () => {
  const stateMachine = new StateMachine();
  stateMachine.apply(1, encodeLogCommand(createRegistration("one")));
  stateMachine.apply(
    2,
    encodeLogCommand({ kind: "leave", address: "a:1", service: "s", drained: true }),
  );
  expect(stateMachine.tombstones.has("one")).toBe(true);
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
    .snapshot(members)
    .replace('"gone":[],', "")
    .replace('"contracts":[]', `"contracts":${JSON.stringify([before])}`);
  expect(text).not.toContain("gone");
  const copy = new StateMachine();
  copy.restore(text);
  expect(copy.registrations.get("a:1")).toEqual({
    ...before,
    instance: "",
    capacity: 0,
    warmMs: 0,
    order: 0,
  });
});

test("tombstones are bounded: the oldest are removed", () => {
  const stateMachine = new StateMachine();
  for (let at = 1; at <= MAX_TOMBSTONES + 5; at += 1)
    stateMachine.apply(at, encodeLogCommand(createLeave(`i${at}`)));
  expect(stateMachine.tombstones.size).toBe(MAX_TOMBSTONES);
  expect([stateMachine.tombstones.has("i5"), stateMachine.tombstones.has("i6")]).toEqual([
    false,
    true,
  ]);
});
