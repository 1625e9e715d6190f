/** A node's own membership: the node requests it, and ends it before the process stops. */
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import type { Runtime } from "../../runtime/runtime.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import { MembershipJoin } from "./membership-join.js";
import { MembershipLeave } from "./membership-leave.js";

/** The dependencies of a node's own membership. */
export interface OwnMembershipOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly consensus: ConsensusOwner;
  readonly formation: { readonly fleet: string };
  readonly snapshots: { readonly installedCount: number };
  /** Time without a leader's request after which a node requests membership again, in ms. */
  readonly replaceAfterMs: number;
  /** Addresses, other than the known leader's, of nodes that may be the leader or know its address. */
  readonly contacts: () => readonly string[];
}

/** Creates the tasks by which a node joins and leaves the members. */
export class OwnMembership {
  private readonly options: OwnMembershipOptions;

  constructor(options: OwnMembershipOptions) {
    this.options = options;
  }

  /** The known leader's address, or an empty string. */
  get leader(): string {
    const { role, self, knownLeader } = this.options.consensus.current;
    return role === "leader" ? self : knownLeader;
  }

  /** Creates the task that requests membership from the leader. */
  createJoin(): MembershipJoin {
    const { runtime, rpc, consensus, snapshots, contacts } = this.options;
    const request = (): string | undefined => this.request;
    return new MembershipJoin(runtime, rpc, {
      self: consensus.current.self,
      get request() {
        return request();
      },
      get installedSnapshots() {
        return snapshots.installedCount;
      },
      get contacts() {
        return [consensus.current.knownLeader, ...contacts()];
      },
    });
  }

  /** Creates the task that reports to the leader that this node is about to stop. */
  createLeave(): MembershipLeave {
    const { runtime, rpc, consensus } = this.options;
    const leader = (): string => this.leader;
    return new MembershipLeave(runtime, rpc, {
      self: consensus.current.self,
      get leader() {
        return leader();
      },
      get lastIndex() {
        return consensus.current.log.lastIndex;
      },
    });
  }

  /** The command that the leader must execute to make this node a full member; `undefined` if none is needed. */
  private get request(): string | undefined {
    const { runtime, consensus, formation, replaceAfterMs } = this.options;
    const { self, role, rejoinNonce, lastAppendMs } = consensus.current;
    if (rejoinNonce !== "")
      return JSON.stringify({ kind: "rejoin", machine: self, nonce: rejoinNonce });
    const noContactMs = runtime.clock.nowMs() - lastAppendMs;
    if (role === "leader" || noContactMs <= replaceAfterMs) return undefined;
    return JSON.stringify({ kind: "join", machine: self, fleet: formation.fleet });
  }
}
