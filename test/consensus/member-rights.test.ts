import { expect, test } from "vitest";
import {
  memberRights,
  type MemberRights,
  type MemberState,
} from "../../src/consensus/member-rights.js";

/** A voter that holds all, hears no leader and may stand. */
const wholeVoter: MemberState = {
  stage: "formed",
  isRejoining: false,
  isNamedVoter: true,
  isLeader: false,
  isRetired: false,
  isDiskWell: true,
  isBoundToLeader: false,
  hasLease: false,
};
const leader = { isLeader: true, isBoundToLeader: true, hasLease: true };

const rightNames = [
  "form",
  "takePart",
  "preVote",
  "vote",
  "voteOnHandOver",
  "stand",
  "countForCommit",
  "lead",
  "answer",
  "forward",
] as const satisfies ReadonlyArray<keyof MemberRights>;

/** One row of the table in docs/control.md: what a member is, and all that it may do. */
const rows: ReadonlyArray<
  readonly [what: string, state: Partial<MemberState>, rights: ReadonlyArray<keyof MemberRights>]
> = [
  ["loading", { stage: "loading" }, ["forward"]],
  ["empty", { stage: "empty" }, ["form", "forward"]],
  ["damaged", { stage: "damaged" }, ["forward"]],
  ["forming", { stage: "forming" }, ["forward"]],
  ["rejoining", { isRejoining: true }, ["takePart", "forward"]],
  [
    "rejoining, hears the leader",
    { isRejoining: true, isBoundToLeader: true },
    ["takePart", "forward"],
  ],
  [
    "restarted within the shortest election wait, or hears a leader",
    { isBoundToLeader: true },
    ["takePart", "voteOnHandOver", "stand", "countForCommit", "forward"],
  ],
  [
    "learner",
    { isNamedVoter: false },
    ["takePart", "preVote", "vote", "voteOnHandOver", "countForCommit", "forward"],
  ],
  [
    "voter whose disk takes no writes",
    { isDiskWell: false },
    ["takePart", "preVote", "vote", "voteOnHandOver", "countForCommit", "forward"],
  ],
  [
    "voter that is about to end",
    { isRetired: true },
    ["takePart", "preVote", "vote", "voteOnHandOver", "forward"],
  ],
  [
    "whole voter that hears no leader",
    {},
    ["takePart", "preVote", "vote", "voteOnHandOver", "stand", "countForCommit", "forward"],
  ],
  [
    "leader without a lease",
    { ...leader, hasLease: false },
    ["takePart", "voteOnHandOver", "countForCommit", "lead", "forward"],
  ],
  ["leader", leader, ["takePart", "voteOnHandOver", "countForCommit", "lead", "answer", "forward"]],
  [
    "leader whose disk takes no writes",
    { ...leader, isDiskWell: false },
    ["takePart", "voteOnHandOver", "countForCommit", "answer", "forward"],
  ],
  [
    "leader that is no voter any more",
    { ...leader, isNamedVoter: false },
    ["takePart", "voteOnHandOver", "countForCommit", "lead", "answer", "forward"],
  ],
];

for (const [what, state, allowed] of rows)
  test(`a member that is ${what} may ${allowed.join(", ")}, and nothing else`, () => {
    const rights = memberRights({ ...wholeVoter, ...state });
    expect(rightNames.filter((name) => rights[name])).toEqual(allowed);
  });

const stages: ReadonlyArray<MemberState["stage"]> = [
  "loading",
  "empty",
  "damaged",
  "forming",
  "formed",
];
const either = [false, true];

/** Every state that there is. */
const allStates = (): MemberState[] => {
  let states: MemberState[] = stages.map((stage) => ({ ...wholeVoter, stage }));
  for (const flag of [
    "isRejoining",
    "isNamedVoter",
    "isLeader",
    "isRetired",
    "isDiskWell",
    "isBoundToLeader",
    "hasLease",
  ] as const)
    states = states.flatMap((state) => either.map((value) => ({ ...state, [flag]: value })));
  return states;
};

test("in every state there is, one that forgot its promises has no part in a majority, nor does one without a lease answer", () => {
  for (const state of allStates()) {
    const rights = memberRights(state);
    const forgot = state.isRejoining || state.stage !== "formed";
    const inMajority =
      rights.preVote ||
      rights.vote ||
      rights.voteOnHandOver ||
      rights.stand ||
      rights.countForCommit;
    if (forgot) expect([inMajority, rights.lead, rights.answer]).toEqual([false, false, false]);
    if (!state.hasLease || !state.isLeader) expect(rights.answer).toBe(false);
    if (state.isBoundToLeader) expect([rights.vote, rights.preVote]).toEqual([false, false]);
    if (state.isRetired) expect([rights.stand, rights.countForCommit]).toEqual([false, false]);
    if (rights.form) expect(state.stage).toBe("empty");
    expect(rights.forward).toBe(true);
  }
});
