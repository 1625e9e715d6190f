/** Derives all timeouts of a daemon from the bounds in its settings. */
import type { ValidationFault } from "../configuration/config-validation.js";
import {
  type ControlPlaneTimeouts,
  defaultControlPlaneTimeouts,
} from "../control-plane/control-plane-timeouts.js";
import {
  type ReplicationTimeouts,
  defaultReplicationTimeouts,
} from "../replication/replication-timeouts.js";
import { type RetryRules, createRetryRules } from "../retry-budget/retry-rules.js";
import {
  type RequestCountsFormat,
  createRequestCountsFormat,
} from "../retry-budget/request-counts.js";
import type { TimeoutSettings } from "./bound-settings.js";

/** A value for every bound. */
type BoundValues = Required<{ [name in keyof NonNullable<TimeoutSettings["bounds"]>]: number }>;

const DEFAULT_BOUNDS: BoundValues = {
  applyMs: 2000,
  drainMs: 2000,
  contactMs: 3000,
  graceMs: 6000,
  ackMs: 5000,
  keyWindowMs: 110_000,
  retryRatio: 0.2,
  retryWindowMs: 10_000,
  retryExtra: 70,
  recoveryMs: 15_000,
  addressReuseMs: 2000,
  skewMs: 8000,
  catchUpMs: 4000,
  lossSlackMs: 200,
  staleMs: 0,
};
const MIN_HEARTBEAT_MS = 50;
const DEFAULT_HEARTBEAT_MS = 1000;

/** Maximum time for which the leader delays the response to a poll; the timeout of a poll is longer. */
const MAX_POLL_HOLD_MS = 320;
/** Time for the network and the leader's work that a poll's timeout adds to that delay, as a fraction of a lease. */
const POLL_OVERHEAD_FRACTION = 0.08;
const MIN_POLL_OVERHEAD_MS = 130;
/** Duration of a lease as a fraction of the bound; the rest is for requests in flight. */
const LEASE_FRACTION = 0.8;
const MIN_LEASE_BOUND_MS = 600;
const MIN_CONTACT_MS = 1000;
const MIN_GRACE_MS = 1000;
const MIN_RETRY_WINDOW_MS = 1000;
/** Minimum time in which a replacement voter starts, catches up with the log and is promoted. */
const MIN_CATCH_UP_MS = 1200;
/** A lease or a `contactMs` of at least these values does not shorten election timeouts. */
const UNSHORTENED_LEASE_MS = 1600;
const UNSHORTENED_CONTACT_MS = 3000;
const MIN_ELECTION_TIMEOUT_SCALE = 0.3;
/** How many maximum election timeouts fit into `catchUpMs`; a shorter `catchUpMs` shortens election timeouts. */
const ELECTIONS_PER_CATCH_UP = 8;
/** Delay before an unresponsive voter is replaced, as a fraction of `catchUpMs`; the rest is for elections and the membership change. */
const REPLACE_FRACTION = 1 / 4;
/** Maximum delay before an unresponsive voter is replaced, for any value of `catchUpMs`. */
const MAX_REPLACE_AFTER_MS = 10_000;
/** Delay before an unresponsive learner is removed, as a multiple of `catchUpMs`. */
const LEARNER_REMOVAL_FACTOR = 15;
/** Part of the grace period that is reserved for the exit of the process. */
const EXIT_RESERVE_MS = 400;

/** All timeouts of a daemon, derived from its bounds. */
export interface Bounds {
  /** The bounds from which the timeouts are derived. */
  readonly values: BoundValues;
  /** Duration of the lease during which an edge may serve. */
  readonly leaseMs: number;
  /** Interval between an edge's polls for a new lease. */
  readonly watchIntervalMs: number;
  /** Timeout of a poll; longer than the leader's delay of its response. */
  readonly watchTimeoutMs: number;
  readonly controlPlaneTimeouts: ControlPlaneTimeouts;
  readonly replicationTimeouts: ReplicationTimeouts;
  /** The rules of the retry budget. */
  readonly retryRules: RetryRules;
  /** The format of request counts for the retry window. */
  readonly requestCountsFormat: RequestCountsFormat;
  /** Timeout of an operator's change, after which its outcome counts as unknown. */
  readonly changeTimeoutMs: number;
  /** Time for which a stopping daemon still accepts requests, so that load balancers detect that it isn't ready. */
  readonly acceptRequestsMs: number;
  /** Time from the start of the drain after which a stopping daemon abandons unfinished requests. */
  readonly abandonMs: number;
  /** Time from the start of the drain for which a stopping voter waits until the others have replicated what it acknowledged. */
  readonly retireMs: number;
}

const resolveBoundValues = ({ bounds }: TimeoutSettings): BoundValues => {
  const values = { ...DEFAULT_BOUNDS };
  for (const name of Object.keys(DEFAULT_BOUNDS)) {
    if (!isBoundName(name)) continue;
    values[name] = bounds?.[name] ?? DEFAULT_BOUNDS[name];
  }
  return values;
};

