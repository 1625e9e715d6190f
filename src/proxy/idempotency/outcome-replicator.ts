/** Replication of the outcomes of keyed requests beside the replicated log. */
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import type { Task } from "../../runtime/task.js";
import {
  type KeyedOutcome,
  decodeKeyedOutcome,
  encodeKeyedOutcome,
  type KeyedRequest,
} from "./keyed-outcome.js";
import type { OutcomeCache } from "./outcome-cache.js";

/** A replica of the log that stores outcomes for other daemons. */
export interface OutcomeReplica {
  readonly peer: string;
  readonly zone: string;
}

/** Which replicas a daemon may choose from. */
export interface OutcomeReplicas {
  readonly members: readonly OutcomeReplica[];
  /** The leader, which has enough to do: it stores outcomes only where no other replica does. */
  readonly leader: string;
  readonly zone: string;
}

/** How long a replica may take to store an outcome, and a daemon to look one up. */
const STORE_TIMEOUT_MS = 400;
const LOOKUP_TIMEOUT_MS = 400;
/** How many hexadecimal digits of a scope choose its replica. */
const REPLICA_DRAW_DIGITS = 6;

/** A number that differs from scope to scope: the last digits of what is a hash already. */
const replicaDraw = (scope: string): number =>
  Number.parseInt(scope.slice(-REPLICA_DRAW_DIGITS), 16) || 0;

/**
 * Stores and finds the outcomes of keyed requests. The log stores the claim of a key only, and the holders of its outcome:
 * the daemon that the request went through, and for its response a replica of the log other than the leader, in that
 * daemon's zone where there is one.
 */
export class OutcomeReplicator {
  private readonly rpc: RpcEndpoint;
  private readonly cache: OutcomeCache;
  private readonly replicas: () => OutcomeReplicas;

  constructor(rpc: RpcEndpoint, cache: OutcomeCache, replicas: () => OutcomeReplicas) {
    this.rpc = rpc;
    this.cache = cache;
    this.replicas = replicas;
  }

  /** Serves the requests of other daemons to store outcomes and to look them up. */
  serve(): void {
    const { cache } = this;
    this.rpc.serve(rpcMethods.replicateOutcome, function* ({ scope, job, ...message }) {
      const outcome = decodeKeyedOutcome(message);
      if (outcome) cache.store({ scope, requestId: job }, outcome);
      return { isKept: outcome !== undefined };
    });
    this.rpc.serve(rpcMethods.keyedOutcome, function* ({ scope, job }) {
      return encodeKeyedOutcome(cache.find({ scope, requestId: job }));
    });
  }

  /** The holders of a request's outcome: this daemon first, then the replica that is to store its response. */
  holdersFor(scope: string): string[] {
    const replica = this.replicaFor(scope);
    return replica === undefined ? [this.rpc.self] : [this.rpc.self, replica];
  }

  /** Stores an outcome at this daemon. */
  storeLocally(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.cache.store(request, outcome);
  }

  /** Has the other holders store an outcome. */
  *replicate(
    { scope, requestId }: KeyedRequest,
    outcome: KeyedOutcome,
    holders: readonly string[],
  ): Task {
    for (const holder of holders) {
      if (holder === this.rpc.self) continue;
      yield* this.rpc.call(
        holder,
        rpcMethods.replicateOutcome,
        { scope, job: requestId, ...encodeKeyedOutcome(outcome) },
        STORE_TIMEOUT_MS,
      );
    }
  }

  /**
   * Looks up an outcome at its holders in their order. `unknown`: the daemon that the request went through has no record of
   * it, nor has another holder. `unreachable`: that daemon didn't respond, and no other holder has the outcome.
   */
  *find(
    request: KeyedRequest,
    holders: readonly string[],
  ): Task<KeyedOutcome | "unknown" | "unreachable"> {
    const stored = this.cache.find(request);
    if (stored) return stored;
    const { scope, requestId } = request;
    const [owner] = holders;
    let isOwnerReached = false;
    for (const holder of holders) {
      if (holder === this.rpc.self) {
        isOwnerReached ||= holder === owner;
        continue;
      }
      const response = yield* this.rpc.call(
        holder,
        rpcMethods.keyedOutcome,
        { scope, job: requestId },
        LOOKUP_TIMEOUT_MS,
      );
      const outcome = response && decodeKeyedOutcome(response);
      if (outcome) return outcome;
      isOwnerReached ||= holder === owner && response !== undefined;
    }
    return isOwnerReached ? "unknown" : "unreachable";
  }

  /** Which replica stores the response of a scope's request; scopes are spread evenly. */
  private replicaFor(scope: string): string | undefined {
    const { members, leader, zone } = this.replicas();
    const others = members.filter(({ peer }) => peer !== this.rpc.self);
    const followers = others.filter(({ peer }) => peer !== leader);
    const sameZone = followers.filter((member) => member.zone === zone);
    const candidates = [sameZone, followers, others].find((group) => group.length > 0) ?? [];
    return candidates[replicaDraw(scope) % candidates.length]?.peer;
  }
}
