import { expect, test } from "vitest";
import { configText, FleetStage, type StageMachine } from "../fleet-stage.js";

const isLed = (stage: FleetStage) => (): boolean =>
  stage.disks.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
const later = { bootstrap: false };
const catchUpMs = 4000;
const graceMs = 6000;

const fleetOf = (disks: number, up: number): FleetStage => {
  const words = Array.from({ length: disks }, (_, at) => `d:${"abc"[at % 3] ?? "a"}`);
  const stage = new FleetStage(words, [0, 1, 2], { bounds: { catchUpMs, graceMs } });
  for (const machine of stage.disks.slice(0, up)) stage.boot(machine);
  stage.until(isLed(stage), 5000);
  return stage;
};

const follower = (stage: FleetStage): StageMachine => {
  const { leader } = stage;
  const voters = leader.record?.voters ?? [];
  const other = stage.disks.find(
    (machine) => machine.daemon && machine !== leader && voters.includes(machine.peer),
  );
  if (!other) throw new Error("There is no other voter.");
  return other;
};

/** Tells a machine to stop; the holder says whether its process has ended. */
const stop = (stage: FleetStage, machine: StageMachine): { ended: boolean } => {
  const state = { ended: false };
  const { daemon } = machine;
  if (!daemon) throw new Error("It doesn't run.");
  stage.start(
    (function* () {
      yield* daemon.drain();
      state.ended = true;
    })(),
  );
  return state;
};

for (const who of ["a follower", "the leader"] as const)
  test(`${who} that stops is replaced by the ready learner before it ends`, () => {
    const stage = fleetOf(4, 3);
    expect(stage.commit(1)).toBe(true);
    const successor = stage.at(3);
    stage.boot(successor, later);
    stage.wait(catchUpMs);
    const leaver = who === "the leader" ? stage.leader : follower(stage);
    const stopping = stop(stage, leaver);
    stage.until(() => stopping.ended, graceMs);
    const voters = stage.leader.record?.voters ?? [];
    expect(voters).toHaveLength(3);
    expect(voters).toContain(successor.peer);
    expect(voters).not.toContain(leaver.peer);
    stage.kill(leaver, true);
    stage.kill(stage.leader, true);
    stage.until(isLed(stage), 2000);
    expect(stage.commit(2)).toBe(true);
    expect(stage.config(stage.leader, 1)).toBe(configText(1));
  });

test("a voter that stops ends only once a majority without it has what it acknowledged", () => {
  const stage = fleetOf(3, 3);
  const { leader } = stage;
  const leaver = follower(stage);
  const [behind] = stage.disks.filter((machine) => machine !== leader && machine !== leaver);
  if (!behind) throw new Error("There are too few members.");
  for (const other of [leader, leaver]) stage.cut(behind, other);
  expect(stage.commit(1)).toBe(true);
  const stopping = stop(stage, leaver);
  stage.wait(3500);
  expect(stopping.ended).toBe(false);
  for (const other of [leader, leaver]) stage.cut(behind, other, true);
  stage.until(() => stopping.ended, graceMs - 3500);
  expect(behind.record?.lastIndex).toBeGreaterThanOrEqual(leader.record?.committed ?? Infinity);
  stage.kill(leaver, true);
  stage.until(isLed(stage), 2000);
  expect(stage.commit(2)).toBe(true);
});

test("a voter that stops while there is no leader ends within its grace period", () => {
  const stage = fleetOf(3, 3);
  const [one, two, three] = stage.disks;
  if (!one || !two || !three) throw new Error("There are too few members.");
  stage.kill(one);
  stage.kill(two);
  const stopping = stop(stage, three);
  stage.until(() => stopping.ended, graceMs);
});

for (const [disks, what] of [
  [3, "without a learner"],
  [4, "with a learner that stands ready"],
] as const)
  test(`a rolling restart ${what} leaves enough voters at all times, and a leader at once`, () => {
    const stage = fleetOf(disks, disks);
    stage.wait(2000);
    let sequence = 0;
    let leaderlessMs = 0;
    const wait = (forMs: number): void => {
      for (let at = 0; at < forMs; at += 20) {
        stage.wait(20);
        if (!isLed(stage)()) leaderlessMs += 20;
        else expect(stage.leader.record?.voters.length).toBeGreaterThanOrEqual(3);
      }
    };
    for (const machine of [...stage.disks, ...stage.disks]) {
      const stopping = stop(stage, machine);
      while (!stopping.ended) wait(20);
      stage.kill(machine);
      wait(300);
      stage.boot(machine, later);
      wait(1300);
      sequence += 1;
      expect(stage.commit(sequence)).toBe(true);
    }
    expect(leaderlessMs).toBeLessThan(1500);
    stage.wait(catchUpMs);
    stage.kill(follower(stage), true);
    stage.wait(100);
    expect(stage.commit(sequence + 1)).toBe(true);
  });
