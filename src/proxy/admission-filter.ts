/** The first filter: whether this daemon takes requests at all now. */
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

/** How many requests may be active, and how many may wait for the first lease. */
const MAX_ACTIVE_REQUESTS = 2000;
/** How long a request waits for the first lease: a part of the time its client gave, and at most this long. */
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

/** Refuses requests while the daemon stops, is overloaded or has no view to serve by; lets them wait for the first lease. */
export class AdmissionFilter implements RequestFilter {
  private readonly options: AdmissionFilterOptions;
  private isClosed = false;
  /** Resume the requests that wait for the first lease. */
  private leaseWaiters: Array<() => void> = [];

  constructor(options: AdmissionFilterOptions) {
    this.options = options;
  }

  /** Refuses all new requests from now on. */
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
      return unavailableOutcome("This daemon has too much in hand.", RETRY_AFTER_MS.soon);
    if (!servingView.isUsable) yield* this.awaitLease(context.clientRequest);
    if (clusterView.configSequence === 0)
      return unavailableOutcome("No config is in force yet.", RETRY_AFTER_MS.viewSettled);
    if (!servingView.isUsable)
      return unavailableOutcome(
        "This daemon's view is not proven fresh.",
        RETRY_AFTER_MS.viewSettled,
      );
    if (headerNames.clientRequestId !== undefined && context.requestId === undefined)
      return rejectedOutcome(400, "The request names no try.");
    return yield* next();
  }

  /** Waits for the first lease, for a bounded part of the time that the client gave; not at all where it gave none. */
  private *awaitLease({ headers }: ProxyRequest): Task {
    const { clock, headerNames } = this.options;
    const { deadline } = headerNames;
    const givenMs = deadline === undefined ? Number.NaN : Number(headers[deadline]);
    if (!(givenMs > 0) || this.leaseWaiters.length >= MAX_ACTIVE_REQUESTS) return;
    yield* withTimeout<true>(
      clock,
      Math.min(givenMs * LEASE_WAIT_FRACTION, MAX_LEASE_WAIT_MS),
      (done) => this.leaseWaiters.push(() => done(true)),
    );
  }
}
