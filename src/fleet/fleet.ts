/** A fleet of real daemon processes, for failures that the simulator can't reproduce. */
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { rm } from "node:fs/promises";
import type { Server } from "node:http";
import { fileURLToPath } from "node:url";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { systemClock, sleep } from "../runtime/clock.js";
import type { Settings } from "../daemon/settings.js";
import { type Task, waitFor, fromPromise, runTask } from "../runtime/task.js";
import { Workload } from "../simulation/workload.js";
import type { ClientOutcome, ClientTransport } from "../simulation/client-transport.js";
import { RandomDraw } from "../simulation/random-draw.js";
import { EventRecorder } from "../simulation/event-recorder.js";
import type { Profile } from "../simulation/profile.js";
import { TestBackend } from "../simulation/test-backend.js";
import { FleetClient, noResponse, sendAdminRequest } from "./fleet-client.js";
import { createFleetLayout, type FleetMachine } from "./fleet-layout.js";
import { openTestBackendServer } from "./test-backend-server.js";

/** Path of the compiled command line program, also when this module itself runs uncompiled. */
export const daemonProgram = fileURLToPath(
  new URL(
    import.meta.url.endsWith(".ts") ? "../../dist/cli/main.js" : "../cli/main.js",
    import.meta.url,
  ),
);
const READINESS_CHECK_INTERVAL_MS = 200;
/** Interval between an operator's reads of the configuration. */
const CONFIG_READ_INTERVAL_MS = 1000;
const HEARTBEAT_INTERVAL_MS = 1000;
const PROBES_PER_SECOND = 8;

/** A fleet of real daemon processes on this machine, with test clients, backends and operators. */
export class Fleet {
  readonly clock = systemClock();
  readonly recorder = new EventRecorder();
  readonly profile: Profile;
  readonly folder: string;
  readonly machines: FleetMachine[];
  readonly testBackends: TestBackend[];
  readonly workload: Workload;
  private readonly random: () => number;
  private readonly servers = new Map<string, Server>();
  private readonly client = new FleetClient();
  /** Errors of the harness itself. If there are any, the results of the run are invalid. */
  readonly harnessErrors: unknown[] = [];
  private isShutDown = false;

  private constructor(
    profile: Profile,
    seed: number,
    rateFactor: number,
    folder: string,
    machines: FleetMachine[],
    backendAddresses: readonly string[],
  ) {
    this.profile = profile;
    this.folder = folder;
    this.machines = machines;
    this.random = RandomDraw.of(seed);
    const bodyBytes = new Map(
      profile.traffic.map((traffic) => [
        `${traffic.method} /${traffic.path(0).split("/")[1] ?? ""}`,
        traffic.bodyBytes,
      ]),
    );
    const addresses = [...backendAddresses];
    this.testBackends = Object.entries(profile.backends).flatMap(([service, count]) =>
      Array.from(
        { length: count },
        (_, index) =>
          new TestBackend(
            addresses.shift() ?? "",
            profile.zones[index % profile.zones.length] ?? "",
            service,
            this.recorder,
            this.random,
            bodyBytes,
          ),
      ),
    );
    this.workload = new Workload(this.createTransport(), profile, this.recorder, rateFactor);
  }

  /** Creates a fleet with free ports and new settings files, without starting a process. */
  static async create(profile: Profile, seed: number, rateFactor: number): Promise<Fleet> {
    const { folder, machines, backendAddresses } = await createFleetLayout(profile);
    return new Fleet(profile, seed, rateFactor, folder, machines, backendAddresses);
  }

  /** Starts daemons, backends, heartbeats and readiness checks. */
  async startProcesses(): Promise<void> {
    await Promise.all(this.testBackends.map((testBackend) => this.openBackend(testBackend)));
    for (const machine of this.machines) this.boot(machine);
    for (const machine of this.machines) this.start(this.pollReadiness(machine));
    for (const testBackend of this.testBackends)
      this.start(this.workload.sendHeartbeats(testBackend, HEARTBEAT_INTERVAL_MS));
  }

