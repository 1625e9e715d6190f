/** A fixture of the proxy: one daemon in simulated time, before backends whose replies a test scripts. */
import { headerNames } from "../../platform/header-names.js";
import {
  openedResponse,
  openFailure,
  type BackendAttempt,
  type BackendClient,
  type OpenResult,
} from "../../src/proxy/upstream/backend-client.js";
import type { ClientConnection, ProxyRequest } from "../../src/proxy/proxy-request.js";
import type { ClientResponse } from "../../src/proxy/request-outcome.js";
import { Daemon } from "../../src/daemon/daemon.js";
import type { Settings } from "../../src/daemon/settings.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualDisk } from "../../src/simulation/virtual-disk.js";
import { VirtualNetwork } from "../../src/simulation/virtual-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { type Clock, sleep } from "../../src/runtime/clock.js";
import { type LinkPacers, createLinkPacers } from "../../src/runtime/link-pacer.js";
import { type Task, runTask } from "../../src/runtime/task.js";

/** One request as it reached a backend. */
export interface ReceivedRequest {
  readonly address: string;
  readonly receivedMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  readonly tryId: string;
}

/** How a backend replies to a request: its connection breaks, it never replies, or its response. */
export type BackendReply =
  | "lost"
  | "late"
  | {
      readonly code: number;
      readonly headers: Record<string, string>;
      readonly chunks: ReadonlyArray<Uint8Array | "cut">;
      readonly waitMs?: number;
      readonly pieceMs?: number;
    };

const fail = (error: unknown): void => {
  throw error;
};

/** A complete success, as a backend sends it. */
export const success = (
  tryId: string,
  text: string,
  more: { code?: number; headers?: Record<string, string>; waitMs?: number } = {},
): Exclude<BackendReply, string> => {
  const body = Buffer.from(text);
  return {
    code: more.code ?? 200,
    headers: {
      "try-id": tryId,
      seal: `seal-of-${text}`,
      "content-type": "text/plain",
      "content-length": String(body.length),
      ...more.headers,
    },
    chunks: [body],
    ...(more.waitMs === undefined ? {} : { waitMs: more.waitMs }),
  };
};

/** A client that records its response. */
export class RecordingClient implements ClientConnection {
  isClosed = false;
  code = 0;
  headers: Record<string, string> = {};
  ending: "open" | "whole" | "cut" = "open";
  isStreamed = false;
  /** When the head came, and when the last byte. */
  headMs = -1;
  endMs = -1;
  readonly startedMs: number;
  private readonly chunks: Uint8Array[] = [];
  private readonly nowMs: () => number;

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
    this.startedMs = nowMs();
  }

  get body(): Buffer {
    return Buffer.concat(this.chunks);
  }

  /** How long it took until the response had ended. */
  get tookMs(): number {
    return this.endMs - this.startedMs;
  }

  respond({ code, headers, body }: ClientResponse): void {
    this.head(code, headers);
    this.chunks.push(body);
    this.close("whole");
  }

  writeHead(code: number, headers: Record<string, string>): void {
    this.isStreamed = true;
    this.head(code, headers);
  }

  *writeChunk(bytes: Uint8Array): Task<boolean> {
    this.chunks.push(bytes);
    return true;
  }

  end(): void {
    this.close("whole");
  }

  abort(): void {
    this.close("cut");
  }

  private head(code: number, headers: Record<string, string>): void {
    if (this.code !== 0) throw new Error("A client was answered twice.");
    this.code = code;
    this.headers = headers;
    this.headMs = this.nowMs();
  }

  private close(how: "whole" | "cut"): void {
    if (this.ending !== "open") throw new Error("A response ended twice.");
    this.ending = how;
    this.endMs = this.nowMs();
  }
}

/** How a fixture differs from the default one. */
export interface ProxyFixtureOptions {
  readonly backendClient?: (clock: Clock) => BackendClient;
  readonly linkMbps?: number;
}

