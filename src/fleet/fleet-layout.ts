/** Prepares a fleet on this machine: free ports, settings files and data folders. */
import type { ChildProcess } from "node:child_process";
import { mkdir, mkdtemp, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Settings } from "../daemon/settings.js";
import type { Profile } from "../simulation/profile.js";

/** Each daemon has one port for peers, one for the admin API and one for clients. */
const PORTS_PER_MACHINE = 3;

/** One machine of a fleet of real processes. Its daemon runs as a child process. */
export interface FleetMachine {
  readonly settings: Settings;
  readonly settingsFile: string;
  process: ChildProcess | undefined;
  isReady: boolean;
  /** The exit code of the last process; undefined while it runs, null if a signal ended it. */
  exitCode: number | null | undefined;
}

/** The folder, machines and backend addresses of a fleet that hasn't started. */
export interface FleetLayout {
  readonly folder: string;
  readonly machines: FleetMachine[];
  readonly backendAddresses: string[];
}

/**
 * Finds ports that are free now.
 *
 * All of them are open at the same time while they are chosen, so that no port is returned twice.
 */
const findFreePorts = async (host: string, count: number): Promise<number[]> => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<{ port: number; close: () => Promise<void> }>((resolve, reject) => {
          const server = createServer();
          server.once("error", reject);
          server.listen(0, host, () => {
            const address = server.address();
            const port = address !== null && typeof address === "object" ? address.port : 0;
            resolve({
              port,
              close: () => new Promise((resolveClose) => server.close(() => resolveClose())),
            });
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
  addressAt: (portIndex: number) => string,
): Settings => {
  const hasDisk = index < profile.diskMachines;
  const name = `${hasDisk ? "disk" : "small"}-${index + 1}`;
  const firstPort = index * PORTS_PER_MACHINE;
  return {
    machine: name,
    zone: profile.zones[index % profile.zones.length] ?? "",
    operators: addressAt(firstPort + 1),
    peers: addressAt(firstPort),
    seeds: [addressAt(0), addressAt(PORTS_PER_MACHINE), addressAt(2 * PORTS_PER_MACHINE)],
    ...(hasDisk ? { dataFolder: join(folder, name) } : { callers: addressAt(firstPort + 2) }),
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

/** Draws a loopback address, since ports that were free on a shared one may be taken by another process meanwhile. */
const drawHost = (): string => {
  const part = (): number => 1 + Math.floor(Math.random() * 250);
  return `127.${part()}.${part()}.${part()}`;
};

/** Reserves ports for a fleet and writes its settings files to a new folder. */
export const createFleetLayout = async (profile: Profile): Promise<FleetLayout> => {
  const folder = await mkdtemp(join(tmpdir(), "daledoor-fleet-"));
  const machineCount = profile.diskMachines + profile.disklessMachines;
  const backendCount = Object.values(profile.backends).reduce((sum, count) => sum + count, 0);
  const host = drawHost();
  const ports = await findFreePorts(host, machineCount * PORTS_PER_MACHINE + backendCount);
  const addressAt = (portIndex: number): string => `${host}:${ports[portIndex] ?? 0}`;
  const machines: FleetMachine[] = [];
  for (let index = 0; index < machineCount; index += 1) {
    const settings = createSettings(profile, folder, index, addressAt);
    const settingsFile = await writeSettings(folder, settings);
    machines.push({
      settings,
      settingsFile,
      process: undefined,
      isReady: false,
      exitCode: undefined,
    });
  }
  const backendPorts = ports.slice(machineCount * PORTS_PER_MACHINE);
  return { folder, machines, backendAddresses: backendPorts.map((port) => `${host}:${port}`) };
};
