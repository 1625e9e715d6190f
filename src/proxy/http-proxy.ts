/** The data plane's entry: takes clients' requests through the chain of filters to the backends. */
import type { CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { LinkPacer } from "../runtime/link-pacer.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import type { Runtime } from "../runtime/runtime.js";
import type { RetryBudget } from "../retry-budget/retry-budget.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import type { EdgeCounts } from "../retry-budget/edge-counts.js";
import { AdmissionFilter } from "./admission-filter.js";
import { AttemptRunner } from "./attempt-runner.js";
import { BulkAdmission } from "./bulk-admission.js";
import type { ExpiredLeasePolicy } from "./expired-lease-policy.js";
import type { HeaderNames } from "./header-names.js";
import { IdempotencyClaims } from "./idempotency/idempotency-claims.js";
import { IdempotencyFilter } from "./idempotency/idempotency-filter.js";
import type { OutcomeReplicator } from "./idempotency/outcome-replicator.js";
import { PipeliningFilter } from "./pipelining-filter.js";
import { ProxyCounters } from "./proxy-counters.js";
import type { ClientConnection, ProxyRequest } from "./proxy-request.js";
import { newRequestContext, type RequestContext } from "./request-context.js";
import { runFilters, type RequestFilter } from "./request-filter.js";
import { type ClientResponse, jsonResponse, type RequestOutcome } from "./request-outcome.js";
import { MAX_BUFFERED_RESPONSE_BYTES, ResponseForwarder } from "./response-forwarder.js";
import { RETRY_AFTER_MS, withJitteredRetryAfter } from "./retry-after.js";
import { RetryHandler } from "./retry-handler.js";
import { RoutingFilter } from "./routing-filter.js";
import { ServingView } from "./serving-view.js";
import type { BackendClient } from "./upstream/backend-client.js";

/** What the proxy depends on beside its runtime. */
export interface HttpProxyOptions {
  readonly clusterView: ClusterView;
  readonly backendClient: BackendClient;
  readonly forwarder: CommandForwarder;
  readonly budget: RetryBudget;
  readonly counts: EdgeCounts;
  readonly loadBalancer: LoadBalancer;
  readonly incarnation: string;
  readonly headerNames: HeaderNames;
  /** Whether requests that may run more than once are still served by a view whose lease expired. */
  readonly expiredLeasePolicy: ExpiredLeasePolicy;
  /** Stores the outcomes of requests with an idempotency key. */
  readonly outcomes: OutcomeReplicator;
  /** The link by which requests leave. */
  readonly egress: LinkPacer;
}

/** Handles clients' requests. Owns the set of active requests; each stage of the chain owns its own state. */
export class HttpProxy {
  /** What was done since the start, as the status reports it. */
  readonly counters = new ProxyCounters();
  private readonly runtime: Runtime;
  private readonly headerNames: HeaderNames;
  private readonly log: Logger;
  private readonly activeRequests = new Set<RequestContext>();
  private readonly claims: IdempotencyClaims;
  private readonly admission: AdmissionFilter;
  /** The stages that a request passes, in this order, before it is forwarded. */
  private readonly filters: readonly RequestFilter[];
  private readonly retryHandler: RetryHandler;

  constructor(runtime: Runtime, options: HttpProxyOptions) {
    const { clock } = runtime;
    const { clusterView, headerNames, forwarder, outcomes, incarnation, egress } = options;
    this.runtime = runtime;
    this.headerNames = headerNames;
    this.log = runtime.loggers.component("proxy");
    const servingView = new ServingView(clusterView, options.expiredLeasePolicy, egress);
    const bulkAdmission = new BulkAdmission(egress, MAX_BUFFERED_RESPONSE_BYTES);
    const shared = {
      ...options,
      clock,
      servingView,
      bulkAdmission,
      counters: this.counters,
      activeRequests: this.activeRequests,
      log: this.log,
    };
    this.claims = new IdempotencyClaims({
      runtime,
      forwarder,
      outcomes,
      incarnation,
      retryAfterMs: headerNames.hasFractionalRetryAfter ? RETRY_AFTER_MS.leaderElected : undefined,
    });
    this.admission = new AdmissionFilter(shared);
    this.filters = [
      this.admission,
      new RoutingFilter(shared),
      new PipeliningFilter(),
      new IdempotencyFilter(clusterView, this.claims, headerNames),
    ];
    const responseForwarder = new ResponseForwarder(shared);
    const attemptRunner = new AttemptRunner({ ...shared, responseForwarder });
    this.retryHandler = new RetryHandler({ ...shared, attemptRunner });
  }

  /** How many requests are active. */
  get activeRequestCount(): number {
    return this.activeRequests.size;
  }

  /** How many requests and tasks must end before the daemon may stop. */
  get pendingWorkCount(): number {
    return this.activeRequestCount + this.claims.pendingTasks;
  }

  /** Refuses all new requests from now on. */
  close(): void {
    this.admission.close();
  }

  /** Resumes the requests that wait for the first lease. */
  notifyLease(): void {
    this.admission.notifyLease();
  }

  /** Handles one request to its end. */
  *handle(clientRequest: ProxyRequest, client: ClientConnection): Task {
    const { clientRequestId: idHeader } = this.headerNames;
    const context = newRequestContext({
      clientRequest,
      client,
      arrivedMs: this.runtime.clock.nowMs(),
      requestId: idHeader === undefined ? undefined : clientRequest.headers[idHeader],
      splitDraw: this.runtime.random(),
    });
    this.counters.countRequest();
    this.activeRequests.add(context);
    try {
      const outcome = yield* runFilters(context, this.filters, (one) =>
        this.retryHandler.forward(one),
      );
      if (context.isAbandoned) return;
      this.counters.countOutcome(outcome);
      if (typeof outcome.response !== "string")
        client.respond(this.clientResponse(outcome, outcome.response));
    } catch (error) {
      this.log.error("request handler failed", error);
      client.respond(
        jsonResponse(500, {
          error: "The daemon broke down over this request.",
          verdict: "mayHaveRun",
        }),
      );
    } finally {
      context.releaseBulkReservation();
      this.activeRequests.delete(context);
    }
  }

  /** Gives all active requests their final response: the process ends before their attempts do. */
  abandon(): void {
    for (const context of this.activeRequests) {
      context.isAbandoned = true;
      if (context.isStreaming) context.client.abort();
      else
        context.client.respond(
          jsonResponse(
            504,
            {
              error: "This daemon stops before the back end returned.",
              verdict: "mayHaveRun",
              retryAfterS: 1,
            },
            { "retry-after": "1" },
          ),
        );
    }
  }

  /** A response as clients of this protocol read it. */
  private clientResponse(outcome: RequestOutcome, response: ClientResponse): ClientResponse {
    return this.headerNames.hasFractionalRetryAfter
      ? withJitteredRetryAfter(outcome, response, () => this.runtime.random())
      : response;
  }
}
