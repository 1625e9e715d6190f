import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Backend } from "./backend.js";

/** How many backends of its own zone a daemon uses for each one of another zone. */
const nearPerFar = 3;
/** How many backends of a service a daemon uses while they are well and have room, unless all daemons together were too many. */
const usualSubsetSize = 8;
/** A daemon has two backends to choose from at the least. */
const leastSubsetSize = 2;
/** Which part of the connections that a backend bears is shared out among the daemons. */
const sharedConnections = 0.8;

const fnvOffset = 2166136261;
const fnvPrime = 16777619;

/** FNV-1a over the characters of a text: where a backend stands on the ring. */
const ringHash = (text: string): number => {
  let hash = fnvOffset;
  for (let at = 0; at < text.length; at += 1)
    hash = Math.imul(hash ^ text.charCodeAt(at), fnvPrime) >>> 0;
  return hash;
};

/** One backend on the ring: its place in the list, and where it stands. */
interface RingPoint {
  readonly rank: number;
  readonly address: string;
  readonly hash: number;
  readonly isNear: boolean;
}

/** The ring from where the daemon of a place begins: starts are spread evenly. */
const ringFrom = (points: readonly RingPoint[], index: number, count: number): number[] => {
  const ring = [...points]
    .sort((a, b) => a.hash - b.hash || (a.address < b.address ? -1 : 1))
    .map(({ rank }) => rank);
  const start = Math.floor((index * ring.length) / Math.max(1, count));
  return [...ring.slice(start), ...ring.slice(0, start)];
};

/**
 * The order in which a daemon prefers the backends of a service, as places in the list: the deterministic aperture of
 * client-side load balancing. The daemons of a zone see the same ring and begin at evenly spread places, so that the first few
 * of each cover every backend about equally often. A daemon or a backend that comes or goes moves starts by as many places as
 * a daemon has backends to itself, at most. Those of the own zone stand three to one among the first.
 */
export const ringRanks = (
  backends: readonly Backend[],
  ownZone: string,
  { zoneIndex, zoneCount }: EdgePlacement,
): number[] => {
  const points = backends.map(({ address, zone }, rank) => ({
    rank,
    address,
    hash: ringHash(address),
    isNear: zone === ownZone,
  }));
  const ring = (isNear: boolean): number[] =>
    ringFrom(
      points.filter((point) => point.isNear === isNear),
      zoneIndex,
      zoneCount,
    );
  const near = ring(true);
  const far = ring(false);
  const ranks: number[] = [];
  while (near.length > 0 || far.length > 0)
    ranks.push(...near.splice(0, nearPerFar), ...far.splice(0, 1));
  return ranks;
};

/** What is known of a service's backends and of those that use them. */
export interface ConnectionSharing {
  /** How many connections one backend bears from all daemons together, where that is known. */
  readonly maxConnections: number | undefined;
  readonly backendCount: number;
  /** How many daemons there are. */
  readonly daemonCount: number;
}

/** How many backends of a service a daemon uses: fewer where all daemons together would have too many connections. */
export const subsetSizeFor = ({
  maxConnections,
  backendCount,
  daemonCount,
}: ConnectionSharing): number => {
  if (maxConnections === undefined) return usualSubsetSize;
  const bearable = (maxConnections * sharedConnections * backendCount) / Math.max(1, daemonCount);
  return Math.max(leastSubsetSize, Math.min(usualSubsetSize, Math.floor(bearable)));
};

/**
 * How many connections one daemon may have to one backend so that all daemons together stay below what a backend bears: the
 * daemons that use it share most of its connections.
 */
export const connectionShare = (sharing: ConnectionSharing): number => {
  const { maxConnections, backendCount, daemonCount } = sharing;
  if (maxConnections === undefined) return Infinity;
  const size = Math.min(subsetSizeFor(sharing), backendCount);
  const users = Math.max(1, (daemonCount * size) / Math.max(1, backendCount));
  return Math.max(1, Math.floor((maxConnections * sharedConnections) / users));
};
