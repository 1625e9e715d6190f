import { max, min, number, object, optional, type Infer } from "superstruct";

const ms = max(min(number(), 0), 86_400_000);

/** The shape of the bounds in a daemon's settings. */
export const boundsShape = object({
  /** From an accepted config until no daemon serves by an older one. */
  applyMs: optional(ms),
  /** From a back end's leave until no request is sent to it. */
  drainMs: optional(ms),
  /** How long a daemon that was out of touch may take to be held to the other bounds again. */
  contactMs: optional(ms),
  /** How long a daemon that is told to stop may still run. */
  graceMs: optional(ms),
  /** Within which an operator's change is acknowledged. */
  ackMs: optional(ms),
  /** How long a key stands for one operation. */
  keyWindowMs: optional(ms),
  /** Further tries per request of a service, in any window. */
  retryRatio: optional(number()),
  retryWindowMs: optional(ms),
  /** Further tries of a service in any window besides. */
  retryExtra: optional(number()),
  /** Within which a fleet that was down serves again. */
  recoveryMs: optional(ms),
  /** After which an ended back end's address may serve another service. */
  addressReuseMs: optional(ms),
  /** How far machines' wall clocks may be apart. */
  skewMs: optional(ms),
  /** How long a machine that returns may take to catch up. */
  catchUpMs: optional(ms),
  /** How late a request may arrive at a daemon that ends. */
  lossSlackMs: optional(ms),
  staleMs: optional(ms),
});

/** What a daemon's settings say of the bounds it is held to. */
export interface BoundSettings {
  readonly bounds?: Infer<typeof boundsShape> | undefined;
  /** How often back ends announce themselves. */
  readonly heartbeatMs?: number | undefined;
}
