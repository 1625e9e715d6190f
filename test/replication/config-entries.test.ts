/** Changes of a large configuration are replicated and stored as deltas. */
import { expect, test } from "vitest";
import {
  patchConfig,
  ControlFixture,
  routeTo,
  type ConfigChangeBytes,
} from "../platform/command-stage.js";

const machines = ["d:a", "d:b", "d:c", "e:a"];
const manyRoutes = 1500;

const service = { type: "services", meta: { name: "one" }, spec: { maxConns: 66 } };

const largePutConfig = (base: number, version: number, routes: number): ConfigChangeBytes => ({
  target: "config/put",
  base: base === 0 ? "0" : `r${base}`,
  body: JSON.stringify({
    ver: `r${version}`,
    objs: [...Array.from({ length: routes }, (_, index) => routeTo(`r${index}`, "one")), service],
  }),
});

const storedBytesByMachine = (cluster: ControlFixture): number[] =>
  cluster.diskMachines.map(({ disk }) => disk?.usedBytes ?? 0);

const createClusterWithConfig = (): ControlFixture => {
  const cluster = new ControlFixture(machines, [0, 1, 2]);
  cluster.bootAll();
  cluster.wait(4000);
  expect(cluster.submitUntilFinal(largePutConfig(0, 1, manyRoutes))).toBe(200);
  cluster.wait(2000);
  return cluster;
};

/** Time in which all members have persisted a configuration: each starts after a random delay of up to 1 s. */
const persistWithinMs = 2000;

test("the bytes that a change adds to each member's disk depend on the size of the change, not of the configuration", () => {
  const cluster = createClusterWithConfig();
  // The history stores its first configuration completely, which these changes exclude from the measurement.
  for (const base of [1, 2, 3, 4])
    expect(
      cluster.submitUntilFinal(patchConfig(base, base + 1, { name: `r${base}`, svc: "one" })),
    ).toBe(200);
  cluster.wait(persistWithinMs);
  const bytesBefore = storedBytesByMachine(cluster);
  expect(cluster.submitUntilFinal(patchConfig(5, 6, { name: "r7", svc: "one" }))).toBe(200);
  expect(cluster.submitUntilFinal(patchConfig(6, 7, { name: "added", svc: "one" }))).toBe(200);
  cluster.wait(persistWithinMs);
  for (const [index, bytes] of storedBytesByMachine(cluster).entries())
    expect(bytes - (bytesBefore[index] ?? 0)).toBeLessThan(16 * 1024);
});

test("a restarted member has the configuration that results from the changes in its log", () => {
  const cluster = createClusterWithConfig();
  expect(cluster.submitUntilFinal(patchConfig(1, 2, { name: "added", svc: "one" }))).toBe(200);
  expect(cluster.submitUntilFinal(largePutConfig(2, 3, 2500))).toBe(200);
  expect(cluster.submitUntilFinal(patchConfig(3, 4, { name: "r9", svc: "one" }))).toBe(200);
  cluster.wait(1000);
  const configTexts = cluster.diskMachines.map((machine) => cluster.readConfig(machine, 4));
  for (const machine of cluster.diskMachines) cluster.kill(machine);
  for (const machine of cluster.diskMachines) cluster.boot(machine, { bootstrap: false });
  cluster.wait(4000);
  for (const [index, machine] of cluster.diskMachines.entries()) {
    expect(cluster.readConfig(machine, 4)).toBe(configTexts[0]);
    expect(configTexts[index]).toBe(configTexts[0]);
  }
  expect(cluster.newestVersion(cluster.machineAt(3))).toBe("r4");
});
