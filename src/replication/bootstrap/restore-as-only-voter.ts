/** Restores a log whose majority is lost for good from one member's disk. */
import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import { encodeLogCommand } from "../../state/log-command.js";
import { LogStore } from "../log/log-store.js";

/** The result of a restore, or why it was refused. */
export type RestoreResult =
  { kind: "restored"; entries: number; lastIndex: number } | { kind: "refused"; why: string };

/**
 * Makes a node the only voter of its log, for a cluster that has lost its majority for good. Entries that only the lost
 * voters had are lost.
 */
export const restoreAsOnlyVoter = function* (disk: Disk, self: string): Task<RestoreResult> {
  const store = new LogStore(disk);
  const loaded = yield* store.load();
  if (loaded.kind === "empty") return { kind: "refused", why: "The data folder holds no record." };
  if (loaded.kind === "damaged")
    return { kind: "refused", why: `The record here is damaged: ${loaded.why}` };
  const { state: durableState } = loaded;
  if (durableState.rejoinNonce !== "")
    return {
      kind: "refused",
      why: "This recorder was learning the record anew and may lack a part of it.",
    };
  const term = durableState.term + 1;
  const lastIndex = durableState.lastIndex + durableState.entries.length;
  const added = [
    encodeLogCommand({ kind: "members", voters: [self], learners: [] }),
    encodeLogCommand({
      kind: "note",
      text: `An operator restored the record from ${self} alone, in term ${term}.`,
    }),
  ];
  const entries = [
    ...durableState.entries,
    ...added.map((text, position) => ({ index: lastIndex + 1 + position, term, text })),
  ];
  // Former members may have entries that are missing here; under another fleet id they can't join with them.
  const fleet = `${durableState.fleet}-${term}`;
  yield* store.writeSnapshot({ ...durableState, fleet, term, votedFor: self, entries });
  return { kind: "restored", entries: entries.length, lastIndex: lastIndex + added.length };
};
