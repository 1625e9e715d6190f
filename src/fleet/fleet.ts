/** A fleet of real daemon processes, for tests of failures that the simulator can't show. */
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

/** The compiled command line, also where this module runs uncompiled. */
export const daemonProgram = fileURLToPath(
  new URL(
    import.meta.url.endsWith(".ts") ? "../../dist/cli/main.js" : "../cli/main.js",
    import.meta.url,
  ),
);
const READINESS_CHECK_INTERVAL_MS = 200;
/** How often an operator reads the configuration. */
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
  /** Errors of the harness itself: with any of these, the results of a run are void. */
  readonly harnessErrors: unknown[] = [];
  private isOver = false;

  private constructor(
    profile: Profile,
    seed: number,
    rateFactor: number,
    folder: string,
    machines: FleetMachine[],
    backendPorts: number[],
  ) {
    this.profile = profile;
    this.folder = folder;
    this.machines = machines;
    this.random = RandomDraw.of(seed);
    const bodyBytes = new Map(
      profile.traffic.map((one) => [
        `${one.method} /${one.path(0).split("/")[1] ?? ""}`,
        one.bodyBytes,
      ]),
    );
    const ports = [...backendPorts];
    this.testBackends = Object.entries(profile.backends).flatMap(([service, many]) =>
      Array.from(
        { length: many },
        (_, at) =>
          new TestBackend(
            `127.0.0.1:${ports.shift() ?? 0}`,
            profile.zones[at % profile.zones.length] ?? "",
            service,
            this.recorder,
            this.random,
            bodyBytes,
          ),
      ),
    );
    this.workload = new Workload(this.outside(), profile, this.recorder, rateFactor);
  }

  /** Lays a fleet out: free ports, settings files and data folders. */
  static async create(profile: Profile, seed: number, rateFactor: number): Promise<Fleet> {
    const { folder, machines, backendPorts } = await createFleetLayout(profile);
    return new Fleet(profile, seed, rateFactor, folder, machines, backendPorts);
  }

  /** Starts daemons, backends, heartbeats and readiness checks. */
  async startProcesses(): Promise<void> {
    await Promise.all(this.testBackends.map((testBackend) => this.openBackend(testBackend)));
    for (const machine of this.machines) this.boot(machine);
    for (const machine of this.machines) this.start(this.watchReadiness(machine));
    for (const testBackend of this.testBackends)
      this.start(this.workload.sendHeartbeats(testBackend, HEARTBEAT_INTERVAL_MS));
  }

  /** Starts the clients' requests. */
  startRequests(): void {
    for (const traffic of this.profile.traffic) this.start(this.workload.runClients(traffic));
    this.start(this.workload.runProbes(PROBES_PER_SECOND));
    this.start(this.workload.operators.readPeriodically(CONFIG_READ_INTERVAL_MS));
  }

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

  /** Fills a daemon's disk by a limit on its files' sizes, or lifts that limit. */
  *fillDisk(machine: FleetMachine, isFull: boolean): Task {
    const pid = machine.process?.pid;
    if (pid === undefined) return;
    yield* waitFor<boolean>((done) =>
      spawn("prlimit", [`--fsize=${isFull ? "1" : "unlimited"}:unlimited`, `--pid=${pid}`], {
        stdio: "ignore",
      }).once("exit", () => done(true)),
    );
  }

  /** Kills a daemon's process at once. */
  *kill(machine: FleetMachine): Task {
    const child = machine.process;
    if (!child) return;
    this.recorder.environmentRecords.push({
      kind: "killed",
      atMs: this.clock.nowMs(),
      daemon: machine.settings.machine,
    });
    machine.isReady = false;
    yield* waitFor<boolean>((done) => {
      child.once("exit", () => done(true));
      child.kill("SIGKILL");
    });
  }

  /** Suspends a daemon's process for a while, as on a machine that swaps or migrates. */
  *freeze(machine: FleetMachine, forMs: number): Task {
    machine.process?.kill("SIGSTOP");
    yield* sleep(this.clock, forMs);
    machine.process?.kill("SIGCONT");
  }

  /** Stops a daemon and waits until its process has ended. */
  *stop(machine: FleetMachine): Task {
    const child = machine.process;
    if (!child) return;
    const atMs = this.clock.nowMs();
    yield* waitFor<boolean>((done) => {
      child.once("exit", () => done(true));
      child.kill("SIGTERM");
    });
    this.recorder.environmentRecords.push({
      kind: "stopped",
      atMs,
      daemon: machine.settings.machine,
      endedMs: this.clock.nowMs(),
    });
  }

  /** Ends a backend: its port closes and its connections break. */
  *crash(testBackend: TestBackend): Task {
    testBackend.stop();
    const server = this.servers.get(testBackend.address);
    this.servers.delete(testBackend.address);
    if (!server) return;
    yield* waitFor<boolean>((done) => {
      server.close(() => done(true));
      server.closeAllConnections();
    });
  }

  /** Replaces a backend by a new process at its address, perhaps of another service. */
  *replace(testBackend: TestBackend, service: string): Task {
    testBackend.replace(service);
    yield* fromPromise(this.openBackend(testBackend));
  }

  /** Waits until a condition holds; false after the timeout. */
  *waitUntil(holds: () => boolean, waitMs: number): Task<boolean> {
    const untilMs = this.clock.nowMs() + waitMs;
    while (!holds()) {
      if (this.clock.nowMs() > untilMs) return false;
      yield* sleep(this.clock, 50);
    }
    return true;
  }

  /** The status that a daemon reports. */
  *fetchStatus(machine: FleetMachine): Task<unknown> {
    const response = yield* this.desk(machine.settings.machine, {
      method: "GET",
      target: "/status",
      headers: {},
      body: Buffer.alloc(0),
    });
    return response ? JSON.parse(Buffer.from(response.body).toString()) : undefined;
  }

  start(task: Task<unknown>): void {
    runTask(task, (error) => {
      this.harnessErrors.push(error);
      process.stderr.write(
        `fleet: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
      );
    });
  }

  /** Runs a task of the fleet to its end. */
  run<T>(task: Task<T>): Promise<T> {
    return new Promise((done, fail) => runTask(task, fail, done));
  }

  /** Ends everything that was started here, and removes the folder unless `keep` is set. */
  async shutDown(keep: boolean): Promise<void> {
    this.isOver = true;
    this.workload.isOver = true;
    await Promise.all(
      this.machines.map(
        (machine) =>
          new Promise<void>((done) => {
            const child = machine.process;
            if (!child) return done();
            child.once("exit", () => done());
            child.kill("SIGKILL");
          }),
      ),
    );
    for (const server of this.servers.values()) {
      server.close();
      server.closeAllConnections();
    }
    await this.client.close();
    if (!keep) await rm(this.folder, { recursive: true, force: true });
  }

  private async openBackend(testBackend: TestBackend): Promise<void> {
    const server = await openTestBackendServer(testBackend, this.clock);
    this.servers.set(testBackend.address, server);
  }

  /** Checks a daemon's readiness again and again, as a load balancer does. */
  private *watchReadiness(machine: FleetMachine): Task {
    while (!this.isOver) {
      yield* sleep(this.clock, READINESS_CHECK_INTERVAL_MS);
      if (!machine.process) continue;
      const response = yield* this.desk(machine.settings.machine, {
        method: "GET",
        target: "/ready",
        headers: {},
        body: Buffer.alloc(0),
      });
      machine.isReady = response?.code === 200 && machine.process !== undefined;
    }
  }

  private outside(): ClientTransport {
    return {
      clock: this.clock,
      random: this.random,
      start: (task) => this.start(task),
      readyDaemons: () =>
        this.machines
          .filter((one) => one.settings.callers !== undefined && one.isReady)
          .map(({ settings }) => settings),
      isUp: (daemon) =>
        this.machines.some((one) => one.settings.machine === daemon && one.process !== undefined),
      sendRequest: (daemon, clientRequest, timeoutMs) =>
        this.call(daemon, clientRequest, timeoutMs),
      sendAdminRequest: (daemon, clientRequest) => this.desk(daemon, clientRequest),
    };
  }

  private settingsOf(name: string): Settings | undefined {
    return this.machines.find(({ settings }) => settings.machine === name)?.settings;
  }

  private *call(
    daemon: string,
    clientRequest: ProxyRequest,
    timeoutMs: number,
  ): Task<ClientOutcome> {
    const address = this.settingsOf(daemon)?.callers;
    if (address === undefined) return noResponse("refused");
    return yield* this.client.send(address, clientRequest, timeoutMs);
  }

  private *desk(
    name: string | undefined,
    clientRequest: ProxyRequest,
  ): Task<ClientResponse | undefined> {
    const running = this.machines.filter((one) => one.process !== undefined);
    const settings =
      name === undefined
        ? running[Math.floor(this.random() * running.length)]?.settings
        : this.settingsOf(name);
    if (!settings) return undefined;
    return yield* sendAdminRequest(settings.operators, clientRequest);
  }
}
