/** The fingerprint of a member's state, by which the search recognizes visited states. */
import type { ConsensusState } from "../consensus/state.js";
import type { ModelDisk } from "./model-disk.js";
import type { PeerReplications } from "./peer-replications.js";
import type { WriteEffect } from "./write-effect.js";

/** Greater ages are equal in a fingerprint. */
const MAX_AGE_MS = 5000;

/** The parts of a member from which its fingerprint is computed. */
export interface FingerprintedMember {
  readonly isUp: boolean;
  readonly state: ConsensusState;
  readonly electionDeadlineMs: number;
  readonly replications: PeerReplications;
  readonly disk: ModelDisk<WriteEffect>;
}

/** Computes a text that is equal for equal states, with times relative to now. */
export const computeFingerprint = (member: FingerprintedMember, nowMs: number): string => {
  const {
    log,
    matchIndexes,
    acknowledgedSentMs,
    responsiveSinceMs,
    votes,
    lastLeaderContactMs,
    lastAppendMs,
    ...otherState
  } = member.state;
  const age = (atMs: number): number => Math.min(MAX_AGE_MS, Math.round(nowMs - atMs));
  return JSON.stringify([
    member.isUp,
    otherState,
    log.baseIndex,
    log.baseTerm,
    log.entriesFrom(log.baseIndex + 1),
    [...matchIndexes],
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
