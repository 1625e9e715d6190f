/** Sends a request to one backend after another until one answers, within the route's limits and the retry budget. */
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

/** How many backends are tried for one request, most of which took no connection. */
const MAX_ATTEMPTS = 8;
/** How much time must be left for another backend to be tried. */
const MIN_RETRY_TIME_MS = 15;

/** What came of a request's attempts so far. */
interface RetryProgress {
  /** Addresses that were tried. */
  readonly triedAddresses: Set<string>;
  /** The last outcome after which the request may have run; the client gets it where no other backend answers. */
  uncertainOutcome: RequestOutcome | undefined;
  attempts: number;
  retries: number;
  /** Attempts of which bytes were sent. */
  sentAttempts: number;
}

/** What to do next with a request. */
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
  why: string,
  afterMs: number = RETRY_AFTER_MS.soon,
): RequestOutcome => uncertainOutcome ?? unavailableOutcome(why, afterMs);

/** The end of the chain: forwards requests, with retries. Keeps no state beyond a request. */
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
    return createFinalOutcome(progress, "Too many back ends took no connection.");
  }

  /** Decides on the next attempt, if there is to be one. */
  private nextStep(context: RequestContext, progress: RetryProgress): NextStep {
    const nowMs = this.options.clock.nowMs();
    const { servingView } = this.options;
    const route = servingView.routeFor(context.clientRequest);
    if (!route)
      return endWith(
        progress.uncertainOutcome ?? rejectedOutcome(404, "No route takes this request."),
      );
    if (!servingView.maySend(context.clientRequest, route))
      return endWith(
        createFinalOutcome(
          progress,
          "This daemon's view is not proven fresh.",
          RETRY_AFTER_MS.viewSettled,
        ),
      );
    if (!route.routesTo(context.service)) context.service = route.chooseService(context.splitDraw);
    const expiry = this.expiryOf(context, progress, nowMs);
    if (expiry !== undefined) return endWith(createFinalOutcome(progress, expiry));
    const { service } = context;
    const registration = this.pickBackend(route, service, progress, nowMs);
    if (!registration)
      return endWith(createFinalOutcome(progress, `No back end of ${service} can take this now.`));
    const isRetry = progress.sentAttempts > 0;
    const refusal = isRetry ? this.refuseRetry(context, route, progress, nowMs) : undefined;
    if (refusal !== undefined) return endWith(createFinalOutcome(progress, refusal));
    const attempt = { context, route, service, registration, isRetry };
    return { kind: "attempt", attempt, decidedMs: nowMs };
  }

  /** Why it is too late for an attempt, in words for the client; undefined while it isn't. */
  private expiryOf(
    { clientRequest, claim, deadlineMs, service }: RequestContext,
    { attempts }: RetryProgress,
    nowMs: number,
  ): string | undefined {
    const { servingView } = this.options;
    if (claim && nowMs + servingView.egressDelayMs(clientRequest) >= claim.sendDeadlineMs)
      return "The key's claim is too old to send under.";
    if (nowMs + (attempts > 0 ? MIN_RETRY_TIME_MS : 0) >= deadlineMs)
      return `No back end of ${service} took this in time.`;
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

  /** Counts a retry and takes it from the budget; tells why it is refused, in words for the client. */
  private refuseRetry(
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
    if (!isAllowed) return "No further try is allowed.";
    const quota = counts.remainingQuota(service);
    if (quota === undefined || quota.used + 2 > quota.limit) counts.expedite();
    const decision = budget.take(service, quota, nowMs);
    if (decision === "granted") return undefined;
    counters.countRefusedRetry(decision);
    return "The budget of further tries is spent.";
  }

  /** Whether the client gets this outcome: a backend's response, unless a retry of an error of a failing backend is safe. */
  private isFinal(
    { route, registration }: Attempt,
    { response, reason: why }: RequestOutcome,
  ): boolean {
    if (why !== "") return false;
    const isServerError = typeof response !== "string" && response.code >= 500;
    return !(
      isServerError &&
      route.repeatable &&
      this.options.loadBalancer.isFailing(registration)
    );
  }
}
