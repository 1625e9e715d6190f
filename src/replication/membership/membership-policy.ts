/**
 * Decides when which member of the replicated log is replaced. Pure: it reads what the leader knows at one moment and returns
 * the next change of membership, one member at a time.
 *
 * Order matters for availability. A lost voter is demoted before its successor, which has just started, is promoted: of 2f + 1
 * voters f + 1 are a majority, and so they are of the 2f that remain, so that no step needs more members than are responsive
 * already, nor the new one. A voter that may still recover, or still responds, is replaced the other way round where the
 * learner has been responsive for long: of 2f + 2 voters f + 2 are a majority, which remain after the loss of any f. Two
 * successive groups differ by one voter, so any two of their majorities share a member.
 */

/** What the leader knows of a member since it began to lead; of itself, that it is responsive and what is on its own disk. */
export interface MemberProgress {
  /** The time since the last request was sent that the member acknowledged; since the leader began to lead where none was. */
  readonly unresponsiveMs: number;
  /** Whether the member acknowledged anything under this leader; only those that have all they ever acknowledged do. */
  readonly hasAcknowledged: boolean;
  /** For how long the member has acknowledged this leader's requests, from the first one on. */
  readonly responsiveMs: number;
  /** The index up to which the member's log is known to match the leader's. */
  readonly matchIndex: number;
}

/** The durations that decide when a member counts as lost. */
export interface MembershipTimeouts {
  /** How long a member may be without an acknowledgment and still count as responsive. */
  readonly responsiveWithinMs: number;
  /** How long a voter is unresponsive until it is replaced. */
  readonly replaceAfterMs: number;
  /** How long a learner must have been responsive so that losing it would count as one more failure. */
  readonly responsiveAfterMs: number;
  /** How long a learner is unresponsive until it is removed. */
  readonly forgetAfterMs: number;
}

/** All that a decision about the membership rests on. */
export interface MembershipView {
  readonly self: string;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Members that reported that they are about to stop. */
  readonly stopping: ReadonlySet<string>;
  readonly wantedVoters: number;
  readonly committedIndex: number;
  progressOf(member: string): MemberProgress;
  readonly timeouts: MembershipTimeouts;
}

/** One change of the membership, and why it is made. */
export type MembershipChange =
  | { readonly kind: "promote"; readonly member: string; readonly reason: string }
  | { readonly kind: "demote"; readonly member: string; readonly reason: string }
  | { readonly kind: "remove"; readonly member: string; readonly reason: string };

/** How many entries a learner may lack and still be promoted; it gets them with the next request. */
const MAX_READY_LAG_ENTRIES = 64;

const majoritySize = (voters: number): number => Math.floor(voters / 2) + 1;

const isResponsive = (view: MembershipView, member: string): boolean => {
  const { hasAcknowledged, unresponsiveMs } = view.progressOf(member);
  return hasAcknowledged && unresponsiveMs < view.timeouts.responsiveWithinMs;
};

const isLost = (view: MembershipView, member: string): boolean =>
  view.progressOf(member).unresponsiveMs > view.timeouts.replaceAfterMs;

const isReady = (view: MembershipView, learner: string): boolean =>
  !view.stopping.has(learner) &&
  isResponsive(view, learner) &&
  view.progressOf(learner).matchIndex + MAX_READY_LAG_ENTRIES >= view.committedIndex;

/** Whether the responsive members are a majority of a group of voters. */
const hasMajority = (view: MembershipView, voters: readonly string[]): boolean =>
  voters.filter((voter) => isResponsive(view, voter)).length >= majoritySize(voters.length);

const demote = (
  view: MembershipView,
  member: string,
  reason: string,
): MembershipChange | undefined =>
  hasMajority(
    view,
    view.voters.filter((voter) => voter !== member),
  )
    ? { kind: "demote", member, reason }
    : undefined;

const promote = (
  view: MembershipView,
  member: string,
  reason: string,
): MembershipChange | undefined =>
  hasMajority(view, [...view.voters, member]) ? { kind: "promote", member, reason } : undefined;

/** Demotes a voter too many: one that is about to stop first, then one that is lost. */
const removeSurplusVoter = (view: MembershipView): MembershipChange | undefined => {
  const stopping = view.voters.find((voter) => voter !== view.self && view.stopping.has(voter));
  if (stopping !== undefined) return demote(view, stopping, "stopping, and enough voters remain");
  const lost = view.voters.find((voter) => isLost(view, voter));
  return lost === undefined
    ? undefined
    : demote(view, lost, "unresponsive, and enough voters remain");
};

/** Replaces a voter that is lost or about to stop by a learner that is ready. */
const replaceVoter = (view: MembershipView, ready: string): MembershipChange | undefined => {
  const lost = view.voters.find((voter) => isLost(view, voter));
  if (lost !== undefined && view.progressOf(ready).responsiveMs >= view.timeouts.responsiveAfterMs)
    return promote(view, ready, `replaces ${lost}, which is unresponsive`);
  if (lost !== undefined)
    return demote(view, lost, `unresponsive, and ${ready} is ready to replace it`);
  const stopping = view.voters.find((voter) => voter !== view.self && view.stopping.has(voter));
  if (stopping === undefined || !view.voters.every((voter) => isResponsive(view, voter)))
    return undefined;
  return promote(view, ready, `replaces ${stopping}, which is stopping`);
};

const removeLostLearner = (view: MembershipView): MembershipChange | undefined => {
  const member = view.learners.find(
    (learner) => view.progressOf(learner).unresponsiveMs > view.timeouts.forgetAfterMs,
  );
  return member === undefined
    ? undefined
    : { kind: "remove", member, reason: "unresponsive for long" };
};

/** The policy by which a leader changes the members. */
export const MembershipPolicy = {
  /** The next change of the membership, or none. */
  nextChange(view: MembershipView): MembershipChange | undefined {
    const { voters, learners, wantedVoters } = view;
    const ready = learners.find((learner) => isReady(view, learner));
    if (voters.length > wantedVoters) return removeSurplusVoter(view) ?? removeLostLearner(view);
    if (ready === undefined) return removeLostLearner(view);
    if (voters.length < wantedVoters) return promote(view, ready, "too few voters");
    return replaceVoter(view, ready) ?? removeLostLearner(view);
  },

  /** The group after a change. */
  applyChange(
    { voters, learners }: Pick<MembershipView, "voters" | "learners">,
    change: MembershipChange,
  ): { voters: string[]; learners: string[] } {
    const { kind, member } = change;
    const without = (members: readonly string[]): string[] =>
      members.filter((one) => one !== member);
    switch (kind) {
      case "promote":
        return { voters: [...voters, member], learners: without(learners) };
      case "demote":
        return { voters: without(voters), learners: [...learners, member] };
      case "remove":
        return { voters: without(voters), learners: without(learners) };
    }
  },

  /** Whether a majority of the voters has what is committed, and all up to an index, without counting one of them. */
  isReplicatedWithout(view: MembershipView, stopping: string, index: number): boolean {
    const neededIndex = Math.max(view.committedIndex, index);
    const holders = view.voters.filter(
      (voter) =>
        voter !== stopping &&
        isResponsive(view, voter) &&
        view.progressOf(voter).matchIndex >= neededIndex,
    );
    return holders.length >= majoritySize(view.voters.length);
  },
};
