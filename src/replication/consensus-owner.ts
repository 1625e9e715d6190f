/** The single owner of a node's consensus state. */
import { becomeFollower } from "../consensus/follow.js";
import { isLeading } from "../consensus/leadership.js";
import type { MemberRights } from "../consensus/member-rights.js";
import { currentMemberRights } from "../consensus/rights.js";
import type { ConsensusState, DecisionContext } from "../consensus/state.js";

/** Owns the consensus state; every new state is the result of a pure function in `consensus/`. */
export class ConsensusOwner {
  private state: ConsensusState;
  private readonly readContext: () => DecisionContext;

  /** Starts with a state; `readContext` returns the current inputs of decisions other than the state. */
  constructor(state: ConsensusState, readContext: () => DecisionContext) {
    this.state = state;
    this.readContext = readContext;
  }

  get current(): ConsensusState {
    return this.state;
  }

  /** The current inputs of decisions other than the state. */
  get context(): DecisionContext {
    return this.readContext();
  }

  /** What this member may currently do. */
  get rights(): MemberRights {
    return currentMemberRights(this.state, this.context);
  }

  update(state: ConsensusState): void {
    this.state = state;
  }

  /** Becomes a follower in a term; `leader` is an empty string if the leader isn't known. */
  follow(term: number, leader: string): void {
    this.state = becomeFollower(this.state, term, leader, this.context.nowMs);
  }

  /** Whether this member is the leader of a term. */
  isLeadingIn(term: number): boolean {
    return isLeading(this.state, term);
  }

  /** Whether a machine is a voter or a learner. */
  isMember(machine: string): boolean {
    const { voters, learners } = this.state.members;
    return voters.includes(machine) || learners.includes(machine);
  }
}
