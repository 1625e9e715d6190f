import { expect, test } from "vitest";
import { FleetStage } from "../replication/fleet-stage.js";

const later = { bootstrap: false };

/** Whether the newest leader has seen all edges. */
const edgesSeen = (stage: FleetStage): boolean => {
  const at = stage.lines.findLastIndex((line) => line.includes("leader elected"));
  const since = stage.lines.slice(at).filter((line) => line.includes("daemon appeared"));
  return stage.machines
    .filter(({ disk }) => !disk)
    .every(({ settings }) => since.some((line) => line.includes(`"${settings.machine}"`)));
};

test("a daemon whose seeds are all edges finds the leader, also after it changed", () => {
  const stage = new FleetStage(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c", "e:d"], [0, 1, 2]);
  const late = stage.at(6);
  for (const machine of stage.machines) if (machine !== late) stage.boot(machine);
  stage.wait(4000);
  stage.boot(late, later);
  expect(stage.until(() => late.daemon?.standing.isGranted === true, 2000)).toBeLessThan(300);
  const former = stage.leader;
  stage.kill(former);
  const isLed = (): boolean =>
    stage.disks.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true);
  stage.until(isLed, 3000);
  expect(stage.until(() => edgesSeen(stage), 2000)).toBeLessThan(200);
});

test("where the leader's machine is cut off from all, the next leader has all edges within a second of the cut", () => {
  const worst: number[] = [];
  for (let restMs = 0; restMs < 200; restMs += 20) {
    const stage = new FleetStage(["e:a", "e:b", "e:c", "d:a", "d:b", "d:c"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(4000 + restMs);
    const former = stage.leader;
    for (const machine of stage.machines) if (machine !== former) stage.cut(former, machine);
    const next = (): boolean =>
      stage.disks.some(
        (machine) => machine !== former && machine.daemon?.replicationNode?.holdsLease === true,
      );
    const ledMs = stage.until(next, 3000);
    worst.push(ledMs + stage.until(() => edgesSeen(stage), 2000));
  }
  expect(worst.filter((ms) => ms >= 1000)).toEqual([]);
});

test("an edge that is cut off from the leader alone is served through another recorder", () => {
  const stage = new FleetStage(["e:a", "e:b", "d:a", "d:b", "d:c"], [0, 1]);
  stage.bootAll();
  stage.wait(4000);
  const edge = stage.at(0);
  stage.cut(edge, stage.leader);
  for (let round = 0; round < 100; round += 1) {
    stage.wait(100);
    expect(edge.daemon?.standing.isGranted).toBe(true);
  }
});
