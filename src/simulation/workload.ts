/** The traffic of a fleet, simulated or of real processes: clients, backends and operators. */
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
/** The fraction of requests that reuse an open connection, to whichever daemon. */
const REUSED_CONNECTION_FRACTION = 0.3;
/** The fraction of clients that hang up early, within about 600 ms. */
const HANG_UP_FRACTION = 0.06;

/** The fraction of keyed requests that are sent twice at the same time. */
const DUPLICATE_FRACTION = 0.03;
/** The fraction of retries that obey a response's Retry-After. */
const OBEDIENT_FRACTION = 0.3;
const MAX_IMPATIENT_DELAY_MS = 30;

const echoBody = type({ of: string() });
const statusBody = type({ verdict: string() });

/** Reads the only field of a JSON body of a shape; empty where the body has another shape. */
const readField = (
  body: Buffer,
  shape: Struct<{ of: string }> | Struct<{ verdict: string }>,
): string => {
  try {
    const parsed = shape.create(JSON.parse(body.toString()));
    return "of" in parsed ? parsed.of : parsed.verdict;
  } catch {
    return "";
  }
};

/** Adds the outcome of a request to its client's record. */
const recordResponse = (record: ClientRecord, outcome: ClientOutcome): void => {
  record.code = outcome.code;
  record.failure = outcome.failure;
  record.retryAfterS = outcome.retryAfterS;
  record.isComplete = outcome.contentLength === outcome.body.length;
  record.isGarbage = outcome.body.subarray(0, 7).toString() === "garbage";
  if (record.isComplete && !record.isGarbage && outcome.code < 300)
    record.echoedId = readField(outcome.body, echoBody);
  if (record.isComplete && outcome.code >= 400)
    record.executionStatus = readField(outcome.body, statusBody);
};

/** The traffic of a fleet: requests of clients, heartbeats of backends, config changes by operators. */
export class Workload {
  private readonly transport: ClientTransport;
  private readonly profile: Profile;
  private readonly recorder: EventRecorder;
  private readonly rateFactor: number;
  private requestCount = 0;
  /** The daemons to which clients have open connections, latest last. */
  private connectedDaemons: string[] = [];
  /** The operators of the fleet. */
  readonly operators: ConfigWorkload;
  isOver = false;
  /** The factor on the number of clients. */
  clientFactor = 1;

  constructor(
    transport: ClientTransport,
    profile: Profile,
    recorder: EventRecorder,
    rateFactor: number,
  ) {
    this.transport = transport;
    this.profile = profile;
    this.recorder = recorder;
    this.rateFactor = rateFactor;
    this.operators = new ConfigWorkload(transport, profile, recorder, () => this.isOver);
  }

  /** Starts clients of one kind at random intervals (a Poisson process). */
  *runClients(traffic: Traffic): Task {
    const { clock } = this.transport;
    for (let nextMs = clock.nowMs(); !this.isOver;) {
      if (this.clientFactor === 0) {
        yield* sleep(clock, 50);
        nextMs = clock.nowMs();
        continue;
      }
      nextMs +=
        (-Math.log(1 - this.transport.random()) * 1000) /
        (traffic.requestsPerSecond * this.rateFactor * this.clientFactor);
      if (nextMs > clock.nowMs()) yield* sleep(clock, nextMs - clock.nowMs());
      this.transport.start(this.runClient(traffic));
    }
  }

  /** Sends requests to the probe routes of the latest accepted configs. */
  *runProbes(perSecond: number): Task {
    while (!this.isOver) {
      yield* sleep(this.transport.clock, 1000 / perSecond);
      const accepted = this.recorder.ofKind("accepted").slice(-3);
      const probe = accepted[Math.floor(this.transport.random() * accepted.length)]?.probe;
      const [service] = Object.keys(this.profile.backends);
      if (probe !== undefined && service !== undefined)
        this.transport.start(
          this.sendRequest(service, "GET", `/probe/${probe}`, undefined, Buffer.alloc(0)),
        );
    }
  }

