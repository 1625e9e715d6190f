/** One attempt at a backend: what is sent, what is counted, and what the load balancer learns from its end. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import { connectionPoolKey, type ClusterView } from "../cluster-view/cluster-view.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import type { EdgeCounts } from "../retry-budget/edge-counts.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { Registration } from "../state/registration.js";
import type { BulkAdmission } from "./bulk-admission.js";
import type { HeaderNames } from "./header-names.js";
import { endToEndHeaders } from "./hop-by-hop-headers.js";
import { createFailureOutcome, getOutcomeRule } from "./outcome-rules.js";
import type { ProxyCounters } from "./proxy-counters.js";
import type { RequestContext } from "./request-context.js";
import type { RequestOutcome } from "./request-outcome.js";
import type { ResponseForwarder } from "./response-forwarder.js";
import { RETRY_AFTER_MS } from "./retry-after.js";
import type { ServingView } from "./serving-view.js";
import {
  SERVICE_HEADER,
  type BackendAttempt,
  type BackendClient,
} from "./upstream/backend-client.js";

/** One attempt, as the retry handler decided on it. */
export interface Attempt {
  readonly context: RequestContext;
  readonly route: ActiveRoute;
  readonly service: string;
  readonly registration: Registration;
  readonly isRetry: boolean;
}

/** How an attempt ended, and whether bytes of it were sent. */
export interface AttemptOutcome {
  readonly outcome: RequestOutcome;
  readonly isSent: boolean;
}

/** What the attempt runner depends on. */
export interface AttemptRunnerOptions {
  readonly clock: Clock;
  readonly clusterView: ClusterView;
  readonly servingView: ServingView;
  readonly backendClient: BackendClient;
  readonly loadBalancer: LoadBalancer;
  readonly counts: EdgeCounts;
  readonly counters: ProxyCounters;
  readonly bulkAdmission: BulkAdmission;
  readonly responseForwarder: ResponseForwarder;
  readonly headerNames: HeaderNames;
  /** Distinguishes the request names of this start of the daemon. */
  readonly incarnation: string;
}

const noCancel = (): void => undefined;

/** Sends attempts to backends. */
export class AttemptRunner {
  private readonly options: AttemptRunnerOptions;
  /** Numbers the attempts of clients that don't name theirs. */
  private attempts = 0;

  constructor(options: AttemptRunnerOptions) {
    this.options = options;
  }

  /** Carries out one attempt to its end. */
  *run(attempt: Attempt): Task<AttemptOutcome> {
    const { clock, clusterView, backendClient, loadBalancer, responseForwarder } = this.options;
    const { context, route, registration } = attempt;
    const startedMs = clock.nowMs();
    const requestId = this.requestIdOf(attempt);
    loadBalancer.attemptStarted(registration, startedMs, route.name);
    const opened = yield* backendClient.send(this.backendAttempt(attempt, requestId, startedMs));
    if (opened.kind === "failed" && (opened.cause === "refused" || opened.cause === "foreign"))
      clusterView.markRefused(registration);
    if (opened.kind === "failed" && opened.cause === "withdrawn") {
      loadBalancer.attemptCancelled(registration, clock.nowMs());
      return { outcome: createFailureOutcome("withdrawn", RETRY_AFTER_MS.soon), isSent: false };
    }
    const isSent = opened.kind === "opened" || getOutcomeRule(opened.cause).isSent;
    const outcome =
      opened.kind === "failed"
        ? createFailureOutcome(opened.cause, RETRY_AFTER_MS.soon)
        : yield* responseForwarder.forward(opened.response, {
            context,
            route,
            registration,
            requestId,
          });
    this.reportEnd(attempt, outcome, startedMs);
    return { outcome, isSent };
  }

  private requestIdOf({ context, service }: Attempt): string {
    this.attempts += 1;
    return context.requestId ?? `${service}/${this.options.incarnation}-${this.attempts}`;
  }

