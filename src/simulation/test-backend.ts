import type { BackendRequest } from "../proxy/upstream/backend-client.js";
import type { EventRecorder } from "./event-recorder.js";

/** What a stand-in back end sends back, and when. */
export interface TestBackendResponse {
  readonly delayMs: number;
  /** Nothing at all is sent, and the connection breaks. */
  readonly isLost: boolean;
  readonly code: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  /** The body is broken off after this many bytes. */
  readonly truncateAt: number | undefined;
  /** How long after it the same answer comes once more on its connection; not at all where undefined. */
  readonly repeatAfterMs: number | undefined;
}

/** How a stand-in misbehaves, each a part of its requests. */
export interface InjectedBehavior {
  slowFactor: number;
  lossFraction: number;
  garbageFraction: number;
  truncatedFraction: number;
  /** Sends its answer a second time, some of them late. */
  duplicatedFraction: number;
  /** Misbehaves only toward the process with this name. */
  onlyFromDaemon: string;
}

const honest: InjectedBehavior = {
  slowFactor: 1,
  lossFraction: 0,
  garbageFraction: 0,
  truncatedFraction: 0,
  duplicatedFraction: 0,
  onlyFromDaemon: "",
};
/** A second answer comes so long after the first at most. */
const mostAgainMs = 60;

/** A back end of our own: it runs requests, records each, and misbehaves when told to. */
export class TestBackend {
  readonly address: string;
  readonly zone: string;
  service: string;
  incarnation = 1;
  behavior: InjectedBehavior = { ...honest };
  isAnnouncing = true;
  private up = true;
  private readonly ends = new Set<() => void>();
  private readonly recorder: EventRecorder;
  private readonly random: () => number;
  private readonly bodyBytes: ReadonlyMap<string, number>;

  constructor(
    address: string,
    zone: string,
    service: string,
    recorder: EventRecorder,
    random: () => number,
    bodyBytes: ReadonlyMap<string, number>,
  ) {
    this.address = address;
    this.zone = zone;
    this.service = service;
    this.recorder = recorder;
    this.random = random;
    this.bodyBytes = bodyBytes;
  }

  get isUp(): boolean {
    return this.up;
  }

  /** The process ends, and with it every connection to it. */
  stop(): void {
    this.up = false;
    for (const hear of this.ends) hear();
    this.ends.clear();
  }

  /** Hears once that this process has ended. */
  onStop(hear: () => void): void {
    this.ends.add(hear);
  }

  /** A new process takes the place of the old one, perhaps of another service. */
  replace(service: string): void {
    this.stop();
    this.service = service;
    this.incarnation += 1;
    this.behavior = { ...honest };
    this.up = true;
    this.isAnnouncing = true;
  }

  setBehavior(behavior: Partial<InjectedBehavior>): void {
    this.behavior = { ...honest, ...behavior };
  }

  /** Runs one request, which the network may have kept back for a while. */
  handleRequest(job: BackendRequest, nowMs: number, heldMs = 0): TestBackendResponse {
    const caller = job.headers["x-caller"] ?? "";
    const path = job.path.split("?")[0] ?? "";
    const meant = job.headers["x-daledoor-service"] ?? "";
    this.recorder.runs.push({
      atMs: nowMs,
      delayedMs: heldMs,
      address: this.address,
      service: this.service,
      incarnation: this.incarnation,
      requestId: caller,
      path,
      method: job.method,
      key: job.headers["idempotency-key"],
      intendedService: meant,
    });
    const {
      slowFactor,
      lossFraction: losesPart,
      garbageFraction: garbagePart,
      truncatedFraction: cutPart,
      duplicatedFraction: doubledPart,
    } = (job.headers["x-daledoor-job"] ?? "").includes(this.behavior.onlyFromDaemon)
      ? this.behavior
      : honest;
    const waitMs = (3 + this.random() * 12 + (this.random() < 0.02 ? 60 : 0)) * slowFactor;
    const stamp = job.headers["x-daledoor-job"] ?? "";
    const pad = "x".repeat(this.bodyBytes.get(`${job.method} /${path.split("/")[1] ?? ""}`) ?? 100);
    const isGarbage = this.random() < garbagePart;
    const body = Buffer.from(
      isGarbage ? `garbage ${pad}` : JSON.stringify({ of: caller, service: this.service, pad }),
    );
    const headers: Record<string, string> = {
      "content-type": "application/json",
      "content-length": String(body.length),
    };
    if (!isGarbage)
      headers["x-daledoor-stamp"] = stamp.startsWith(`${this.service}/`)
        ? stamp
        : `${this.service}/?`;
    return {
      delayMs: waitMs,
      isLost: this.random() < losesPart,
      code: job.method === "POST" ? 201 : 200,
      headers,
      body,
      truncateAt: this.random() < cutPart ? Math.floor(body.length * this.random()) : undefined,
      repeatAfterMs: this.random() < doubledPart ? this.random() * mostAgainMs : undefined,
    };
  }
}
