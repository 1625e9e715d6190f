import { expect, test } from "vitest";
import { initialState, type ConsensusState } from "../../src/consensus/state.js";
import { countVote } from "../../src/consensus/vote.js";

const createState = (overrides: Partial<ConsensusState>): ConsensusState => ({
  ...initialState("own", 0),
  members: { voters: ["own", "other"], learners: [] },
  ...overrides,
});

/**
 * Voters of a later term refuse a pre-vote for that term. A candidate one term behind that didn't adopt it would repeat the same
 * pre-vote and never be elected.
 */
test("the later term in a refused pre-vote is adopted, even if it equals the requested term", () => {
  const reply = { term: 3, granted: false };
  const state = countVote(
    createState({ role: "preCandidate", term: 2 }),
    { peer: "other", isPreVote: true, term: 3, reply },
    0,
  );
  expect([state.role, state.term, state.votedFor]).toEqual(["follower", 3, ""]);
});

test("a vote reply of an earlier term leaves the state unchanged", () => {
  const state = createState({ role: "leader", term: 5, votedFor: "own" });
  const received = { peer: "other", isPreVote: false, term: 3, reply: { term: 4, granted: false } };
  expect(countVote(state, received, 0)).toBe(state);
});
