/** The fingerprint of a member's state, by which the search recognizes states that it has seen. */
import type { ConsensusState } from "../consensus/state.js";
import type { ModelDisk } from "./model-disk.js";
import type { PeerReplications } from "./peer-replications.js";
import type { WriteEffect } from "./write-effect.js";

/** Ages beyond this are not told apart. */
const MAX_AGE_MS = 5000;

/** The parts of a member that a fingerprint is taken of. */
export interface FingerprintedMember {
  readonly isUp: boolean;
  readonly state: ConsensusState;
  readonly electionDeadlineMs: number;
  readonly replications: PeerReplications;
  readonly disk: ModelDisk<WriteEffect>;
}

/** A text that is equal for equal states, with times relative to now. */
export const computeFingerprint = (member: FingerprintedMember, nowMs: number): string => {
  const {
    log,
    matchIndexes: matched,
    acknowledgedSentMs,
    responsiveSinceMs,
    votes,
    lastLeaderContactMs,
    lastAppendMs,
    ...rest
  } = member.state;
  const age = (atMs: number): number => Math.min(MAX_AGE_MS, Math.round(nowMs - atMs));
  return JSON.stringify([
    member.isUp,
    rest,
    log.baseIndex,
    log.baseTerm,
    log.entriesFrom(log.baseIndex + 1),
    [...matched],
    [...acknowledgedSentMs].map(([peer, atMs]) => [peer, age(atMs)]),
    [...responsiveSinceMs].map(([peer, atMs]) => [peer, age(atMs)]),
    [...votes].sort(),
    age(lastLeaderContactMs),
    age(lastAppendMs),
    age(member.electionDeadlineMs),
    [...member.replications.all].map(([peer, { progress, requestId, dueMs }]) => [
      peer,
      progress,
      requestId !== undefined,
      age(dueMs),
    ]),
    member.disk.content,
    member.disk.pending,
  ]);
};
