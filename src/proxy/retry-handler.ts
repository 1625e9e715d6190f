/** Sends a request to one backend after another until one responds, within the route's limits and the retry budget. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import type { EdgeCounts } from "../retry-budget/edge-counts.js";
import type { RetryBudget } from "../retry-budget/retry-budget.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { Attempt, AttemptRunner } from "./attempt-runner.js";
import { mayRetry } from "./outcome-rules.js";
import type { ProxyCounters } from "./proxy-counters.js";
import type { RequestContext } from "./request-context.js";
import { type RequestOutcome, unavailableOutcome, rejectedOutcome } from "./request-outcome.js";
import { RETRY_AFTER_MS } from "./retry-after.js";
import type { ServingView } from "./serving-view.js";

/** Maximum number of attempts for one request, including those that ended before a byte was sent. */
const MAX_ATTEMPTS = 8;
/** Minimum time before the deadline for another attempt. */
const MIN_RETRY_TIME_MS = 15;

/** The results of a request's previous attempts. */
interface RetryProgress {
  /** Addresses of the previous attempts. */
  readonly triedAddresses: Set<string>;
  /** The last outcome after which the request may have run; the client gets it if no other backend responds. */
  uncertainOutcome: RequestOutcome | undefined;
  attempts: number;
  retries: number;
  /** Number of attempts of which bytes were sent. */
  sentAttempts: number;
}

/** The next step for a request: another attempt or its end. */
type NextStep =
  | { readonly kind: "attempt"; readonly attempt: Attempt; readonly decidedMs: number }
  | { readonly kind: "end"; readonly outcome: RequestOutcome };

/** What the retry handler depends on. */
export interface RetryHandlerOptions {
  readonly clock: Clock;
  readonly clusterView: ClusterView;
  readonly servingView: ServingView;
  readonly loadBalancer: LoadBalancer;
  readonly budget: RetryBudget;
  readonly counts: EdgeCounts;
  readonly counters: ProxyCounters;
  readonly attemptRunner: AttemptRunner;
}

const endWith = (outcome: RequestOutcome): NextStep => ({ kind: "end", outcome });

const createFinalOutcome = (
  { uncertainOutcome }: RetryProgress,
  reason: string,
  afterMs: number = RETRY_AFTER_MS.soon,
): RequestOutcome => uncertainOutcome ?? unavailableOutcome(reason, afterMs);

/** The end of the filter chain: forwards requests, with retries. Keeps no state between requests. */
export class RetryHandler {
  private readonly options: RetryHandlerOptions;

  constructor(options: RetryHandlerOptions) {
    this.options = options;
  }

  /** Forwards one request. */
  *forward(context: RequestContext): Task<RequestOutcome> {
    const { attemptRunner, budget } = this.options;
    const progress: RetryProgress = {
      triedAddresses: new Set(),
      uncertainOutcome: undefined,
      attempts: 0,
      retries: 0,
      sentAttempts: 0,
    };
    while (progress.attempts < MAX_ATTEMPTS) {
      const step = this.nextStep(context, progress);
      if (step.kind === "end") return step.outcome;
      const { attempt, decidedMs } = step;
      progress.triedAddresses.add(attempt.registration.address);
      const { outcome, isSent } = yield* attemptRunner.run(attempt);
      if (this.isFinal(attempt, outcome)) return outcome;
      progress.attempts += 1;
      if (isSent) progress.sentAttempts += 1;
      if (outcome.execution !== "neverRan") progress.uncertainOutcome = outcome;
      if (!isSent && attempt.isRetry) {
        progress.retries -= 1;
        budget.refund(attempt.service, decidedMs);
      }
    }
    return createFinalOutcome(
      progress,
      `None of ${MAX_ATTEMPTS} attempts reached a backend that ran the request.`,
    );
  }

