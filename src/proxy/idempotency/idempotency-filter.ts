/** The last filter: claims the idempotency key of a request, so that it runs at most once in the cluster. */
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
/** Which part of a route's latency goal the claim of a first attempt may take; a later refusal leaves no time for a retry. */
const CLAIM_LATENCY_FRACTION = 0.2;
const MIN_CLAIM_TIMEOUT_MS = 40;

/** How a request is treated by its route, method and key. */
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
      outcome: rejectedOutcome(400, `This route wants the header ${keyHeader}.`),
    };
  if (key.length === 0 || key.length > MAX_KEY_LENGTH)
    return {
      kind: "invalid",
      outcome: rejectedOutcome(400, "A key has 1 to 200 characters."),
    };
  return { kind: "keyed", key };
};

/** Claims keys before their requests are forwarded, and records how the requests ended. */
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
        "This daemon's view is not proven fresh.",
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

  /** How long a claim may take; undefined for the default. A first attempt fails early, so that its client can retry. */
  private claimTimeoutMs(
    { arrivedMs, deadlineMs }: RequestContext,
    route: ActiveRoute,
  ): number | undefined {
    if (this.headerNames.deadline === undefined) return undefined;
    const givenMs = deadlineMs - arrivedMs;
    return isFirstAttempt(givenMs, route)
      ? Math.max(MIN_CLAIM_TIMEOUT_MS, route.latencyTargetMs * CLAIM_LATENCY_FRACTION)
      : givenMs;
  }
}
