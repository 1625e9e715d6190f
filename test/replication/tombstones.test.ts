/** Tombstones of departed instances: a registration that arrives late must not restore an instance. */
import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import { MAX_TOMBSTONES } from "../../src/state/tombstone-table.js";

const createRegistration = (
  instance: string,
  overrides: Partial<Extract<LogCommand, { kind: "contract" }>> = {},
): LogCommand => ({
  kind: "contract",
  address: "a:1",
  service: "s",
  zone: "z",
  warmth: 1,
  instance,
  ...overrides,
});
const createLeave = (instance: string): LogCommand => ({
  kind: "leave",
  address: "",
  service: "",
  drained: false,
  instance,
});
const members = { voters: ["a"], learners: [] };

test("a registration that is applied after its instance left has no effect, even on a restored copy", () => {
  const stateMachine = new StateMachine();
  const apply = (target: StateMachine, index: number, command: LogCommand): unknown =>
    JSON.parse(target.apply(index, encodeLogCommand(command)));
  expect(apply(stateMachine, 1, createRegistration("one"))).toEqual({ number: 1 });
  expect(apply(stateMachine, 2, createLeave("one"))).toEqual({ known: true });
  expect(apply(stateMachine, 3, createLeave("never-seen"))).toEqual({ known: false });
  const copy = new StateMachine();
  copy.restore(stateMachine.snapshot(members));
  for (const target of [stateMachine, copy]) {
    expect(apply(target, 4, createRegistration("one"))).toEqual({ gone: true });
    expect(apply(target, 5, createRegistration("never-seen"))).toEqual({ gone: true });
    expect(apply(target, 6, createRegistration("two"))).toEqual({ number: 6 });
    expect(apply(target, 7, createRegistration("three"))).toEqual({ number: 7 });
    expect([...target.tombstones]).toEqual([
      ["one", 2],
      ["never-seen", 3],
      ["two", 7],
    ]);
  }
});

test("a drain by address leaves a tombstone for the instance, and snapshots of earlier builds are read as without instances", () => {
  const stateMachine = new StateMachine();
  stateMachine.apply(1, encodeLogCommand(createRegistration("one")));
  stateMachine.apply(
    2,
    encodeLogCommand({ kind: "leave", address: "a:1", service: "s", drained: true }),
  );
  expect(stateMachine.tombstones.has("one")).toBe(true);
  const registrationWithoutInstance = {
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
    .replace('"contracts":[]', `"contracts":${JSON.stringify([registrationWithoutInstance])}`);
  expect(text).not.toContain("gone");
  const copy = new StateMachine();
  copy.restore(text);
  expect(copy.registrations.get("a:1")).toEqual({
    ...registrationWithoutInstance,
    instance: "",
    capacity: 0,
    warmMs: 0,
    order: 0,
  });
});

test("tombstones are bounded: the oldest are removed", () => {
  const stateMachine = new StateMachine();
  for (let index = 1; index <= MAX_TOMBSTONES + 5; index += 1)
    stateMachine.apply(index, encodeLogCommand(createLeave(`i${index}`)));
  expect(stateMachine.tombstones.size).toBe(MAX_TOMBSTONES);
  expect([stateMachine.tombstones.has("i5"), stateMachine.tombstones.has("i6")]).toEqual([
    false,
    true,
  ]);
});
