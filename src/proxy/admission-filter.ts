/** The first filter: rejects requests that this daemon can't serve at the moment. */
import type { ClusterView } from "../cluster-view/cluster-view.js";
import { type Clock, withTimeout } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { HeaderNames } from "./header-names.js";
import type { ProxyRequest } from "./proxy-request.js";
import type { RequestContext } from "./request-context.js";
import type { NextHandler, RequestFilter } from "./request-filter.js";
import { type RequestOutcome, unavailableOutcome, rejectedOutcome } from "./request-outcome.js";
import { RETRY_AFTER_MS } from "./retry-after.js";
import type { ServingView } from "./serving-view.js";

/** Maximum number of active requests, and of requests that wait for the first lease. */
const MAX_ACTIVE_REQUESTS = 2000;
/** A request waits for the first lease for this fraction of its client's timeout, and never longer than the maximum. */
const LEASE_WAIT_FRACTION = 1 / 3;
const MAX_LEASE_WAIT_MS = 1000;

/** What the admission filter depends on. */
export interface AdmissionFilterOptions {
  readonly clock: Clock;
  readonly clusterView: ClusterView;
  readonly servingView: ServingView;
  readonly headerNames: HeaderNames;
  readonly activeRequests: ReadonlySet<RequestContext>;
}

/**
 * Rejects requests while the daemon stops, is overloaded or has no usable view of the cluster. Requests that arrive before
 * the first lease wait for it.
 */
export class AdmissionFilter implements RequestFilter {
  private readonly options: AdmissionFilterOptions;
  private isClosed = false;
  /** One callback for each request that waits for the first lease. */
  private leaseWaiters: Array<() => void> = [];

  constructor(options: AdmissionFilterOptions) {
    this.options = options;
  }

  /** Rejects all new requests from now on. */
  close(): void {
    this.isClosed = true;
  }

  /** Resumes the requests that wait for the first lease. */
  notifyLease(): void {
    for (const resume of this.leaseWaiters.splice(0)) resume();
  }

  *handle(context: RequestContext, next: NextHandler): Task<RequestOutcome> {
    const { clusterView, servingView, headerNames, activeRequests } = this.options;
    if (this.isClosed)
      return unavailableOutcome("This daemon is stopping.", RETRY_AFTER_MS.otherDaemon);
    if (activeRequests.size > MAX_ACTIVE_REQUESTS)
      return unavailableOutcome(
        `This daemon is overloaded: ${activeRequests.size} active requests, limit ${MAX_ACTIVE_REQUESTS}.`,
        RETRY_AFTER_MS.soon,
      );
    if (!servingView.isUsable) yield* this.awaitLease(context.clientRequest);
    if (clusterView.configSequence === 0)
      return unavailableOutcome(
        "This daemon has no configuration yet.",
        RETRY_AFTER_MS.viewSettled,
      );
    if (!servingView.isUsable)
      return unavailableOutcome(
        "This daemon holds no valid lease on the cluster state.",
        RETRY_AFTER_MS.viewSettled,
      );
    if (headerNames.clientRequestId !== undefined && context.requestId === undefined)
      return rejectedOutcome(400, `The request lacks the header ${headerNames.clientRequestId}.`);
    return yield* next();
  }

  /** Waits for the first lease, for a bounded part of the client's timeout. Doesn't wait if the client stated none. */
  private *awaitLease({ headers }: ProxyRequest): Task {
    const { clock, headerNames } = this.options;
    const { deadline } = headerNames;
    const clientTimeoutMs = deadline === undefined ? Number.NaN : Number(headers[deadline]);
    if (!(clientTimeoutMs > 0) || this.leaseWaiters.length >= MAX_ACTIVE_REQUESTS) return;
    yield* withTimeout<true>(
      clock,
      Math.min(clientTimeoutMs * LEASE_WAIT_FRACTION, MAX_LEASE_WAIT_MS),
      (done) => this.leaseWaiters.push(() => done(true)),
    );
  }
}
