/** The layout of a fleet on this machine: free ports, settings files and data folders. */
import type { ChildProcess } from "node:child_process";
import { mkdir, mkdtemp, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Settings } from "../daemon/settings.js";
import type { Profile } from "../simulation/profile.js";

/** Each daemon has a port for peers, for the admin API, and for clients. */
const PORTS_PER_MACHINE = 3;

/** One machine of a fleet of real processes. */
export interface FleetMachine {
  readonly settings: Settings;
  readonly settingsFile: string;
  process: ChildProcess | undefined;
  isReady: boolean;
  /** The exit code of its last process; undefined while that runs. */
  exitCode: number | null | undefined;
}

/** The parts of a fleet before it starts. */
export interface FleetLayout {
  readonly folder: string;
  readonly machines: FleetMachine[];
  readonly backendPorts: number[];
}

/** Ports that are free now. */
const findFreePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<{ port: number; close: () => Promise<void> }>((done, fail) => {
          const server = createServer();
          server.once("error", fail);
          server.listen(0, "127.0.0.1", () => {
            const address = server.address();
            const port = address !== null && typeof address === "object" ? address.port : 0;
            done({ port, close: () => new Promise((closed) => server.close(() => closed())) });
          });
        }),
    ),
  );
  await Promise.all(servers.map(({ close }) => close()));
  return servers.map(({ port }) => port);
};

const createSettings = (
  profile: Profile,
  folder: string,
  index: number,
  address: (portIndex: number) => string,
): Settings => {
  const hasDisk = index < profile.diskMachines;
  const name = `${hasDisk ? "disk" : "small"}-${index + 1}`;
  const firstPort = index * PORTS_PER_MACHINE;
  return {
    machine: name,
    zone: profile.zones[index % profile.zones.length] ?? "",
    operators: address(firstPort + 1),
    peers: address(firstPort),
    seeds: [address(0), address(PORTS_PER_MACHINE), address(2 * PORTS_PER_MACHINE)],
    ...(hasDisk ? { dataFolder: join(folder, name) } : { callers: address(firstPort + 2) }),
  };
};

const writeSettings = async (folder: string, settings: Settings): Promise<string> => {
  const machineFolder = join(folder, settings.machine);
  const dataFolder =
    settings.dataFolder === undefined ? {} : { dataFolder: join(machineFolder, "data") };
  await mkdir(machineFolder, { recursive: true });
  const file = join(machineFolder, "settings.json");
  await writeFile(file, JSON.stringify({ ...settings, ...dataFolder }, null, 2));
  return file;
};

/** Lays a fleet out in a new folder. */
export const createFleetLayout = async (profile: Profile): Promise<FleetLayout> => {
  const folder = await mkdtemp(join(tmpdir(), "daledoor-fleet-"));
  const count = profile.diskMachines + profile.disklessMachines;
  const backendCount = Object.values(profile.backends).reduce((sum, many) => sum + many, 0);
  const ports = await findFreePorts(count * PORTS_PER_MACHINE + backendCount);
  const address = (portIndex: number): string => `127.0.0.1:${ports[portIndex] ?? 0}`;
  const machines: FleetMachine[] = [];
  for (let index = 0; index < count; index += 1) {
    const settings = createSettings(profile, folder, index, address);
    const settingsFile = await writeSettings(folder, settings);
    machines.push({
      settings,
      settingsFile,
      process: undefined,
      isReady: false,
      exitCode: undefined,
    });
  }
  return { folder, machines, backendPorts: ports.slice(count * PORTS_PER_MACHINE) };
};
