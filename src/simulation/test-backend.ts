import type { BackendRequest } from "../proxy/upstream/backend-client.js";
import type { EventRecorder } from "./event-recorder.js";

/** A test backend's response, and when it is sent. */
export interface TestBackendResponse {
  readonly delayMs: number;
  /** Whether nothing is sent and the connection is reset. */
  readonly isLost: boolean;
  readonly code: number;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  /** The number of body bytes after which the connection is reset; undefined if the body is sent completely. */
  readonly truncateAt: number | undefined;
  /** The delay after which the response is sent a second time on its connection; undefined if it is not. */
  readonly repeatAfterMs: number | undefined;
}

/** The faulty behavior of a test backend; each fraction is of its requests. */
export interface InjectedBehavior {
  slowFactor: number;
  lossFraction: number;
  garbageFraction: number;
  truncatedFraction: number;
  /** The fraction of responses that are sent a second time, some of them late. */
  duplicatedFraction: number;
  /** Only requests of the daemon with this name see the faulty behavior; all requests where empty. */
  onlyFromDaemon: string;
}

const defaultBehavior: InjectedBehavior = {
  slowFactor: 1,
  lossFraction: 0,
  garbageFraction: 0,
  truncatedFraction: 0,
  duplicatedFraction: 0,
  onlyFromDaemon: "",
};
/** The longest delay between a response and its duplicate, in ms. */
const MAX_REPEAT_DELAY_MS = 60;

/** A backend that records the requests it runs, and on which faulty behavior can be set. */
export class TestBackend {
  readonly address: string;
  readonly zone: string;
  service: string;
  incarnation = 1;
  behavior: InjectedBehavior = { ...defaultBehavior };
  isAnnouncing = true;
  private isRunning = true;
  private readonly stopListeners = new Set<() => void>();
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
    return this.isRunning;
  }

  /** Ends the process and breaks every connection to it. */
  stop(): void {
    this.isRunning = false;
    for (const listener of this.stopListeners) listener();
    this.stopListeners.clear();
  }

  /** Calls a listener once when the current process ends. */
  onStop(listener: () => void): void {
    this.stopListeners.add(listener);
  }

  /** Replaces the process by a new one at the same address, which may serve another service. */
  replace(service: string): void {
    this.stop();
    this.service = service;
    this.incarnation += 1;
    this.behavior = { ...defaultBehavior };
    this.isRunning = true;
    this.isAnnouncing = true;
  }

  /** Sets the faulty behavior; what isn't named is not faulty. */
  setBehavior(behavior: Partial<InjectedBehavior>): void {
    this.behavior = { ...defaultBehavior, ...behavior };
  }

  /** Runs one request. `delayedMs`: how long a partition or packet loss delayed it. */
  handleRequest(request: BackendRequest, nowMs: number, delayedMs = 0): TestBackendResponse {
    const requestId = request.headers["x-caller"] ?? "";
    const path = request.path.split("?")[0] ?? "";
    const intendedService = request.headers["x-daledoor-service"] ?? "";
    this.recorder.runs.push({
      atMs: nowMs,
      delayedMs,
      address: this.address,
      service: this.service,
      incarnation: this.incarnation,
      requestId,
      path,
      method: request.method,
      key: request.headers["idempotency-key"],
      intendedService,
    });
    const { slowFactor, lossFraction, garbageFraction, truncatedFraction, duplicatedFraction } = (
      request.headers["x-daledoor-job"] ?? ""
    ).includes(this.behavior.onlyFromDaemon)
      ? this.behavior
      : defaultBehavior;
    const delayMs = (3 + this.random() * 12 + (this.random() < 0.02 ? 60 : 0)) * slowFactor;
    const stamp = request.headers["x-daledoor-job"] ?? "";
    const pad = "x".repeat(
      this.bodyBytes.get(`${request.method} /${path.split("/")[1] ?? ""}`) ?? 100,
    );
    const isGarbage = this.random() < garbageFraction;
    const body = Buffer.from(
      isGarbage ? `garbage ${pad}` : JSON.stringify({ of: requestId, service: this.service, pad }),
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
      delayMs,
      isLost: this.random() < lossFraction,
      code: request.method === "POST" ? 201 : 200,
      headers,
      body,
      truncateAt:
        this.random() < truncatedFraction ? Math.floor(body.length * this.random()) : undefined,
      repeatAfterMs:
        this.random() < duplicatedFraction ? this.random() * MAX_REPEAT_DELAY_MS : undefined,
    };
  }
}
