/** Changes the members of the replicated log while this node is the leader. */
import { mayChangeMembers, membersEntryText } from "../../consensus/membership-change.js";
import type { Members } from "../../consensus/members.js";
import type { Clock } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import { type NodeLocation, wantedVoterCount } from "../bootstrap/node-location.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LeaderLog } from "../leadership/leader-log.js";
import type { LearnerRequest } from "../node-event.js";
import type { ReplicationTimeouts } from "../replication-timeouts.js";
import type { LeaveStatus } from "./membership-leave.js";
import { MembershipPolicy, type MembershipView } from "./membership-policy.js";

/** The dependencies of a membership manager. */
export interface MembershipManagerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly location: NodeLocation;
  readonly consensus: ConsensusOwner;
  readonly timeouts: ReplicationTimeouts;
  readonly leaderLog: LeaderLog;
}

/** Executes requested membership changes and those that the policy decides on. */
export class MembershipManager {
  private readonly options: MembershipManagerOptions;
  /** Machines that requested to become learners and wait until the members may change. */
  private readonly requestedLearners: LearnerRequest[] = [];
  /** When each stopping member ceases to count as stopping, unless it reports again. */
  private readonly stoppingUntilMs = new Map<string, number>();

  constructor(options: MembershipManagerOptions) {
    this.options = options;
  }

  /** Adds a machine as a learner as soon as the members may change, unless it is a member. */
  requestLearner(learner: LearnerRequest): void {
    if (this.options.consensus.current.role !== "leader") return learner.respond(false);
    this.requestedLearners.push(learner);
    this.addRequestedLearners();
  }

  /** Adds the requested learners, each once the previous membership change is committed. */
  addRequestedLearners(): void {
    const { consensus } = this.options;
    for (let next = this.requestedLearners[0]; next; next = this.requestedLearners[0]) {
      const { machine, respond } = next;
      if (!consensus.isMember(machine)) {
        if (!mayChangeMembers(consensus.current, consensus.context)) return;
        const { voters, learners } = consensus.current.members;
        this.appendMembers({ voters, learners: [...learners, machine] });
      }
      this.requestedLearners.shift();
      respond(true);
    }
  }

  /** Rejects all requests that are still waiting. */
  rejectLearners(): void {
    for (const { respond } of this.requestedLearners.splice(0)) respond(false);
  }

  /** Marks a member as stopping; returns its status, or `undefined` if this node isn't the leader. */
  markStopping(machine: string, lastIndex: number): LeaveStatus | undefined {
    const { clock, consensus, timeouts } = this.options;
    const { role, members, membersIndex, committedIndex, log } = consensus.current;
    if (role !== "leader") return undefined;
    const nowMs = clock.nowMs();
    this.stoppingUntilMs.set(machine, nowMs + timeouts.electionMaxMs);
    const view = this.createView(nowMs);
    return {
      isVoter: members.voters.includes(machine) || membersIndex > committedIndex,
      isHeld: MembershipPolicy.isReplicatedWithout(
        view,
        machine,
        Math.min(lastIndex, log.lastIndex),
      ),
    };
  }

  /** Returns the members that are about to stop, by their recent reports. */
  stoppingMembers(): Set<string> {
    const nowMs = this.options.clock.nowMs();
    const stopping = [...this.stoppingUntilMs].filter(([, untilMs]) => untilMs > nowMs);
    return new Set(stopping.map(([peer]) => peer));
  }

  /** Makes the policy's next change, once the previous change and an entry of this term are committed. */
  review(leadingSinceMs: number): void {
    const { log, consensus } = this.options;
    if (!mayChangeMembers(consensus.current, consensus.context)) return;
    const change = MembershipPolicy.nextChange(this.createView(leadingSinceMs));
    if (!change) return;
    const { kind, member, reason } = change;
    log.warn("membership change", { change: kind, member, why: reason });
    this.appendMembers(MembershipPolicy.applyChange(consensus.current.members, change));
  }

  private appendMembers(members: Members): void {
    this.options.leaderLog.append([membersEntryText(members)]);
  }

  /** Creates the view for the policy; a member that never replied counts as unresponsive since `leadingSinceMs`. */
  private createView(leadingSinceMs: number): MembershipView {
    const { clock, location, consensus, timeouts } = this.options;
    const nowMs = clock.nowMs();
    const { self, members, committedIndex, syncedIndex, matchIndexes } = consensus.current;
    const { acknowledgedSentMs, responsiveSinceMs } = consensus.current;
    return {
      self,
      voters: members.voters,
      learners: members.learners,
      stopping: this.stoppingMembers(),
      wantedVoters: wantedVoterCount(location),
      committedIndex,
      progressOf: (member) =>
        member === self
          ? { unresponsiveMs: 0, hasAcknowledged: true, responsiveMs: 0, matchIndex: syncedIndex }
          : {
              unresponsiveMs:
                nowMs - Math.max(leadingSinceMs, acknowledgedSentMs.get(member) ?? leadingSinceMs),
              hasAcknowledged: acknowledgedSentMs.has(member),
              responsiveMs: nowMs - (responsiveSinceMs.get(member) ?? nowMs),
              matchIndex: matchIndexes.get(member) ?? 0,
            },
      timeouts: {
        responsiveWithinMs: timeouts.electionMaxMs,
        replaceAfterMs: timeouts.replaceAfterMs,
        responsiveAfterMs: timeouts.responsiveAfterMs,
        forgetAfterMs: timeouts.forgetAfterMs,
      },
    };
  }
}