  private backendAttempt(attempt: Attempt, requestId: string, startedMs: number): BackendAttempt {
    const { context, route, service, registration } = attempt;
    const { client, clientRequest } = context;
    const { method, target, body, bodyRemainder: rest } = clientRequest;
    const untilMs =
      this.options.headerNames.deadline === undefined
        ? startedMs + route.timeoutMs
        : context.deadlineMs;
    return {
      address: registration.address,
      service,
      pool: connectionPoolKey(registration),
      request: {
        method,
        path: target,
        headers: this.requestHeaders(attempt, requestId, untilMs),
        body,
        bodyRemainder: rest,
      },
      deadlineMs: untilMs,
      dueMs: client.dueMs,
      isAtMostOnce: !route.repeatable,
      ...(route.repeatable && client.onClosed
        ? { onClientClosed: (run) => client.onClosed?.(run) ?? noCancel }
        : {}),
      maySend: () => this.confirmSend(attempt),
    };
  }

  /** The client's headers, and what the proxy adds for the backend. */
  private requestHeaders(
    { context: { clientRequest }, service, registration }: Attempt,
    id: string,
    untilMs: number,
  ): Record<string, string> {
    const { clock, headerNames } = this.options;
    const { requestId, deadline, expectedInstance: expected, proof } = headerNames;
    const headers = endToEndHeaders(clientRequest.headers);
    const contentLength = clientRequest.headers["content-length"];
    if (clientRequest.bodyRemainder && contentLength !== undefined)
      headers["content-length"] = contentLength;
    if (proof === "connection") {
      delete headers["host"];
      headers[SERVICE_HEADER] = service;
    }
    headers[requestId] = id;
    if (deadline !== undefined)
      headers[deadline] = String(Math.max(1, Math.floor(untilMs - clock.nowMs())));
    if (expected !== undefined && registration.instance !== "")
      headers[expected] = registration.instance;
    return headers;
  }

  /** Called once the connection is open: whether all that allowed the attempt still does. Counts the attempt if so. */
  private confirmSend(attempt: Attempt): boolean {
    if (!this.isStillAllowed(attempt)) return false;
    const { counts, counters } = this.options;
    const { context, service, isRetry } = attempt;
    counters.countAttempt(isRetry);
    if (context.clientRequest.bodyRemainder) context.isBodyConsumed = true;
    counts.countAttempt(service, isRetry);
    return true;
  }

  private isStillAllowed({ context, service, registration }: Attempt): boolean {
    const { clock, clusterView, servingView } = this.options;
    const { clientRequest, client, claim } = context;
    const route = servingView.routeFor(clientRequest);
    return (
      !client.isClosed &&
      route !== undefined &&
      route.routesTo(service) &&
      servingView.maySend(clientRequest, route) &&
      clusterView.isRegistered(registration) &&
      clock.nowMs() + servingView.egressDelayMs(clientRequest) < (claim?.sendDeadlineMs ?? Infinity)
    );
  }

  /** Reports an attempt's end to the load balancer, and the size of its response to the bulk admission. */
  private reportEnd(
    { context, route, registration }: Attempt,
    outcome: RequestOutcome,
    startedMs: number,
  ): void {
    const { clock, loadBalancer, bulkAdmission } = this.options;
    const nowMs = clock.nowMs();
    // A client that left and so ended the attempt says nothing about the backend.
    if (outcome.reason !== "" && context.client.isClosed && route.repeatable) {
      loadBalancer.attemptCancelled(registration, nowMs);
      return;
    }
    const { response } = outcome;
    const isWhole =
      typeof response === "string"
        ? response === "streamed"
        : outcome.reason === "" && response.code < 500;
    const bytes = typeof response === "string" || !isWhole ? undefined : response.body.length;
    if (bytes !== undefined) bulkAdmission.recordSize(route.name, bytes);
    loadBalancer.attemptEnded(
      registration,
      {
        latencyMs: nowMs - startedMs,
        isComplete: isWhole,
        latencyTargetMs: route.latencyTargetMs,
        route: route.name,
        responseBytes: bytes,
      },
      nowMs,
    );
  }
}
