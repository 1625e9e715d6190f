import { spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import { createServer } from "node:net";
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
      path: (index) => `/issues/${index % 9}`,
      keyed: false,
      requestsPerSecond: 30,
      bodyBytes: 300_000,
    },
    {
      route: "resolves",
      service: "triage",
      method: "POST",
      path: (index) => `/issues/${index % 9}/resolve`,
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

/**
 * Guards against the loss of acknowledged configs. All machines with a disk are killed and restarted, so that configs
 * survive only on their disks. An edge is stopped while clients send requests, which it must complete before it exits.
 */
test("real processes: all configs survive when every member is killed, a stopped edge drains, and no invariant is violated", async () => {
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
    const countServed = (): number =>
      fleet.recorder.clientRecords.filter(({ code }) => code === 200 || code === 201).length;
    expect(await fleet.run(fleet.waitUntil(() => countServed() > 60, 20_000))).toBe(true);

    const diskMachines = fleet.machines.filter(({ settings }) => settings.dataFolder !== undefined);
    const edges = fleet.machines.filter(({ settings }) => settings.callers !== undefined);
    for (const machine of diskMachines) await fleet.run(fleet.kill(machine));
    for (const machine of diskMachines) fleet.boot(machine);
    expect(
      await fleet.run(
        fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), 30_000),
      ),
    ).toBe(true);
    const servedBefore = countServed();
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    expect(await fleet.run(fleet.waitUntil(() => countServed() > servedBefore + 60, 20_000))).toBe(
      true,
    );

    const [edge] = edges;
    if (!edge) throw new Error("the profile has no edge");
    await fleet.run(fleet.stop(edge));
    expect(edge.exitCode).toBe(0);
    fleet.recorder.endMs = fleet.clock.nowMs();
    await fleet.run(fleet.workload.readBack());
    expect(fleet.recorder.ofKind("readBack")).toHaveLength(2);
    expect(checkRules(fleet.recorder)).toEqual([]);
    expect(fleet.harnessErrors).toEqual([]);
    const statuses = [];
    for (const machine of diskMachines)
      statuses.push(create(await fleet.run(fleet.fetchStatus(machine)), replicationShape).record);
    expect(statuses.filter(({ role }) => role === "leader")).toHaveLength(1);
    expect(statuses.every(({ state }) => state === "formed")).toBe(true);
  } finally {
    await fleet.shutDown(false);
  }
});

/**
 * Guards against a leader that keeps leading, or a config that is lost, when writes to its disk fail. A limit on the size of
 * the daemon's files makes them fail, and the disk must be usable again once the limit is removed.
 */
test("real processes: a leader with a full disk hands over, no accepted config is lost, and it accepts writes again", async () => {
  const fleet = await Fleet.create({ ...smallProfile, disklessMachines: 1 }, 2, 1);
  const diskMachines = fleet.machines.filter(({ settings }) => settings.dataFolder !== undefined);
  const findLeader = async (): Promise<FleetMachine | undefined> => {
    for (const machine of diskMachines) {
      const status = await fleet.run(fleet.fetchStatus(machine));
      if (is(status, replicationShape) && status.record.role === "leader") return machine;
    }
    return undefined;
  };
  const readDiskState = async (machine: FleetMachine): Promise<string> =>
    create(await fleet.run(fleet.fetchStatus(machine)), diskShape).record.disk;
  try {
    await fleet.startProcesses();
    expect(
      await fleet.run(
        fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), 30_000),
      ),
    ).toBe(true);
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    const leader = await findLeader();
    if (!leader) throw new Error("no member is the leader");
    await fleet.run(fleet.fillDisk(leader, true));
    for (let count = 0; count < 5; count += 1)
      expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    expect(await findLeader()).not.toBe(leader);
    await expect.poll(() => readDiskState(leader), { timeout: 20_000 }).not.toBe("well");
    await fleet.run(fleet.fillDisk(leader, false));
    await expect.poll(() => readDiskState(leader), { timeout: 20_000 }).toBe("well");
    const nextLeader = await findLeader();
    if (nextLeader) await fleet.run(fleet.kill(nextLeader));
    expect(await fleet.run(fleet.workload.putConfig())).toBe(true);
    await fleet.run(fleet.workload.readBack());
    expect(fleet.recorder.ofKind("readBack")).toHaveLength(7);
    expect(checkRules(fleet.recorder)).toEqual([]);
    expect(fleet.harnessErrors).toEqual([]);
  } finally {
    await fleet.shutDown(false);
  }
});

/** Guards against a daemon that ends without saying why: its log had an empty error. */
test("real processes: a daemon whose port is taken ends with exit code 1 and logs the address", async () => {
  const fleet = await Fleet.create({ ...smallProfile, disklessMachines: 0 }, 3, 1);
  const [machine] = fleet.machines;
  if (!machine) throw new Error("the fleet has no machine");
  const { peers } = machine.settings;
  const [host = "", port = ""] = peers.split(":");
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(Number(port), host, resolve));
  try {
    fleet.boot(machine);
    await expect.poll(() => machine.exitCode, { timeout: 20_000 }).toBe(1);
    await expect
      .poll(() => readFile(`${machine.settingsFile}.log`, "utf8"), { timeout: 20_000 })
      .toContain(peers);
  } finally {
    server.close();
    await fleet.shutDown(false);
  }
});

/** Guards against a daemon that starts with invalid settings, or reports only the first invalid one. */
test("real processes: invalid settings end the daemon with exit code 2 and an error for each", async () => {
  const child = spawn(
    process.execPath,
    [daemonProgram, "run", "--machine", "x", "--peers", "nowhere"],
    { stdio: ["ignore", "ignore", "pipe"] },
  );
  const chunks: Buffer[] = [];
  child.stderr.on("data", (chunk: Buffer) => chunks.push(chunk));
  const code = await new Promise((resolve) => child.once("close", resolve));
  expect(code).toBe(2);
  for (const path of ["zone", "operators", "peers", "seeds"])
    expect(Buffer.concat(chunks).toString()).toContain(`daledoor: ${path}: `);
});
