/** Which backends of a service a daemon prefers, and how many connections it may open to each: deterministic subsetting. */
import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Backend } from "./backend.js";

/** How many backends of its own zone a daemon uses for each one of another zone. */
const LOCAL_PER_REMOTE = 3;
/** How many backends of a service a daemon uses while they are healthy and have capacity. */
const DEFAULT_SUBSET_SIZE = 8;
/** How many backends a daemon uses even where all daemons together open too many connections. */
const MIN_SUBSET_SIZE = 2;
/** Which part of a backend's connections is divided among the daemons. */
const USABLE_CONNECTION_FRACTION = 0.8;

const FNV_OFFSET = 2166136261;
const FNV_PRIME = 16777619;

/** FNV-1a over the characters of a text: the position of a backend on the ring. */
const ringHash = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  return hash;
};

/** One backend on the ring: its index in the list, and its position. */
interface RingPoint {
  readonly index: number;
  readonly address: string;
  readonly hash: number;
  readonly isLocal: boolean;
}

/** The indexes of the ring's backends from the start of one of `count` daemons; starts are spaced evenly. */
const computeRing = (
  points: readonly RingPoint[],
  daemonIndex: number,
  count: number,
): number[] => {
  const ring = [...points]
    .sort((a, b) => a.hash - b.hash || (a.address < b.address ? -1 : 1))
    .map(({ index }) => index);
  const start = Math.floor((daemonIndex * ring.length) / Math.max(1, count));
  return [...ring.slice(start), ...ring.slice(0, start)];
};

/**
 * The order in which a daemon prefers the backends of a service, as indexes of the list: the deterministic aperture of
 * client-side load balancing. The daemons of a zone have the same ring and start at evenly spaced positions, so that the first few
 * of each cover every backend about equally often. A daemon or a backend that is added or removed moves starts by no more than
 * the number of backends per daemon. Among the first, those of the own zone are three to one.
 */
export const computeRingOrder = (
  backends: readonly Backend[],
  ownZone: string,
  { zoneIndex, zoneCount }: EdgePlacement,
): number[] => {
  const points = backends.map(({ address, zone }, index) => ({
    index,
    address,
    hash: ringHash(address),
    isLocal: zone === ownZone,
  }));
  const ring = (isLocal: boolean): number[] =>
    computeRing(
      points.filter((point) => point.isLocal === isLocal),
      zoneIndex,
      zoneCount,
    );
  const local = ring(true);
  const remote = ring(false);
  const order: number[] = [];
  while (local.length > 0 || remote.length > 0)
    order.push(...local.splice(0, LOCAL_PER_REMOTE), ...remote.splice(0, 1));
  return order;
};

/** How many daemons share a service's backends and their connections. */
export interface ConnectionSharing {
  /** How many connections one backend accepts from all daemons together, where that is known. */
  readonly maxConnections: number | undefined;
  /** How many backends the service has. */
  readonly backendCount: number;
  /** How many daemons there are. */
  readonly daemonCount: number;
}

/** How many backends of a service a daemon uses: fewer where all daemons together would open too many connections. */
export const computeSubsetSize = ({
  maxConnections,
  backendCount,
  daemonCount,
}: ConnectionSharing): number => {
  if (maxConnections === undefined) return DEFAULT_SUBSET_SIZE;
  const affordable =
    (maxConnections * USABLE_CONNECTION_FRACTION * backendCount) / Math.max(1, daemonCount);
  return Math.max(MIN_SUBSET_SIZE, Math.min(DEFAULT_SUBSET_SIZE, Math.floor(affordable)));
};

/**
 * How many connections one daemon may open to one backend, so that all daemons together stay below what the backend accepts:
 * the daemons that use it share most of its connections.
 */
export const computeConnectionLimit = (sharing: ConnectionSharing): number => {
  const { maxConnections, backendCount, daemonCount } = sharing;
  if (maxConnections === undefined) return Infinity;
  const size = Math.min(computeSubsetSize(sharing), backendCount);
  const users = Math.max(1, (daemonCount * size) / Math.max(1, backendCount));
  return Math.max(1, Math.floor((maxConnections * USABLE_CONNECTION_FRACTION) / users));
};
