import type { Members } from "./members.js";

/** How many voters a majority has. */
export const majoritySize = ({ voters }: Members): number => Math.floor(voters.length / 2) + 1;

/** The highest value that as many as a majority have reached of those who count; undefined where they are too few. */
export const reachedByMajority = (
  members: Members,
  valueOf: (member: string) => number,
  counted: readonly string[] = members.voters,
): number | undefined => {
  const reached = counted.map(valueOf).sort((a, b) => b - a);
  return reached[majoritySize(members) - 1];
};

/** Whether a majority of the voters is in a set. */
export const isMajority = (members: Members, present: ReadonlySet<string>): boolean =>
  members.voters.filter((voter) => present.has(voter)).length >= majoritySize(members);
