/** Distinguishes a client's first attempt at a request from its retries. */
import type { ActiveRoute } from "../cluster-view/active-route.js";

/** A client that states less than this fraction of its route's timeout is assumed to retry. */
const FIRST_ATTEMPT_FRACTION = 0.8;

/**
 * Whether a request with this timeout is its client's first attempt, so that the client still has time to retry
 * elsewhere.
 */
export const isFirstAttempt = (clientTimeoutMs: number, { timeoutMs }: ActiveRoute): boolean =>
  clientTimeoutMs >= timeoutMs * FIRST_ATTEMPT_FRACTION;
