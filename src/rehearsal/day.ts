import { create, number, optional, string, type, unknown, type Struct } from "superstruct";
import type { Job } from "../door/job.js";
import type { Return } from "../door/verdict.js";
import { Clock } from "../runtime/clock.js";
import { Task } from "../runtime/task.js";
import type { Settings } from "../machine/settings.js";
import type { CallerRecord, Ledger } from "./ledger.js";
import { Profile, type Traffic } from "./profile.js";
import type { StandIn } from "./standIn.js";

/** How a caller's request ended, as the caller saw it. */
export interface CallerEnd {
  readonly code: number;
  readonly broke: CallerRecord["broke"];
  readonly body: Buffer;
  readonly statedBytes: number | undefined;
  readonly retryAfterS: number | undefined;
}

/** The way from callers, back ends and operators to daemons: virtual or real. */
export interface Outside {
  readonly clock: Clock;
  random(): number;
  /** The edges that the platform sends new connections to. */
  ready(): Array<Pick<Settings, "machine" | "zone">>;
  /** Whether a daemon's process runs, so that a kept connection to it may be used though it takes no new ones. */
  isUp(daemon: string): boolean;
  call(daemon: string, job: Job, patienceMs: number): Task<CallerEnd>;
  /** Asks the operators' port of a daemon, any daemon where none is named, from a back end's place or the operators'. */
  desk(daemon: string | undefined, job: Job, from?: string): Task<Return | undefined>;
  start(task: Task<unknown>): void;
}

/** How long a patient caller waits. */
export const callerWaitMs = 9000;
/** Which part of requests is sent over a connection that was kept, to whatever daemon it leads to. */
const keptPart = 0.3;
/** Which part of callers hangs up before long. */
const hangUpPart = 0.06;

const sequenced = type({ sequence: number() });
const foundConfig = type({ config: optional(unknown()) });
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
export class Day {
  private readonly outside: Outside;
  private readonly profile: Profile;
  private readonly ledger: Ledger;
  private readonly rateFactor: number;
  private calls = 0;
  private changes = 0;
  private kept: string[] = [];
  private moved: Record<string, string> = {};
  /** The newest config that an operator knows to be accepted. */
  sequence = 0;
  private extraRoutes = 0;
  isOver = false;
  /** How many times the usual number of callers come now. */
  crowd = 1;

  constructor(outside: Outside, profile: Profile, ledger: Ledger, rateFactor: number) {
    this.outside = outside;
    this.profile = profile;
    this.ledger = ledger;
    this.rateFactor = rateFactor;
  }

  /** Callers of one kind, each request at a time of its own. */
  *callers(traffic: Traffic): Task {
    const { clock } = this.outside;
    for (let nextMs = clock.nowMs(); !this.isOver;) {
      if (this.crowd === 0) {
        yield* Clock.rest(clock, 50);
        nextMs = clock.nowMs();
        continue;
      }
      nextMs +=
        (-Math.log(1 - this.outside.random()) * 1000) /
        (traffic.perSecond * this.rateFactor * this.crowd);
      if (nextMs > clock.nowMs()) yield* Clock.rest(clock, nextMs - clock.nowMs());
      this.outside.start(this.person(traffic));
    }
  }

  /** Callers who ask for the route that only one config has. */
  *probers(perSecond: number): Task {
    while (!this.isOver) {
      yield* Clock.rest(this.outside.clock, 1000 / perSecond);
      const accepted = this.ledger.of("accepted").slice(-3);
      const probe = accepted[Math.floor(this.outside.random() * accepted.length)]?.probe;
      const [service] = Object.keys(this.profile.backEnds);
      if (probe !== undefined && service !== undefined)
        this.outside.start(
          this.oneCall(service, "GET", `/probe/${probe}`, undefined, Buffer.alloc(0)),
        );
    }
  }

