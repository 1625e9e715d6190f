/** The single owner of a node's consensus state. */
import { becomeFollower } from "../consensus/follow.js";
import { isLeading } from "../consensus/leadership.js";
import type { MemberRights } from "../consensus/member-rights.js";
import { currentMemberRights } from "../consensus/rights.js";
import type { ConsensusState, DecisionContext } from "../consensus/state.js";

/** Holds the consensus state; every new value comes from a pure function of `consensus/`. */
export class ConsensusOwner {
  private state: ConsensusState;
  private readonly readContext: () => DecisionContext;

  /** Begins with a state; `readContext` gives what decisions know beside it at the moment of a call. */
  constructor(state: ConsensusState, readContext: () => DecisionContext) {
    this.state = state;
    this.readContext = readContext;
  }

  get current(): ConsensusState {
    return this.state;
  }

  /** What decisions know beside the state now. */
  get context(): DecisionContext {
    return this.readContext();
  }

  /** What this member may do now. */
  get rights(): MemberRights {
    return currentMemberRights(this.state, this.context);
  }

  update(state: ConsensusState): void {
    this.state = state;
  }

  /** Becomes a follower in a term, under a leader or, where the text is empty, under none that is known. */
  follow(term: number, leader: string): void {
    this.state = becomeFollower(this.state, term, leader, this.context.nowMs);
  }

  /** Whether this member leads in a term. */
  isLeadingIn(term: number): boolean {
    return isLeading(this.state, term);
  }

  /** Whether a machine is a voter or a learner. */
  isMember(machine: string): boolean {
    const { voters, learners } = this.state.members;
    return voters.includes(machine) || learners.includes(machine);
  }
}
