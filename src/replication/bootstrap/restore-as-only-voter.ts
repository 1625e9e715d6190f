/** Restores a log from one member's disk after its majority was lost permanently. */
import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import { encodeLogCommand } from "../../state/log-command.js";
import { LogStore } from "../log/log-store.js";

/** The result of a restore: how many entries were restored, or why the restore was refused. */
export type RestoreResult =
  { kind: "restored"; entries: number; lastIndex: number } | { kind: "refused"; why: string };

/**
 * Makes a node the only voter of its log, for a cluster that has lost its majority permanently. Entries that only the
 * lost voters stored are lost.
 */
export const restoreAsOnlyVoter = function* (disk: Disk, self: string): Task<RestoreResult> {
  const store = new LogStore(disk);
  const loaded = yield* store.load();
  if (loaded.kind === "empty")
    return { kind: "refused", why: "The data folder contains no replicated log." };
  if (loaded.kind === "damaged")
    return {
      kind: "refused",
      why: `The replicated log in the data folder is damaged: ${loaded.why}`,
    };
  const { state: durableState } = loaded;
  if (durableState.rejoinNonce !== "")
    return {
      kind: "refused",
      why: "This member was rejoining the log and may lack committed entries.",
    };
  const term = durableState.term + 1;
  const lastIndex = durableState.lastIndex + durableState.entries.length;
  const addedTexts = [
    encodeLogCommand({ kind: "members", voters: [self], learners: [] }),
    encodeLogCommand({
      kind: "note",
      text: `An operator restored the record from ${self} alone, in term ${term}.`,
    }),
  ];
  const entries = [
    ...durableState.entries,
    ...addedTexts.map((text, position) => ({ index: lastIndex + 1 + position, term, text })),
  ];
  // Previous members may have entries that this log lacks; a new fleet id prevents them from joining with those.
  const fleet = `${durableState.fleet}-${term}`;
  yield* store.writeSnapshot({ ...durableState, fleet, term, votedFor: self, entries });
  return { kind: "restored", entries: entries.length, lastIndex: lastIndex + addedTexts.length };
};
