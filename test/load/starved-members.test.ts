import { expect, test } from "vitest";
import { sleep } from "../../src/runtime/clock.js";
import type { Task } from "../../src/runtime/task.js";
import { patchConfig, putConfig } from "../platform/command-stage.js";
import { LimitedCluster } from "./limited-stage.js";

const machines = [
  ...["d:a", "d:b", "d:c", "d:a", "d:b"],
  ...Array.from({ length: 10 }, (_, index) => `e:${["a", "b", "c"][index % 3]}`),
];
const DURATION_MS = 60_000;
const MAX_PAUSE_MS = 2000;
/** An order must be acknowledged within this time. */
const ACK_MS = 4000;

/** Makes each member's processor busy for up to `longestMs` of its own time, at random moments. */
const starveMembers = (cluster: LimitedCluster, longestMs: number): void => {
  const untilMs = cluster.virtualClock.nowMs() + DURATION_MS;
  const clock = cluster.virtualClock.clock();
  for (const machine of cluster.diskMachines)
    cluster.startTask(
      (function* (): Task {
        while (cluster.virtualClock.nowMs() < untilMs) {
          cluster.processor(machine).charge(longestMs * 0.675 * cluster.random());
          yield* sleep(clock, MAX_PAUSE_MS * cluster.random());
        }
      })(),
    );
};

// Guards against elections again and again where members wait for a processor: orders and leaves find no leader meanwhile.
test.each([1, 2, 3, 4, 5, 6])(
  "members that don't run for up to 500 ms at a time keep their leader (seed %i)",
  (seed) => {
    const cluster = new LimitedCluster(machines, [seed, seed + 1, seed + 2], {
      tolerate: { machines: 2, zones: 0 },
    });
    cluster.bootAll();
    cluster.wait(5000);
    expect(cluster.submitUntilFinal(putConfig(0, 3, "first"), 6)).toBe(200);
    cluster.wait(1000);
    const electionsBefore = cluster.electionCount;
    starveMembers(cluster, 500);
    const untilMs = cluster.virtualClock.nowMs() + DURATION_MS;
    const latenciesMs: number[] = [];
    for (let base = 3; cluster.virtualClock.nowMs() < untilMs; base += 2) {
      const sentMs = cluster.virtualClock.nowMs();
      const change = patchConfig(base, base + 2, { name: `r${base}`, svc: "one" });
      expect(cluster.submitUntilFinal(change, 6 + (base % 9))).toBe(200);
      latenciesMs.push(cluster.virtualClock.nowMs() - sentMs);
      cluster.wait(1000);
    }
    expect(Math.max(...latenciesMs)).toBeLessThan(ACK_MS);
    // A member needs one gap to learn how late its leader may be.
    expect(cluster.electionCount - electionsBefore).toBeLessThanOrEqual(
      cluster.diskMachines.length,
    );
  },
);
