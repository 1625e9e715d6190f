import type { Disk } from "../machine/disk.js";
import type { Task } from "../machine/task.js";
import { Deed } from "./book.js";
import { Store } from "./store.js";

/** What a restore did, or why it did nothing. */
export type Restored = { kind: "restored"; entries: number; lastIndex: number } | { kind: "refused"; why: string };

/**
 * Makes a recorder the only voter of the record, for a core that has lost its majority for good.
 * What only the lost voters had acknowledged is gone.
 */
export const restore = function* (disk: Disk, self: string): Task<Restored> {
  const store = new Store(disk);
  const loaded = yield* store.load();
  if (loaded.kind === "empty") return { kind: "refused", why: "The data folder holds no record." };
  if (loaded.kind === "damaged") return { kind: "refused", why: `The record here is damaged: ${loaded.why}` };
  const { standing } = loaded;
  if (standing.rejoining !== "") return { kind: "refused", why: "This recorder was learning the record anew and may lack a part of it." };
  const term = standing.term + 1;
  const lastIndex = standing.lastIndex + standing.entries.length;
  const added = [Deed.text({ kind: "members", voters: [self], learners: [] }), Deed.text({ kind: "note", text: `An operator restored the record from ${self} alone, in term ${term}.` })];
  const entries = [...standing.entries, ...added.map((text, at) => ({ index: lastIndex + 1 + at, term, text }))];
  yield* store.checkpoint({ ...standing, term, votedFor: self, entries });
  return { kind: "restored", entries: entries.length, lastIndex: lastIndex + added.length };
};

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Simulation } = await import("../rehearsal/simulation.js");
  const { Profile } = await import("../rehearsal/profile.js");
  const { Task: Tasks } = await import("../machine/task.js");

  test("a core that lost two disks is restored from the third; emptied recorders join it and vote again", () => {
    const simulation = new Simulation(Profile.all.rastro, 1, 0.01);
    const fail = (error: unknown): void => {
      throw error;
    };
    const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
    simulation.begin();
    simulation.start(simulation.day.putConfig());
    wait(4000);
    const core = simulation.machines.filter(({ disk }) => disk);
    for (const machine of core) simulation.kill(machine);
    const [kept, ...lost] = core;
    if (!kept?.disk) throw new Error("No disk is left.");
    kept.disk.restart(simulation.clock);
    const outcomes: Restored[] = [];
    Tasks.start(restore(kept.disk, kept.settings.peers), fail, (outcome) => outcomes.push(outcome));
    wait(100);
    expect(outcomes[0]?.kind).toBe("restored");
    for (const machine of lost) machine.disk?.wipe();
    simulation.boot(kept);
    wait(3000);
    expect(kept.daemon?.recorder?.status).toMatchObject({ role: "leader", voters: [kept.settings.peers] });
    for (const machine of lost) simulation.boot(machine);
    wait(12_000);
    expect(kept.daemon?.recorder?.status.voters).toHaveLength(3);
    expect(lost.map(({ daemon }) => daemon?.recorder?.status.state)).toEqual(["formed", "formed"]);
    simulation.kill(kept);
    wait(3000);
    expect(lost.some(({ daemon }) => daemon?.recorder?.hasGrant)).toBe(true);
    simulation.start(simulation.day.readBack());
    wait(3000);
    expect(simulation.ledger.of("readBack").map(({ text }) => text)).toEqual(simulation.ledger.of("accepted").map(({ text }) => text));
  });
}
