/** Changes the members of the replicated log, as its leader. */
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

/** What a membership manager works with. */
export interface MembershipManagerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly location: NodeLocation;
  readonly consensus: ConsensusOwner;
  readonly timeouts: ReplicationTimeouts;
  readonly leaderLog: LeaderLog;
}

/** The requests for a change of membership, and the changes that the policy makes. */
export class MembershipManager {
  private readonly options: MembershipManagerOptions;
  /** Machines that asked to be learners, until a change of membership may be made. */
  private readonly requestedLearners: LearnerRequest[] = [];
  /** Until when each member that is about to stop counts as such, unless it reports again. */
  private readonly stoppingUntilMs = new Map<string, number>();

  constructor(options: MembershipManagerOptions) {
    this.options = options;
  }

  /** Adds a machine as a learner, unless it is a member, as soon as the members may change. */
  requestLearner(learner: LearnerRequest): void {
    if (this.options.consensus.current.role !== "leader") return learner.respond(false);
    this.requestedLearners.push(learner);
    this.addRequestedLearners();
  }

  /** Adds the requested learners, each once the change of membership before it is committed. */
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

  /** Reports to all requested learners that they weren't added. */
  rejectLearners(): void {
    for (const { respond } of this.requestedLearners.splice(0)) respond(false);
  }

  /** Notes that a member is about to stop; returns its status, or nothing where this node doesn't lead. */
  markStopping(machine: string, lastIndex: number): LeaveStatus | undefined {
    const { clock, consensus, timeouts } = this.options;
    const { role, members, membersIndex, committedIndex, log } = consensus.current;
    if (role !== "leader") return undefined;
    const nowMs = clock.nowMs();
    this.stoppingUntilMs.set(machine, nowMs + timeouts.electionMaxMs);
    const view = this.viewSince(nowMs);
    return {
      isVoter: members.voters.includes(machine) || membersIndex > committedIndex,
      isHeld: MembershipPolicy.isReplicatedWithout(
        view,
        machine,
        Math.min(lastIndex, log.lastIndex),
      ),
    };
  }

  /** The members that reported lately that they are about to stop. */
  stoppingMembers(): Set<string> {
    const nowMs = this.options.clock.nowMs();
    const stopping = [...this.stoppingUntilMs].filter(([, untilMs]) => untilMs > nowMs);
    return new Set(stopping.map(([peer]) => peer));
  }

  /** Makes the next change that the policy wants, once the change before and an entry of this term are committed. */
  review(leadingSinceMs: number): void {
    const { log, consensus } = this.options;
    if (!mayChangeMembers(consensus.current, consensus.context)) return;
    const appendMembers = MembershipPolicy.nextChange(this.viewSince(leadingSinceMs));
    if (!appendMembers) return;
    const { kind, member, reason } = appendMembers;
    log.warn("membership change", { appendMembers: kind, member, why: reason });
    this.appendMembers(MembershipPolicy.applyChange(consensus.current.members, appendMembers));
  }

  private appendMembers(members: Members): void {
    this.options.leaderLog.append([membersEntryText(members)]);
  }

  /** What this leader knows of the members; a member that never answered counts as unresponsive since a moment. */
  private viewSince(leadingSinceMs: number): MembershipView {
    const { clock, location, consensus, timeouts } = this.options;
    const nowMs = clock.nowMs();
    const { self, members, committedIndex, syncedIndex, matchIndexes: matched } = consensus.current;
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
              matchIndex: matched.get(member) ?? 0,
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
