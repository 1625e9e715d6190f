/** Majorities of the voters. */
import type { Members } from "./members.js";

/** The number of voters in the smallest majority. */
export const majoritySize = ({ voters }: Members): number => Math.floor(voters.length / 2) + 1;

/**
 * The highest value that at least `majoritySize` of the counted members have reached; `undefined` if fewer members are counted.
 */
export const reachedByMajority = (
  members: Members,
  valueOf: (member: string) => number,
  countedMembers: readonly string[] = members.voters,
): number | undefined => {
  const descendingValues = countedMembers.map(valueOf).sort((a, b) => b - a);
  return descendingValues[majoritySize(members) - 1];
};

/** Whether a set contains a majority of the voters. */
export const isMajority = (members: Members, present: ReadonlySet<string>): boolean =>
  members.voters.filter((voter) => present.has(voter)).length >= majoritySize(members);
