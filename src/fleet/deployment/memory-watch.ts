/** Watches the resident memory of a deployment's processes, and kills those over the machines' limit as the platform does. */
import { readFile } from "node:fs/promises";
import type { DeploymentMachine } from "./deployment-machine.js";
import { type EventLog, epochMs } from "./event-log.js";

const CHECK_INTERVAL_MS = 500;
const KB_PER_MB = 1024;

/** What is watched. */
export interface WatchedDeployment {
  readonly machines: readonly DeploymentMachine[];
  readonly profile: { readonly memoryMb: number };
  readonly log: EventLog;
}

/** The resident memory of a process in MB; undefined if it has ended. */
const residentMb = async (processId: number): Promise<number | undefined> => {
  const status = await readFile(`/proc/${processId}/status`, "utf8").catch(() => "");
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(status);
  return match ? Number(match[1]) / KB_PER_MB : undefined;
};

const checkMachine = async (
  { ip, process }: DeploymentMachine,
  { profile, log }: WatchedDeployment,
): Promise<void> => {
  if (process?.pid === undefined || process.exitCode !== null) return;
  const mb = await residentMb(process.pid);
  if (mb === undefined) return;
  log.add({
    kind: "memory",
    machine: ip,
    processId: process.pid,
    atMs: epochMs(),
    residentMb: mb,
  });
  if (mb > profile.memoryMb) process.kill("SIGKILL");
};

/** Checks all machines' processes until `isOver`. */
export const watchMemory = async (
  deployment: WatchedDeployment,
  isOver: () => boolean,
): Promise<void> => {
  while (!isOver()) {
    await Promise.all(deployment.machines.map((machine) => checkMachine(machine, deployment)));
    await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
};
