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
import { Clock } from "../../src/runtime/clock.js";
import { LinkPacers } from "../../src/runtime/link-pacer.js";
import { Task } from "../../src/runtime/task.js";

/** One request as it reached a back end. */
export interface Sent {
  readonly address: string;
  readonly atMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  readonly tryId: string;
}

/** What a back end does with a request that reached it. */
export type Act =
  | "lost"
  | "late"
  | {
      readonly code: number;
      readonly headers: Record<string, string>;
      readonly pieces: ReadonlyArray<Uint8Array | "cut">;
      readonly waitMs?: number;
      readonly pieceMs?: number;
    };

const fail = (error: unknown): void => {
  throw error;
};

/** A whole success, as a back end sends it. */
export const success = (
  tryId: string,
  text: string,
  more: { code?: number; headers?: Record<string, string>; waitMs?: number } = {},
): Exclude<Act, string> => {
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
    pieces: [body],
    ...(more.waitMs === undefined ? {} : { waitMs: more.waitMs }),
  };
};

/** What a caller saw of its response. */
export class Seen implements ClientConnection {
  isClosed = false;
  code = 0;
  headers: Record<string, string> = {};
  ending: "open" | "whole" | "cut" = "open";
  begun = false;
  /** When the head came, and when the last byte. */
  headMs = -1;
  endMs = -1;
  readonly sinceMs: number;
  private readonly bytes: Uint8Array[] = [];
  private readonly nowMs: () => number;

  constructor(nowMs: () => number) {
    this.nowMs = nowMs;
    this.sinceMs = nowMs();
  }

  get body(): Buffer {
    return Buffer.concat(this.bytes);
  }

  /** How long it took until the response had ended. */
  get tookMs(): number {
    return this.endMs - this.sinceMs;
  }

  respond({ code, headers, body }: ClientResponse): void {
    this.head(code, headers);
    this.bytes.push(body);
    this.close("whole");
  }

  writeHead(code: number, headers: Record<string, string>): void {
    this.begun = true;
    this.head(code, headers);
  }

  *writeChunk(bytes: Uint8Array): Task<boolean> {
    this.bytes.push(bytes);
    return true;
  }

  end(): void {
    this.close("whole");
  }

  abort(): void {
    this.close("cut");
  }

  private head(code: number, headers: Record<string, string>): void {
    if (this.code !== 0) throw new Error("A caller was answered twice.");
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

/** How a stage differs from the usual one. */
export interface StageOptions {
  readonly backEnds?: (clock: Clock) => BackendClient;
  readonly linkMbps?: number;
}

/** One daemon that is all of a fleet, in the platform's dialect, before back ends that do as a test tells them. */
export class DoorStage {
  readonly time = new VirtualClock();
  readonly sent: Sent[] = [];
  readonly lines: string[] = [];
  readonly disk: VirtualDisk;
  readonly daemon: Daemon;
  /** What a back end does with a request; `before` decides whether a connection to it comes about. */
  act: (sent: Sent, place: number) => Act = ({ tryId }) => success(tryId, "fine");
  before: (address: string) => "refused" | "foreign" | "unreached" | undefined = () => undefined;
  /** The back ends that announce themselves each second: their instances by their addresses. */
  readonly announcing = new Map<string, string>();
  readonly pacers: LinkPacers;
  private readonly clock: Clock;
  private orders = 0;
  private ids = 0;

  /** `backEnds` replaces the played back ends, by real connections for example; `linkMbps` is the rate of the machine's link. */
  constructor({ backEnds, linkMbps }: StageOptions = {}) {
    this.clock = this.time.clock();
    this.pacers = LinkPacers.of(this.clock, linkMbps);
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
      network: network.wire("disk-1", new EventGate()),
      disk: this.disk,
      random,
      lines: (line) => this.lines.push(`${this.time.nowMs().toFixed(0)} ${line}`),
    });
    this.daemon = new Daemon(runtime, settings, {
      headerNames,
      backendClient: backEnds ? backEnds(this.clock) : this.backEnds(),
      pacers: this.pacers,
    });
    Task.start(this.daemon.start(), fail);
    this.until(() => this.daemon.standing.isGranted, 10_000);
    this.announceOn();
  }

