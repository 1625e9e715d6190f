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

/** The bounds with a value for each. */
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

/** The longest time for which the leader delays a poll's response; the daemon that polls waits longer. */
const MAX_POLL_HOLD_MS = 320;
/** The time allowed for a poll beyond that delay, for the network and the leader's work, as a fraction of a lease. */
const POLL_OVERHEAD_FRACTION = 0.08;
const MIN_POLL_OVERHEAD_MS = 130;
/** The fraction of a bound that a lease may last; the rest is for requests in flight. */
const LEASE_FRACTION = 0.8;
const MIN_LEASE_BOUND_MS = 600;
const MIN_CONTACT_MS = 1000;
const MIN_GRACE_MS = 1000;
const MIN_RETRY_WINDOW_MS = 1000;
/** The shortest time in which a replacement voter starts, catches up with the log and is promoted. */
const MIN_CATCH_UP_MS = 1200;
/** From these values on, a lease or `contactMs` does not shorten election timeouts. */
const UNSHORTENED_LEASE_MS = 1600;
const UNSHORTENED_CONTACT_MS = 3000;
const MIN_ELECTION_PACE = 0.3;
/** The least number of longest election timeouts within `catchUpMs`; shorter bounds shorten election timeouts. */
const ELECTIONS_PER_CATCH_UP = 8;
/** The fraction of `catchUpMs` after which an unresponsive voter is replaced; the rest is for elections and the change itself. */
const REPLACE_FRACTION = 1 / 4;
/** An unresponsive voter is replaced after this at the latest, however long a returning member may take. */
const MAX_REPLACE_AFTER_MS = 10_000;
/** An unresponsive learner is removed after this many times `catchUpMs`. */
const FORGET_FACTOR = 15;
/** How much of the grace period is reserved for the exit of the process. */
const EXIT_MS = 400;

/** All timeouts of a daemon, derived from its bounds. */
export interface Bounds {
  /** The bounds that the timeouts were derived from. */
  readonly values: BoundValues;
  /** How long an edge may serve by its last lease. */
  readonly leaseMs: number;
  /** How often an edge polls for a new lease. */
  readonly watchIntervalMs: number;
  /** The timeout of a poll; longer than the leader delays its response. */
  readonly watchTimeoutMs: number;
  readonly controlPlaneTimeouts: ControlPlaneTimeouts;
  readonly replicationTimeouts: ReplicationTimeouts;
  /** The rules of the retry budget. */
  readonly retryRules: RetryRules;
  /** The format of request counts for the retry window. */
  readonly requestCountsFormat: RequestCountsFormat;
  /** The timeout of an operator's change, after which its outcome counts as unknown. */
  readonly changeTimeoutMs: number;
  /** How long a stopping daemon still accepts requests, until load balancers have noticed that it isn't ready. */
  readonly acceptRequestsMs: number;
  /** When a stopping daemon abandons unfinished requests, from the start of its drain. */
  readonly abandonMs: number;
  /** Until when a stopping voter waits for the others to replicate what it acknowledged. */
  readonly retireMs: number;
}

const boundValuesOf = ({ bounds }: TimeoutSettings): BoundValues => {
  const values = { ...DEFAULT_BOUNDS };
  for (const name of Object.keys(DEFAULT_BOUNDS)) {
    if (!isBoundName(name)) continue;
    values[name] = bounds?.[name] ?? DEFAULT_BOUNDS[name];
  }
  return values;
};

/** The factor by which election timeouts are shortened against their defaults, so that an election fits into each bound that includes one. */
const electionPaceOf = (leaseMs: number, { contactMs, catchUpMs }: BoundValues): number => {
  const defaultElectionsMs = ELECTIONS_PER_CATCH_UP * defaultReplicationTimeouts.electionMaxMs;
  const fittingPace = Math.min(
    leaseMs / UNSHORTENED_LEASE_MS,
    contactMs / UNSHORTENED_CONTACT_MS,
    catchUpMs / defaultElectionsMs,
  );
  return Math.min(1, Math.max(MIN_ELECTION_PACE, fittingPace));
};

const isBoundName = (name: string): name is keyof BoundValues => name in DEFAULT_BOUNDS;

