/** The consequences of each result of an attempt: one table for the proxy, its tests and docs/control.md. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import {
  type RequestOutcome,
  unavailableOutcome,
  failedOutcome,
  type ExecutionStatus,
} from "./request-outcome.js";

/**
 * The result of an attempt.
 *
 * - No byte of the request was sent: `refused` (no process listens at the address), `foreign` (another service listens
 *   there), `unreached` (no connection opened in time, or it closed first), `withdrawn` (the view of the cluster changed
 *   before the first byte was sent).
 * - Bytes were sent, and no response head arrived: `lost` (the connection was reset or closed, or the bytes received are no
 *   HTTP response), `late` (the deadline passed).
 * - The backend states that it did not run the request: `otherInstance` (status 421), `notRun` (the header for that).
 * - The response head is not accepted: `otherRequest` (it repeats the id of another request, or none), `bareRefusal` (a
 *   status that means "not run", without the header for that), `noSeal` (the required header is missing), `encoded` (the
 *   body has a content encoding), `noLength` (the end of the body is unknown).
 * - The response body failed: `bodyCut` (truncated), `bodyTooLong` (longer than its stated length), or `streamCut` if its
 *   head was already forwarded to the client.
 * - `answered`: the client already had its final response.
 * - `whole` (buffered) and `streamed`: the response was forwarded unchanged.
 */
export type AttemptResult = FailureCause | ForwardedResult;

/** Results after which the client gets no backend response. */
export type FailureCause =
  | "refused"
  | "foreign"
  | "unreached"
  | "withdrawn"
  | "lost"
  | "late"
  | "otherInstance"
  | "notRun"
  | "otherRequest"
  | "bareRefusal"
  | "noSeal"
  | "encoded"
  | "noLength"
  | "bodyCut"
  | "bodyTooLong"
  | "answered";

/** Results after which the client has received a backend response, or the beginning of one. */
export type ForwardedResult = "whole" | "streamed" | "streamCut";

/** The consequences of an attempt's result. */
export interface OutcomeRule {
  /** Whether the request may have run at the backend. */
  readonly execution: ExecutionStatus;
  /** Whether bytes of the request were sent. Only then the next attempt counts as a retry. */
  readonly isSent: boolean;
  /**
   * What happens to the connection: `none` (there is none), `keep` (reused after the response has ended) or `close`.
   */
  readonly connection: "none" | "keep" | "close";
  /**
   * The status that the client gets if no other backend responds; `backend` forwards its status, `cut` resets the
   * connection.
   */
  readonly clientStatus: 502 | 503 | 504 | "backend" | "cut";
  /** The error message for the client; empty if the response is forwarded. */
  readonly reason: string;
}

/** The rule for a result after which the client gets no backend response. */
interface FailureRule extends OutcomeRule {
  readonly clientStatus: 502 | 503 | 504;
}

const notSentRule = (
  reason: string,
  connection: OutcomeRule["connection"] = "none",
): FailureRule => ({
  execution: "neverRan",
  isSent: false,
  connection,
  clientStatus: 503,
  reason,
});

const declinedRule = (reason: string): FailureRule => ({
  execution: "neverRan",
  isSent: true,
  connection: "keep",
  clientStatus: 503,
  reason,
});

const uncertainRule = (reason: string, clientStatus: 502 | 504 = 502): FailureRule => ({
  execution: "mayHaveRun",
  isSent: true,
  connection: "close",
  clientStatus,
  reason,
});

const FAILURE_RULES: Readonly<Record<FailureCause, FailureRule>> = {
  refused: notSentRule("The backend refused the connection."),
  foreign: notSentRule("Another service listens at the backend's address."),
  unreached: notSentRule("The backend could not be reached."),
  withdrawn: notSentRule(
    "This daemon's view of the cluster changed before the request was sent.",
    "keep",
  ),
  lost: uncertainRule("The connection to the backend failed before it responded."),
  late: uncertainRule("The backend did not respond before the deadline.", 504),
  otherInstance: declinedRule("Another instance runs at the backend's address."),
  notRun: declinedRule("The backend declined the request without running it."),
  otherRequest: uncertainRule("The response does not repeat this request's id."),
  bareRefusal: uncertainRule(
    "The backend rejected the request without stating that it did not run it.",
  ),
  noSeal: uncertainRule("The response lacks the header that marks it as complete."),
  encoded: uncertainRule("The response body has a content encoding."),
  noLength: uncertainRule("The response states neither a length nor chunked encoding."),
  bodyCut: uncertainRule("The response body was truncated."),
  bodyTooLong: uncertainRule("The response body is longer than its stated length."),
  answered: uncertainRule("The client already received its final response."),
};

const FORWARDED_RULE: OutcomeRule = {
  execution: "ran",
  isSent: true,
  connection: "keep",
  clientStatus: "backend",
  reason: "",
};

const OUTCOME_RULES: Readonly<Record<AttemptResult, OutcomeRule>> = {
  ...FAILURE_RULES,
  whole: FORWARDED_RULE,
  streamed: FORWARDED_RULE,
  streamCut: {
    execution: "mayHaveRun",
    isSent: true,
    connection: "close",
    clientStatus: "cut",
    reason: "",
  },
};

/** The rule for an attempt's result. */
export const getOutcomeRule = (cause: AttemptResult): OutcomeRule => OUTCOME_RULES[cause];

/** The rules by result. */
export const outcomeRules: ReadonlyMap<string, OutcomeRule> = new Map(
  Object.entries(OUTCOME_RULES),
);

/**
 * The outcome of a request whose attempt failed, if no other backend responds. The client is asked to retry after
 * `retryAfterMs`.
 */
export const createFailureOutcome = (cause: FailureCause, retryAfterMs: number): RequestOutcome => {
  const { execution, clientStatus, reason } = FAILURE_RULES[cause];
  return clientStatus === 503
    ? unavailableOutcome(reason, retryAfterMs)
    : failedOutcome(clientStatus, reason, execution, retryAfterMs);
};

/**
 * Whether a request may be sent to another backend after its previous attempts: either none of them can have run it, or
 * its route allows it to run more than once. `worstExecution` is the worst execution status of these attempts.
 */
export const mayRetry = (
  worstExecution: ExecutionStatus,
  { repeatable }: Pick<ActiveRoute, "repeatable">,
): boolean => worstExecution === "neverRan" || repeatable;
