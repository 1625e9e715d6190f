import { expect, test } from "vitest";
import { initialState, type ConsensusState } from "../../src/consensus/state.js";
import { countVote } from "../../src/consensus/vote.js";

const createState = (more: Partial<ConsensusState>): ConsensusState => ({
  ...initialState("own", 0),
  members: { voters: ["own", "other"], learners: [] },
  ...more,
});

test("a refused pre-vote reports a later term, which is adopted, also if it is the requested one", () => {
  const reply = { term: 3, granted: false };
  const state = countVote(
    createState({ role: "preCandidate", term: 2 }),
    { peer: "other", isPreVote: true, term: 3, reply },
    0,
  );
  expect([state.role, state.term, state.votedFor]).toEqual(["follower", 3, ""]);
});

test("a reply of an earlier term changes nothing", () => {
  const state = createState({ role: "leader", term: 5, votedFor: "own" });
  const received = { peer: "other", isPreVote: false, term: 3, reply: { term: 4, granted: false } };
  expect(countVote(state, received, 0)).toBe(state);
});
