/**
 * Deterministic subsetting: which backends of a service a daemon prefers, and how many connections it may open to each.
 */
import type { EdgePlacement } from "../control-protocol/edge-placement.js";
import type { Backend } from "./backend.js";

/** Number of backends of its own zone that a daemon uses for each backend of another zone. */
const LOCAL_PER_REMOTE = 3;
/** Number of backends of a service that a daemon uses while they are healthy and have capacity. */
const DEFAULT_SUBSET_SIZE = 8;
/** Minimum number of backends that a daemon uses, even if all daemons together open too many connections. */
const MIN_SUBSET_SIZE = 2;
/** Fraction of a backend's connections that is divided among the daemons. */
const USABLE_CONNECTION_FRACTION = 0.8;

const FNV_OFFSET = 2166136261;
const FNV_PRIME = 16777619;

/** The FNV-1a hash of a text, used as the position of a backend on the ring. */
const ringHash = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME) >>> 0;
  return hash;
};

/** One backend on the ring: its index in the list and its position. */
interface RingPoint {
  readonly index: number;
  readonly address: string;
  readonly hash: number;
  readonly isLocal: boolean;
}

/** Lists the backends' indexes in ring order from one daemon's start; the starts of all daemons are evenly spaced. */
const computeRing = (
  points: readonly RingPoint[],
  daemonIndex: number,
  daemonCount: number,
): number[] => {
  const ring = [...points]
    .sort((a, b) => a.hash - b.hash || (a.address < b.address ? -1 : 1))
    .map(({ index }) => index);
  const startIndex = Math.floor((daemonIndex * ring.length) / Math.max(1, daemonCount));
  return [...ring.slice(startIndex), ...ring.slice(0, startIndex)];
};

/**
 * Computes the order in which a daemon prefers the backends of a service, as indexes of the list (deterministic aperture).
 * The daemons of a zone use the same ring and start at evenly spaced positions, so that their first few backends cover all
 * backends about equally often. Adding or removing a daemon or a backend moves the starts by no more than the number of
 * backends per daemon. The order interleaves three backends of the daemon's own zone with one of another zone.
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

/** The numbers of backends, connections and daemons among which connections are divided. */
export interface ConnectionSharing {
  /** Maximum number of connections that one backend accepts from all daemons together, if known. */
  readonly maxConnections: number | undefined;
  /** Number of backends of the service. */
  readonly backendCount: number;
  /** Number of daemons. */
  readonly daemonCount: number;
}

/**
 * Computes how many backends of a service a daemon uses: fewer if all daemons together would open too many connections.
 */
export const computeSubsetSize = ({
  maxConnections,
  backendCount,
  daemonCount,
}: ConnectionSharing): number => {
  if (maxConnections === undefined) return DEFAULT_SUBSET_SIZE;
  const affordableSize =
    (maxConnections * USABLE_CONNECTION_FRACTION * backendCount) / Math.max(1, daemonCount);
  return Math.max(MIN_SUBSET_SIZE, Math.min(DEFAULT_SUBSET_SIZE, Math.floor(affordableSize)));
};

/**
 * Computes how many connections one daemon may open to one backend. The daemons that use a backend share a fixed fraction
 * of its connections, so that all daemons together stay below its limit.
 */
export const computeConnectionLimit = (sharing: ConnectionSharing): number => {
  const { maxConnections, backendCount, daemonCount } = sharing;
  if (maxConnections === undefined) return Infinity;
  const subsetSize = Math.min(computeSubsetSize(sharing), backendCount);
  const daemonsPerBackend = Math.max(1, (daemonCount * subsetSize) / Math.max(1, backendCount));
  return Math.max(1, Math.floor((maxConnections * USABLE_CONNECTION_FRACTION) / daemonsPerBackend));
};
