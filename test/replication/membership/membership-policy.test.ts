import { expect, test } from "vitest";
import {
  type MemberProgress,
  MembershipPolicy,
  type MembershipView,
} from "../../../src/replication/membership/membership-policy.js";

const timeouts = {
  responsiveWithinMs: 500,
  replaceAfterMs: 1000,
  responsiveAfterMs: 4000,
  forgetAfterMs: 60_000,
};
const responsive: MemberProgress = {
  unresponsiveMs: 60,
  hasAcknowledged: true,
  responsiveMs: 1000,
  matchIndex: 100,
};
const lost: MemberProgress = {
  unresponsiveMs: 2000,
  hasAcknowledged: false,
  responsiveMs: 0,
  matchIndex: 0,
};

/** A view of a leader "a" whose members answer, but for those whose progress is given. */
const createView = (
  voters: string,
  learners: string,
  progress: Record<string, Partial<MemberProgress>> = {},
  more: Partial<MembershipView> = {},
): MembershipView => ({
  self: "a",
  voters: [...voters],
  learners: [...learners],
  stopping: new Set(),
  wantedVoters: 3,
  committedIndex: 100,
  progressOf: (member) => ({ ...responsive, ...progress[member] }),
  timeouts,
  ...more,
});
const describeNextChange = (view: MembershipView): string => {
  const change = MembershipPolicy.nextChange(view);
  return change ? `${change.kind} ${change.member}` : "none";
};

test("nothing changes while all members are responsive, or while no learner is ready", () => {
  expect(describeNextChange(createView("abc", "d"))).toBe("none");
  expect(describeNextChange(createView("abc", "", { c: lost }))).toBe("none");
  expect(describeNextChange(createView("abc", "d", { c: lost, d: { matchIndex: 10 } }))).toBe(
    "none",
  );
  expect(
    describeNextChange(createView("abc", "d", { c: lost, d: { hasAcknowledged: false } })),
  ).toBe("none");
  expect(describeNextChange(createView("abc", "d", { c: lost, d: { unresponsiveMs: 600 } }))).toBe(
    "none",
  );
  expect(describeNextChange(createView("abc", "d", { c: { unresponsiveMs: 990 } }))).toBe("none");
});

test("a lost voter is demoted first, then the learner is promoted", () => {
  expect(describeNextChange(createView("abc", "d", { c: lost }))).toBe("demote c");
  expect(describeNextChange(createView("ab", "dc", { c: lost }))).toBe("promote d");
  expect(describeNextChange(createView("abd", "c", { c: lost }))).toBe("none");
});

test("a lost voter, which may recover, stays until a learner that has been responsive for long is promoted", () => {
  const progress = { c: lost, d: { responsiveMs: 4000 } };
  expect(describeNextChange(createView("abc", "d", progress))).toBe("promote d");
  expect(describeNextChange(createView("abcd", "", progress))).toBe("demote c");
  expect(describeNextChange(createView("abd", "c", progress))).toBe("none");
  expect(
    describeNextChange(createView("abc", "d", { ...progress, b: { unresponsiveMs: 600 } })),
  ).toBe("none");
});

test("two lost voters of five are replaced one after the other", () => {
  const five = { wantedVoters: 5 };
  const progress = { d: lost, e: lost };
  expect(describeNextChange(createView("abcde", "fg", progress, five))).toBe("demote d");
  expect(describeNextChange(createView("abce", "fgd", progress, five))).toBe("promote f");
  expect(describeNextChange(createView("abcef", "gd", progress, five))).toBe("demote e");
  expect(describeNextChange(createView("abcf", "gde", progress, five))).toBe("promote g");
  expect(describeNextChange(createView("abcfg", "de", progress, five))).toBe("none");
});

test("no change is made that the responsive members can't commit", () => {
  expect(describeNextChange(createView("abc", "d", { b: { unresponsiveMs: 600 }, c: lost }))).toBe(
    "none",
  );
  expect(describeNextChange(createView("ab", "d", { b: { unresponsiveMs: 600 } }))).toBe(
    "promote d",
  );
  expect(describeNextChange(createView("abcd", "", { c: lost, d: { unresponsiveMs: 600 } }))).toBe(
    "demote c",
  );
  const two = { b: { unresponsiveMs: 600 }, c: lost, d: { unresponsiveMs: 600 } };
  expect(describeNextChange(createView("abcd", "", two))).toBe("none");
});

test("a stopping voter is replaced while all are responsive: the learner is promoted first", () => {
  const stopping = { stopping: new Set("c") };
  expect(describeNextChange(createView("abc", "d", {}, stopping))).toBe("promote d");
  expect(describeNextChange(createView("abcd", "", {}, stopping))).toBe("demote c");
  expect(describeNextChange(createView("abd", "c", {}, stopping))).toBe("none");
  expect(describeNextChange(createView("abc", "d", { b: { unresponsiveMs: 600 } }, stopping))).toBe(
    "none",
  );
  expect(describeNextChange(createView("abc", "", {}, stopping))).toBe("none");
});

test("a stopping learner isn't promoted, and the leader doesn't demote itself", () => {
  expect(describeNextChange(createView("abc", "d", { c: lost }, { stopping: new Set("d") }))).toBe(
    "none",
  );
  expect(describeNextChange(createView("abcd", "", {}, { stopping: new Set("a") }))).toBe("none");
});

test("a learner that is lost for good is removed", () => {
  expect(
    describeNextChange(createView("abc", "d", { d: { ...lost, unresponsiveMs: 61_000 } })),
  ).toBe("remove d");
});

test("what a stopping voter acknowledged is safe without it once a majority of the voters has it", () => {
  expect(MembershipPolicy.isReplicatedWithout(createView("abc", ""), "c", 100)).toBe(true);
  expect(
    MembershipPolicy.isReplicatedWithout(createView("abc", "", { b: { matchIndex: 99 } }), "c", 0),
  ).toBe(false);
  expect(MembershipPolicy.isReplicatedWithout(createView("abd", "c", { b: lost }), "c", 0)).toBe(
    true,
  );
  expect(MembershipPolicy.isReplicatedWithout(createView("abc", ""), "c", 101)).toBe(false);
  // What is silent may have lost what it acknowledged before.
  expect(
    MembershipPolicy.isReplicatedWithout(
      createView("abc", "", { b: { unresponsiveMs: 600 } }),
      "c",
      0,
    ),
  ).toBe(false);
});

test("from any members and losses, each step leaves a responsive majority, and the steps end in the wanted group", () => {
  for (const [voters, learners, wantedVoters] of [
    ["abc", "de", 3],
    ["abcde", "fg", 5],
    ["abcdefg", "hij", 7],
  ] as const) {
    const tolerated = (wantedVoters - 1) / 2;
    for (let from = 1; from < voters.length; from += 1) {
      const gone = [...voters].slice(from, from + Math.min(tolerated, learners.length));
      let view = createView(
        voters,
        learners,
        Object.fromEntries(gone.map((voter) => [voter, lost])),
        {
          wantedVoters,
        },
      );
      for (
        let change = MembershipPolicy.nextChange(view);
        change;
        change = MembershipPolicy.nextChange(view)
      ) {
        const after = MembershipPolicy.applyChange(view, change);
        const alive = after.voters.filter((voter) => !gone.includes(voter));
        expect(2 * alive.length).toBeGreaterThan(after.voters.length);
        expect(Math.abs(after.voters.length - view.voters.length)).toBe(1);
        view = { ...view, ...after };
      }
      expect(view.voters).toHaveLength(wantedVoters);
      expect(view.voters.filter((voter) => gone.includes(voter))).toEqual([]);
    }
  }
});
