/** The components of a daemon that the endpoints of the admin API use, and the timeout that they share. */
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import type { RequestCounts } from "../retry-budget/request-counts.js";
import type { RetryRules } from "../retry-budget/retry-rules.js";
import type { LinkPacer } from "../runtime/link-pacer.js";

/**
 * Timeout of a command that an endpoint forwards to the leader. Clients fail over to another daemon after a second
 * without a response, so an unknown outcome is reported earlier; a retry, at any daemon, can return the outcome.
 */
export const COMMAND_TIMEOUT_MS = 800;

/** The state of its own daemon that the admin API reads. */
export interface DaemonStatusSource {
  /** The body of `GET /status`. */
  status(): Record<string, unknown>;
  /** The reason why the daemon is not ready; empty if it is ready. */
  notReadyReason(): string;
  /** The latest request counts of the fleet, their age, and how many edges they cover; undefined before the first ones. */
  counts():
    | { counts: RequestCounts; ageMs: number; coverage: { edges: number; oldestMs: number } }
    | undefined;
}

/** The dependencies that an admin API is constructed with. */
export interface AdminDependencies {
  readonly forwarder: CommandForwarder;
  readonly clusterView: ClusterView;
  readonly loadBalancer: LoadBalancer;
  /** The pacer of the link on which responses are sent. */
  readonly egress: LinkPacer;
  /** The address of this daemon's own admin API, IP:port. */
  readonly ownAddress: string;
  readonly daemon: DaemonStatusSource;
  /** Maximum time after which the outcome of a configuration change counts as unknown. */
  readonly changeTimeoutMs: number;
  readonly retryRules: RetryRules;
}
