/**
 * Decides which member of the replicated log to replace, and when. The policy is pure: from the leader's current view it
 * computes the next membership change, which concerns one member.
 *
 * The order of the steps matters for availability. By default a lost voter is demoted before its successor, which has just
 * started, is promoted. A majority of 2f + 1 voters is f + 1, and so is a majority of the remaining 2f, so no step requires
 * more responsive members than there already are, and none requires the new member. If the learner has been responsive for
 * long (a lost voter may recover meanwhile), or the voter still responds, the learner is promoted first. A majority of
 * 2f + 2 voters is f + 2, which remain after the loss of any f. Two successive groups differ by one voter, so any majorities
 * of the two share a member.
 */

/**
 * A member's progress since the leader's election. For itself, the leader uses its synced index and counts as
 * responsive.
 */
export interface MemberProgress {
  /** Time since the last acknowledged request was sent; since the leader's election if none was acknowledged. */
  readonly unresponsiveMs: number;
  /**
   * Whether the member has acknowledged a request of this leader; a member that may lack entries that it acknowledged
   * doesn't.
   */
  readonly hasAcknowledged: boolean;
  /** Time since the first request of this leader that the member acknowledged. */
  readonly responsiveMs: number;
  /** The index up to which the member's log is known to match the leader's. */
  readonly matchIndex: number;
}

/** The durations that decide when a member counts as lost. */
export interface MembershipTimeouts {
  /** Maximum time without an acknowledgment for which a member counts as responsive. */
  readonly responsiveWithinMs: number;
  /** Time after which an unresponsive voter is replaced. */
  readonly replaceAfterMs: number;
  /**
   * Time after which a responsive learner may be promoted before the lost voter is demoted: its loss is then a further
   * failure.
   */
  readonly responsiveAfterMs: number;
  /** Time after which an unresponsive learner is removed. */
  readonly forgetAfterMs: number;
}

/** The inputs of a decision about the membership. */
export interface MembershipView {
  readonly self: string;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Members that have reported that they are about to stop. */
  readonly stopping: ReadonlySet<string>;
  readonly wantedVoters: number;
  readonly committedIndex: number;
  progressOf(member: string): MemberProgress;
  readonly timeouts: MembershipTimeouts;
}

/** A membership change of one member, and its reason. */
export type MembershipChange =
  | { readonly kind: "promote"; readonly member: string; readonly reason: string }
  | { readonly kind: "demote"; readonly member: string; readonly reason: string }
  | { readonly kind: "remove"; readonly member: string; readonly reason: string };

/** Maximum number of entries that a learner may lack and still be promoted; the next request contains them. */
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

/** Demotes a surplus voter: preferably one that is about to stop, otherwise one that is lost. */
const removeSurplusVoter = (view: MembershipView): MembershipChange | undefined => {
  const stopping = view.voters.find((voter) => voter !== view.self && view.stopping.has(voter));
  if (stopping !== undefined) return demote(view, stopping, "stopping, and enough voters remain");
  const lost = view.voters.find((voter) => isLost(view, voter));
  return lost === undefined
    ? undefined
    : demote(view, lost, "unresponsive, and enough voters remain");
};

/** Replaces a voter that is lost or about to stop with a ready learner. */
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
  /** Returns the next membership change, or `undefined`. */
  nextChange(view: MembershipView): MembershipChange | undefined {
    const { voters, learners, wantedVoters } = view;
    const ready = learners.find((learner) => isReady(view, learner));
    if (voters.length > wantedVoters) return removeSurplusVoter(view) ?? removeLostLearner(view);
    if (ready === undefined) return removeLostLearner(view);
    if (voters.length < wantedVoters) return promote(view, ready, "too few voters");
    return replaceVoter(view, ready) ?? removeLostLearner(view);
  },

  /** Returns the members after a change. */
  applyChange(
    { voters, learners }: Pick<MembershipView, "voters" | "learners">,
    change: MembershipChange,
  ): { voters: string[]; learners: string[] } {
    const { kind, member } = change;
    const exclude = (members: readonly string[]): string[] =>
      members.filter((other) => other !== member);
    switch (kind) {
      case "promote":
        return { voters: [...voters, member], learners: exclude(learners) };
      case "demote":
        return { voters: exclude(voters), learners: [...learners, member] };
      case "remove":
        return { voters: exclude(voters), learners: exclude(learners) };
    }
  },

  /**
   * Whether a majority of the voters, without counting one of them, has all entries up to the committed and a given
   * index.
   */
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
