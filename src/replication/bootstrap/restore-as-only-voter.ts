import type { Disk } from "../../runtime/disk.js";
import type { Task } from "../../runtime/task.js";
import { LogCommand } from "../../state/state-machine.js";
import { LogStore } from "../log/log-store.js";

/** What a restore did, or why it did nothing. */
export type RestoreResult =
  { kind: "restored"; entries: number; lastIndex: number } | { kind: "refused"; why: string };

/**
 * Makes a recorder the only voter of the record, for a core that has lost its majority for good.
 * What only the lost voters had acknowledged is gone.
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
    LogCommand.text({ kind: "members", voters: [self], learners: [] }),
    LogCommand.text({
      kind: "note",
      text: `An operator restored the record from ${self} alone, in term ${term}.`,
    }),
  ];
  const entries = [
    ...durableState.entries,
    ...added.map((text, at) => ({ index: lastIndex + 1 + at, term, text })),
  ];
  // Members of before may hold entries that are gone from here; by another name of the fleet they are not taken in as they are.
  const fleet = `${durableState.fleet}-${term}`;
  yield* store.writeSnapshot({ ...durableState, fleet, term, votedFor: self, entries });
  return { kind: "restored", entries: entries.length, lastIndex: lastIndex + added.length };
};
