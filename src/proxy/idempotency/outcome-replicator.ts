/** Replication of the outcomes of keyed requests, separate from the replicated log. */
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

/** The replicas that a daemon may choose from. */
export interface OutcomeReplicas {
  readonly members: readonly OutcomeReplica[];
  /** The leader. To limit its load, it stores outcomes only if there is no other replica. */
  readonly leader: string;
  readonly zone: string;
}

/** Timeouts for storing an outcome at a replica and for looking one up at a daemon. */
const STORE_TIMEOUT_MS = 400;
const LOOKUP_TIMEOUT_MS = 400;
/** Number of hexadecimal digits of a scope that choose its replica. */
const REPLICA_DRAW_DIGITS = 6;

/** A number derived from the last digits of a scope, which is a hash and therefore evenly distributed. */
const replicaDraw = (scope: string): number =>
  Number.parseInt(scope.slice(-REPLICA_DRAW_DIGITS), 16) || 0;

/**
 * Stores and finds the outcomes of keyed requests. The log stores only the claim of a key and the holders of its outcome.
 * The holders are the daemon that handled the request and, for the response, a replica of the log: preferably one in the
 * daemon's zone, and the leader only if there is no other.
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

  /** The size of the outcomes that this daemon stores, in bytes. */
  get storedBytes(): number {
    return this.cache.storedBytes;
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

  /** The holders of a request's outcome: this daemon first, then the replica that stores its response. */
  holdersFor(scope: string): string[] {
    const replica = this.chooseReplica(scope);
    return replica === undefined ? [this.rpc.self] : [this.rpc.self, replica];
  }

  /** Stores an outcome in this daemon's cache. */
  storeLocally(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.cache.store(request, outcome);
  }

  /** Sends an outcome to the other holders. */
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
   * Looks up an outcome at its holders in order. `unknown`: the daemon that handled the request has no record of it, and
   * neither has another holder. `unreachable`: that daemon didn't respond, and no other holder has the outcome.
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

  /** Chooses the replica that stores the response for a scope; scopes are distributed evenly. */
  private chooseReplica(scope: string): string | undefined {
    const { members, leader, zone } = this.replicas();
    const otherReplicas = members.filter(({ peer }) => peer !== this.rpc.self);
    const followers = otherReplicas.filter(({ peer }) => peer !== leader);
    const sameZone = followers.filter((member) => member.zone === zone);
    const candidates = [sameZone, followers, otherReplicas].find((group) => group.length > 0) ?? [];
    return candidates[replicaDraw(scope) % candidates.length]?.peer;
  }
}
