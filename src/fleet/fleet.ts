import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer as createHttpServer, type Server } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Pool, request } from "undici";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { Address } from "../runtime/network.js";
import { Clock } from "../runtime/clock.js";
import type { Settings } from "../daemon/settings.js";
import { Task } from "../runtime/task.js";
import { SERVICE_PROOF_PATH, SERVICE_HEADER } from "../proxy/upstream/backend-client.js";
import { CLIENT_TIMEOUT_MS, Workload } from "../simulation/workload.js";
import type { ClientSide, ClientTransport } from "../simulation/client-transport.js";
import { RandomDraw } from "../simulation/random-draw.js";
import { EventRecorder } from "../simulation/event-recorder.js";
import type { Profile } from "../simulation/profile.js";
import { TestBackend } from "../simulation/test-backend.js";

/** One machine of a fleet of real processes. */
export interface FleetMachine {
  readonly settings: Settings;
  readonly settingsFile: string;
  process: ChildProcess | undefined;
  isReady: boolean;
  /** How its process last ended. */
  exitCode: number | null | undefined;
}

/** Exported for its test. */
export const daemonProgram = fileURLToPath(
  new URL(
    import.meta.url.endsWith(".ts") ? "../../dist/cli/main.js" : "../cli/main.js",
    import.meta.url,
  ),
);
const readyEveryMs = 200;
/** How often an operator reads the configuration. */
const readEveryMs = 1000;

/** Ports that nobody listens on now. */
export const freePorts = async (count: number): Promise<number[]> => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<{ port: number; close: () => Promise<void> }>((done, fail) => {
          const server = createServer();
          server.once("error", fail);
          server.listen(0, "127.0.0.1", () => {
            const bound = server.address();
            const port = bound !== null && typeof bound === "object" ? bound.port : 0;
            done({ port, close: () => new Promise((closed) => server.close(() => closed())) });
          });
        }),
    ),
  );
  await Promise.all(servers.map(({ close }) => close()));
  return servers.map(({ port }) => port);
};

const codeOf = (error: unknown): string =>
  error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : "";

const noEnd = (broke: ClientSide["broke"]): ClientSide => ({
  code: 0,
  broke,
  body: Buffer.alloc(0),
  statedBytes: undefined,
  retryAfterS: undefined,
});

const first = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** A whole fleet of real daemons on this machine, with callers, back ends and operators of our own. */
export class Fleet {
  readonly clock = Clock.real();
  readonly recorder = new EventRecorder();
  readonly profile: Profile;
  readonly folder: string;
  readonly machines: FleetMachine[];
  readonly testBackends: TestBackend[];
  readonly day: Workload;
  private readonly random: () => number;
  private readonly servers = new Map<string, Server>();
  private readonly pools = new Map<string, Pool>();
  /** What the rehearsal itself broke down on: with any of these, a run proves nothing. */
  readonly failures: unknown[] = [];
  private isOver = false;

