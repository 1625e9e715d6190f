/** What a node has to do about its own membership: to ask for it, and to end it before the process stops. */
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import type { Runtime } from "../../runtime/runtime.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import { MembershipJoin } from "./membership-join.js";
import { MembershipLeave } from "./membership-leave.js";

/** What a node's own membership works with. */
export interface OwnMembershipOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly consensus: ConsensusOwner;
  readonly formation: { readonly fleet: string };
  readonly snapshots: { readonly installedCount: number };
  /** How long a node waits for a leader until it asks to be a member again. */
  readonly replaceAfterMs: number;
  /** Addresses beside the known leader that may lead or know who does. */
  readonly contacts: () => readonly string[];
}

/** The node as one that joins and leaves. */
export class OwnMembership {
  private readonly options: OwnMembershipOptions;

  constructor(options: OwnMembershipOptions) {
    this.options = options;
  }

  /** The leader's address as far as it is known, or an empty text. */
  get leader(): string {
    const { role, self, knownLeader } = this.options.consensus.current;
    return role === "leader" ? self : knownLeader;
  }

  /** The process by which this node asks the leader for its membership. */
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

  /** The process by which this node tells the leader that it is about to stop. */
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

  /** The command that the leader must carry out so that this node is a member that counts, or nothing. */
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
