import type { ActiveRoute } from "../cluster-view/active-route.js";
import { RequestOutcome, type ExecutionStatus } from "./request-outcome.js";

/**
 * How a try at a back end can end.
 *
 * - No byte of the request left: `refused` (nobody listens), `foreign` (another service listens), `unreached` (no
 *   connection in time, or the one there was ended first), `withdrawn` (the view changed before the first byte).
 * - Bytes left, and no response head came: `lost` (reset or closed, or bytes that are no HTTP response), `late` (the
 *   deadline passed).
 * - The back end says that it did not run the request: `otherInstance` (421), `notRun` (its word for that).
 * - A head came that is not taken for an answer to this request: `otherRequest` (it names another request, or none),
 *   `bareRefusal` (a status that promises "not run", without the back end's word), `noSeal`, `encoded`, `noLength`.
 * - The body failed: `bodyCut`, `bodyTooLong`; `streamCut` where its head had been passed on to the client already.
 * - `answered`: the client had its final answer already. `whole` and `streamed`: passed on, unchanged.
 */
export type AttemptResult = FailureCause | CompletedAttempt;

/** Ways that leave the client without a back end's response. */
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

/** Ways in which the client has a back end's response, or the beginning of one. */
export type CompletedAttempt = "whole" | "streamed" | "streamCut";

/** What follows from the way a try ended. */
export interface OutcomeRule {
  /** Whether the request may have run there. */
  readonly execution: ExecutionStatus;
  /** Whether bytes of it left, so that it counts as an arrival at the back end. */
  readonly isSent: boolean;
  /** What becomes of the connection: there is none, it may carry another request once the response has ended, or it ends now. */
  readonly connection: "none" | "keep" | "close";
  /** The status that the client gets if no other back end answers; its back end's own; or its connection is cut. */
  readonly answer: 502 | 503 | 504 | "backEnd" | "cut";
  /** Why, in words for the client. */
  readonly why: string;
}

interface Failure extends OutcomeRule {
  readonly answer: 502 | 503 | 504;
}

const nothingLeft = (why: string, connection: OutcomeRule["connection"] = "none"): Failure => ({
  execution: "neverRan",
  isSent: false,
  connection,
  answer: 503,
  why,
});

const declined = (why: string): Failure => ({
  execution: "neverRan",
  isSent: true,
  connection: "keep",
  answer: 503,
  why,
});

const uncertain = (why: string, answer: 502 | 504 = 502): Failure => ({
  execution: "mayHaveRun",
  isSent: true,
  connection: "close",
  answer,
  why,
});

const failures: Readonly<Record<FailureCause, Failure>> = {
  refused: nothingLeft("The back end took no connection."),
  foreign: nothingLeft("The back end took no connection."),
  unreached: nothingLeft("The back end took no connection."),
  withdrawn: nothingLeft("This daemon's view changed before the request could be sent.", "keep"),
  lost: uncertain("The connection to the back end broke."),
  late: uncertain("The back end did not return in time.", 504),
  otherInstance: declined("Another instance has the address."),
  notRun: declined("The back end did not take the request."),
  otherRequest: uncertain("The return carries no stamp of this request."),
  bareRefusal: uncertain("The back end itself says try later."),
  noSeal: uncertain("The return carries no seal."),
  encoded: uncertain("The return's body is encoded."),
  noLength: uncertain("The return states no length."),
  bodyCut: uncertain("The back end's body was cut short."),
  bodyTooLong: uncertain("The back end's body is longer than stated."),
  answered: uncertain("The caller has its answer already."),
};

const passedOn: OutcomeRule = {
  execution: "ran",
  isSent: true,
  connection: "keep",
  answer: "backEnd",
  why: "",
};

const outcomes: Readonly<Record<AttemptResult, OutcomeRule>> = {
  ...failures,
  whole: passedOn,
  streamed: passedOn,
  streamCut: {
    execution: "mayHaveRun",
    isSent: true,
    connection: "close",
    answer: "cut",
    why: "",
  },
};

/** What follows from the way a try ended. */
export const outcomeRuleOf = (cause: AttemptResult): OutcomeRule => outcomes[cause];

/** All ways in which a try can end. */
export const outcomeRules: ReadonlyMap<string, OutcomeRule> = new Map(Object.entries(outcomes));

/** What the client is told where no other back end answers, and when to come back. */
export const outcomeOfFailure = (cause: FailureCause, afterMs: number): RequestOutcome => {
  const { execution, answer, why } = failures[cause];
  return answer === 503
    ? RequestOutcome.drop(why, afterMs)
    : RequestOutcome.breakdown(answer, why, execution, afterMs);
};

/**
 * Whether a request may be sent to another back end after its tries so far: where none of them can have run it, or
 * where its route lets it run more than once. `worst` is the worst of their verdicts.
 */
export const mayRetry = (
  worst: ExecutionStatus,
  { repeatable }: Pick<ActiveRoute, "repeatable">,
): boolean => worst === "neverRan" || repeatable;
