import { RpcMethod } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import type { Task } from "../../runtime/task.js";
import { KeyedOutcome, type KeyedRequest } from "./keyed-outcome.js";
import type { OutcomeCache } from "./outcome-cache.js";

/** A member of the replicated log that keeps outcomes for others. */
export interface OutcomeReplica {
  readonly peer: string;
  readonly zone: string;
}

/** Whom a daemon may have keep outcomes beside itself. */
export interface OutcomeReplicas {
  readonly members: readonly OutcomeReplica[];
  /** The leader has enough to do: others are asked where there are any. */
  readonly leader: string;
  readonly zone: string;
}

/** How long a member may take to keep an outcome, and a daemon to tell one that it keeps. */
const keepWaitMs = 400;
const findWaitMs = 400;

/** A number that differs from scope to scope: the last digits of what is a hash already. */
const drawOf = (scope: string): number => Number.parseInt(scope.slice(-6), 16) || 0;

/**
 * Keeps what became of keyed requests beside the replicated log. The log holds the claim of a key only, and who knows the rest:
 * the daemon that the request went through, and for its response a member of the log other than the leader, of that daemon's
 * zone where there is one.
 */
export class OutcomeReplicator {
  private readonly rpc: RpcEndpoint;
  private readonly store: OutcomeCache;
  private readonly others: () => OutcomeReplicas;

  constructor(rpc: RpcEndpoint, store: OutcomeCache, others: () => OutcomeReplicas) {
    this.rpc = rpc;
    this.store = store;
    this.others = others;
  }

  /** Keeps responses for other daemons, and tells outcomes. */
  serve(): void {
    const { store } = this;
    this.rpc.serve(RpcMethod.keepOutcome, function* ({ scope, job, ...message }) {
      const outcome = KeyedOutcome.read(message);
      if (outcome) store.note({ scope, job }, outcome);
      return { isKept: outcome !== undefined };
    });
    this.rpc.serve(RpcMethod.keyedOutcome, function* (request) {
      return KeyedOutcome.message(store.find(request));
    });
  }

  /** Who will know what becomes of a request: this daemon first, then the member that is to keep its response. */
  holdersFor(scope: string): string[] {
    const member = this.memberFor(scope);
    return member === undefined ? [this.rpc.self] : [this.rpc.self, member];
  }

  /** Notes here what became of a request. */
  note(request: KeyedRequest, outcome: KeyedOutcome): void {
    this.store.note(request, outcome);
  }

  /** Has the other holders keep what became of a request. */
  *share({ scope, job }: KeyedRequest, outcome: KeyedOutcome, holders: readonly string[]): Task {
    for (const holder of holders)
      if (holder !== this.rpc.self)
        yield* this.rpc.call(
          holder,
          RpcMethod.keepOutcome,
          { scope, job, ...KeyedOutcome.message(outcome) },
          keepWaitMs,
        );
  }

  /**
   * What became of a request, as the first of its holders that knows tells it. `unknown`: the daemon that it went through knows
   * no more of it, and no other holder does. `unreachable`: that daemon didn't answer, and no other holder knows.
   */
  *find(
    request: KeyedRequest,
    holders: readonly string[],
  ): Task<KeyedOutcome | "unknown" | "unreachable"> {
    const own = this.store.find(request);
    if (own) return own;
    const { scope, job } = request;
    let isOwnerReached = false;
    for (const holder of holders) {
      const isOwner = holder === holders[0];
      if (holder === this.rpc.self) {
        isOwnerReached ||= isOwner;
        continue;
      }
      const answer = yield* this.rpc.call(
        holder,
        RpcMethod.keyedOutcome,
        { scope, job },
        findWaitMs,
      );
      const outcome = answer && KeyedOutcome.read(answer);
      if (outcome) return outcome;
      isOwnerReached ||= isOwner && answer !== undefined;
    }
    return isOwnerReached ? "unknown" : "unreachable";
  }

  /** Which member keeps the response of a scope's request, spread evenly. */
  private memberFor(scope: string): string | undefined {
    const { members, leader, zone } = this.others();
    const others = members.filter(({ peer }) => peer !== this.rpc.self);
    const following = others.filter(({ peer }) => peer !== leader);
    const near = following.filter((member) => member.zone === zone);
    const pool = [near, following, others].find((one) => one.length > 0) ?? [];
    return pool[drawOf(scope) % pool.length]?.peer;
  }
}
