import { expect, test } from "vitest";
import {
  type NodeLocation,
  chooseMembers,
  wantedVoterCount,
  type BootstrapCandidate,
} from "../../../src/replication/bootstrap/node-location.js";

const place = (machines: number, zones: number): NodeLocation => ({
  self: "p",
  machine: "m",
  zone: "a",
  mayBootstrap: true,
  tolerate: { machines, zones },
  seeds: () => [],
});
const inZones = (zones: string): BootstrapCandidate[] =>
  [...zones].map((zone, at) => ({ peer: `${zone}${at}`, machine: `m${at}`, zone }));

test("voters are chosen from the zones in turn, in whatever order candidates were found", () => {
  const all = inZones("aabbcc");
  expect(chooseMembers(place(2, 0), all)).toEqual({
    voters: ["a0", "b2", "c4", "a1", "b3"],
    learners: ["c5"],
  });
  expect(chooseMembers(place(2, 0), [...all].reverse())).toEqual(chooseMembers(place(2, 0), all));
  expect(chooseMembers(place(1, 0), inZones("abcd"))).toEqual({
    voters: ["a0", "b1", "c2"],
    learners: ["d3"],
  });
});

test("no members are chosen from too few candidates, nor from too few zones where losses of zones are tolerated", () => {
  expect(chooseMembers(place(1, 0), inZones("ab"))).toBeUndefined();
  expect(chooseMembers(place(1, 0), inZones("aaa"))?.voters).toHaveLength(3);
  expect(chooseMembers(place(1, 1), inZones("aab"))).toBeUndefined();
  expect(chooseMembers(place(1, 1), inZones("aabc"))?.voters).toEqual(["a0", "b2", "c3"]);
  expect(chooseMembers(place(2, 1), inZones("aaabb"))).toBeUndefined();
  expect(chooseMembers(place(2, 1), inZones("aaabbc"))?.voters).toHaveLength(5);
  expect(wantedVoterCount(place(0, 1))).toBe(3);
});
