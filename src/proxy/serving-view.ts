/** Whether this daemon's view of the cluster is fresh enough to serve requests by. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { LinkPacer } from "../runtime/link-pacer.js";
import type { ExpiredLeasePolicy } from "./expired-lease-policy.js";
import { type ProxyRequest, requestPath } from "./proxy-request.js";

/** Decides by the lease of the view, and by the policy for expired leases. Keeps no state of its own. */
export class ServingView {
  private readonly clusterView: ClusterView;
  private readonly expiredLeasePolicy: ExpiredLeasePolicy;
  private readonly egress: LinkPacer;

  constructor(clusterView: ClusterView, expiredLeasePolicy: ExpiredLeasePolicy, egress: LinkPacer) {
    this.clusterView = clusterView;
    this.expiredLeasePolicy = expiredLeasePolicy;
    this.egress = egress;
  }

  /** Whether requests can be routed at all; with an expired lease only those that may run more than once are served. */
  get isUsable(): boolean {
    return (
      this.clusterView.configSequence > 0 &&
      (this.clusterView.holdsLease || this.expiredLeasePolicy.allows(this.clusterView.expiredForMs))
    );
  }

  /** Whether a request may be sent now: the lease must last until the request can have left the link. */
  maySend(clientRequest: ProxyRequest, { repeatable }: ActiveRoute): boolean {
    const leftMs = this.clusterView.leaseRemainingMs - this.egressDelayMs(clientRequest);
    return leftMs > 0 || (repeatable && this.expiredLeasePolicy.allows(-leftMs));
  }

  /** How long it takes until a request that is sent now has left the link. */
  egressDelayMs({ body }: ProxyRequest): number {
    return this.egress.queueMs + this.egress.transferMs(body.length);
  }

  /** The route that takes a request, by the configuration in force now. */
  routeFor(clientRequest: ProxyRequest): ActiveRoute | undefined {
    return this.clusterView.routeTable.find(
      clientRequest.method,
      requestPath(clientRequest),
      clientRequest.headers["host"] ?? "",
    );
  }
}
