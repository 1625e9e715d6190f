import { spawn } from "node:child_process";
import { create, is, number, string, type } from "superstruct";
import { expect, test } from "vitest";
import { daemonProgram, Fleet } from "../../src/fleet/fleet.js";
import type { FleetMachine } from "../../src/fleet/fleet-layout.js";
import { checkRules } from "../../src/simulation/invariant-checker.js";
import type { Profile } from "../../src/simulation/profile.js";

const smallProfile: Profile = {
  name: "small",
  zones: ["a", "b", "c"],
  diskMachines: 3,
  disklessMachines: 2,
  backends: { issues: 3, triage: 2 },
  traffic: [
    {
      route: "issues",
      service: "issues",
      method: "GET",
      path: (at) => `/issues/${at % 9}`,
      keyed: false,
      requestsPerSecond: 30,
      bodyBytes: 300_000,
    },
    {
      route: "resolves",
      service: "triage",
      method: "POST",
      path: (at) => `/issues/${at % 9}/resolve`,
      keyed: true,
      requestsPerSecond: 30,
      bodyBytes: 80,
    },
  ],
  moves: {},
};
const diskShape = type({ record: type({ disk: string() }) });
const replicationShape = type({
  record: type({ committed: number(), role: string(), state: string() }),
});

test("real processes: all recorders killed at once come back with every config, a stop drains, no rule is broken", async () => {
  const fleet = await Fleet.create(smallProfile, 1, 1);
  try {
    await fleet.startProcesses();
    expect(
      await fleet.run(
        fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), 30_000),
      ),
    ).toBe(true);
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    await fleet.run(
      fleet.waitUntil(
        () => fleet.recorder.ofKind("announced").length >= fleet.testBackends.length,
        10_000,
      ),
    );
    fleet.startRequests();
    const served = (): number =>
      fleet.recorder.clientRecords.filter(({ code }) => code === 200 || code === 201).length;
    expect(await fleet.run(fleet.waitUntil(() => served() > 60, 20_000))).toBe(true);

    const recorders = fleet.machines.filter(({ settings }) => settings.dataFolder !== undefined);
    const edges = fleet.machines.filter(({ settings }) => settings.callers !== undefined);
    for (const machine of recorders) await fleet.run(fleet.kill(machine));
    for (const machine of recorders) fleet.boot(machine);
    expect(
      await fleet.run(
        fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), 30_000),
      ),
    ).toBe(true);
    const before = served();
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    expect(await fleet.run(fleet.waitUntil(() => served() > before + 60, 20_000))).toBe(true);

    const [edge] = edges;
    if (!edge) throw new Error("There is no edge.");
    await fleet.run(fleet.stop(edge));
    expect(edge.exitCode).toBe(0);
    fleet.recorder.endMs = fleet.clock.nowMs();
    await fleet.run(fleet.workload.readBack());
    expect(fleet.recorder.ofKind("readBack")).toHaveLength(2);
    expect(checkRules(fleet.recorder)).toEqual([]);
    expect(fleet.harnessErrors).toEqual([]);
    const statuses = [];
    for (const machine of recorders)
      statuses.push(create(await fleet.run(fleet.fetchStatus(machine)), replicationShape).record);
    expect(statuses.filter(({ role }) => role === "leader")).toHaveLength(1);
    expect(statuses.every(({ state }) => state === "formed")).toBe(true);
  } finally {
    await fleet.shutDown(false);
  }
});

test("real processes: a leader whose disk is full hands over, nothing accepted is lost, and it takes writes again", async () => {
  const fleet = await Fleet.create({ ...smallProfile, disklessMachines: 1 }, 2, 1);
  const recorders = fleet.machines.filter(({ settings }) => settings.dataFolder !== undefined);
  const leaderOf = async (): Promise<FleetMachine | undefined> => {
    for (const machine of recorders) {
      const status = await fleet.run(fleet.fetchStatus(machine));
      if (is(status, replicationShape) && status.record.role === "leader") return machine;
    }
    return undefined;
  };
  const diskOf = async (machine: FleetMachine): Promise<string> =>
    create(await fleet.run(fleet.fetchStatus(machine)), diskShape).record.disk;
  try {
    await fleet.startProcesses();
    expect(
      await fleet.run(
        fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), 30_000),
      ),
    ).toBe(true);
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    const leader = await leaderOf();
    if (!leader) throw new Error("Nobody leads.");
    await fleet.run(fleet.fillDisk(leader, true));
    for (let count = 0; count < 5; count += 1)
      expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    expect(await leaderOf()).not.toBe(leader);
    await expect.poll(() => diskOf(leader), { timeout: 20_000 }).not.toBe("well");
    await fleet.run(fleet.fillDisk(leader, false));
    await expect.poll(() => diskOf(leader), { timeout: 20_000 }).toBe("well");
    const other = await leaderOf();
    if (other) await fleet.run(fleet.kill(other));
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    await fleet.run(fleet.workload.readBack());
    expect(fleet.recorder.ofKind("readBack")).toHaveLength(7);
    expect(checkRules(fleet.recorder)).toEqual([]);
    expect(fleet.harnessErrors).toEqual([]);
  } finally {
    await fleet.shutDown(false);
  }
});

test("real processes: faults in the settings end with code 2, each named", async () => {
  const child = spawn(
    process.execPath,
    [daemonProgram, "run", "--machine", "x", "--peers", "nowhere"],
    { stdio: ["ignore", "ignore", "pipe"] },
  );
  const pieces: Buffer[] = [];
  child.stderr.on("data", (piece: Buffer) => pieces.push(piece));
  const code = await new Promise((done) => child.once("close", done));
  expect(code).toBe(2);
  for (const path of ["zone", "operators", "peers", "seeds"])
    expect(Buffer.concat(pieces).toString()).toContain(`daledoor: ${path}: `);
});
