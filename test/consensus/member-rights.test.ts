import { expect, test } from "vitest";
import {
  memberRights,
  type MemberRights,
  type MemberState,
} from "../../src/consensus/member-rights.js";

/** A voter that holds all, hears no leader and may stand. */
const healthyVoter: MemberState = {
  stage: "formed",
  isRejoining: false,
  isVoter: true,
  isLeader: false,
  isRetired: false,
  isDiskHealthy: true,
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
  "campaign",
  "countForCommit",
  "lead",
  "serve",
  "forward",
] as const satisfies ReadonlyArray<keyof MemberRights>;

/** One row of the table in docs/control.md: what a member is, and all that it may do. */
const rightsTable: ReadonlyArray<
  readonly [what: string, state: Partial<MemberState>, rights: ReadonlyArray<keyof MemberRights>]
> = [
  ["loading", { stage: "loading" }, ["forward"]],
  ["empty", { stage: "empty" }, ["form", "forward"]],
  ["damaged", { stage: "damaged" }, ["forward"]],
  ["forming", { stage: "forming" }, ["forward"]],
  ["rejoining", { isRejoining: true }, ["takePart", "forward"]],
  [
    "rejoining, has contact with the leader",
    { isRejoining: true, isBoundToLeader: true },
    ["takePart", "forward"],
  ],
  [
    "restarted within the shortest election timeout, or has contact with a leader",
    { isBoundToLeader: true },
    ["takePart", "voteOnHandOver", "campaign", "countForCommit", "forward"],
  ],
  [
    "learner",
    { isVoter: false },
    ["takePart", "preVote", "vote", "voteOnHandOver", "countForCommit", "forward"],
  ],
  [
    "voter whose disk accepts no writes",
    { isDiskHealthy: false },
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
    ["takePart", "preVote", "vote", "voteOnHandOver", "campaign", "countForCommit", "forward"],
  ],
  [
    "leader without a lease",
    { ...leader, hasLease: false },
    ["takePart", "voteOnHandOver", "countForCommit", "lead", "forward"],
  ],
  ["leader", leader, ["takePart", "voteOnHandOver", "countForCommit", "lead", "serve", "forward"]],
  [
    "leader whose disk accepts no writes",
    { ...leader, isDiskHealthy: false },
    ["takePart", "voteOnHandOver", "countForCommit", "serve", "forward"],
  ],
  [
    "leader that is no voter any more",
    { ...leader, isVoter: false },
    ["takePart", "voteOnHandOver", "countForCommit", "lead", "serve", "forward"],
  ],
];

for (const [what, state, allowed] of rightsTable)
  test(`a member that is ${what} may ${allowed.join(", ")}, and nothing else`, () => {
    const rights = memberRights({ ...healthyVoter, ...state });
    expect(rightNames.filter((name) => rights[name])).toEqual(allowed);
  });

const stages: ReadonlyArray<MemberState["stage"]> = [
  "loading",
  "empty",
  "damaged",
  "forming",
  "formed",
];
const booleans = [false, true];

/** Every state that there is. */
const listAllStates = (): MemberState[] => {
  let states: MemberState[] = stages.map((stage) => ({ ...healthyVoter, stage }));
  for (const flag of [
    "isRejoining",
    "isNamedVoter",
    "isLeader",
    "isRetired",
    "isDiskHealthy",
    "isBoundToLeader",
    "hasLease",
  ] as const)
    states = states.flatMap((state) => booleans.map((value) => ({ ...state, [flag]: value })));
  return states;
};

test("in every state, a member that lost its promises counts in no majority, and one without a lease serves nothing", () => {
  for (const state of listAllStates()) {
    const rights = memberRights(state);
    const forgot = state.isRejoining || state.stage !== "formed";
    const inMajority =
      rights.preVote ||
      rights.vote ||
      rights.voteOnLeadershipTransfer ||
      rights.campaign ||
      rights.countForCommit;
    if (forgot) expect([inMajority, rights.lead, rights.serve]).toEqual([false, false, false]);
    if (!state.hasLease || !state.isLeader) expect(rights.serve).toBe(false);
    if (state.isBoundToLeader) expect([rights.vote, rights.preVote]).toEqual([false, false]);
    if (state.isRetired) expect([rights.campaign, rights.countForCommit]).toEqual([false, false]);
    if (rights.form) expect(state.stage).toBe("empty");
    expect(rights.forward).toBe(true);
  }
});
