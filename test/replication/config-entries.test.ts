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
    objs: [...Array.from({ length: routes }, (_, at) => routeTo(`r${at}`, "one")), service],
  }),
});

const storedBytesByMachine = (stage: ControlFixture): number[] =>
  stage.diskMachines.map(({ disk }) => disk?.usedBytes ?? 0);

const createClusterWithConfig = (): ControlFixture => {
  const stage = new ControlFixture(machines, [0, 1, 2]);
  stage.bootAll();
  stage.wait(4000);
  expect(stage.submitUntilFinal(largePutConfig(0, 1, manyRoutes))).toBe(200);
  stage.wait(2000);
  return stage;
};

/** Members begin to keep configurations within a second, each at its own moment. */
const persistWithinMs = 2000;

test("what a change adds to every member's disk grows with the change, not with the configuration", () => {
  const stage = createClusterWithConfig();
  // The history takes its first configuration whole, once.
  for (const base of [1, 2, 3, 4])
    expect(
      stage.submitUntilFinal(patchConfig(base, base + 1, { name: `r${base}`, svc: "one" })),
    ).toBe(200);
  stage.wait(persistWithinMs);
  const before = storedBytesByMachine(stage);
  expect(stage.submitUntilFinal(patchConfig(5, 6, { name: "r7", svc: "one" }))).toBe(200);
  expect(stage.submitUntilFinal(patchConfig(6, 7, { name: "added", svc: "one" }))).toBe(200);
  stage.wait(persistWithinMs);
  for (const [at, bytes] of storedBytesByMachine(stage).entries())
    expect(bytes - (before[at] ?? 0)).toBeLessThan(16 * 1024);
});

test("a restarted member has the configuration that results from the log's changes", () => {
  const stage = createClusterWithConfig();
  expect(stage.submitUntilFinal(patchConfig(1, 2, { name: "added", svc: "one" }))).toBe(200);
  expect(stage.submitUntilFinal(largePutConfig(2, 3, 2500))).toBe(200);
  expect(stage.submitUntilFinal(patchConfig(3, 4, { name: "r9", svc: "one" }))).toBe(200);
  stage.wait(1000);
  const texts = stage.diskMachines.map((machine) => stage.readConfig(machine, 4));
  for (const machine of stage.diskMachines) stage.kill(machine);
  for (const machine of stage.diskMachines) stage.boot(machine, { bootstrap: false });
  stage.wait(4000);
  for (const [at, machine] of stage.diskMachines.entries()) {
    expect(stage.readConfig(machine, 4)).toBe(texts[0]);
    expect(texts[at]).toBe(texts[0]);
  }
  expect(stage.newestVersion(stage.machineAt(3))).toBe("r4");
});