  /** Sends the heartbeats of a backend while it runs and has not deregistered. */
  *sendHeartbeats(testBackend: TestBackend, intervalMs: number): Task {
    while (!this.isOver) {
      if (testBackend.isAnnouncing && testBackend.isUp) {
        const { service, address, zone, incarnation } = testBackend;
        const response = yield* this.transport.sendAdminRequest(
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
            atMs: this.transport.clock.nowMs(),
            address,
            service,
          });
      }
      yield* sleep(this.transport.clock, intervalMs * (0.9 + this.transport.random() * 0.2));
    }
  }

  /** Deregisters a backend, with up to 40 attempts; returns whether that was acknowledged. */
  *deregister(testBackend: TestBackend): Task<boolean> {
    testBackend.isAnnouncing = false;
    const { service, address, incarnation } = testBackend;
    for (let round = 0; round < 40 && !this.isOver; round += 1) {
      const response = yield* this.transport.sendAdminRequest(
        undefined,
        this.adminRequest("POST", "/backends/leave", { service, address }),
        address,
      );
      if (response?.code === 200) {
        this.recorder.environmentRecords.push({
          kind: "left",
          atMs: this.transport.clock.nowMs(),
          address,
          service,
          incarnation,
        });
        return true;
      }
      yield* sleep(this.transport.clock, 200);
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

  /** Adds a number of routes to all later configs. */
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

  /** Runs one client: sends its request, and its own retries. */
  private *runClient(traffic: Traffic): Task {
    const number = Math.floor(this.transport.random() * 1e6);
    const path = traffic.path(number);
    this.requestCount += 1;
    const key = traffic.keyed ? `key-${this.requestCount}` : undefined;
    const body =
      traffic.method === "POST" ? Buffer.from(JSON.stringify({ at: number })) : Buffer.alloc(0);
    const isDuplicated = traffic.keyed && this.transport.random() < DUPLICATE_FRACTION;
    if (isDuplicated)
      this.transport.start(this.sendRequest(traffic.service, traffic.method, path, key, body));
    const maxAttempts = this.transport.random() < 0.5 ? 4 : 2;
    for (let attempt = 0; attempt < maxAttempts && !this.isOver; attempt += 1) {
      const record = yield* this.sendRequest(traffic.service, traffic.method, path, key, body);
      if (record.code > 0 && record.code < 500) return;
      if (record.failure === "hungUp") continue;
      yield* sleep(this.transport.clock, this.retryDelayMs(record));
    }
  }

  /** Some clients obey a response's Retry-After; the others retry almost at once. */
  private retryDelayMs({ retryAfterS }: ClientRecord): number {
    const obeys = this.transport.random() < OBEDIENT_FRACTION;
    return obeys ? (retryAfterS ?? 1) * 1000 : this.transport.random() * MAX_IMPATIENT_DELAY_MS;
  }

  /** Chooses the daemon for the next request, in the client's zone where one is ready there; empty where none is ready. */
  private chooseDaemon(): string {
    const { random } = this.transport;
    const { zones } = this.profile;
    const zone = zones[Math.floor(random() * zones.length)] ?? "";
    const readyDaemons = this.transport.readyDaemons();
    const inZone = readyDaemons.filter((daemon) => daemon.zone === zone);
    const candidates = inZone.length > 0 ? inZone : readyDaemons;
    const reused =
      random() < REUSED_CONNECTION_FRACTION
        ? this.connectedDaemons[Math.floor(random() * this.connectedDaemons.length)]
        : undefined;
    if (reused !== undefined && this.transport.isUp(reused)) return reused;
    return candidates[Math.floor(random() * candidates.length)]?.machine ?? "";
  }

  private timeoutMs(): number {
    const { random } = this.transport;
    return random() < HANG_UP_FRACTION ? 2 + random() ** 3 * 600 : CLIENT_TIMEOUT_MS;
  }

  private *sendRequest(
    service: string,
    method: string,
    path: string,
    key: string | undefined,
    body: Buffer,
  ): Task<ClientRecord> {
    const { clock } = this.transport;
    this.requestCount += 1;
    const daemon = this.chooseDaemon();
    const timeoutMs = this.timeoutMs();
    const sentMs = clock.nowMs();
    const record: ClientRecord = {
      id: `c${this.requestCount}`,
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
      const outcome = yield* this.transport.sendRequest(daemon, clientRequest, timeoutMs);
      if (outcome.code > 0) this.connectedDaemons = [...this.connectedDaemons.slice(-20), daemon];
      recordResponse(record, outcome);
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