/** Computes the factor, at most 1, that scales the default election timeouts so that an election fits into each bound that includes one. */
const computeElectionTimeoutScale = (
  leaseMs: number,
  { contactMs, catchUpMs }: BoundValues,
): number => {
  const defaultElectionsMs = ELECTIONS_PER_CATCH_UP * defaultReplicationTimeouts.electionMaxMs;
  const maxScale = Math.min(
    leaseMs / UNSHORTENED_LEASE_MS,
    contactMs / UNSHORTENED_CONTACT_MS,
    catchUpMs / defaultElectionsMs,
  );
  return Math.min(1, Math.max(MIN_ELECTION_TIMEOUT_SCALE, maxScale));
};

const isBoundName = (name: string): name is keyof BoundValues => name in DEFAULT_BOUNDS;

/** Returns a fault for each bound in the settings that is below the minimum that a daemon can meet. */
export function boundFaults(settings: TimeoutSettings): ValidationFault[] {
  const values = resolveBoundValues(settings);
  const minimums: Array<[name: keyof BoundValues, minimum: number, reason: string]> = [
    ["applyMs", MIN_LEASE_BOUND_MS, "a lease must be longer than a poll and an election"],
    ["drainMs", MIN_LEASE_BOUND_MS, "a lease must be longer than a poll and an election"],
    ["contactMs", MIN_CONTACT_MS, "it includes an election"],
    ["graceMs", MIN_GRACE_MS, "requests in progress must end within it"],
    ["catchUpMs", MIN_CATCH_UP_MS, "a replacement voter must be promoted within it"],
    ["retryWindowMs", MIN_RETRY_WINDOW_MS, "request counts must be propagated within it"],
    ["retryRatio", 0, "it is a ratio of retries to requests"],
    ["retryExtra", 0, "it is a number of retries"],
  ];
  const faults = minimums
    .filter(([name, minimum]) => values[name] < minimum)
    .map(([name, minimum, reason]) => ({
      path: `bounds.${name}`,
      expected: `${minimum} or more, since ${reason}`,
    }));
  if (settings.heartbeatMs !== undefined && settings.heartbeatMs < MIN_HEARTBEAT_MS)
    faults.push({ path: "heartbeatMs", expected: `${MIN_HEARTBEAT_MS} or more` });
  return faults;
}

/** Derives the timeouts that meet the bounds in the settings. */
export function deriveBounds(settings: TimeoutSettings): Bounds {
  const values = resolveBoundValues(settings);
  const {
    applyMs,
    drainMs,
    contactMs,
    graceMs,
    ackMs,
    keyWindowMs,
    catchUpMs,
    retryRatio,
    retryExtra,
    retryWindowMs,
  } = values;
  const leaseMs = LEASE_FRACTION * Math.min(applyMs, drainMs);
  const watchIntervalMs = leaseMs / 4;
  const maxWatchWaitMs = Math.min(leaseMs / 5, MAX_POLL_HOLD_MS);
  const heartbeatMs = settings.heartbeatMs ?? DEFAULT_HEARTBEAT_MS;
  const electionTimeoutScale = computeElectionTimeoutScale(leaseMs, values);
  const scaled = (ms: number): number => Math.round(ms * electionTimeoutScale);
  return {
    values: values,
    leaseMs,
    watchIntervalMs,
    watchTimeoutMs:
      maxWatchWaitMs + Math.max(leaseMs * POLL_OVERHEAD_FRACTION, MIN_POLL_OVERHEAD_MS),
    controlPlaneTimeouts: {
      ...defaultControlPlaneTimeouts,
      leaseMs,
      heartbeatMs,
      // A heartbeat reaches the leader with the next poll of the daemon that received it.
      expiryMs: 3.5 * heartbeatMs + 2 * watchIntervalMs,
      maxWatchWaitMs,
      holdDownMs: drainMs + 500,
      keyMs: keyWindowMs + 10_000,
      unresponsiveAfterMs: Math.max(leaseMs + 400, (contactMs * 5) / 6),
      idQuarantineMs: Math.max(60_000, 6 * retryWindowMs),
    },
    replicationTimeouts: {
      ...defaultReplicationTimeouts,
      heartbeatMs: scaled(defaultReplicationTimeouts.heartbeatMs),
      electionMinMs: scaled(defaultReplicationTimeouts.electionMinMs),
      electionMaxMs: scaled(defaultReplicationTimeouts.electionMaxMs),
      leaderLeaseMs: scaled(defaultReplicationTimeouts.leaderLeaseMs),
      stallMs: scaled(defaultReplicationTimeouts.stallMs),
      replaceAfterMs: Math.max(
        2 * scaled(defaultReplicationTimeouts.electionMaxMs),
        Math.round(Math.min(MAX_REPLACE_AFTER_MS, catchUpMs * REPLACE_FRACTION)),
      ),
      responsiveAfterMs: catchUpMs,
      forgetAfterMs: LEARNER_REMOVAL_FACTOR * catchUpMs,
    },
    retryRules: createRetryRules(retryRatio, retryExtra, retryWindowMs),
    requestCountsFormat: createRequestCountsFormat(retryWindowMs),
    changeTimeoutMs: 0.8 * ackMs,
    acceptRequestsMs: Math.min(2600, (graceMs * 13) / 30),
    abandonMs: graceMs - EXIT_RESERVE_MS,
    retireMs: graceMs - EXIT_RESERVE_MS / 2,
  };
}
