import type { ValidationFault } from "../configuration/config.js";
import { ControlPlaneTimeouts } from "../control-plane/control-plane.js";
import { ReplicationTimeouts } from "../replication/replication-node.js";
import { RetryRules } from "../retry-budget/retry-rules.js";
import { RequestCountsFormat } from "../retry-budget/request-counts.js";
import type { BoundSettings } from "./bound-settings.js";

type Figures = Required<{ [name in keyof NonNullable<BoundSettings["bounds"]>]: number }>;

/** The bounds where settings name none. */
const usual: Figures = {
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
const usualHeartbeatMs = 1000;

/** How long a poll is held at most; who asks waits longer. */
const mostHoldMs = 320;
/** How much longer than it is held a poll is waited for: the way there and back and the leader's work, as part of a lease. */
const pollWayPart = 0.08;
const leastPollWayMs = 130;
/** Which part of a bound a lease may last; the rest is for what is under way. */
const leasePart = 0.8;
const leastBoundMs = 600;
const leastContactMs = 1000;
const leastGraceMs = 1000;
const leastWindowMs = 1000;
/** The shortest time in which a successor starts, learns the record and takes its predecessor's place. */
const leastCatchUpMs = 1200;
/** How many of the longest election waits fit into `catchUpMs` at least; shorter bounds make elections quicker. */
const electionsInCatchUp = 8;
/** Which part of `catchUpMs` a voter is silent until it is replaced; the rest is for elections and for the change itself. */
const replacePart = 1 / 4;
/** No voter is waited for longer than this, however long a returning member may take. */
const mostReplaceMs = 10_000;
/** How many times `catchUpMs` a learner is silent until it is removed. */
const forgetTimes = 15;
/** How much of its grace a stopping daemon leaves to the process's end. */
const endMs = 400;

/** All waits of a daemon, worked out from the bounds it is held to. */
export interface Bounds {
  readonly figures: Figures;
  /** How long an edge may serve by what it was last told. */
  readonly leaseMs: number;
  /** How often an edge asks for a new lease. */
  readonly pollMs: number;
  /** How long an edge waits until it asks again; longer than the leader holds a poll. */
  readonly pollWaitMs: number;
  readonly controlPlaneTimeouts: ControlPlaneTimeouts;
  readonly replicationTimeouts: ReplicationTimeouts;
  readonly budget: RetryRules;
  readonly counts: RequestCountsFormat;
  /** How long an operator's order may take until its fate is called unknown. */
  readonly orderMs: number;
  /** How long a stopping daemon takes requests still: whoever sends it callers must first see that it isn't ready. */
  readonly serveOnMs: number;
  /** When a stopping daemon gives up on what is still in hand. */
  readonly abandonMs: number;
  /** Until when a stopping member of the log waits for the others to hold what it acknowledged. */
  readonly retireMs: number;
}

const figuresOf = ({ bounds }: BoundSettings): Figures => {
  const figures = { ...usual };
  for (const name of Object.keys(usual)) {
    if (!isFigure(name)) continue;
    figures[name] = bounds?.[name] ?? usual[name];
  }
  return figures;
};

/** How quick elections are against the usual ones, so that they fit into each bound that waits for one. */
const paceOf = (leaseMs: number, { contactMs, catchUpMs }: Figures): number => {
  const usualElectionsMs = electionsInCatchUp * ReplicationTimeouts.defaults.electionMaxMs;
  const fitting = Math.min(leaseMs / 1600, contactMs / 3000, catchUpMs / usualElectionsMs);
  return Math.min(1, Math.max(0.3, fitting));
};

const isFigure = (name: string): name is keyof Figures => name in usual;

export const Bounds = {
  /** The bounds that can't be kept, by their paths in the settings. */
  faults(settings: BoundSettings): ValidationFault[] {
    const figures = figuresOf(settings);
    const least: Array<[name: keyof Figures, least: number, why: string]> = [
      ["applyMs", leastBoundMs, "a lease has to outlast a poll and an election"],
      ["drainMs", leastBoundMs, "a lease has to outlast a poll and an election"],
      ["contactMs", leastContactMs, "an election has to fit in"],
      ["graceMs", leastGraceMs, "work in hand has to end in it"],
      ["catchUpMs", leastCatchUpMs, "a successor has to take a lost member's place in it"],
      ["retryWindowMs", leastWindowMs, "counts have to travel in it"],
      ["retryRatio", 0, "it is a part of the requests"],
      ["retryExtra", 0, "it is a number of tries"],
    ];
    const faults = least
      .filter(([name, limit]) => figures[name] < limit)
      .map(([name, limit, why]) => ({
        path: `bounds.${name}`,
        expected: `${limit} or more, since ${why}`,
      }));
    if (settings.heartbeatMs !== undefined && settings.heartbeatMs < 50)
      faults.push({ path: "heartbeatMs", expected: "50 or more" });
    return faults;
  },

  /** The waits that keep the bounds in the settings. */
  of(settings: BoundSettings): Bounds {
    const figures = figuresOf(settings);
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
    } = figures;
    const leaseMs = leasePart * Math.min(applyMs, drainMs);
    const pollMs = leaseMs / 4;
    const holdMs = Math.min(leaseMs / 5, mostHoldMs);
    const heartbeatMs = settings.heartbeatMs ?? usualHeartbeatMs;
    const pace = paceOf(leaseMs, figures);
    const paced = (ms: number): number => Math.round(ms * pace);
    return {
      figures,
      leaseMs,
      pollMs,
      pollWaitMs: holdMs + Math.max(leaseMs * pollWayPart, leastPollWayMs),
      controlPlaneTimeouts: {
        ...ControlPlaneTimeouts.defaults,
        leaseMs: leaseMs,
        heartbeatMs: heartbeatMs,
        // What one daemon hears reaches the leader with its polls.
        expiryMs: 3.5 * heartbeatMs + 2 * pollMs,
        holdMs,
        leaveHoldMs: drainMs + 500,
        keyMs: keyWindowMs + 10_000,
        silentMs: Math.max(leaseMs + 400, (contactMs * 5) / 6),
        idRestMs: Math.max(60_000, 6 * retryWindowMs),
      },
      replicationTimeouts: {
        ...ReplicationTimeouts.defaults,
        heartbeatMs: paced(ReplicationTimeouts.defaults.heartbeatMs),
        electionMinMs: paced(ReplicationTimeouts.defaults.electionMinMs),
        electionMaxMs: paced(ReplicationTimeouts.defaults.electionMaxMs),
        leaderLeaseMs: paced(ReplicationTimeouts.defaults.leaderLeaseMs),
        stallMs: paced(ReplicationTimeouts.defaults.stallMs),
        replaceAfterMs: Math.max(
          2 * paced(ReplicationTimeouts.defaults.electionMaxMs),
          Math.round(Math.min(mostReplaceMs, catchUpMs * replacePart)),
        ),
        responsiveAfterMs: catchUpMs,
        forgetAfterMs: forgetTimes * catchUpMs,
      },
      budget: RetryRules.of(retryRatio, retryExtra, retryWindowMs),
      counts: RequestCountsFormat.forWindow(retryWindowMs),
      orderMs: 0.8 * ackMs,
      serveOnMs: Math.min(2600, (graceMs * 13) / 30),
      abandonMs: graceMs - endMs,
      retireMs: graceMs - endMs / 2,
    };
  },
};
