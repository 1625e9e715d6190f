/** The shape of the bounds in a daemon's settings. */
import { max, min, number, object, optional, type Infer } from "superstruct";

const MAX_DURATION_MS = 86_400_000;
const durationMs = max(min(number(), 0), MAX_DURATION_MS);

/** The bounds that the settings may state; all durations in milliseconds. */
export const boundsShape = object({
  /** Time from the acceptance of a config until no daemon serves an older one. */
  applyMs: optional(durationMs),
  /** Time from a backend's deregistration until no request is sent to it. */
  drainMs: optional(durationMs),
  /** Time after a lost connection within which a daemon meets the other bounds again. */
  contactMs: optional(durationMs),
  /** Maximum time from a stop signal to the exit of the process. */
  graceMs: optional(durationMs),
  /** Maximum time from an operator's change to its acknowledgment. */
  ackMs: optional(durationMs),
  /** Time during which an idempotency key identifies one operation. */
  keyWindowMs: optional(durationMs),
  /** Maximum ratio of retries to requests of a service in any window. */
  retryRatio: optional(number()),
  /** Length of the windows over which retries are limited. */
  retryWindowMs: optional(durationMs),
  /** Number of retries of a service that are allowed in any window in addition to that ratio. */
  retryExtra: optional(number()),
  /** Maximum time until a fleet serves again after an outage. */
  recoveryMs: optional(durationMs),
  /** Time after which another service may use the address of a removed backend. */
  addressReuseMs: optional(durationMs),
  /** The largest difference between machines' wall clocks. */
  skewMs: optional(durationMs),
  /** Maximum time that a restarted machine takes to catch up. */
  catchUpMs: optional(durationMs),
  /** Time during which requests may still arrive at a stopping daemon. */
  lossSlackMs: optional(durationMs),
  /** Time for which an edge may serve with an expired lease; 0 by default. */
  staleMs: optional(durationMs),
});

/** The settings from which a daemon's timeouts are derived. */
export interface TimeoutSettings {
  readonly bounds?: Infer<typeof boundsShape> | undefined;
  /** Interval between the heartbeats of a backend. */
  readonly heartbeatMs?: number | undefined;
}
