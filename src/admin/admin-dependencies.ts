/** The parts of a daemon that the endpoints of the admin API work with, and the timeouts they share. */
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import type { RequestCounts } from "../retry-budget/request-counts.js";
import type { RetryRules } from "../retry-budget/retry-rules.js";
import type { LinkPacer } from "../runtime/link-pacer.js";

/**
 * Timeout of a command that an endpoint forwards to the leader. Clients fail over to another daemon after a second
 * without a response, so an unknown outcome is reported before that; a repeat, to any daemon, tells more.
 */
export const COMMAND_TIMEOUT_MS = 800;

/** What the admin API reads from its own daemon. */
export interface DaemonStatusSource {
  /** The body of `GET /status`. */
  status(): Record<string, unknown>;
  /** Why the daemon is not ready; empty when it is. */
  notReadyReason(): string;
  /** The latest request counts of the fleet, their age and how many edges they cover. */
  counts():
    | { counts: RequestCounts; ageMs: number; coverage: { edges: number; oldestMs: number } }
    | undefined;
}

/** What an admin API is constructed with. */
export interface AdminDependencies {
  readonly forwarder: CommandForwarder;
  readonly clusterView: ClusterView;
  readonly loadBalancer: LoadBalancer;
  /** The link that responses leave by. */
  readonly egress: LinkPacer;
  /** The address of this daemon's own admin API, IP:port. */
  readonly ownAddress: string;
  readonly daemon: DaemonStatusSource;
  /** Upper limit on how long a configuration change may take until its outcome counts as unknown. */
  readonly changeTimeoutMs: number;
  readonly retryRules: RetryRules;
}
