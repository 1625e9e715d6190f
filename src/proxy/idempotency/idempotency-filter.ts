/** The last filter: claims the idempotency key of a request, so that the request runs at most once in the cluster. */
import type { ActiveRoute } from "../../cluster-view/active-route.js";
import type { ClusterView } from "../../cluster-view/cluster-view.js";
import { safeMethods } from "../../configuration/config-shape.js";
import type { Task } from "../../runtime/task.js";
import { isFirstAttempt } from "../first-attempt.js";
import type { HeaderNames } from "../header-names.js";
import type { RequestContext } from "../request-context.js";
import type { NextHandler, RequestFilter } from "../request-filter.js";
import { type RequestOutcome, rejectedOutcome, unavailableOutcome } from "../request-outcome.js";
import { RETRY_AFTER_MS } from "../retry-after.js";
import type { IdempotencyClaims } from "./idempotency-claims.js";

const MAX_KEY_LENGTH = 200;
/**
 * Fraction of a route's latency target that the claim of a first attempt may take; a later rejection leaves no time for
 * a retry.
 */
const CLAIM_LATENCY_FRACTION = 0.2;
const MIN_CLAIM_TIMEOUT_MS = 40;

/** The result of checking a request's route, method and key: it needs no claim, is invalid or needs a claim. */
type KeyCheck =
  | { readonly kind: "unkeyed" }
  | { readonly kind: "invalid"; readonly outcome: RequestOutcome }
  | { readonly kind: "keyed"; readonly key: string };

const checkKey = ({ clientRequest, route }: RequestContext, keyHeader: string): KeyCheck => {
  const key = clientRequest.headers[keyHeader];
  const isKeyRequired = route?.keyed === true;
  const mayRunTwice = route?.repeatable === true || safeMethods.has(clientRequest.method);
  if (!isKeyRequired && (mayRunTwice || key === undefined)) return { kind: "unkeyed" };
  if (key === undefined)
    return {
      kind: "invalid",
      outcome: rejectedOutcome(400, `This route requires the header ${keyHeader}.`),
    };
  if (key.length === 0 || key.length > MAX_KEY_LENGTH)
    return {
      kind: "invalid",
      outcome: rejectedOutcome(
        400,
        `The header ${keyHeader} has ${key.length} characters; 1 to ${MAX_KEY_LENGTH} are allowed.`,
      ),
    };
  return { kind: "keyed", key };
};

/** Claims keys before their requests are forwarded, and stores the outcomes of the requests. */
export class IdempotencyFilter implements RequestFilter {
  private readonly clusterView: ClusterView;
  private readonly claims: IdempotencyClaims;
  private readonly headerNames: HeaderNames;

  constructor(clusterView: ClusterView, claims: IdempotencyClaims, headerNames: HeaderNames) {
    this.clusterView = clusterView;
    this.claims = claims;
    this.headerNames = headerNames;
  }

  *handle(context: RequestContext, next: NextHandler): Task<RequestOutcome> {
    const check = checkKey(context, this.headerNames.idempotencyKey);
    if (check.kind === "unkeyed") return yield* next();
    if (check.kind === "invalid") return check.outcome;
    if (!this.clusterView.holdsLease)
      return unavailableOutcome(
        "This daemon holds no valid lease on the cluster state.",
        RETRY_AFTER_MS.viewSettled,
      );
    const { clientRequest, deadlineMs, route } = context;
    const result = yield* this.claims.claim({
      clientRequest,
      key: check.key,
      deadlineMs,
      timeoutMs: route && this.claimTimeoutMs(context, route),
    });
    if (result.kind === "answered") return result.outcome;
    context.claim = result.claim;
    const outcome = yield* next();
    this.claims.recordOutcome(result.claim, outcome);
    return outcome;
  }

  /**
   * Timeout of a claim; undefined for the default. The claim of a first attempt fails early, so that its client can
   * retry.
   */
  private claimTimeoutMs(
    { arrivedMs, deadlineMs }: RequestContext,
    route: ActiveRoute,
  ): number | undefined {
    if (this.headerNames.deadline === undefined) return undefined;
    const clientTimeoutMs = deadlineMs - arrivedMs;
    return isFirstAttempt(clientTimeoutMs, route)
      ? Math.max(MIN_CLAIM_TIMEOUT_MS, route.latencyTargetMs * CLAIM_LATENCY_FRACTION)
      : clientTimeoutMs;
  }
}
