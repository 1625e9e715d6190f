/** Creates the full contents that members write to their disks. */
import type { Members } from "../consensus/members.js";
import { membersAt, type ConsensusState } from "../consensus/state.js";
import type { DiskContent } from "./model-disk.js";

/** The content of a disk without any entries. */
export const emptyContent = (members: Members, rejoinNonce = ""): DiskContent => ({
  term: 0,
  votedFor: "",
  rejoinNonce,
  lastIndex: 0,
  lastTerm: 0,
  members,
  entries: [],
  value: 0,
});

/** A snapshot of the state up to an index, with the log entries after it. */
export const snapshotContent = (
  state: ConsensusState,
  lastIndex: number,
  value: number,
  rejoinNonce: string,
): DiskContent => ({
  term: state.term,
  votedFor: state.votedFor,
  rejoinNonce,
  lastIndex,
  lastTerm: state.log.termAt(lastIndex) ?? 0,
  members: membersAt(state, lastIndex),
  entries: state.log.entriesFrom(lastIndex + 1),
  value,
});
