/** A deployment of real processes: the system's machines, and worker processes for backends and clients. */
import { fork, type ChildProcess } from "node:child_process";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createMachines,
  type DeploymentMachine,
  endFirstStart,
  findNetwork,
  killMachine,
  type MachinePorts,
  readDeployCommand,
  startMachine,
  stopMachine,
} from "./deployment-machine.js";
import type { DeploymentProfile } from "./deployment-profile.js";
import { EventLog, epochMs, watchEventLoop } from "./event-log.js";
import { sendHarnessRequest } from "./harness-request.js";
import { watchMemory } from "./memory-watch.js";
import type { WorkerCommand, WorkerOptions } from "./worker-protocol.js";

/** The options of a run that concern its processes. */
export interface DeploymentOptions {
  readonly seed: number;
  /** Fraction of the profile's requests that is sent. */
  readonly rate: number;
  /** The repository's root, with the deploy file and the bundle. */
  readonly root: string;
  readonly random: () => number;
}

const READINESS_INTERVAL_MS = 1000;
/** A daemon that misses this many checks receives no new connections. */
const MAX_MISSED_CHECKS = 2;
const BACKEND_PROCESSES = 2;
const CLIENT_PROCESSES = 2;

interface Worker {
  readonly child: ChildProcess;
  readonly eventsFile: string;
}

/** All processes of a run. */
export class Deployment {
  readonly profile: DeploymentProfile;
  readonly folder: string;
  readonly machines: readonly DeploymentMachine[];
  readonly ports: MachinePorts;
  readonly log: EventLog;
  private readonly network: string;
  private readonly options: DeploymentOptions;
  private readonly mainEventsFile: string;
  private readonly backends: Worker[] = [];
  private readonly clients: Worker[] = [];
  private readonly missedChecks = new Map<string, number>();
  private isOver = false;

  private constructor(
    profile: DeploymentProfile,
    options: DeploymentOptions,
    layout: {
      folder: string;
      network: string;
      ports: MachinePorts;
      machines: DeploymentMachine[];
    },
  ) {
    this.profile = profile;
    this.options = options;
    this.folder = layout.folder;
    this.network = layout.network;
    this.ports = layout.ports;
    this.machines = layout.machines;
    this.mainEventsFile = join(layout.folder, "main.events");
    this.log = new EventLog(this.mainEventsFile);
    watchEventLoop("main", this.log).unref();
  }

  /** Writes the settings files of all machines; no process is started. */
  static async create(profile: DeploymentProfile, options: DeploymentOptions): Promise<Deployment> {
    const folder = await mkdtemp(join(tmpdir(), "daledoor-deployment-"));
    const count = profile.members + profile.edges;
    const { network, ports } = await findNetwork(count, Math.random);
    const machines = await createMachines(profile, { network, ports, folder });
    return new Deployment(profile, options, { folder, network, ports, machines });
  }

  /** The files with the events of all processes. */
  get eventsFiles(): string[] {
    const workers = [...this.backends, ...this.clients];
    return [this.mainEventsFile, ...workers.map(({ eventsFile }) => eventsFile)];
  }

  /** Number of machines that would receive new connections. */
  get readyCount(): number {
    return this.machines.filter(({ name }) => this.isReady(name)).length;
  }

  /** Starts the machines, and the workers without their work. */
  async start(): Promise<void> {
    const command = await readDeployCommand(join(this.options.root, "deploy/system.toml"));
    const rooted = command.map((part) =>
      part.startsWith("target/") ? join(this.options.root, part) : part,
    );
    for (const machine of this.machines) startMachine(machine, rooted, () => this.isOver);
    for (let index = 0; index < BACKEND_PROCESSES; index += 1)
      this.backends.push(this.fork("backends", index, BACKEND_PROCESSES));
    for (let index = 0; index < CLIENT_PROCESSES; index += 1)
      this.clients.push(this.fork("clients", index, CLIENT_PROCESSES));
    void this.checkReadiness();
    void watchMemory(this, () => this.isOver);
  }

  /** Starts backends and their heartbeats. */
  startBackends(): void {
    this.command(this.backends, { kind: "start" });
  }

  /** Starts the clients' requests. */
  startClients(): void {
    this.command(this.clients, { kind: "start" });
  }

  /** Makes backends leave, the same number in each of their processes, and starts as many others. */
  leave(count: number, how: "drain" | "deregister"): void {
    this.command(this.backends, {
      kind: "leave",
      count: Math.ceil(count / BACKEND_PROCESSES),
      how,
    });
  }

