/**
 * Decides which member of the replicated-log group is replaced when. Pure: it sees what the leader knows at one moment and
 * names the next change of membership, one member at a time.
 *
 * Order matters for availability. A voter that is lost is demoted before its successor, which has just started, is promoted: of
 * 2f + 1 voters f + 1 are a majority, and so they are of the 2f that remain, so that no step needs more members than answer
 * already, nor the new one. A voter that may still come back, or still answers, is replaced the other way round where the
 * learner is proven: of 2f + 2 voters f + 2 are a majority, which are left after the loss of any f. Two groups that follow on each other differ by one voter, so any two of their majorities share a member.
 */

/** What the leader knows of a member since it began to lead; of itself, that it answers and what its own disk holds. */
export interface MemberProgress {
  /** How long ago the last request was sent that the member acknowledged; since the leader began to lead where none was. */
  readonly silentMs: number;
  /** Whether the member acknowledged anything under this leader; only those that hold all they ever acknowledged do. */
  readonly answered: boolean;
  /** For how long the member has acknowledged this leader's requests, from the first one on. */
  readonly provenMs: number;
  /** Up to which index the member's log is known to be the leader's. */
  readonly matchedIndex: number;
}

/** The waits that decide when a member counts as lost. */
export interface MembershipTimeouts {
  /** How long a member may be silent and still be taken for one that answers. */
  readonly answersWithinMs: number;
  /** How long a voter is silent until it is replaced. */
  readonly replaceAfterMs: number;
  /** How long a learner must have answered so that its own loss would count as one more. */
  readonly responsiveAfterMs: number;
  /** How long a learner is silent until it is removed from the group. */
  readonly forgetAfterMs: number;
}

/** All that a decision about the membership rests on. */
export interface MembershipView {
  readonly self: string;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  /** Members that have told the leader that they are about to stop. */
  readonly leaving: ReadonlySet<string>;
  readonly wantedVoters: number;
  readonly committedIndex: number;
  progressOf(member: string): MemberProgress;
  readonly waits: MembershipTimeouts;
}

/** One change of the membership, and why it is made. */
export type MembershipChange =
  | { readonly kind: "promote"; readonly member: string; readonly why: string }
  | { readonly kind: "demote"; readonly member: string; readonly why: string }
  | { readonly kind: "remove"; readonly member: string; readonly why: string };

/** How many entries a learner may lack and still be promoted; it gets them with the next request. */
const readyWithinEntries = 64;

const majorityOf = (voters: number): number => Math.floor(voters / 2) + 1;

const answers = (view: MembershipView, member: string): boolean => {
  const { answered, silentMs } = view.progressOf(member);
  return answered && silentMs < view.waits.answersWithinMs;
};

const isLost = (view: MembershipView, member: string): boolean =>
  view.progressOf(member).silentMs > view.waits.replaceAfterMs;

const isReady = (view: MembershipView, learner: string): boolean =>
  !view.leaving.has(learner) &&
  answers(view, learner) &&
  view.progressOf(learner).matchedIndex + readyWithinEntries >= view.committedIndex;

/** Whether the members that answer are a majority of a group of voters. */
const hasMajority = (view: MembershipView, voters: readonly string[]): boolean =>
  voters.filter((voter) => answers(view, voter)).length >= majorityOf(voters.length);

const demotion = (
  view: MembershipView,
  member: string,
  why: string,
): MembershipChange | undefined =>
  hasMajority(
    view,
    view.voters.filter((voter) => voter !== member),
  )
    ? { kind: "demote", member, why }
    : undefined;

const promotion = (
  view: MembershipView,
  member: string,
  why: string,
): MembershipChange | undefined =>
  hasMajority(view, [...view.voters, member]) ? { kind: "promote", member, why } : undefined;

/** A voter too many: one that leaves goes first, then one that is lost. */
const surplus = (view: MembershipView): MembershipChange | undefined => {
  const leaving = view.voters.find((voter) => voter !== view.self && view.leaving.has(voter));
  if (leaving !== undefined) return demotion(view, leaving, "it leaves, and others are enough");
  const lost = view.voters.find((voter) => isLost(view, voter));
  return lost === undefined
    ? undefined
    : demotion(view, lost, "it is silent, and others are enough");
};

/** A voter that is lost or leaves gives its place to a learner that is ready. */
const exchange = (view: MembershipView, ready: string): MembershipChange | undefined => {
  const lost = view.voters.find((voter) => isLost(view, voter));
  if (lost !== undefined && view.progressOf(ready).provenMs >= view.waits.responsiveAfterMs)
    return promotion(view, ready, `it takes the place of ${lost}, which is silent`);
  if (lost !== undefined)
    return demotion(view, lost, `it is silent, and ${ready} is ready to take its place`);
  const leaving = view.voters.find((voter) => voter !== view.self && view.leaving.has(voter));
  if (leaving === undefined || !view.voters.every((voter) => answers(view, voter)))
    return undefined;
  return promotion(view, ready, `it takes the place of ${leaving}, which leaves`);
};

const forgotten = (view: MembershipView): MembershipChange | undefined => {
  const member = view.learners.find(
    (learner) => view.progressOf(learner).silentMs > view.waits.forgetAfterMs,
  );
  return member === undefined
    ? undefined
    : { kind: "remove", member, why: "it has been silent for long" };
};

export const MembershipPolicy = {
  /** The next change of the membership, or none. */
  next(view: MembershipView): MembershipChange | undefined {
    const { voters, learners, wantedVoters } = view;
    const ready = learners.find((learner) => isReady(view, learner));
    if (voters.length > wantedVoters) return surplus(view) ?? forgotten(view);
    if (ready === undefined) return forgotten(view);
    if (voters.length < wantedVoters) return promotion(view, ready, "there are too few voters");
    return exchange(view, ready) ?? forgotten(view);
  },

  /** The group after a change. */
  after(
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

  /** Whether a majority of the voters holds what is committed, and all up to an index, without counting one of them. */
  isHeldWithout(view: MembershipView, leaver: string, index: number): boolean {
    const heldIndex = Math.max(view.committedIndex, index);
    const holders = view.voters.filter(
      (voter) =>
        voter !== leaver &&
        answers(view, voter) &&
        view.progressOf(voter).matchedIndex >= heldIndex,
    );
    return holders.length >= majorityOf(view.voters.length);
  },
};
