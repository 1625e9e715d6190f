/** The traffic around a fleet, simulated or of real processes: clients, backends and operators. */
import { string, type, type Struct } from "superstruct";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { ConfigWorkload } from "./config-workload.js";
import type { ClientOutcome, ClientTransport } from "./client-transport.js";
import type { ClientRecord, EventRecorder } from "./event-recorder.js";
import type { Profile, Traffic } from "./profile.js";
import type { TestBackend } from "./test-backend.js";

/** The timeout of a client that does not hang up early. */
export const CLIENT_TIMEOUT_MS = 9000;
/** The fraction of requests that reuse an open connection, whatever daemon it leads to. */
const REUSED_CONNECTION_FRACTION = 0.3;
/** The fraction of clients that hang up early, within about 600 ms. */
const HANG_UP_FRACTION = 0.06;

/** The fraction of keyed requests that are sent twice at the same time. */
const DUPLICATE_FRACTION = 0.03;
/** The fraction of retries that obey a response's Retry-After. */
const OBEDIENT_FRACTION = 0.3;
const MAX_IMPATIENT_DELAY_MS = 30;

const ownBody = type({ of: string() });
const verdictBody = type({ verdict: string() });

/** The field of a JSON body under a shape; empty where the body has another form. */
const fieldIn = (
  body: Buffer,
  shape: Struct<{ of: string }> | Struct<{ verdict: string }>,
): string => {
  try {
    const read = shape.create(JSON.parse(body.toString()));
    return "of" in read ? read.of : read.verdict;
  } catch {
    return "";
  }
};

/** Adds to a client's record what it received. */
const recordResponse = (record: ClientRecord, end: ClientOutcome): void => {
  record.code = end.code;
  record.failure = end.failure;
  record.retryAfterS = end.retryAfterS;
  record.isComplete = end.contentLength === end.body.length;
  record.isGarbage = end.body.subarray(0, 7).toString() === "garbage";
  if (record.isComplete && !record.isGarbage && end.code < 300)
    record.echoedId = fieldIn(end.body, ownBody);
  if (record.isComplete && end.code >= 400) record.executionStatus = fieldIn(end.body, verdictBody);
};

/** The traffic around a fleet: requests of clients, heartbeats of backends, changes by operators. */
export class Workload {
  private readonly outside: ClientTransport;
  private readonly profile: Profile;
  private readonly recorder: EventRecorder;
  private readonly rateFactor: number;
  private calls = 0;
  /** The daemons of the latest connections. */
  private connectedDaemons: string[] = [];
  /** The operators of the fleet. */
  readonly operators: ConfigWorkload;
  isOver = false;
  /** The factor on the number of clients. */
  clientFactor = 1;

  constructor(
    outside: ClientTransport,
    profile: Profile,
    recorder: EventRecorder,
    rateFactor: number,
  ) {
    this.outside = outside;
    this.profile = profile;
    this.recorder = recorder;
    this.rateFactor = rateFactor;
    this.operators = new ConfigWorkload(outside, profile, recorder, () => this.isOver);
  }

  /** Starts the clients of one kind, at random intervals. */
  *runClients(traffic: Traffic): Task {
    const { clock } = this.outside;
    for (let nextMs = clock.nowMs(); !this.isOver;) {
      if (this.clientFactor === 0) {
        yield* sleep(clock, 50);
        nextMs = clock.nowMs();
        continue;
      }
      nextMs +=
        (-Math.log(1 - this.outside.random()) * 1000) /
        (traffic.requestsPerSecond * this.rateFactor * this.clientFactor);
      if (nextMs > clock.nowMs()) yield* sleep(clock, nextMs - clock.nowMs());
      this.outside.start(this.client(traffic));
    }
  }

  /** Requests for routes that only one config has. */
  *runProbes(perSecond: number): Task {
    while (!this.isOver) {
      yield* sleep(this.outside.clock, 1000 / perSecond);
      const accepted = this.recorder.ofKind("accepted").slice(-3);
      const probe = accepted[Math.floor(this.outside.random() * accepted.length)]?.probe;
      const [service] = Object.keys(this.profile.backends);
      if (probe !== undefined && service !== undefined)
        this.outside.start(
          this.oneCall(service, "GET", `/probe/${probe}`, undefined, Buffer.alloc(0)),
        );
    }
  }

  /** Sends a backend's heartbeats for as long as it is registered. */
  *sendHeartbeats(testBackend: TestBackend, everyMs: number): Task {
    while (!this.isOver) {
      if (testBackend.isAnnouncing && testBackend.isUp) {
        const { service, address, zone, incarnation } = testBackend;
        const response = yield* this.outside.sendAdminRequest(
          undefined,
          this.adminRequest("POST", "/backends/announce", {
            service,
            address,
            zone,
            warmth: incarnation > 1 ? 0.3 : 1,
          }),
          address,
        );
        if (response?.code === 200)
          this.recorder.environmentRecords.push({
            kind: "announced",
            atMs: this.outside.clock.nowMs(),
            address,
            service,
          });
      }
      yield* sleep(this.outside.clock, everyMs * (0.9 + this.outside.random() * 0.2));
    }
  }