  /** Starts the requests of clients, probes and operators. */
  startRequests(): void {
    for (const traffic of this.profile.traffic) this.start(this.workload.runClients(traffic));
    this.start(this.workload.runProbes(PROBES_PER_SECOND));
    this.start(this.workload.operators.readPeriodically(CONFIG_READ_INTERVAL_MS));
  }

  /** Starts a machine's daemon, whose error output is appended to a log file beside its settings file. */
  boot(machine: FleetMachine): void {
    const child = spawn(
      process.execPath,
      [daemonProgram, "run", "--settings", machine.settingsFile],
      { stdio: ["ignore", "ignore", "pipe"] },
    );
    child.stderr.pipe(createWriteStream(`${machine.settingsFile}.log`, { flags: "a" }));
    machine.process = child;
    machine.exitCode = undefined;
    child.once("exit", (code) => {
      machine.exitCode = code;
      if (machine.process === child) machine.process = undefined;
      machine.isReady = false;
    });
  }

  /** Simulates a full disk by limiting the size of the daemon's files to 1 byte, or removes that limit. */
  *fillDisk(machine: FleetMachine, isFull: boolean): Task {
    const pid = machine.process?.pid;
    if (pid === undefined) return;
    yield* waitFor<boolean>((resume) =>
      spawn("prlimit", [`--fsize=${isFull ? "1" : "unlimited"}:unlimited`, `--pid=${pid}`], {
        stdio: "ignore",
      }).once("exit", () => resume(true)),
    );
  }

  /** Kills a daemon's process with SIGKILL and waits until it has ended. */
  *kill(machine: FleetMachine): Task {
    const child = machine.process;
    if (!child) return;
    this.recorder.environmentRecords.push({
      kind: "killed",
      atMs: this.clock.nowMs(),
      daemon: machine.settings.machine,
    });
    machine.isReady = false;
    yield* waitFor<boolean>((resume) => {
      child.once("exit", () => resume(true));
      child.kill("SIGKILL");
    });
  }

  /** Suspends a daemon's process for some time, as happens on a machine that swaps or migrates. */
  *freeze(machine: FleetMachine, durationMs: number): Task {
    machine.process?.kill("SIGSTOP");
    yield* sleep(this.clock, durationMs);
    machine.process?.kill("SIGCONT");
  }

  /** Stops a daemon with SIGTERM and waits until its process has ended. */
  *stop(machine: FleetMachine): Task {
    const child = machine.process;
    if (!child) return;
    const atMs = this.clock.nowMs();
    yield* waitFor<boolean>((resume) => {
      child.once("exit", () => resume(true));
      child.kill("SIGTERM");
    });
    this.recorder.environmentRecords.push({
      kind: "stopped",
      atMs,
      daemon: machine.settings.machine,
      endedMs: this.clock.nowMs(),
    });
  }

  /** Stops a backend abruptly: closes its port and breaks its connections. */
  *crash(testBackend: TestBackend): Task {
    testBackend.stop();
    const server = this.servers.get(testBackend.address);
    this.servers.delete(testBackend.address);
    if (!server) return;
    yield* waitFor<boolean>((resume) => {
      server.close(() => resume(true));
      server.closeAllConnections();
    });
  }

  /** Replaces a backend by a new instance at the same address, which may belong to another service. */
  *replace(testBackend: TestBackend, service: string): Task {
    testBackend.replace(service);
    yield* fromPromise(this.openBackend(testBackend));
  }

  /** Waits until a condition holds; returns false after the timeout. */
  *waitUntil(condition: () => boolean, timeoutMs: number): Task<boolean> {
    const deadlineMs = this.clock.nowMs() + timeoutMs;
    while (!condition()) {
      if (this.clock.nowMs() > deadlineMs) return false;
      yield* sleep(this.clock, 50);
    }
    return true;
  }

