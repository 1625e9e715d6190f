/** The bounds as they are spelled in a daemon's settings. */
import { max, min, number, object, optional, type Infer } from "superstruct";

const MAX_DURATION_MS = 86_400_000;
const durationMs = max(min(number(), 0), MAX_DURATION_MS);

/** The shape of the bounds in a daemon's settings; all durations in milliseconds. */
export const boundsShape = object({
  /** From the acceptance of a config until no daemon serves an older one. */
  applyMs: optional(durationMs),
  /** From a backend's deregistration until no request is sent to it. */
  drainMs: optional(durationMs),
  /** How long a daemon may take to meet the other bounds again after a lost connection. */
  contactMs: optional(durationMs),
  /** How long a daemon may run after a stop signal. */
  graceMs: optional(durationMs),
  /** From an operator's change to its acknowledgment. */
  ackMs: optional(durationMs),
  /** How long an idempotency key identifies one operation. */
  keyWindowMs: optional(durationMs),
  /** Retries per request of a service, in any window. */
  retryRatio: optional(number()),
  retryWindowMs: optional(durationMs),
  /** Retries of a service in any window beyond that ratio. */
  retryExtra: optional(number()),
  /** How long a fleet may take to serve again after an outage. */
  recoveryMs: optional(durationMs),
  /** After which the address of a removed backend may be used by another service. */
  addressReuseMs: optional(durationMs),
  /** The largest difference between machines' wall clocks. */
  skewMs: optional(durationMs),
  /** How long a returning machine may take to catch up. */
  catchUpMs: optional(durationMs),
  /** How late a request may arrive at a stopping daemon. */
  lossSlackMs: optional(durationMs),
  /** How long an edge may serve with an expired lease; none by default. */
  staleMs: optional(durationMs),
});

/** The settings that the timeouts of a daemon are derived from. */
export interface TimeoutSettings {
  readonly bounds?: Infer<typeof boundsShape> | undefined;
  /** How often backends send heartbeats. */
  readonly heartbeatMs?: number | undefined;
}
