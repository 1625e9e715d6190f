/** Checks whether this daemon's view of the cluster is fresh enough to serve requests. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { LinkPacer } from "../runtime/link-pacer.js";
import type { ExpiredLeasePolicy } from "./expired-lease-policy.js";
import { type ProxyRequest, requestPath } from "./proxy-request.js";

/** Decides by the lease of the view and the policy for expired leases. Stateless. */
export class ServingView {
  private readonly clusterView: ClusterView;
  private readonly expiredLeasePolicy: ExpiredLeasePolicy;
  private readonly egress: LinkPacer;

  constructor(clusterView: ClusterView, expiredLeasePolicy: ExpiredLeasePolicy, egress: LinkPacer) {
    this.clusterView = clusterView;
    this.expiredLeasePolicy = expiredLeasePolicy;
    this.egress = egress;
  }

  /** Whether requests can be routed at all. With an expired lease only repeatable requests are served. */
  get isUsable(): boolean {
    return (
      this.clusterView.configSequence > 0 &&
      (this.clusterView.holdsLease || this.expiredLeasePolicy.allows(this.clusterView.expiredForMs))
    );
  }

  /** Whether a request may be sent now: the lease must last until the request has left the link. */
  maySend(clientRequest: ProxyRequest, { repeatable }: ActiveRoute): boolean {
    const remainingMs = this.clusterView.leaseRemainingMs - this.egressDelayMs(clientRequest);
    return remainingMs > 0 || (repeatable && this.expiredLeasePolicy.allows(-remainingMs));
  }

  /** Expected time until a request that is sent now has left the link. */
  egressDelayMs({ body }: ProxyRequest): number {
    return this.egress.queueMs + this.egress.transferMs(body.length);
  }

  /** The route that matches a request in the current configuration. */
  routeFor(clientRequest: ProxyRequest): ActiveRoute | undefined {
    return this.clusterView.routeTable.find(
      clientRequest.method,
      requestPath(clientRequest),
      clientRequest.headers["host"] ?? "",
    );
  }
}