/** The bounds in the settings that are too short to be met, by their paths. */
export function boundFaults(settings: TimeoutSettings): ValidationFault[] {
  const values = boundValuesOf(settings);
  const minimums: Array<[name: keyof BoundValues, minimum: number, why: string]> = [
    ["applyMs", MIN_LEASE_BOUND_MS, "a lease has to outlast a poll and an election"],
    ["drainMs", MIN_LEASE_BOUND_MS, "a lease has to outlast a poll and an election"],
    ["contactMs", MIN_CONTACT_MS, "an election has to fit in"],
    ["graceMs", MIN_GRACE_MS, "work in hand has to end in it"],
    ["catchUpMs", MIN_CATCH_UP_MS, "a successor has to take a lost member's place in it"],
    ["retryWindowMs", MIN_RETRY_WINDOW_MS, "counts have to travel in it"],
    ["retryRatio", 0, "it is a part of the requests"],
    ["retryExtra", 0, "it is a number of tries"],
  ];
  const faults = minimums
    .filter(([name, minimum]) => values[name] < minimum)
    .map(([name, minimum, why]) => ({
      path: `bounds.${name}`,
      expected: `${minimum} or more, since ${why}`,
    }));
  if (settings.heartbeatMs !== undefined && settings.heartbeatMs < MIN_HEARTBEAT_MS)
    faults.push({ path: "heartbeatMs", expected: `${MIN_HEARTBEAT_MS} or more` });
  return faults;
}

/** The timeouts that meet the bounds in the settings. */
export function deriveBounds(settings: TimeoutSettings): Bounds {
  const values = boundValuesOf(settings);
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
  const holdMs = Math.min(leaseMs / 5, MAX_POLL_HOLD_MS);
  const heartbeatMs = settings.heartbeatMs ?? DEFAULT_HEARTBEAT_MS;
  const pace = electionPaceOf(leaseMs, values);
  const paced = (ms: number): number => Math.round(ms * pace);
  return {
    values: values,
    leaseMs,
    watchIntervalMs,
    watchTimeoutMs: holdMs + Math.max(leaseMs * POLL_OVERHEAD_FRACTION, MIN_POLL_OVERHEAD_MS),
    controlPlaneTimeouts: {
      ...defaultControlPlaneTimeouts,
      leaseMs,
      heartbeatMs,
      // A heartbeat reaches the leader with the next poll of the daemon that received it.
      expiryMs: 3.5 * heartbeatMs + 2 * watchIntervalMs,
      maxWatchWaitMs: holdMs,
      holdDownMs: drainMs + 500,
      keyMs: keyWindowMs + 10_000,
      unresponsiveAfterMs: Math.max(leaseMs + 400, (contactMs * 5) / 6),
      idQuarantineMs: Math.max(60_000, 6 * retryWindowMs),
    },
    replicationTimeouts: {
      ...defaultReplicationTimeouts,
      heartbeatMs: paced(defaultReplicationTimeouts.heartbeatMs),
      electionMinMs: paced(defaultReplicationTimeouts.electionMinMs),
      electionMaxMs: paced(defaultReplicationTimeouts.electionMaxMs),
      leaderLeaseMs: paced(defaultReplicationTimeouts.leaderLeaseMs),
      stallMs: paced(defaultReplicationTimeouts.stallMs),
      replaceAfterMs: Math.max(
        2 * paced(defaultReplicationTimeouts.electionMaxMs),
        Math.round(Math.min(MAX_REPLACE_AFTER_MS, catchUpMs * REPLACE_FRACTION)),
      ),
      responsiveAfterMs: catchUpMs,
      forgetAfterMs: FORGET_FACTOR * catchUpMs,
    },
    retryRules: createRetryRules(retryRatio, retryExtra, retryWindowMs),
    requestCountsFormat: createRequestCountsFormat(retryWindowMs),
    changeTimeoutMs: 0.8 * ackMs,
    acceptRequestsMs: Math.min(2600, (graceMs * 13) / 30),
    abandonMs: graceMs - EXIT_MS,
    retireMs: graceMs - EXIT_MS / 2,
  };
}