  /** Deregisters a backend, with retries until that is acknowledged. */
  *deregister(testBackend: TestBackend): Task<boolean> {
    testBackend.isAnnouncing = false;
    const { service, address, incarnation } = testBackend;
    for (let round = 0; round < 40 && !this.isOver; round += 1) {
      const response = yield* this.outside.sendAdminRequest(
        undefined,
        this.adminRequest("POST", "/backends/leave", { service, address }),
        address,
      );
      if (response?.code === 200) {
        this.recorder.environmentRecords.push({
          kind: "left",
          atMs: this.outside.clock.nowMs(),
          address,
          service,
          incarnation,
        });
        return true;
      }
      yield* sleep(this.outside.clock, 200);
    }
    return false;
  }

  /** An operator submits a new config, based on the latest that is known. */
  *putConfig(): Task<boolean> {
    return yield* this.operators.put();
  }

  /** An operator submits a malformed config, which must be refused. */
  *putMalformed(): Task {
    yield* this.operators.putMalformed();
  }

  /** From now on configs hold many more routes. */
  growRoutes(count: number): void {
    this.operators.growRoutes(count);
  }

  /** Reads back every config that was accepted; one that no daemon returns is recorded as missing. */
  *readBack(): Task {
    yield* this.operators.readBack();
  }

  /** The latest config that an operator knows to be accepted. */
  get sequence(): number {
    return this.operators.sequence;
  }

  /** One client: its request, and the retries that it makes itself. */
  private *client(traffic: Traffic): Task {
    const number = Math.floor(this.outside.random() * 1e6);
    const path = traffic.path(number);
    this.calls += 1;
    const key = traffic.keyed ? `key-${this.calls}` : undefined;
    const body =
      traffic.method === "POST" ? Buffer.from(JSON.stringify({ at: number })) : Buffer.alloc(0);
    const isDuplicated = traffic.keyed && this.outside.random() < DUPLICATE_FRACTION;
    if (isDuplicated)
      this.outside.start(this.oneCall(traffic.service, traffic.method, path, key, body));
    const maxAttempts = this.outside.random() < 0.5 ? 4 : 2;
    for (let attempt = 0; attempt < maxAttempts && !this.isOver; attempt += 1) {
      const record = yield* this.oneCall(traffic.service, traffic.method, path, key, body);
      if (record.code > 0 && record.code < 500) return;
      if (record.failure === "hungUp") continue;
      yield* sleep(this.outside.clock, this.retryDelayMs(record));
    }
  }

  /** Some clients obey a response's Retry-After; the others retry almost at once. */
  private retryDelayMs({ retryAfterS }: ClientRecord): number {
    const obeys = this.outside.random() < OBEDIENT_FRACTION;
    return obeys ? (retryAfterS ?? 1) * 1000 : this.outside.random() * MAX_IMPATIENT_DELAY_MS;
  }

  /** The daemon that the next request is sent to, of its client's zone where one is ready there; empty where none is. */
  private chooseDaemon(): string {
    const { random } = this.outside;
    const { zones } = this.profile;
    const zone = zones[Math.floor(random() * zones.length)] ?? "";
    const ready = this.outside.readyDaemons();
    const near = ready.filter((one) => one.zone === zone);
    const candidates = near.length > 0 ? near : ready;
    const reused =
      random() < REUSED_CONNECTION_FRACTION
        ? this.connectedDaemons[Math.floor(random() * this.connectedDaemons.length)]
        : undefined;
    if (reused !== undefined && this.outside.isUp(reused)) return reused;
    return candidates[Math.floor(random() * candidates.length)]?.machine ?? "";
  }

  private timeoutMs(): number {
    const { random } = this.outside;
    return random() < HANG_UP_FRACTION ? 2 + random() ** 3 * 600 : CLIENT_TIMEOUT_MS;
  }

  private *oneCall(
    service: string,
    method: string,
    path: string,
    key: string | undefined,
    body: Buffer,
  ): Task<ClientRecord> {
    const { clock } = this.outside;
    this.calls += 1;
    const daemon = this.chooseDaemon();
    const timeoutMs = this.timeoutMs();
    const sentMs = clock.nowMs();
    const record: ClientRecord = {
      id: `c${this.calls}`,
      daemon,
      service,
      method,
      path,
      key,
      sentMs,
      endedMs: sentMs,
      code: 0,
      failure: "refused",
      echoedId: "",
      isComplete: false,
      isGarbage: false,
      retryAfterS: undefined,
      executionStatus: "",
    };
    if (daemon === "") yield* sleep(clock, 20);
    else {
      const headers = {
        "x-caller": record.id,
        "content-type": "application/json",
        ...(key === undefined ? {} : { "idempotency-key": key }),
      };
      const clientRequest = { method, target: path, headers, body };
      const end = yield* this.outside.sendRequest(daemon, clientRequest, timeoutMs);
      if (end.code > 0) this.connectedDaemons = [...this.connectedDaemons.slice(-20), daemon];
      recordResponse(record, end);
    }
    record.endedMs = clock.nowMs();
    this.recorder.clientRecords.push(record);
    return record;
  }

  private adminRequest(method: string, target: string, body?: unknown): ProxyRequest {
    return {
      method,
      target,
      headers: { "content-type": "application/json" },
      body: body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body)),
    };
  }
}
