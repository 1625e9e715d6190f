/** The delays after which clients are asked to retry requests that were not served. */
import type { ClientResponse, RequestOutcome } from "./request-outcome.js";

/** Delays in milliseconds, by the event that the client waits for. */
export const RETRY_AFTER_MS = {
  /** None: another daemon can serve the request at once. */
  otherDaemon: 20,
  /** The end of a short overload. */
  soon: 100,
  /** The arrival of this daemon's configuration or lease. */
  viewSettled: 250,
  /** The election of a leader. */
  leaderElected: 400,
} as const;

/**
 * Delays are multiplied by a random factor from 0.75 to 1.25, so that clients that failed together don't retry together.
 */
const JITTER_MIN = 0.75;
const JITTER_RANGE = 0.5;

/**
 * Copies a response with a jittered `Retry-After` in fractions of a second. Returns it unchanged if the outcome has no
 * delay.
 */
export const withJitteredRetryAfter = (
  { retryAfterMs }: RequestOutcome,
  response: ClientResponse,
  random: () => number,
): ClientResponse => {
  if (retryAfterMs === undefined) return response;
  const jitteredMs = retryAfterMs * (JITTER_MIN + JITTER_RANGE * random());
  return {
    ...response,
    headers: { ...response.headers, "retry-after": (jitteredMs / 1000).toFixed(3) },
  };
};
