/** A node's location, and the choice of a new log's members from the candidates. */
import type { Members } from "../../consensus/members.js";

/** A daemon's address, machine, zone and seeds, and whether it may form a log. */
export interface NodeLocation {
  /** The address at which peers reach this daemon. */
  readonly self: string;
  readonly machine: string;
  readonly zone: string;
  /** Whether the node may form a log, because the whole fleet starts for the first time. */
  readonly mayBootstrap: boolean;
  /** The number of machines or zones whose simultaneous loss the log must survive. */
  readonly tolerate: { readonly machines: number; readonly zones: number };
  /** Peer addresses of daemons to probe; they may change while this daemon runs. */
  seeds(): readonly string[];
}

/** A node with an empty disk, as the initiator knows it. */
export interface BootstrapCandidate {
  readonly peer: string;
  readonly machine: string;
  readonly zone: string;
}

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/** The number of voters with which a majority remains after the tolerated losses. */
export const wantedVoterCount = ({ tolerate }: NodeLocation): number =>
  2 * Math.max(tolerate.machines, tolerate.zones) + 1;

/**
 * Chooses the voters from the zones in turn, by zone, machine and address; all other candidates become learners. Returns
 * `undefined` if there are too few candidates, or if the tolerated loss of zones would leave no majority.
 */
export function chooseMembers(
  location: NodeLocation,
  candidates: readonly BootstrapCandidate[],
): Members | undefined {
  const voterCount = wantedVoterCount(location);
  const byZone = new Map<string, BootstrapCandidate[]>();
  for (const candidate of [...candidates].sort(
    (a, b) =>
      compareText(a.zone, b.zone) ||
      compareText(a.machine, b.machine) ||
      compareText(a.peer, b.peer),
  ))
    byZone.set(candidate.zone, [...(byZone.get(candidate.zone) ?? []), candidate]);
  const orderedCandidates = [...byZone.values()]
    .flatMap((zone, zoneIndex) =>
      zone.map((candidate, rankInZone) => ({ candidate, zoneIndex, rankInZone })),
    )
    .sort((a, b) => a.rankInZone - b.rankInZone || a.zoneIndex - b.zoneIndex);
  const chosenVoters = orderedCandidates.slice(0, voterCount).map(({ candidate }) => candidate);
  if (chosenVoters.length < voterCount) return undefined;
  const votersByZone = [...byZone.keys()]
    .map((zone) => chosenVoters.filter((candidate) => candidate.zone === zone).length)
    .sort((a, b) => b - a);
  const maxLostVoters = votersByZone
    .slice(0, location.tolerate.zones)
    .reduce((sum, count) => sum + count, 0);
  if (2 * (voterCount - maxLostVoters) <= voterCount) return undefined;
  return {
    voters: chosenVoters.map(({ peer }) => peer),
    learners: orderedCandidates.slice(voterCount).map(({ candidate }) => candidate.peer),
  };
}