/** One daemon that is a whole cluster, with the platform's headers, before backends whose replies a test scripts. */
export class ProxyFixture {
  readonly virtualClock = new VirtualClock();
  readonly receivedRequests: ReceivedRequest[] = [];
  readonly logLines: string[] = [];
  readonly disk: VirtualDisk;
  readonly daemon: Daemon;
  /** The reply to each request, by the request and how many came before it. */
  reply: (request: ReceivedRequest, index: number) => BackendReply = ({ tryId }) =>
    success(tryId, "fine");
  /** Why no connection to an address comes about; undefined where it does. */
  connectFailure: (address: string) => "refused" | "foreign" | "unreached" | undefined = () =>
    undefined;
  /** The backends that register themselves twice a second: their instances by their addresses. */
  readonly registered = new Map<string, string>();
  readonly pacers: LinkPacers;
  private readonly clock: Clock;
  private registrations = 0;
  private requestCount = 0;

  /** `backendClient` replaces the scripted backends, by real connections for example; `linkMbps` is the rate of the machine's link. */
  constructor({ backendClient, linkMbps }: ProxyFixtureOptions = {}) {
    this.clock = this.virtualClock.clock();
    this.pacers = createLinkPacers(this.clock, linkMbps);
    const random = RandomDraw.of(11);
    const network = new VirtualNetwork(this.clock, random);
    this.disk = new VirtualDisk(this.clock, random);
    const settings: Settings = {
      machine: "disk-1",
      zone: "a",
      callers: "10.0.0.1:8080",
      operators: "10.0.0.1:7070",
      peers: "10.0.0.1:7000",
      seeds: ["10.0.0.1:7000"],
      roles: ["edge", "recorder", "collector"],
      dataFolder: "data",
      tolerate: { machines: 0, zones: 0 },
    };
    const runtime = virtualRuntime({
      clock: this.clock,
      network: network.createInterface("disk-1", new EventGate()),
      disk: this.disk,
      random,
      writeLine: (line) => this.logLines.push(`${this.virtualClock.nowMs().toFixed(0)} ${line}`),
    });
    this.daemon = new Daemon(runtime, settings, {
      headerNames,
      backendClient: backendClient ? backendClient(this.clock) : this.scriptedClient(),
      pacers: this.pacers,
    });
    runTask(this.daemon.start(), fail);
    this.advanceUntil(() => this.daemon.servingState.isGranted, 10_000);
    this.registerPeriodically();
  }

  /** A daemon with a configuration of all kinds of routes, before so many backends, whose retry budget is filled. */
  static create(backendCount = 2, options: ProxyFixtureOptions = {}): ProxyFixture {
    const fixture = new ProxyFixture(options);
    const route = (name: string, more: Record<string, unknown>) => ({
      match: { host: "shop.example", path: `/${name}/*` },
      service: "shop",
      attempts: 2,
      giveUpMs: 1000,
      ...more,
    });
    const put = fixture.sendAdminRequest("PUT", "/config", {
      services: { shop: {} },
      routes: {
        safe: route("safe", { kind: "safe" }),
        unsafe: route("unsafe", { kind: "unsafe" }),
        keyed: route("keyed", { kind: "idempotent" }),
        slow: route("slow", { kind: "idempotent", giveUpMs: 4000 }),
        download: route("download", { kind: "download", giveUpMs: 8000 }),
        once: route("once", { kind: "safe", attempts: 1 }),
        thrice: route("thrice", { kind: "safe", attempts: 3 }),
        thriceUnsafe: route("thriceUnsafe", { kind: "unsafe", attempts: 3 }),
      },
      goals: { keyed: { latencyMs: 400 } },
    });
    if (put.code !== 200)
      throw new Error(`The config was refused: ${Buffer.from(put.body).toString()}`);
    for (let index = 1; index <= backendCount; index += 1)
      fixture.registered.set(`10.9.0.${index}:80`, `i-${index}`);
    fixture.advance(4000);
    return fixture;
  }

  /** Sends a request to the operators' port and waits for its response. */
  sendAdminRequest(method: string, target: string, body: unknown): ClientResponse {
    const responses: ClientResponse[] = [];
    this.daemon.adminRequests.emit({
      clientRequest: { method, target, headers: {}, body: Buffer.from(JSON.stringify(body)) },
      respond: (response) => responses.push(response),
    });
    this.advanceUntil(() => responses.length > 0, 5000);
    const [response] = responses;
    if (!response) throw new Error("The operators' port didn't answer.");
    return response;
  }

