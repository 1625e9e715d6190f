/** The worker process that runs a share of a deployment's backends. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { RandomDraw } from "../../simulation/random-draw.js";
import { deploymentProfiles, withMachines } from "./deployment-profile.js";
import { EventLog, epochMs, watchEventLoop } from "./event-log.js";
import { sendHarnessRequest } from "./harness-request.js";
import { onCommand, readWorkerOptions, type WorkerCommand } from "./worker-protocol.js";

const HEARTBEAT_MS = 1300;
const CALL_TIMEOUT_MS = 1000;
/** A backend queues this many times its capacity. */
const QUEUE_FACTOR = 4;
/** How long a leaving backend serves on beyond the bound after the acknowledgment. */
const SERVE_ON_MS = 1000;
/** When a leaving backend ends without an acknowledgment. */
const GIVE_UP_LEAVE_MS = 8000;
const IDLE_CONNECTION_MS = 10_000;

const options = readWorkerOptions();
const baseProfile = deploymentProfiles.get(options.profile);
if (!baseProfile) throw new Error(`unknown profile "${options.profile}"`);
const profile = withMachines(baseProfile, options.machineCount);
const log = new EventLog(options.eventsFile);
const random = RandomDraw.of(options.seed);
const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

interface BackendSpec {
  readonly service: string;
  readonly capacity: number;
  readonly zone: string;
}

/** One backend: works on a few requests at a time and sends heartbeats. */
class Backend {
  readonly id = `i-${Math.floor(random() * 0xffffffff).toString(16)}${Date.now().toString(16)}`;
  readonly spec: BackendSpec;
  private readonly server: Server;
  private address = "";
  private calls = 0;
  private active = 0;
  private readonly queue: Array<() => void> = [];
  isLeaving = false;
  private isOver = false;

  constructor(spec: BackendSpec) {
    this.spec = spec;
    this.server = createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = IDLE_CONNECTION_MS;
  }

  async start(): Promise<void> {
    const host = `${options.network}.250`;
    await new Promise<void>((resolve) => this.server.listen({ host, port: 0 }, resolve));
    const address = this.server.address();
    this.address = `${host}:${address !== null && typeof address === "object" ? address.port : 0}`;
    await sleep(random() * HEARTBEAT_MS);
    void this.sendHeartbeats();
  }

  /** Leaves as the protocol says, and ends some time after the acknowledgment. */
  async leave(how: "drain" | "deregister"): Promise<void> {
    this.isLeaving = true;
    const saidMs = epochMs();
    let calls = 0;
    let ackMs: number | undefined;
    while (ackMs === undefined && epochMs() - saidMs < GIVE_UP_LEAVE_MS) {
      calls += 1;
      const isDone = how === "drain" ? await this.beat("draining") : await this.deregister();
      if (isDone) ackMs = epochMs();
      else await sleep(50);
    }
    log.add({
      kind: "leave",
      backend: this.id,
      saidMs,
      calls,
      ...(ackMs === undefined ? {} : { ackMs }),
    });
    await sleep(profile.bounds.drainMs + SERVE_ON_MS);
    if (how === "drain") await this.deregister();
    this.close();
  }

  close(): void {
    this.isOver = true;
    this.server.close();
    this.server.closeAllConnections();
  }

  private async sendHeartbeats(): Promise<void> {
    while (!this.isOver) {
      if (!this.isLeaving) await this.beat("up");
      await sleep(HEARTBEAT_MS * (0.9 + 0.2 * random()));
    }
  }

  private call(action: string, body?: string): Promise<boolean> {
    const machine = 1 + Math.floor(random() * options.machineCount);
    return sendHarnessRequest({
      host: `${options.network}.${machine}`,
      port: options.controlPort,
      method: "POST",
      path: `/daledoor/backends/${this.id}/${action}`,
      timeoutMs: CALL_TIMEOUT_MS,
      ...(body === undefined ? {} : { body }),
    }).then(({ status }) => status >= 200 && status < 300);
  }

