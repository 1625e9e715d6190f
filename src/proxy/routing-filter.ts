/** The second filter: finds a request's route, its service and its deadline, and reserves its part of the link. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { EdgeCounts } from "../retry-budget/edge-counts.js";
import type { RetryBudget } from "../retry-budget/retry-budget.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { BulkAdmission } from "./bulk-admission.js";
import { isFirstAttempt } from "./first-attempt.js";
import type { HeaderNames } from "./header-names.js";
import type { ProxyRequest } from "./proxy-request.js";
import type { RequestContext } from "./request-context.js";
import type { NextHandler, RequestFilter } from "./request-filter.js";
import { type RequestOutcome, rejectedOutcome, unavailableOutcome } from "./request-outcome.js";
import { RETRY_AFTER_MS } from "./retry-after.js";
import type { ServingView } from "./serving-view.js";

/** What the routing filter depends on. */
export interface RoutingFilterOptions {
  readonly clock: Clock;
  readonly clusterView: ClusterView;
  readonly servingView: ServingView;
  readonly budget: RetryBudget;
  readonly counts: EdgeCounts;
  readonly bulkAdmission: BulkAdmission;
  readonly headerNames: HeaderNames;
}

/** Routes requests, and refuses those whose response can't leave the link in time. */
export class RoutingFilter implements RequestFilter {
  private readonly options: RoutingFilterOptions;

  constructor(options: RoutingFilterOptions) {
    this.options = options;
  }

  *handle(context: RequestContext, next: NextHandler): Task<RequestOutcome> {
    const { clusterView, servingView, budget, counts, bulkAdmission } = this.options;
    const route = servingView.routeFor(context.clientRequest);
    if (!route)
      return clusterView.holdsLease
        ? rejectedOutcome(404, "No route takes this request.")
        : unavailableOutcome("This daemon's view is not proven fresh.", RETRY_AFTER_MS.viewSettled);
    context.route = route;
    context.service = route.chooseService(context.splitDraw);
    context.deadlineMs = context.arrivedMs + this.timeoutMs(context.clientRequest, route);
    context.client.dueMs = context.arrivedMs + route.latencyTargetMs;
    if (!this.admitsResponse(context, route))
      return unavailableOutcome(
        "This daemon's link is full for as long as there is time.",
        RETRY_AFTER_MS.otherDaemon,
      );
    budget.countRequest(context.service, context.arrivedMs);
    const routeId = clusterView.idOf("route", route.name);
    if (routeId !== undefined) counts.countRoute(routeId);
    context.releaseBulkReservation = bulkAdmission.reserve(route.name);
    return yield* next();
  }

  /** How long a request may take: what its client says is left, and what its route allows. */
  private timeoutMs({ headers }: ProxyRequest, route: ActiveRoute): number {
    const { deadline } = this.options.headerNames;
    if (deadline === undefined) return route.timeoutMs * 2;
    const statedMs = Number(headers[deadline]);
    return Number.isFinite(statedMs) && statedMs > 0
      ? Math.min(statedMs, route.timeoutMs)
      : route.timeoutMs;
  }

  /** Whether a response of the route's average size can still leave in time. A first attempt is refused while its client can retry. */
  private admitsResponse({ arrivedMs, deadlineMs }: RequestContext, route: ActiveRoute): boolean {
    const { clock, bulkAdmission } = this.options;
    const dueMs = isFirstAttempt(deadlineMs - arrivedMs, route)
      ? Math.min(deadlineMs, arrivedMs + route.latencyTargetMs)
      : deadlineMs;
    return bulkAdmission.admits(route.name, dueMs - clock.nowMs());
  }
}