  private constructor(
    profile: Profile,
    seed: number,
    rateFactor: number,
    folder: string,
    machines: FleetMachine[],
    standInPorts: number[],
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
    const ports = [...standInPorts];
    this.testBackends = Object.entries(profile.backEnds).flatMap(([service, many]) =>
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
    this.day = new Workload(this.outside(), profile, this.recorder, rateFactor);
  }

  /** Lays a fleet out: free ports, settings files and data folders. */
  static async lay(profile: Profile, seed: number, rateFactor: number): Promise<Fleet> {
    const folder = await mkdtemp(join(tmpdir(), "daledoor-fleet-"));
    const count = profile.diskMachines + profile.smallMachines;
    const backEnds = Object.values(profile.backEnds).reduce((sum, many) => sum + many, 0);
    const ports = await freePorts(count * 3 + backEnds);
    const address = (at: number): string => `127.0.0.1:${ports[at] ?? 0}`;
    const seeds = [address(0), address(3), address(6)];
    const machines: FleetMachine[] = [];
    for (let at = 0; at < count; at += 1) {
      const hasDisk = at < profile.diskMachines;
      const name = `${hasDisk ? "disk" : "small"}-${at + 1}`;
      const settings: Settings = {
        machine: name,
        zone: profile.zones[at % profile.zones.length] ?? "",
        operators: address(at * 3 + 1),
        peers: address(at * 3),
        seeds,
        ...(hasDisk ? { dataFolder: join(folder, name) } : { callers: address(at * 3 + 2) }),
      };
      await mkdir(join(folder, name), { recursive: true });
      const settingsFile = join(folder, name, "settings.json");
      await writeFile(
        settingsFile,
        JSON.stringify(
          { ...settings, ...(hasDisk ? { dataFolder: join(folder, name, "data") } : {}) },
          null,
          2,
        ),
      );
      machines.push({
        settings,
        settingsFile,
        process: undefined,
        isReady: false,
        exitCode: undefined,
      });
    }
    return new Fleet(profile, seed, rateFactor, folder, machines, ports.slice(count * 3));
  }

  /** Starts daemons, back ends, callers and the platform's look at readiness. */
  async begin(): Promise<void> {
    await Promise.all(this.testBackends.map((testBackend) => this.open(testBackend)));
    for (const machine of this.machines) this.boot(machine);
    for (const machine of this.machines) this.start(this.watching(machine));
    for (const testBackend of this.testBackends) this.start(this.day.announcing(testBackend, 1000));
  }

  /** Lets callers come. */
  beginCalls(): void {
    for (const traffic of this.profile.traffic) this.start(this.day.callers(traffic));
    this.start(this.day.probers(8));
    this.start(this.day.operators.reading(readEveryMs));
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

  /** No file of a daemon may grow past a size any more, as on a full disk; or they may again. */
  *fillDisk(machine: FleetMachine, isFull: boolean): Task {
    const pid = machine.process?.pid;
    if (pid === undefined) return;
    yield* Task.wait<boolean>((done) =>
      spawn("prlimit", [`--fsize=${isFull ? "1" : "unlimited"}:unlimited`, `--pid=${pid}`], {
        stdio: "ignore",
      }).once("exit", () => done(true)),
    );
  }

  /** Kills a daemon's process at once. */
  *kill(machine: FleetMachine): Task {
    const child = machine.process;
    if (!child) return;
    this.recorder.world.push({
      kind: "killed",
      atMs: this.clock.nowMs(),
      daemon: machine.settings.machine,
    });
    machine.isReady = false;
    yield* Task.wait<boolean>((done) => {
      child.once("exit", () => done(true));
      child.kill("SIGKILL");
    });
  }

  /** Freezes a daemon's process for a while, as a machine that swaps or moves does. */
  *freeze(machine: FleetMachine, forMs: number): Task {
    machine.process?.kill("SIGSTOP");
    yield* Clock.sleep(this.clock, forMs);
    machine.process?.kill("SIGCONT");
  }

  /** Tells a daemon to stop and waits until its process has ended. */
  *stop(machine: FleetMachine): Task {
    const child = machine.process;
    if (!child) return;
    const atMs = this.clock.nowMs();
    yield* Task.wait<boolean>((done) => {
      child.once("exit", () => done(true));
      child.kill("SIGTERM");
    });
    this.recorder.world.push({
      kind: "stopped",
      atMs,
      daemon: machine.settings.machine,
      endedMs: this.clock.nowMs(),
    });
  }

  /** A back end's process ends: its port closes and its connections break. */
  *crash(testBackend: TestBackend): Task {
    testBackend.end();
    const server = this.servers.get(testBackend.address);
    this.servers.delete(testBackend.address);
    if (!server) return;
    yield* Task.wait<boolean>((done) => {
      server.close(() => done(true));
      server.closeAllConnections();
    });
  }

  /** A back end's place is taken by a new process, perhaps of another service. */
  *replace(testBackend: TestBackend, service: string): Task {
    testBackend.replace(service);
    yield* Task.fromPromise(this.open(testBackend));
  }

  /** Waits until a condition holds, at most so long. */
  *until(holds: () => boolean, waitMs: number): Task<boolean> {
    const untilMs = this.clock.nowMs() + waitMs;
    while (!holds()) {
      if (this.clock.nowMs() > untilMs) return false;
      yield* Clock.sleep(this.clock, 50);
    }
    return true;
  }

  /** How a daemon says that it stands. */
  *status(machine: FleetMachine): Task<unknown> {
    const response = yield* this.desk(machine.settings.machine, {
      method: "GET",
      target: "/status",
      headers: {},
      body: Buffer.alloc(0),
    });
    return response ? JSON.parse(Buffer.from(response.body).toString()) : undefined;
  }

  start(task: Task<unknown>): void {
    Task.start(task, (error) => {
      this.failures.push(error);
      process.stderr.write(
        `fleet: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
      );
    });
  }

  /** Runs a task of the fleet to its end. */
  perform<T>(task: Task<T>): Promise<T> {
    return new Promise((done, fail) => Task.start(task, fail, done));
  }

  /** Ends everything that was started here; the folder goes with it unless it is to be kept. */
  async end(keep: boolean): Promise<void> {
    this.isOver = true;
    this.day.isOver = true;
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
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
    if (!keep) await rm(this.folder, { recursive: true, force: true });
  }

  private async open(testBackend: TestBackend): Promise<void> {
    const server = createHttpServer((incoming, outgoing) => {
      if (incoming.url === SERVICE_PROOF_PATH)
        return void outgoing.writeHead(204, { [SERVICE_HEADER]: testBackend.service }).end();
      const pieces: Buffer[] = [];
      incoming.on("data", (piece: Buffer) => pieces.push(piece));
      incoming.on("error", () => undefined);
      outgoing.on("error", () => undefined);
      incoming.on("end", () => {
        const headers: Record<string, string> = {};
        for (const [name, value] of Object.entries(incoming.headers))
          headers[name] = first(value) ?? "";
        const reply = testBackend.run(
          {
            method: incoming.method ?? "",
            path: incoming.url ?? "",
            headers,
            body: Buffer.concat(pieces),
          },
          this.clock.nowMs(),
        );
        this.clock.after(reply.waitMs, () => {
          if (reply.isLost) return outgoing.destroy();
          outgoing.writeHead(reply.code, reply.headers);
          if (reply.cutAt === undefined) return outgoing.end(reply.body);
          outgoing.write(reply.body.subarray(0, reply.cutAt), () => outgoing.destroy());
        });
      });
    });
    await new Promise<void>((done, fail) => {
      server.once("error", fail);
      server.listen(Address.parts(testBackend.address), done);
    });
    this.servers.set(testBackend.address, server);
  }

  private *watching(machine: FleetMachine): Task {
    while (!this.isOver) {
      yield* Clock.sleep(this.clock, readyEveryMs);
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
      ready: () =>
        this.machines
          .filter((one) => one.settings.callers !== undefined && one.isReady)
          .map(({ settings }) => settings),
      isUp: (daemon) =>
        this.machines.some((one) => one.settings.machine === daemon && one.process !== undefined),
      call: (daemon, clientRequest, patienceMs) => this.call(daemon, clientRequest, patienceMs),
      desk: (daemon, clientRequest) => this.desk(daemon, clientRequest),
    };
  }

  private settingsOf(name: string): Settings | undefined {
    return this.machines.find(({ settings }) => settings.machine === name)?.settings;
  }

  private pool(address: string): Pool {
    const known = this.pools.get(address);
    if (known) return known;
    const pool = new Pool(`http://${address}`, { pipelining: 1, connections: 200 });
    this.pools.set(address, pool);
    return pool;
  }

  private *call(daemon: string, clientRequest: ProxyRequest, patienceMs: number): Task<ClientSide> {
    const callers = this.settingsOf(daemon)?.callers;
    if (callers === undefined) return noEnd("refused");
    const ret = yield* Task.fromPromise(
      this.pool(callers)
        .request({
          method: clientRequest.method,
          path: clientRequest.target,
          headers: clientRequest.headers,
          body: clientRequest.body.length > 0 ? clientRequest.body : null,
          signal: AbortSignal.timeout(Math.ceil(patienceMs)),
        })
        .then(async ({ statusCode, headers, body }) => ({
          statusCode,
          headers,
          body: Buffer.from(await body.arrayBuffer()),
        })),
    );
    if ("error" in ret) {
      const isTimeout = ret.error instanceof Error && ret.error.name === "TimeoutError";
      return noEnd(
        isTimeout
          ? patienceMs < CLIENT_TIMEOUT_MS
            ? "hungUp"
            : "silent"
          : codeOf(ret.error) === "ECONNREFUSED"
            ? "refused"
            : "broken",
      );
    }
    const { statusCode, headers, body } = ret.value;
    const stated = first(headers["content-length"]);
    const retryAfter = first(headers["retry-after"]);
    return {
      code: statusCode,
      broke: "",
      body,
      statedBytes: stated === undefined ? undefined : Number(stated),
      retryAfterS: retryAfter === undefined ? undefined : Number(retryAfter),
    };
  }

  private *desk(
    name: string | undefined,
    clientRequest: ProxyRequest,
  ): Task<ClientResponse | undefined> {
    const open = this.machines.filter((one) => one.process !== undefined);
    const settings =
      name === undefined
        ? open[Math.floor(this.random() * open.length)]?.settings
        : this.settingsOf(name);
    if (!settings) return undefined;
    const ret = yield* Task.fromPromise(
      request(`http://${settings.operators}${clientRequest.target}`, {
        method:
          clientRequest.method === "PUT"
            ? "PUT"
            : clientRequest.method === "PATCH"
              ? "PATCH"
              : clientRequest.method === "GET"
                ? "GET"
                : "POST",
        headers: clientRequest.headers,
        body: clientRequest.body.length > 0 ? clientRequest.body : null,
        signal: AbortSignal.timeout(5000),
      }).then(async ({ statusCode, body }) => ({
        code: statusCode,
        headers: {},
        body: Buffer.from(await body.arrayBuffer()),
      })),
    );
    return "value" in ret ? ret.value : undefined;
  }
}