  /** A back end's announcements, for as long as it makes any. */
  *announcing(standIn: StandIn, everyMs: number): Task {
    while (!this.isOver) {
      if (standIn.isAnnouncing && standIn.isUp) {
        const { service, address, zone, incarnation } = standIn;
        const ret = yield* this.outside.desk(
          undefined,
          this.deskJob("POST", "/backends/announce", {
            service,
            address,
            zone,
            warmth: incarnation > 1 ? 0.3 : 1,
          }),
          address,
        );
        if (ret?.code === 200)
          this.ledger.world.push({
            kind: "announced",
            atMs: this.outside.clock.nowMs(),
            address,
            service,
          });
      }
      yield* Clock.rest(this.outside.clock, everyMs * (0.9 + this.outside.random() * 0.2));
    }
  }

  /** A back end says that it is leaving until it is heard. */
  *leave(standIn: StandIn): Task<boolean> {
    standIn.isAnnouncing = false;
    const { service, address, incarnation } = standIn;
    for (let round = 0; round < 40 && !this.isOver; round += 1) {
      const ret = yield* this.outside.desk(
        undefined,
        this.deskJob("POST", "/backends/leave", { service, address }),
        address,
      );
      if (ret?.code === 200) {
        this.ledger.world.push({
          kind: "left",
          atMs: this.outside.clock.nowMs(),
          address,
          service,
          incarnation,
        });
        return true;
      }
      yield* Clock.rest(this.outside.clock, 200);
    }
    return false;
  }

  /** An operator puts a new config in force, upon the newest that is known. */
  *putConfig(): Task<boolean> {
    const base = this.sequence;
    this.changes += 1;
    const probe = (base + 1) * 1000 + (this.changes % 1000);
    for (const [route, services] of Object.entries(this.profile.moves))
      if (this.outside.random() < 0.3)
        this.moved[route] = services[Math.floor(this.outside.random() * services.length)] ?? "";
    const text = JSON.stringify(Profile.config(this.profile, probe, this.moved, this.extraRoutes));
    const changeId = `change-${this.changes}`;
    this.ledger.world.push({ kind: "sent", atMs: this.outside.clock.nowMs(), probe, text });
    for (let round = 0; round < 60 && !this.isOver; round += 1) {
      const ret = yield* this.outside.desk(undefined, {
        method: "PUT",
        target: "/config",
        headers: {
          "content-type": "application/json",
          "if-match": `"${base}"`,
          "change-id": changeId,
        },
        body: Buffer.from(text),
      });
      const atMs = this.outside.clock.nowMs();
      if (ret?.code === 200) {
        const { sequence } = create(JSON.parse(Buffer.from(ret.body).toString()), sequenced);
        this.sequence = Math.max(this.sequence, sequence);
        this.ledger.world.push({ kind: "accepted", atMs, sequence, probe, text });
        return true;
      }
      if (ret && ret.code >= 400 && ret.code < 500) {
        this.ledger.world.push({ kind: "rejected", atMs, probe });
        if (ret.code === 412)
          this.sequence = Math.max(
            this.sequence,
            create(JSON.parse(Buffer.from(ret.body).toString()), sequenced).sequence,
          );
        return false;
      }
      yield* Clock.rest(this.outside.clock, 150);
    }
    return false;
  }

