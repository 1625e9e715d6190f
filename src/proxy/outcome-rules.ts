/** What follows from the way an attempt at a backend ended: one table for the proxy, its tests and docs/control.md. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import {
  type RequestOutcome,
  unavailableOutcome,
  failedOutcome,
  type ExecutionStatus,
} from "./request-outcome.js";

/**
 * How an attempt at a backend can end.
 *
 * - No byte of the request left: `refused` (nobody listens), `foreign` (another service listens), `unreached` (no
 *   connection in time, or the one there was ended first), `withdrawn` (the view changed before the first byte).
 * - Bytes left, and no response head came: `lost` (reset or closed, or bytes that are no HTTP response), `late` (the
 *   deadline passed).
 * - The backend states that it did not run the request: `otherInstance` (421), `notRun` (its header for that).
 * - A head came that is not accepted as the response to this request: `otherRequest` (it names another request, or none),
 *   `bareRefusal` (a status that promises "not run", without that header), `noSeal`, `encoded`, `noLength`.
 * - The body failed: `bodyCut`, `bodyTooLong`; `streamCut` where its head had been forwarded to the client already.
 * - `answered`: the client had its final response already. `whole` and `streamed`: forwarded, unchanged.
 */
export type AttemptResult = FailureCause | ForwardedResult;

/** Ways that leave the client without a backend's response. */
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

/** Ways in which the client gets a backend's response, or the beginning of one. */
export type ForwardedResult = "whole" | "streamed" | "streamCut";

/** What follows from the way an attempt ended. */
export interface OutcomeRule {
  /** Whether the request may have run at the backend. */
  readonly execution: ExecutionStatus;
  /** Whether bytes of it were sent, so that it counts as an attempt. */
  readonly isSent: boolean;
  /** The connection: there is none, it is reused once the response has ended, or it is closed now. */
  readonly connection: "none" | "keep" | "close";
  /** The status that the client gets if no other backend answers; the backend's own; or its connection is cut. */
  readonly clientStatus: 502 | 503 | 504 | "backend" | "cut";
  /** Why, in words for the client. */
  readonly reason: string;
}

/** The rule of a way that leaves the client without a backend's response. */
interface FailureRule extends OutcomeRule {
  readonly clientStatus: 502 | 503 | 504;
}

const notSentRule = (why: string, connection: OutcomeRule["connection"] = "none"): FailureRule => ({
  execution: "neverRan",
  isSent: false,
  connection,
  clientStatus: 503,
  reason: why,
});

const declinedRule = (why: string): FailureRule => ({
  execution: "neverRan",
  isSent: true,
  connection: "keep",
  clientStatus: 503,
  reason: why,
});

const uncertainRule = (why: string, clientStatus: 502 | 504 = 502): FailureRule => ({
  execution: "mayHaveRun",
  isSent: true,
  connection: "close",
  clientStatus,
  reason: why,
});

const FAILURE_RULES: Readonly<Record<FailureCause, FailureRule>> = {
  refused: notSentRule("The back end took no connection."),
  foreign: notSentRule("The back end took no connection."),
  unreached: notSentRule("The back end took no connection."),
  withdrawn: notSentRule("This daemon's view changed before the request could be sent.", "keep"),
  lost: uncertainRule("The connection to the back end broke."),
  late: uncertainRule("The back end did not return in time.", 504),
  otherInstance: declinedRule("Another instance has the address."),
  notRun: declinedRule("The back end did not take the request."),
  otherRequest: uncertainRule("The return carries no stamp of this request."),
  bareRefusal: uncertainRule("The back end itself says try later."),
  noSeal: uncertainRule("The return carries no seal."),
  encoded: uncertainRule("The return's body is encoded."),
  noLength: uncertainRule("The return states no length."),
  bodyCut: uncertainRule("The back end's body was cut short."),
  bodyTooLong: uncertainRule("The back end's body is longer than stated."),
  answered: uncertainRule("The caller has its answer already."),
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

/** The rule for the way an attempt ended. */
export const getOutcomeRule = (cause: AttemptResult): OutcomeRule => OUTCOME_RULES[cause];

/** The rules of all ways in which an attempt can end. */
export const outcomeRules: ReadonlyMap<string, OutcomeRule> = new Map(
  Object.entries(OUTCOME_RULES),
);

/** The outcome of a request whose attempt failed, if no other backend answers; the client had better retry after `afterMs`. */
export const createFailureOutcome = (cause: FailureCause, afterMs: number): RequestOutcome => {
  const { execution, clientStatus, reason: why } = FAILURE_RULES[cause];
  return clientStatus === 503
    ? unavailableOutcome(why, afterMs)
    : failedOutcome(clientStatus, why, execution, afterMs);
};

/**
 * Whether a request may be sent to another backend after its attempts so far: where none of them can have run it, or
 * where its route lets it run more than once. `worst` is the worst of their execution statuses.
 */
export const mayRetry = (
  worst: ExecutionStatus,
  { repeatable }: Pick<ActiveRoute, "repeatable">,
): boolean => worst === "neverRan" || repeatable;
