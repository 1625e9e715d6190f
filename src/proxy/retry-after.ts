/** When clients had better retry after a request that wasn't served. */
import type { ClientResponse, RequestOutcome } from "./request-outcome.js";

/** Delays in milliseconds, by what the client had better wait for. */
export const RETRY_AFTER_MS = {
  /** Another daemon can serve the request at once. */
  otherDaemon: 20,
  /** A short overload. */
  soon: 100,
  /** The configuration or the lease of this daemon. */
  viewSettled: 250,
  /** The election of a leader. */
  leaderElected: 400,
} as const;

/** The spread of delays, so that clients that failed together don't come back together: 75% to 125%. */
const JITTER_MIN = 0.75;
const JITTER_RANGE = 0.5;

/** A response with its delay spread at random and stated in fractions of a second; unchanged where the outcome has no delay. */
export const withJitteredRetryAfter = (
  { retryAfterMs: afterMs }: RequestOutcome,
  response: ClientResponse,
  random: () => number,
): ClientResponse => {
  if (afterMs === undefined) return response;
  const spreadMs = afterMs * (JITTER_MIN + JITTER_RANGE * random());
  return {
    ...response,
    headers: { ...response.headers, "retry-after": (spreadMs / 1000).toFixed(3) },
  };
};