  /** A daemon with a config of all kinds of routes, before so many back ends, ready for further tries. */
  static ready(backEnds = 2, options: StageOptions = {}): DoorStage {
    const stage = new DoorStage(options);
    const route = (name: string, more: Record<string, unknown>) => ({
      match: { host: "shop.example", path: `/${name}/*` },
      service: "shop",
      attempts: 2,
      giveUpMs: 1000,
      ...more,
    });
    const put = stage.order("PUT", "/config", {
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
    for (let place = 1; place <= backEnds; place += 1)
      stage.announcing.set(`10.9.0.${place}:80`, `i-${place}`);
    stage.wait(4000);
    return stage;
  }

  /** Has the operators' port answer. */
  order(method: string, target: string, body: unknown): ClientResponse {
    const told: ClientResponse[] = [];
    this.daemon.operators.emit({
      clientRequest: { method, target, headers: {}, body: Buffer.from(JSON.stringify(body)) },
      give: (response) => told.push(response),
    });
    this.until(() => told.length > 0, 5000);
    const [response] = told;
    if (!response) throw new Error("The operators' port didn't answer.");
    return response;
  }

  /** Sends a request and doesn't wait. Each has an id of its own and a deadline, unless a test says otherwise. */
  send(
    method: string,
    target: string,
    headers: Record<string, string | undefined> = {},
    body: Uint8Array = new Uint8Array(),
  ): Seen {
    this.ids += 1;
    const held: Record<string, string> = {};
    for (const [name, value] of Object.entries({
      host: "shop.example",
      "try-id": `try-${this.ids}`,
      ...headers,
    }))
      if (value !== undefined) held[name] = value;
    const clientRequest: ProxyRequest = { method, target, headers: held, body };
    const caller = new Seen(() => this.time.nowMs());
    this.daemon.callers.emit({ clientRequest, client: caller });
    return caller;
  }

  /** Sends a request and waits until it has ended. */
  ask(
    method: string,
    target: string,
    headers: Record<string, string | undefined> = {},
    body: Uint8Array = new Uint8Array(),
  ): Seen {
    const caller = this.send(method, target, headers, body);
    this.until(() => caller.ending !== "open", 12_000);
    return caller;
  }

  wait(forMs: number): void {
    this.time.runUntil(this.time.nowMs() + forMs);
  }

  until(holds: () => boolean, atMostMs: number): void {
    const sinceMs = this.time.nowMs();
    while (!holds()) {
      if (this.time.nowMs() - sinceMs >= atMostMs)
        throw new Error(
          `It doesn't hold after ${atMostMs} ms.\n${this.lines.slice(-20).join("\n")}`,
        );
      this.wait(1);
    }
  }

  private announceOn(): void {
    for (const [address, instance] of this.announcing) {
      this.orders += 1;
      const body = {
        service: "shop",
        address,
        zone: "a",
        instance,
        capacity: 10,
        order: this.orders,
      };
      this.daemon.operators.emit({
        clientRequest: {
          method: "POST",
          target: "/backends/announce",
          headers: {},
          body: Buffer.from(JSON.stringify(body)),
        },
        give: () => undefined,
      });
    }
    this.clock.after(500, () => this.announceOn());
  }

  private backEnds(): BackendClient {
    return {
      send: (one) => this.tried(one),
      retainPools: () => undefined,
      close: () => undefined,
    };
  }

  private *tried({
    address,
    request: job,
    untilMs,
    maySend: mayStill,
  }: BackendAttempt): Task<OpenResult> {
    const { clock } = this;
    yield* Clock.sleep(clock, 1);
    const why = this.before(address);
    if (why !== undefined) return openFailure(why);
    if (!mayStill()) return openFailure("withdrawn");
    const sent: Sent = {
      address,
      atMs: clock.nowMs(),
      method: job.method,
      path: job.path,
      headers: job.headers,
      body: Buffer.from(job.body),
      tryId: job.headers["try-id"] ?? "",
    };
    this.sent.push(sent);
    const act = this.act(sent, this.sent.length - 1);
    if (act === "late") {
      yield* Clock.sleep(clock, untilMs - clock.nowMs());
      return openFailure("late");
    }
    yield* Clock.sleep(clock, act === "lost" ? 3 : (act.waitMs ?? 3));
    if (act === "lost") return openFailure("lost");
    const left = [...act.pieces];
    const { code, headers, pieceMs = 0 } = act;
    let isCancelled = false;
    return openedResponse({
      code,
      headers,
      *next() {
        if (pieceMs > 0) yield* Clock.sleep(clock, pieceMs);
        return isCancelled ? "cut" : (left.shift() ?? "end");
      },
      cancel: () => {
        isCancelled = true;
      },
    });
  }
}
