import { string, type, type Struct } from "superstruct";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { Clock } from "../runtime/clock.js";
import { Task } from "../runtime/task.js";
import { ConfigWorkload } from "./config-workload.js";
import type { ClientTransport } from "./client-transport.js";
import type { ClientRecord, EventRecorder } from "./event-recorder.js";
import type { Profile, Traffic } from "./profile.js";
import type { TestBackend } from "./test-backend.js";

/** How long a patient caller waits. */
export const CLIENT_TIMEOUT_MS = 9000;
/** Which part of requests is sent over a connection that was kept, to whatever daemon it leads to. */
const keptPart = 0.3;
/** Which part of callers hangs up before long. */
const hangUpPart = 0.06;

const ownBody = type({ of: string() });
const verdictBody = type({ verdict: string() });

/** The one word that a body holds under a shape, or an empty one. */
const wordIn = (
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

/** What happens around the fleet in a day: callers, back ends and operators at their work. */
export class Workload {
  private readonly outside: ClientTransport;
  private readonly profile: Profile;
  private readonly recorder: EventRecorder;
  private readonly rateFactor: number;
  private calls = 0;
  private kept: string[] = [];
  /** The operators of the fleet. */
  readonly operators: ConfigWorkload;
  isOver = false;
  /** How many times the usual number of callers come now. */
  crowd = 1;

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

  /** Callers of one kind, each request at a time of its own. */
  *callers(traffic: Traffic): Task {
    const { clock } = this.outside;
    for (let nextMs = clock.nowMs(); !this.isOver;) {
      if (this.crowd === 0) {
        yield* Clock.sleep(clock, 50);
        nextMs = clock.nowMs();
        continue;
      }
      nextMs +=
        (-Math.log(1 - this.outside.random()) * 1000) /
        (traffic.perSecond * this.rateFactor * this.crowd);
      if (nextMs > clock.nowMs()) yield* Clock.sleep(clock, nextMs - clock.nowMs());
      this.outside.start(this.person(traffic));
    }
  }

  /** Callers who ask for the route that only one config has. */
  *probers(perSecond: number): Task {
    while (!this.isOver) {
      yield* Clock.sleep(this.outside.clock, 1000 / perSecond);
      const accepted = this.recorder.of("accepted").slice(-3);
      const probe = accepted[Math.floor(this.outside.random() * accepted.length)]?.probe;
      const [service] = Object.keys(this.profile.backEnds);
      if (probe !== undefined && service !== undefined)
        this.outside.start(
          this.oneCall(service, "GET", `/probe/${probe}`, undefined, Buffer.alloc(0)),
        );
    }
  }

  /** A back end's announcements, for as long as it makes any. */
  *announcing(testBackend: TestBackend, everyMs: number): Task {
    while (!this.isOver) {
      if (testBackend.isAnnouncing && testBackend.isUp) {
        const { service, address, zone, incarnation } = testBackend;
        const response = yield* this.outside.desk(
          undefined,
          this.deskJob("POST", "/backends/announce", {
            service,
            address,
            zone,
            warmth: incarnation > 1 ? 0.3 : 1,
          }),
          address,
        );
        if (response?.code === 200)
          this.recorder.world.push({
            kind: "announced",
            atMs: this.outside.clock.nowMs(),
            address,
            service,
          });
      }
      yield* Clock.sleep(this.outside.clock, everyMs * (0.9 + this.outside.random() * 0.2));
    }
  }

  /** A back end says that it is leaving until it is heard. */
  *leave(testBackend: TestBackend): Task<boolean> {
    testBackend.isAnnouncing = false;
    const { service, address, incarnation } = testBackend;
    for (let round = 0; round < 40 && !this.isOver; round += 1) {
      const response = yield* this.outside.desk(
        undefined,
        this.deskJob("POST", "/backends/leave", { service, address }),
        address,
      );
      if (response?.code === 200) {
        this.recorder.world.push({
          kind: "left",
          atMs: this.outside.clock.nowMs(),
          address,
          service,
          incarnation,
        });
        return true;
      }
      yield* Clock.sleep(this.outside.clock, 200);
    }
    return false;
  }

  /** An operator puts a new config in force, upon the newest that is known. */
  *putConfig(): Task<boolean> {
    return yield* this.operators.put();
  }

  /** An operator sends what is no config; it must be refused. */
  *putMalformed(): Task {
    yield* this.operators.putMalformed();
  }

  /** From now on configs hold many more routes. */
  growRoutes(count: number): void {
    this.operators.growRoutes(count);
  }

  /** Reads back every config that was accepted, at the end of a day; one that nobody returns reads as missing. */
  *readBack(): Task {
    yield* this.operators.readBack();
  }

  /** The newest config that an operator knows to be accepted. */
  get sequence(): number {
    return this.operators.sequence;
  }

  private *person(traffic: Traffic): Task {
    const at = Math.floor(this.outside.random() * 1e6);
    const path = traffic.path(at);
    this.calls += 1;
    const key = traffic.keyed ? `key-${this.calls}` : undefined;
    const body = traffic.method === "POST" ? Buffer.from(JSON.stringify({ at })) : Buffer.alloc(0);
    const twin = traffic.keyed && this.outside.random() < 0.03;
    if (twin) this.outside.start(this.oneCall(traffic.service, traffic.method, path, key, body));
    const tries = this.outside.random() < 0.5 ? 4 : 2;
    for (let attempt = 0; attempt < tries && !this.isOver; attempt += 1) {
      const record = yield* this.oneCall(traffic.service, traffic.method, path, key, body);
      if (record.code > 0 && record.code < 500) return;
      if (record.broke === "hungUp") continue;
      const obeys = this.outside.random() < 0.3;
      yield* Clock.sleep(
        this.outside.clock,
        obeys ? (record.retryAfterS ?? 1) * 1000 : this.outside.random() * 30,
      );
    }
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
    const zone =
      this.profile.zones[Math.floor(this.outside.random() * this.profile.zones.length)] ?? "";
    const ready = this.outside.ready();
    const near = ready.filter((one) => one.zone === zone);
    const open = near.length > 0 ? near : ready;
    const keeps =
      this.outside.random() < keptPart
        ? this.kept[Math.floor(this.outside.random() * this.kept.length)]
        : undefined;
    const daemon =
      keeps !== undefined && this.outside.isUp(keeps)
        ? keeps
        : (open[Math.floor(this.outside.random() * open.length)]?.machine ?? "");
    const patienceMs =
      this.outside.random() < hangUpPart ? 2 + this.outside.random() ** 3 * 600 : CLIENT_TIMEOUT_MS;
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
      broke: "refused",
      bodyOf: "",
      isWhole: false,
      isGarbage: false,
      retryAfterS: undefined,
      verdict: "",
    };
    if (daemon === "") {
      yield* Clock.sleep(clock, 20);
      record.endedMs = clock.nowMs();
    } else {
      const end = yield* this.outside.call(
        daemon,
        {
          method,
          target: path,
          headers: {
            "x-caller": record.id,
            "content-type": "application/json",
            ...(key === undefined ? {} : { "idempotency-key": key }),
          },
          body,
        },
        patienceMs,
      );
      if (end.code > 0) this.kept = [...this.kept.slice(-20), daemon];
      record.endedMs = clock.nowMs();
      record.code = end.code;
      record.broke = end.broke;
      record.retryAfterS = end.retryAfterS;
      record.isWhole = end.statedBytes === end.body.length;
      record.isGarbage = end.body.subarray(0, 7).toString() === "garbage";
      if (record.isWhole && !record.isGarbage && end.code < 300)
        record.bodyOf = wordIn(end.body, ownBody);
      if (record.isWhole && end.code >= 400) record.verdict = wordIn(end.body, verdictBody);
    }
    this.recorder.callers.push(record);
    return record;
  }

  private deskJob(method: string, target: string, body?: unknown): ProxyRequest {
    return {
      method,
      target,
      headers: { "content-type": "application/json" },
      body: body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body)),
    };
  }
}
