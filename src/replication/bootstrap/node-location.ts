import type { Members } from "../../consensus/members.js";

/** Where a daemon stands among its peers, and what it may do for the forming of the record. */
export interface NodeLocation {
  /** The address at which peers reach this daemon. */
  readonly self: string;
  readonly machine: string;
  readonly zone: string;
  /** Whether the whole fleet starts for the first time, so that a record may be formed. */
  readonly founds: boolean;
  /** How many machines or zones may be lost at once. */
  readonly tolerate: { readonly machines: number; readonly zones: number };
  /** Peer addresses of any daemons, which may change while this one runs. */
  seeds(): readonly string[];
}

/** A recorder with an empty disk, as the founder knows it. */
export interface BootstrapCandidate {
  readonly peer: string;
  readonly machine: string;
  readonly zone: string;
}

const compare = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0);

export const NodeLocation = {
  /** How many voters the record has, so that a majority is left after the losses that are tolerated. */
  voters: ({ tolerate }: NodeLocation): number =>
    2 * Math.max(tolerate.machines, tolerate.zones) + 1,

  /** Who votes and who learns: voters in turn from the zones, by name; nothing where too few or too near to each other. */
  choose(location: NodeLocation, candidates: readonly BootstrapCandidate[]): Members | undefined {
    const wanted = NodeLocation.voters(location);
    const byZone = new Map<string, BootstrapCandidate[]>();
    for (const one of [...candidates].sort(
      (a, b) => compare(a.zone, b.zone) || compare(a.machine, b.machine) || compare(a.peer, b.peer),
    ))
      byZone.set(one.zone, [...(byZone.get(one.zone) ?? []), one]);
    const inTurn = [...byZone.values()]
      .flatMap((zone, zoneAt) => zone.map((candidate, turn) => ({ candidate, zoneAt, turn })))
      .sort((a, b) => a.turn - b.turn || a.zoneAt - b.zoneAt);
    const chosen = inTurn.slice(0, wanted).map(({ candidate }) => candidate);
    if (chosen.length < wanted) return undefined;
    const inZones = [...byZone.keys()]
      .map((zone) => chosen.filter((one) => one.zone === zone).length)
      .sort((a, b) => b - a);
    const lost = inZones.slice(0, location.tolerate.zones).reduce((sum, count) => sum + count, 0);
    if (2 * (wanted - lost) <= wanted) return undefined;
    return {
      voters: chosen.map(({ peer }) => peer),
      learners: inTurn.slice(wanted).map(({ candidate }) => candidate.peer),
    };
  },
};