  /** Sends a request and doesn't wait. Each has an id of its own, unless a test overrides it; undefined removes a header. */
  send(
    method: string,
    target: string,
    headers: Record<string, string | undefined> = {},
    body: Uint8Array = new Uint8Array(),
  ): RecordingClient {
    this.requestCount += 1;
    const sentHeaders: Record<string, string> = {};
    for (const [name, value] of Object.entries({
      host: "shop.example",
      "try-id": `try-${this.requestCount}`,
      ...headers,
    }))
      if (value !== undefined) sentHeaders[name] = value;
    const clientRequest: ProxyRequest = { method, target, headers: sentHeaders, body };
    const client = new RecordingClient(() => this.virtualClock.nowMs());
    this.daemon.clientRequests.emit({ clientRequest, client });
    return client;
  }

  /** Sends a request and waits until it has ended. */
  exchange(
    method: string,
    target: string,
    headers: Record<string, string | undefined> = {},
    body: Uint8Array = new Uint8Array(),
  ): RecordingClient {
    const client = this.send(method, target, headers, body);
    this.advanceUntil(() => client.ending !== "open", 12_000);
    return client;
  }

  /** Advances simulated time. */
  advance(forMs: number): void {
    this.virtualClock.runUntil(this.virtualClock.nowMs() + forMs);
  }

  /** Advances simulated time until a condition holds; throws after `timeoutMs`. */
  advanceUntil(holds: () => boolean, timeoutMs: number): void {
    const sinceMs = this.virtualClock.nowMs();
    while (!holds()) {
      if (this.virtualClock.nowMs() - sinceMs >= timeoutMs)
        throw new Error(
          `It doesn't hold after ${timeoutMs} ms.\n${this.logLines.slice(-20).join("\n")}`,
        );
      this.advance(1);
    }
  }

  private registerPeriodically(): void {
    for (const [address, instance] of this.registered) {
      this.registrations += 1;
      const body = {
        service: "shop",
        address,
        zone: "a",
        instance,
        capacity: 10,
        order: this.registrations,
      };
      this.daemon.adminRequests.emit({
        clientRequest: {
          method: "POST",
          target: "/backends/announce",
          headers: {},
          body: Buffer.from(JSON.stringify(body)),
        },
        respond: () => undefined,
      });
    }
    this.clock.after(500, () => this.registerPeriodically());
  }

  private scriptedClient(): BackendClient {
    return {
      send: (one) => this.sendScripted(one),
      retainPools: () => undefined,
      close: () => undefined,
    };
  }

  private *sendScripted({
    address,
    request,
    deadlineMs: untilMs,
    maySend,
  }: BackendAttempt): Task<OpenResult> {
    const { clock } = this;
    yield* sleep(clock, 1);
    const why = this.connectFailure(address);
    if (why !== undefined) return openFailure(why);
    if (!maySend()) return openFailure("withdrawn");
    const received: ReceivedRequest = {
      address,
      receivedMs: clock.nowMs(),
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: Buffer.from(request.body),
      tryId: request.headers["try-id"] ?? "",
    };
    this.receivedRequests.push(received);
    const reply = this.reply(received, this.receivedRequests.length - 1);
    if (reply === "late") {
      yield* sleep(clock, untilMs - clock.nowMs());
      return openFailure("late");
    }
    yield* sleep(clock, reply === "lost" ? 3 : (reply.waitMs ?? 3));
    if (reply === "lost") return openFailure("lost");
    const remaining = [...reply.chunks];
    const { code, headers, pieceMs = 0 } = reply;
    let isCancelled = false;
    return openedResponse({
      code,
      headers,
      *nextChunk() {
        if (pieceMs > 0) yield* sleep(clock, pieceMs);
        return isCancelled ? "cut" : (remaining.shift() ?? "end");
      },
      cancel: () => {
        isCancelled = true;
      },
    });
  }
}
