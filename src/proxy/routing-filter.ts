/**
 * The second filter: determines a request's route, service and deadline, and reserves link capacity for its response.
 */
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

/** Routes requests, and rejects those whose response can't be sent in time. */
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
        ? rejectedOutcome(404, "No route matches this request.")
        : unavailableOutcome(
            "This daemon holds no valid lease on the cluster state.",
            RETRY_AFTER_MS.viewSettled,
          );
    context.route = route;
    context.service = route.chooseService(context.splitDraw);
    context.deadlineMs = context.arrivedMs + this.computeTimeoutMs(context.clientRequest, route);
    context.client.dueMs = context.arrivedMs + route.latencyTargetMs;
    if (!this.admitsResponse(context, route))
      return unavailableOutcome(
        "This daemon's link is too busy to send the response in time.",
        RETRY_AFTER_MS.otherDaemon,
      );
    budget.countRequest(context.service, context.arrivedMs);
    const routeId = clusterView.idOf("route", route.name);
    if (routeId !== undefined) counts.countRoute(routeId);
    context.releaseBulkReservation = bulkAdmission.reserve(route.name);
    return yield* next();
  }

  /**
   * The time that a request may take: the smaller of its client's and its route's timeout. Without a deadline header it is
   * twice the route's timeout.
   */
  private computeTimeoutMs({ headers }: ProxyRequest, route: ActiveRoute): number {
    const { deadline } = this.options.headerNames;
    if (deadline === undefined) return route.timeoutMs * 2;
    const statedMs = Number(headers[deadline]);
    return Number.isFinite(statedMs) && statedMs > 0
      ? Math.min(statedMs, route.timeoutMs)
      : route.timeoutMs;
  }

  /**
   * Whether a response of the route's average size can be sent in time. A first attempt must meet the latency target, so
   * that its client can still retry elsewhere.
   */
  private admitsResponse({ arrivedMs, deadlineMs }: RequestContext, route: ActiveRoute): boolean {
    const { clock, bulkAdmission } = this.options;
    const dueMs = isFirstAttempt(deadlineMs - arrivedMs, route)
      ? Math.min(deadlineMs, arrivedMs + route.latencyTargetMs)
      : deadlineMs;
    return bulkAdmission.admits(route.name, dueMs - clock.nowMs());
  }
}
