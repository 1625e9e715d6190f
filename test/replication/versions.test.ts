/** Versions of configs, which clients choose, and sequences, which the log assigns. */
import { expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { encodeLogCommand } from "../../src/state/log-command.js";

const members = { voters: ["a"], learners: [] };
const applyConfig = (
  stateMachine: StateMachine,
  index: number,
  expected: number,
  changeId: string,
  version?: number,
): unknown =>
  JSON.parse(
    stateMachine.apply(
      index,
      encodeLogCommand({
        kind: "config",
        expected,
        changeId,
        acceptedAt: "",
        text: `{"n":"${changeId}"}`,
        services: [],
        routes: [],
        ...(version === undefined ? {} : { version }),
      }),
    ),
  );

test("versions increase by any steps, while sequences have no gaps", () => {
  const stateMachine = new StateMachine();
  expect([
    applyConfig(stateMachine, 1, 0, "a", 7),
    applyConfig(stateMachine, 2, 1, "b"),
    applyConfig(stateMachine, 3, 2, "c", 8),
    applyConfig(stateMachine, 4, 2, "d", 30),
    applyConfig(stateMachine, 5, 0, "e", 40),
    applyConfig(stateMachine, 6, 3, "a", 50),
  ]).toEqual([
    { accepted: 7 },
    { accepted: 8 },
    { lost: 8 },
    { accepted: 30 },
    { lost: 30 },
    { accepted: 7 },
  ]);
  expect(
    [...stateMachine.configBacklog.read()].map(({ sequence, version }) => [sequence, version]),
  ).toEqual([
    [1, 7],
    [2, 8],
    [3, 30],
  ]);
  const copy = new StateMachine();
  copy.restore(stateMachine.snapshot(members));
  expect(copy.snapshot(members)).toBe(stateMachine.snapshot(members));
  expect([
    copy.version,
    copy.findVersionOfChange("b"),
    applyConfig(copy, 7, 3, "f"),
    copy.activeConfig?.sequence,
  ]).toEqual([30, 8, { accepted: 31 }, 4]);
});

test("a snapshot of an earlier build, without versions, is read with the sequences as versions", () => {
  const stateMachine = new StateMachine();
  applyConfig(stateMachine, 1, 0, "a");
  applyConfig(stateMachine, 2, 1, "b");
  const text = stateMachine.snapshot(members);
  expect(text).not.toContain('"version"');
  const copy = new StateMachine();
  copy.restore(text);
  expect([copy.version, copy.findVersionOfChange("a"), applyConfig(copy, 3, 2, "c", 9)]).toEqual([
    2,
    1,
    { accepted: 9 },
  ]);
});
