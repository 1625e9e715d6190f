/** Runs a single attempt: builds the backend request, counts it and reports its result to the load balancer. */
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
  type ResponseIdentity,
} from "./upstream/backend-client.js";

/** An attempt that the retry handler requests. */
export interface Attempt {
  readonly context: RequestContext;
  readonly route: ActiveRoute;
  readonly service: string;
  readonly registration: Registration;
  readonly isRetry: boolean;
}

/** The outcome of an attempt, and whether any of its bytes were sent. */
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
  /** Makes request ids unique across restarts of the daemon. */
  readonly incarnation: string;
}

const noCancel = (): void => undefined;

const identifyResponse = (echoedId: string | undefined, requestId: string): ResponseIdentity => {
  if (echoedId === undefined) return "none";
  return echoedId === requestId ? "own" : "other";
};

/** Sends attempts to backends. */
export class AttemptRunner {
  private readonly options: AttemptRunnerOptions;
  /** Makes the ids of requests without a client's id unique. */
  private attemptCount = 0;

  constructor(options: AttemptRunnerOptions) {
    this.options = options;
  }

  /** Runs one attempt to its end. */
  *run(attempt: Attempt): Task<AttemptOutcome> {
    const { clock, clusterView, backendClient, loadBalancer, responseForwarder } = this.options;
    const { context, route, registration } = attempt;
    const startedMs = clock.nowMs();
    const requestId = this.nextRequestId(attempt);
    loadBalancer.attemptStarted(registration, startedMs, route.name);
    const opened = yield* backendClient.send(
      this.createBackendAttempt(attempt, requestId, startedMs),
    );
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

  private nextRequestId({ context, service }: Attempt): string {
    this.attemptCount += 1;
    return context.requestId ?? `${service}/${this.options.incarnation}-${this.attemptCount}`;
  }

  private createBackendAttempt(
    attempt: Attempt,
    requestId: string,
    startedMs: number,
  ): BackendAttempt {
    const { context, route, service, registration } = attempt;
    const { client, clientRequest } = context;
    const { method, target, body, bodyRemainder } = clientRequest;
    const deadlineMs =
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
        headers: this.createRequestHeaders(attempt, requestId, deadlineMs),
        body,
        bodyRemainder,
      },
      deadlineMs,
      dueMs: client.dueMs,
      isAtMostOnce: !route.repeatable,
      identifyResponse: (responseHeaders) =>
        identifyResponse(responseHeaders[this.options.headerNames.requestIdEcho], requestId),
      ...(route.repeatable && client.onClosed
        ? { onClientClosed: (callback) => client.onClosed?.(callback) ?? noCancel }
        : {}),
      maySend: () => this.confirmSend(attempt),
      mayStillSend: () => this.isStillAllowed(attempt),
    };
  }

  /** The client's end-to-end headers and those that the proxy adds for the backend. */
  private createRequestHeaders(
    { context: { clientRequest }, service, registration }: Attempt,
    requestId: string,
    deadlineMs: number,
  ): Record<string, string> {
    const { clock, headerNames } = this.options;
    const { deadline, expectedInstance, proof } = headerNames;
    const headers = endToEndHeaders(clientRequest.headers);
    const contentLength = clientRequest.headers["content-length"];
    if (clientRequest.bodyRemainder && contentLength !== undefined)
      headers["content-length"] = contentLength;
    if (proof === "connection") {
      delete headers["host"];
      headers[SERVICE_HEADER] = service;
    }
    headers[headerNames.requestId] = requestId;
    if (deadline !== undefined)
      headers[deadline] = String(Math.max(1, Math.floor(deadlineMs - clock.nowMs())));
    if (expectedInstance !== undefined && registration.instance !== "")
      headers[expectedInstance] = registration.instance;
    return headers;
  }

  /** Checks, once the connection is open, that the attempt is still allowed, and counts it if so. */
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

  /** Reports an attempt's result to the load balancer, and the size of its response to the bulk admission. */
  private reportEnd(
    { context, route, registration }: Attempt,
    outcome: RequestOutcome,
    startedMs: number,
  ): void {
    const { clock, loadBalancer, bulkAdmission } = this.options;
    const nowMs = clock.nowMs();
    // A client that disconnects cancels its attempt: that is no evidence about the backend.
    if (outcome.reason !== "" && context.client.isClosed && route.repeatable) {
      loadBalancer.attemptCancelled(registration, nowMs);
      return;
    }
    const { response } = outcome;
    const isComplete =
      typeof response === "string"
        ? response === "streamed"
        : outcome.reason === "" && response.code < 500;
    const bytes = typeof response === "string" || !isComplete ? undefined : response.body.length;
    if (bytes !== undefined) bulkAdmission.recordSize(route.name, bytes);
    loadBalancer.attemptEnded(
      registration,
      {
        latencyMs: nowMs - startedMs,
        isComplete,
        latencyTargetMs: route.latencyTargetMs,
        route: route.name,
        responseBytes: bytes,
      },
      nowMs,
    );
  }
}