  /** Reads the status that a daemon reports; undefined if the daemon doesn't respond. */
  *fetchStatus(machine: FleetMachine): Task<unknown> {
    const response = yield* this.sendAdminRequest(machine.settings.machine, {
      method: "GET",
      target: "/status",
      headers: {},
      body: Buffer.alloc(0),
    });
    return response ? JSON.parse(Buffer.from(response.body).toString()) : undefined;
  }

  /** Starts a task in the background, and records an error that it throws as one of the harness. */
  start(task: Task<unknown>): void {
    runTask(task, (error) => {
      this.harnessErrors.push(error);
      process.stderr.write(
        `fleet: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
      );
    });
  }

  /** Runs a task to its end and returns its value. */
  run<T>(task: Task<T>): Promise<T> {
    return new Promise((resolve, reject) => runTask(task, reject, resolve));
  }

  /** Ends all processes, servers and requests of this fleet, and removes its folder unless `keepFolder` is set. */
  async shutDown(keepFolder: boolean): Promise<void> {
    this.isShutDown = true;
    this.workload.isOver = true;
    await Promise.all(
      this.machines.map(
        (machine) =>
          new Promise<void>((resolve) => {
            const child = machine.process;
            if (!child) return resolve();
            child.once("exit", () => resolve());
            child.kill("SIGKILL");
          }),
      ),
    );
    for (const server of this.servers.values()) {
      server.close();
      server.closeAllConnections();
    }
    await this.client.close();
    if (!keepFolder) await rm(this.folder, { recursive: true, force: true });
  }

  private async openBackend(testBackend: TestBackend): Promise<void> {
    const server = await openTestBackendServer(testBackend, this.clock);
    this.servers.set(testBackend.address, server);
  }

  /** Polls a daemon's readiness periodically, as a load balancer does. */
  private *pollReadiness(machine: FleetMachine): Task {
    while (!this.isShutDown) {
      yield* sleep(this.clock, READINESS_CHECK_INTERVAL_MS);
      if (!machine.process) continue;
      const response = yield* this.sendAdminRequest(machine.settings.machine, {
        method: "GET",
        target: "/ready",
        headers: {},
        body: Buffer.alloc(0),
      });
      machine.isReady = response?.code === 200 && machine.process !== undefined;
    }
  }

  private createTransport(): ClientTransport {
    return {
      clock: this.clock,
      random: this.random,
      start: (task) => this.start(task),
      readyDaemons: () =>
        this.machines
          .filter(({ settings, isReady }) => settings.callers !== undefined && isReady)
          .map(({ settings }) => settings),
      isUp: (daemon) =>
        this.machines.some(
          (machine) => machine.settings.machine === daemon && machine.process !== undefined,
        ),
      sendRequest: (daemon, clientRequest, timeoutMs) =>
        this.sendRequest(daemon, clientRequest, timeoutMs),
      sendAdminRequest: (daemon, clientRequest) => this.sendAdminRequest(daemon, clientRequest),
    };
  }

  private findSettings(name: string): Settings | undefined {
    return this.machines.find(({ settings }) => settings.machine === name)?.settings;
  }

  private *sendRequest(
    daemon: string,
    clientRequest: ProxyRequest,
    timeoutMs: number,
  ): Task<ClientOutcome> {
    const address = this.findSettings(daemon)?.callers;
    if (address === undefined) return noResponse("refused");
    return yield* this.client.send(address, clientRequest, timeoutMs);
  }

  /** Sends a request to the admin API of a daemon, or of a random running one if no name is given. */
  private *sendAdminRequest(
    name: string | undefined,
    clientRequest: ProxyRequest,
  ): Task<ClientResponse | undefined> {
    const runningMachines = this.machines.filter(({ process }) => process !== undefined);
    const settings =
      name === undefined
        ? runningMachines[Math.floor(this.random() * runningMachines.length)]?.settings
        : this.findSettings(name);
    if (!settings) return undefined;
    return yield* sendAdminRequest(settings.operators, clientRequest);
  }
}