  /** Stops a machine as the platform does, unless it is being stopped; it is started again. */
  async stopMachine(machine: DeploymentMachine): Promise<void> {
    if (machine.isStopping) return;
    const atMs = epochMs();
    await stopMachine(machine, this.profile.bounds.graceMs);
    this.log.add({ kind: "stop", machine: machine.ip, atMs, endedMs: epochMs() });
  }

  /** Tells the machines that the system has started before: from now on an empty disk is a lost one. */
  endFirstStart(): Promise<void> {
    return endFirstStart(this.machines);
  }

  /** Kills a machine's process, unless it is being stopped; it is started again after `downMs`. */
  async killMachine(
    machine: DeploymentMachine,
    options: { readonly downMs: number; readonly losesDisk: boolean },
  ): Promise<void> {
    if (machine.isStopping) return;
    const atMs = epochMs();
    await killMachine(machine, options);
    const { downMs, losesDisk } = options;
    this.log.add({ kind: "loss", machine: machine.ip, atMs, endedMs: atMs + downMs, losesDisk });
  }

  /** Stops the clients, waits for their last responses, and ends the workers. */
  async stopWorkers(): Promise<void> {
    for (const workers of [this.clients, this.backends]) {
      this.command(workers, { kind: "stop" });
      await Promise.all(
        workers.map(({ child }) => new Promise((resolve) => child.once("exit", resolve))),
      );
    }
    await this.log.close();
  }

  /** Ends all processes, by their ids. */
  async end(): Promise<void> {
    this.isOver = true;
    const children = [...this.machines.map((machine) => machine.process), ...this.workerProcesses];
    await Promise.all(
      children.map(
        (child) =>
          new Promise<void>((resolve) => {
            if (!child || child.exitCode !== null || child.signalCode !== null) return resolve();
            child.once("exit", () => resolve());
            child.kill("SIGKILL");
          }),
      ),
    );
  }

  private get workerProcesses(): ChildProcess[] {
    return [...this.backends, ...this.clients].map(({ child }) => child);
  }

  private isReady(name: string): boolean {
    return (this.missedChecks.get(name) ?? MAX_MISSED_CHECKS) < MAX_MISSED_CHECKS;
  }

  private fork(kind: "backends" | "clients", index: number, count: number): Worker {
    const name = `${kind}-${index + 1}`;
    const eventsFile = join(this.folder, `${name}.events`);
    const options: WorkerOptions = {
      profile: this.profile.name,
      machineCount: this.machines.length,
      name,
      index,
      count,
      seed: this.options.seed * 100 + index + (kind === "clients" ? 50 : 0),
      rate: this.options.rate,
      network: this.network,
      httpPort: this.ports.http,
      controlPort: this.ports.control,
      eventsFile,
    };
    const program = fileURLToPath(new URL(`${kind}-process.js`, import.meta.url));
    return { child: fork(program, [JSON.stringify(options)]), eventsFile };
  }

  private command(workers: readonly Worker[], command: WorkerCommand): void {
    for (const { child } of workers) if (child.connected) child.send(command);
  }

  /** Asks all daemons once a second whether they are ready, and tells the clients. */
  private async checkReadiness(): Promise<void> {
    while (!this.isOver) {
      const startedMs = epochMs();
      await Promise.all(this.machines.map((machine) => this.checkMachine(machine)));
      const machines: Record<string, string[]> = {};
      for (const zone of this.profile.zones) machines[zone] = this.readyMachines(zone);
      this.command(this.clients, { kind: "ready", machines });
      await new Promise((resolve) =>
        setTimeout(resolve, Math.max(0, READINESS_INTERVAL_MS - (epochMs() - startedMs))),
      );
    }
  }

  private async checkMachine({ name, ip }: DeploymentMachine): Promise<void> {
    const { status } = await sendHarnessRequest({
      host: ip,
      port: this.ports.ready,
      method: "GET",
      path: "/daledoor/readyz",
      timeoutMs: READINESS_INTERVAL_MS,
    });
    const missed = this.missedChecks.get(name) ?? MAX_MISSED_CHECKS;
    this.missedChecks.set(name, status === 200 ? 0 : missed + 1);
  }

  /** The machines of a zone that receive new connections: all of them if fewer than half are ready. */
  private readyMachines(zone: string): string[] {
    const inZone = this.machines.filter((machine) => machine.zone === zone);
    const ready = inZone.filter(({ name }) => this.isReady(name));
    return (ready.length * 2 < inZone.length ? inZone : ready).map(({ ip }) => ip);
  }
}
