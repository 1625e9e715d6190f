import { expect, test } from "vitest";
import { StateMachine, LogCommand } from "../../src/state/state-machine.js";

const members = { voters: ["a"], learners: [] };
const put = (
  book: StateMachine,
  index: number,
  expected: number,
  changeId: string,
  version?: number,
): unknown =>
  JSON.parse(
    book.apply(
      index,
      LogCommand.text({
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

test("versions rise by whatever steps are chosen, beside sequences without a gap", () => {
  const book = new StateMachine();
  expect([
    put(book, 1, 0, "a", 7),
    put(book, 2, 1, "b"),
    put(book, 3, 2, "c", 8),
    put(book, 4, 2, "d", 30),
    put(book, 5, 0, "e", 40),
    put(book, 6, 3, "a", 50),
  ]).toEqual([
    { accepted: 7 },
    { accepted: 8 },
    { lost: 8 },
    { accepted: 30 },
    { lost: 30 },
    { accepted: 7 },
  ]);
  expect(book.configs.map(({ sequence, version }) => [sequence, version])).toEqual([
    [1, 7],
    [2, 8],
    [3, 30],
  ]);
  const copy = new StateMachine();
  copy.restore(book.checkpoint(members));
  expect(copy.checkpoint(members)).toBe(book.checkpoint(members));
  expect([
    copy.version,
    copy.changeVersion("b"),
    put(copy, 7, 3, "f"),
    copy.inForce?.sequence,
  ]).toEqual([30, 8, { accepted: 31 }, 4]);
});

test("a checkpoint from before there were versions reads with the sequences as versions", () => {
  const book = new StateMachine();
  put(book, 1, 0, "a");
  put(book, 2, 1, "b");
  const text = book.checkpoint(members);
  expect(text).not.toContain('"version"');
  const copy = new StateMachine();
  copy.restore(text);
  expect([copy.version, copy.changeVersion("a"), put(copy, 3, 2, "c", 9)]).toEqual([
    2,
    1,
    { accepted: 9 },
  ]);
});
