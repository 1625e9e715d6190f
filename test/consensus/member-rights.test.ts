import { expect, test } from "vitest";
import {
  memberRights,
  type MemberRights,
  type MemberState,
} from "../../src/consensus/member-rights.js";

/** A voter with a complete log and no contact with a leader, which may campaign. */
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
  "participate",
  "preVote",
  "vote",
  "voteOnLeadershipTransfer",
  "campaign",
  "countForCommit",
  "lead",
  "serve",
  "forward",
] as const satisfies ReadonlyArray<keyof MemberRights>;

/** The rows of the table in docs/control.md: a description of a member, its state, and all its rights. */
const rightsTable: ReadonlyArray<
  readonly [
    description: string,
    state: Partial<MemberState>,
    rights: ReadonlyArray<keyof MemberRights>,
  ]
> = [
  ["loading", { stage: "loading" }, ["forward"]],
  ["empty", { stage: "empty" }, ["form", "forward"]],
  ["damaged", { stage: "damaged" }, ["forward"]],
  ["forming", { stage: "forming" }, ["forward"]],
  ["rejoining", { isRejoining: true }, ["participate", "forward"]],
  [
    "rejoining, has contact with the leader",
    { isRejoining: true, isBoundToLeader: true },
    ["participate", "forward"],
  ],
  [
    "restarted within the shortest election timeout, or has contact with a leader",
    { isBoundToLeader: true },
    ["participate", "voteOnLeadershipTransfer", "campaign", "countForCommit", "forward"],
  ],
  [
    "learner",
    { isVoter: false },
    ["participate", "preVote", "vote", "voteOnLeadershipTransfer", "countForCommit", "forward"],
  ],
  [
    "voter whose disk accepts no writes",
    { isDiskHealthy: false },
    ["participate", "preVote", "vote", "voteOnLeadershipTransfer", "countForCommit", "forward"],
  ],
  [
    "voter that is shutting down",
    { isRetired: true },
    ["participate", "preVote", "vote", "voteOnLeadershipTransfer", "forward"],
  ],
  [
    "voter with a complete log and no contact with a leader",
    {},
    [
      "participate",
      "preVote",
      "vote",
      "voteOnLeadershipTransfer",
      "campaign",
      "countForCommit",
      "forward",
    ],
  ],
  [
    "leader without a lease",
    { ...leader, hasLease: false },
    ["participate", "voteOnLeadershipTransfer", "countForCommit", "lead", "forward"],
  ],
  [
    "leader",
    leader,
    ["participate", "voteOnLeadershipTransfer", "countForCommit", "lead", "serve", "forward"],
  ],
  [
    "leader whose disk accepts no writes",
    { ...leader, isDiskHealthy: false },
    ["participate", "voteOnLeadershipTransfer", "countForCommit", "serve", "forward"],
  ],
  [
    "leader that is no longer a voter",
    { ...leader, isVoter: false },
    ["participate", "voteOnLeadershipTransfer", "countForCommit", "lead", "serve", "forward"],
  ],
];

for (const [description, state, allowed] of rightsTable)
  test(`${description}: has only the rights ${allowed.join(", ")}`, () => {
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

/** Lists every combination of stage and flags. */
const listAllStates = (): MemberState[] => {
  let states: MemberState[] = stages.map((stage) => ({ ...healthyVoter, stage }));
  for (const flag of [
    "isRejoining",
    "isVoter",
    "isLeader",
    "isRetired",
    "isDiskHealthy",
    "isBoundToLeader",
    "hasLease",
  ] as const)
    states = states.flatMap((state) => booleans.map((value) => ({ ...state, [flag]: value })));
  return states;
};

test("in every state, a member with an incomplete log counts in no majority, and a member without a lease serves nothing", () => {
  for (const state of listAllStates()) {
    const rights = memberRights(state);
    const isIncomplete = state.isRejoining || state.stage !== "formed";
    const countsInMajority =
      rights.preVote ||
      rights.vote ||
      rights.voteOnLeadershipTransfer ||
      rights.campaign ||
      rights.countForCommit;
    if (isIncomplete)
      expect([countsInMajority, rights.lead, rights.serve]).toEqual([false, false, false]);
    if (!state.hasLease || !state.isLeader) expect(rights.serve).toBe(false);
    if (state.isBoundToLeader) expect([rights.vote, rights.preVote]).toEqual([false, false]);
    if (state.isRetired) expect([rights.campaign, rights.countForCommit]).toEqual([false, false]);
    if (rights.form) expect(state.stage).toBe("empty");
    expect(rights.forward).toBe(true);
  }
});
