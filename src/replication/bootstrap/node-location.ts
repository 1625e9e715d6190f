/** Where a node is located, and which of the candidates become the members of a new log. */
import type { Members } from "../../consensus/members.js";

/** A daemon's address, machine and zone, its seeds, and whether it may form a log. */
export interface NodeLocation {
  /** The address at which peers reach this daemon. */
  readonly self: string;
  readonly machine: string;
  readonly zone: string;
  /** Whether the whole fleet starts for the first time, so that a log may be formed. */
  readonly mayBootstrap: boolean;
  /** How many machines or zones may be lost at once. */
  readonly tolerate: { readonly machines: number; readonly zones: number };
  /** Peer addresses of any daemons, which may change while this one runs. */
  seeds(): readonly string[];
}

/** A node with an empty disk, as the initiator knows it. */
export interface BootstrapCandidate {
  readonly peer: string;
  readonly machine: string;
  readonly zone: string;
}

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

/** How many voters the log has, so that a majority remains after the losses that are tolerated. */
export const wantedVoterCount = ({ tolerate }: NodeLocation): number =>
  2 * Math.max(tolerate.machines, tolerate.zones) + 1;

/** Chooses voters in turn from the zones, by name, the others as learners; nothing where there are too few nodes or zones. */
export function chooseMembers(
  location: NodeLocation,
  candidates: readonly BootstrapCandidate[],
): Members | undefined {
  const wanted = wantedVoterCount(location);
  const byZone = new Map<string, BootstrapCandidate[]>();
  for (const candidate of [...candidates].sort(
    (a, b) =>
      compareText(a.zone, b.zone) ||
      compareText(a.machine, b.machine) ||
      compareText(a.peer, b.peer),
  ))
    byZone.set(candidate.zone, [...(byZone.get(candidate.zone) ?? []), candidate]);
  const inTurn = [...byZone.values()]
    .flatMap((zone, zoneIndex) =>
      zone.map((candidate, rankInZone) => ({ candidate, zoneIndex, turn: rankInZone })),
    )
    .sort((a, b) => a.turn - b.turn || a.zoneIndex - b.zoneIndex);
  const chosen = inTurn.slice(0, wanted).map(({ candidate }) => candidate);
  if (chosen.length < wanted) return undefined;
  const votersByZone = [...byZone.keys()]
    .map((zone) => chosen.filter((candidate) => candidate.zone === zone).length)
    .sort((a, b) => b - a);
  const lost = votersByZone
    .slice(0, location.tolerate.zones)
    .reduce((sum, count) => sum + count, 0);
  if (2 * (wanted - lost) <= wanted) return undefined;
  return {
    voters: chosen.map(({ peer }) => peer),
    learners: inTurn.slice(wanted).map(({ candidate }) => candidate.peer),
  };
}