  /** Chooses the next attempt, or ends the request. */
  private nextStep(context: RequestContext, progress: RetryProgress): NextStep {
    const nowMs = this.options.clock.nowMs();
    const { servingView } = this.options;
    const route = servingView.routeFor(context.clientRequest);
    if (!route)
      return endWith(
        progress.uncertainOutcome ?? rejectedOutcome(404, "No route matches this request."),
      );
    if (!servingView.maySend(context.clientRequest, route))
      return endWith(
        createFinalOutcome(
          progress,
          "This daemon's lease on the cluster state ends before the request can be sent.",
          RETRY_AFTER_MS.viewSettled,
        ),
      );
    if (!route.routesTo(context.service)) context.service = route.chooseService(context.splitDraw);
    const expiryReason = this.findExpiryReason(context, progress, nowMs);
    if (expiryReason !== undefined) return endWith(createFinalOutcome(progress, expiryReason));
    const { service } = context;
    const registration = this.pickBackend(route, service, progress, nowMs);
    if (!registration)
      return endWith(
        createFinalOutcome(progress, `No backend of service ${service} is available.`),
      );
    const isRetry = progress.sentAttempts > 0;
    const refusalReason = isRetry ? this.takeRetry(context, route, progress, nowMs) : undefined;
    if (refusalReason !== undefined) return endWith(createFinalOutcome(progress, refusalReason));
    const attempt = { context, route, service, registration, isRetry };
    return { kind: "attempt", attempt, decidedMs: nowMs };
  }

  /** Returns the error message if it is too late for another attempt, else undefined. */
  private findExpiryReason(
    { clientRequest, claim, deadlineMs, service }: RequestContext,
    { attempts }: RetryProgress,
    nowMs: number,
  ): string | undefined {
    const { servingView } = this.options;
    if (claim && nowMs + servingView.egressDelayMs(clientRequest) >= claim.sendDeadlineMs)
      return "The claim of the idempotency key expired before the request could be sent.";
    if (nowMs + (attempts > 0 ? MIN_RETRY_TIME_MS : 0) >= deadlineMs)
      return `No backend of service ${service} accepted this request before its deadline.`;
    return undefined;
  }

  private pickBackend(
    route: ActiveRoute,
    service: string,
    { triedAddresses }: RetryProgress,
    nowMs: number,
  ): Attempt["registration"] | undefined {
    const { clusterView, loadBalancer } = this.options;
    return loadBalancer.pick(
      clusterView.backendsOf(service),
      {
        triedAddresses,
        maxInFlight: route.maxInFlight,
        maxConnections: clusterView.routeTable.service(service)?.maxConnections,
        route: route.name,
      },
      nowMs,
    );
  }

  /**
   * Counts a retry and takes it from the retry budget. Returns the error message if the retry is denied, else undefined.
   */
  private takeRetry(
    { client, isBodyConsumed, service }: RequestContext,
    route: ActiveRoute,
    progress: RetryProgress,
    nowMs: number,
  ): string | undefined {
    const { budget, counts, counters } = this.options;
    progress.retries += 1;
    const isAllowed =
      mayRetry(progress.uncertainOutcome?.execution ?? "neverRan", route) &&
      !isBodyConsumed &&
      progress.retries <= route.maxRetries &&
      !client.isClosed;
    if (!isAllowed) return "No further retry of this request is allowed.";
    const quota = counts.remainingQuota(service);
    if (quota === undefined || quota.used + 2 > quota.limit) counts.expedite();
    const decision = budget.take(service, quota, nowMs);
    if (decision === "granted") return undefined;
    counters.countRefusedRetry(decision);
    return "The retry budget is exhausted.";
  }

  /**
   * Whether the client gets this outcome: any backend response, except for a 5xx of a failing backend that may be
   * retried.
   */
  private isFinal({ route, registration }: Attempt, { response, reason }: RequestOutcome): boolean {
    if (reason !== "") return false;
    const isServerError = typeof response !== "string" && response.code >= 500;
    return !(
      isServerError &&
      route.repeatable &&
      this.options.loadBalancer.isFailing(registration)
    );
  }
}