  private async beat(state: "up" | "draining"): Promise<boolean> {
    this.calls += 1;
    const { service, zone, capacity } = this.spec;
    const fields = { svc: service, addr: this.address, zone, ver: "v1", capacity, state };
    const body = JSON.stringify({ ...fields, warmLeft: "0ms", calls: this.calls });
    return this.call("heartbeat", body);
  }

  private deregister(): Promise<boolean> {
    return this.call("deregister");
  }

  private handle(request: IncomingMessage, response: ServerResponse): void {
    request.on("error", () => undefined);
    response.on("error", () => undefined);
    const wanted = request.headers["want-backend"];
    if (wanted !== undefined && wanted !== this.id) {
      request.resume();
      response.writeHead(421, { backend: this.id }).end();
      return;
    }
    if (request.url === "/healthz") {
      response.writeHead(this.isLeaving ? 503 : 200, { backend: this.id }).end();
      return;
    }
    request.resume();
    request.once("end", () => this.enqueue(request, response));
  }

  private enqueue(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers["try-id"] ?? "");
    if (this.active + this.queue.length >= this.spec.capacity * (1 + QUEUE_FACTOR)) {
      response.writeHead(503, { "try-id": id, "not-run": "full" }).end();
      return;
    }
    const run = (): void => {
      if (response.destroyed) return this.runNext();
      this.active += 1;
      this.work(request, response, id);
    };
    if (this.active < this.spec.capacity) run();
    else this.queue.push(run);
  }

  private work(request: IncomingMessage, response: ServerResponse, id: string): void {
    const path = request.url ?? "";
    log.add({
      kind: "run",
      id,
      backend: this.id,
      service: this.spec.service,
      path,
      atMs: epochMs(),
    });
    const traffic = profile.traffic.find(({ name }) => path.startsWith(`/${name}/`));
    const workMs = (traffic?.workMs ?? 1) * (0.7 + 0.6 * random());
    setTimeout(() => {
      this.active -= 1;
      this.respond(response, id, Math.round((traffic?.responseBytes ?? 20) * (0.5 + random())));
      this.runNext();
    }, workMs);
  }

  private respond(response: ServerResponse, id: string, bytes: number): void {
    if (response.destroyed) return;
    response.once("finish", () => log.add({ kind: "runEnd", id, atMs: epochMs() }));
    const headers = { "try-id": id, seal: `${id}.${bytes}`, "content-length": String(bytes) };
    response.writeHead(200, this.isLeaving ? { ...headers, connection: "close" } : headers);
    response.end(Buffer.alloc(bytes, "x"));
  }

  private runNext(): void {
    if (this.active < this.spec.capacity) this.queue.shift()?.();
  }
}

const backends: Backend[] = [];

const addBackend = async (spec: BackendSpec): Promise<void> => {
  const backend = new Backend(spec);
  backends.push(backend);
  await backend.start();
};

const startBackends = async (): Promise<void> => {
  const specs = profile.services.flatMap(({ name, backends: count, capacity }) =>
    Array.from({ length: count }, (_, index) => ({
      service: name,
      capacity,
      zone: profile.zones[index % profile.zones.length] ?? "",
    })),
  );
  await Promise.all(
    specs.filter((_, index) => index % options.count === options.index).map(addBackend),
  );
};

/** Makes some backends leave, and starts a replacement for each. */
const leaveSome = (count: number, how: "drain" | "deregister"): void => {
  const staying = backends.filter(({ isLeaving }) => !isLeaving);
  for (const backend of staying.slice(0, count)) {
    void backend.leave(how);
    void addBackend(backend.spec);
  }
};

const handle = (command: WorkerCommand): void => {
  if (command.kind === "start") void startBackends();
  else if (command.kind === "leave") leaveSome(command.count, command.how);
  else if (command.kind === "stop") {
    for (const backend of backends) backend.close();
    void log.close().then(() => process.exit(0));
  }
};

watchEventLoop(options.name, log);
onCommand(handle);