  /** An operator sends what is no config; it must be refused. */
  *putMalformed(): Task {
    this.changes += 1;
    const probe = (this.sequence + 1) * 1000 + (this.changes % 1000);
    const good = Profile.config(this.profile, probe);
    const route = { match: { path: "/astray" }, service: Object.keys(this.profile.backEnds)[0] };
    const routeWith = (more: Record<string, unknown>): unknown => ({
      ...good,
      routes: { ...good.routes, astray: { ...route, ...more } },
    });
    const bad = [
      "{not json",
      "null",
      "[]",
      '"{}"',
      `${JSON.stringify(good).slice(0, -1)}`,
      JSON.stringify({ ...good, surprise: true }),
      ...[
        { routes: good.routes },
        { services: good.services },
        { ...good, services: [] },
        { ...good, routes: null },
        { ...good, goals: 7 },
        { ...good, services: { ...good.services, Loud: {} } },
        { ...good, services: { ...good.services, odd: { stampHeader: "not a header" } } },
        { ...good, services: { ...good.services, odd: { inHand: 0 } } },
        { ...good, services: { ...good.services, odd: { inHand: 1.5 } } },
        { ...good, services: { ...good.services, odd: { colour: "red" } } },
        { ...good, goals: { checklists: { latencyMs: -1 }, issues: { latencyMs: -1 } } },
        { ...good, goals: { "probe-1": { latencyMs: "fast" } } },
        { ...good, goals: { nowhere: { latencyMs: 5 } } },
        {
          ...good,
          goals: { ...good.goals, [`probe-${probe}`]: { latencyMs: 5, furtherTries: 6 } },
        },
        routeWith({ service: "nowhere" }),
        routeWith({ service: 3 }),
        routeWith({ match: {} }),
        routeWith({ match: { path: "astray" } }),
        routeWith({ match: { path: "/as tray" } }),
        routeWith({ match: { path: "/a*b" } }),
        routeWith({ match: { path: "/astray", methods: [] } }),
        routeWith({ match: { path: "/astray", methods: ["FETCH"] } }),
        routeWith({ match: { path: "/astray", methods: "GET" } }),
        routeWith({ match: { path: "/astray", host: "x" } }),
        routeWith({ repeat: "always" }),
        routeWith({ repeat: "safe", match: { path: "/astray", methods: ["POST"] } }),
        routeWith({ keyed: "yes" }),
        routeWith({ giveUpMs: 49 }),
        routeWith({ giveUpMs: 30_001 }),
        routeWith({ giveUpMs: null }),
        routeWith({ surprise: 1 }),
      ].map((value) => JSON.stringify(value)),
    ];
    const body = Buffer.from(bad[Math.floor(this.outside.random() * bad.length)] ?? "");
    const ret = yield* this.outside.desk(undefined, {
      method: "PUT",
      target: "/config",
      headers: { "if-match": `"${this.sequence}"` },
      body,
    });
    if (ret && ret.code === 400)
      this.ledger.world.push({ kind: "rejected", atMs: this.outside.clock.nowMs(), probe });
    if (ret && ret.code < 300)
      this.ledger.world.push({
        kind: "tookMalformed",
        atMs: this.outside.clock.nowMs(),
        text: body.toString(),
      });
  }

  /** From now on configs hold many more routes. */
  growRoutes(count: number): void {
    this.extraRoutes += count;
  }

  /** Reads back every config that was accepted, at the end of a day; one that nobody returns reads as missing. */
  *readBack(): Task {
    for (const sequence of new Set(this.ledger.of("accepted").map((record) => record.sequence))) {
      let text: string | undefined;
      for (let round = 0; round < 10; round += 1) {
        const ret = yield* this.outside.desk(undefined, this.deskJob("GET", `/config/${sequence}`));
        if (ret && ret.code !== 503) {
          if (ret.code === 200)
            text = JSON.stringify(
              create(JSON.parse(Buffer.from(ret.body).toString()), foundConfig).config,
            );
          break;
        }
        yield* Clock.rest(this.outside.clock, 200);
      }
      this.ledger.world.push({
        kind: "readBack",
        atMs: this.outside.clock.nowMs(),
        sequence,
        text,
      });
    }
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
      yield* Clock.rest(
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
  ): Task<CallerRecord> {
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
      this.outside.random() < hangUpPart ? 2 + this.outside.random() ** 3 * 600 : callerWaitMs;
    const sentMs = clock.nowMs();
    const record: CallerRecord = {
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
      yield* Clock.rest(clock, 20);
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
    this.ledger.callers.push(record);
    return record;
  }

  private deskJob(method: string, target: string, body?: unknown): Job {
    return {
      method,
      target,
      headers: { "content-type": "application/json" },
      body: body === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(body)),
    };
  }
}
