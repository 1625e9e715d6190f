import { expect, test } from "vitest";
import {
  type NodeLocation,
  chooseMembers,
  wantedVoterCount,
  type BootstrapCandidate,
} from "../../../src/replication/bootstrap/node-location.js";

const createLocation = (machines: number, zones: number): NodeLocation => ({
  self: "p",
  machine: "m",
  zone: "a",
  mayBootstrap: true,
  tolerate: { machines, zones },
  seeds: () => [],
});
const createCandidates = (zones: string): BootstrapCandidate[] =>
  [...zones].map((zone, at) => ({ peer: `${zone}${at}`, machine: `m${at}`, zone }));

test("voters are chosen from the zones in turn, in whatever order candidates were found", () => {
  const all = createCandidates("aabbcc");
  expect(chooseMembers(createLocation(2, 0), all)).toEqual({
    voters: ["a0", "b2", "c4", "a1", "b3"],
    learners: ["c5"],
  });
  expect(chooseMembers(createLocation(2, 0), [...all].reverse())).toEqual(
    chooseMembers(createLocation(2, 0), all),
  );
  expect(chooseMembers(createLocation(1, 0), createCandidates("abcd"))).toEqual({
    voters: ["a0", "b1", "c2"],
    learners: ["d3"],
  });
});

test("no members are chosen from too few candidates, nor from too few zones where losses of zones are tolerated", () => {
  expect(chooseMembers(createLocation(1, 0), createCandidates("ab"))).toBeUndefined();
  expect(chooseMembers(createLocation(1, 0), createCandidates("aaa"))?.voters).toHaveLength(3);
  expect(chooseMembers(createLocation(1, 1), createCandidates("aab"))).toBeUndefined();
  expect(chooseMembers(createLocation(1, 1), createCandidates("aabc"))?.voters).toEqual([
    "a0",
    "b2",
    "c3",
  ]);
  expect(chooseMembers(createLocation(2, 1), createCandidates("aaabb"))).toBeUndefined();
  expect(chooseMembers(createLocation(2, 1), createCandidates("aaabbc"))?.voters).toHaveLength(5);
  expect(wantedVoterCount(createLocation(0, 1))).toBe(3);
});
