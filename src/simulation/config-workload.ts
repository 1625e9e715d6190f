import { create, number, optional, type, unknown } from "superstruct";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";

import type { EventRecorder } from "./event-recorder.js";
import { malformedConfigs } from "./malformed-configs.js";
import type { ClientTransport } from "./client-transport.js";
import { type Profile, profileConfig } from "./profile.js";

/** A change of the configuration as an operator has drawn it up; sent again, it keeps its bytes. */
export interface ConfigChange {
  /** The version it builds on. */
  readonly base: number;
  /** The number it is to have; left to the fleet where undefined. */
  readonly version: number | undefined;
  /** Names a route that no other configuration has. */
  readonly probe: number;
  readonly text: string;
  readonly changeId: string;
}

/** How an order is sent. */
export interface CommandSendOptions {
  /** The daemon that the next attempt is sent to; any daemon where it names none. */
  readonly chooseDaemon?: () => string | undefined;
  /** How long one attempt may stay without an answer. */
  readonly timeoutMs?: number;
}

const sequenced = type({ sequence: number() });
const foundConfig = type({ config: optional(unknown()) });
const attemptsOfOrder = 60;
const pauseMs = 150;
const attemptsOfRead = 10;
const readPauseMs = 200;

const jsonIn = (body: Uint8Array): unknown => JSON.parse(Buffer.from(body).toString());

const readJob = (target: string): ProxyRequest => ({
  method: "GET",
  target,
  headers: { "content-type": "application/json" },
  body: Buffer.alloc(0),
});

const orderJob = ({ base, version, text, changeId }: ConfigChange): ProxyRequest => ({
  method: "PUT",
  target: "/config",
  headers: {
    "content-type": "application/json",
    "if-match": `"${base}"`,
    ...(version === undefined ? {} : { "config-version": String(version) }),
    "change-id": changeId,
  },
  body: Buffer.from(text),
});

/** What operators do in a day: they change the configuration, and read it back; all of it is recorded. */
export class ConfigWorkload {
  private readonly outside: ClientTransport;
  private readonly profile: Profile;
  private readonly recorder: EventRecorder;
  private readonly isOver: () => boolean;
  private changes = 0;
  private extraRoutes = 0;
  private moved: Record<string, string> = {};
  /** The newest version that an operator knows to be accepted. */
  sequence = 0;

  constructor(
    outside: ClientTransport,
    profile: Profile,
    recorder: EventRecorder,
    isOver: () => boolean,
  ) {
    this.outside = outside;
    this.profile = profile;
    this.recorder = recorder;
    this.isOver = isOver;
  }

  /** From now on configurations hold so many more routes. */
  growRoutes(count: number): void {
    this.extraRoutes += count;
  }

  /** Draws up a change of the newest configuration known, under a number of the operator's where one is given. */
  prepare(version?: number): ConfigChange {
    const base = this.sequence;
    this.changes += 1;
    const probe = (base + 1) * 1000 + (this.changes % 1000);
    for (const [route, services] of Object.entries(this.profile.moves))
      if (this.outside.random() < 0.3)
        this.moved[route] = services[Math.floor(this.outside.random() * services.length)] ?? "";
    const config = profileConfig(this.profile, probe, this.moved, this.extraRoutes);
    return {
      base,
      version,
      probe,
      text: JSON.stringify(config),
      changeId: `change-${this.changes}`,
    };
  }

  /** Draws up a change upon the newest version known, sends it, and tells whether it was acknowledged. */
  *put(sending: CommandSendOptions = {}): Task<boolean> {
    return yield* this.submit(this.prepare(), sending);
  }

  /** Sends a change, and the same again after each attempt without a clear answer. */
  *submit(
    change: ConfigChange,
    { chooseDaemon: via, timeoutMs: patienceMs }: CommandSendOptions = {},
  ): Task<boolean> {
    const { base, probe, text } = change;
    const { clock } = this.outside;
    const record = this.recorder.addCommand({ base, probe, startMs: clock.nowMs() });
    this.recorder.environmentRecords.push({ kind: "sent", atMs: clock.nowMs(), probe, text });
    for (let attempt = 0; attempt < attemptsOfOrder && !this.isOver(); attempt += 1) {
      const [daemon, sentMs] = [via?.(), clock.nowMs()];
      const response = yield* this.outside.sendAdminRequest(
        daemon,
        orderJob(change),
        undefined,
        patienceMs,
      );
      const atMs = clock.nowMs();
      record.attempts.push({ daemon, startMs: sentMs, endMs: atMs, code: response?.code ?? 0 });
      if (response?.code === 200) {
        const { sequence } = create(jsonIn(response.body), sequenced);
        this.sequence = Math.max(this.sequence, sequence);
        Object.assign(record, { outcome: "accepted", version: sequence, endMs: atMs });
        this.recorder.environmentRecords.push({ kind: "accepted", atMs, sequence, probe, text });
        return true;
      }
      if (response && response.code >= 400 && response.code < 500) {
        const current =
          response.code === 412 ? create(jsonIn(response.body), sequenced).sequence : 0;
        this.sequence = Math.max(this.sequence, current);
        const outcome = response.code === 412 ? "lost" : "refused";
        Object.assign(record, { outcome, version: current, endMs: atMs });
        this.recorder.environmentRecords.push({ kind: "rejected", atMs, probe });
        return false;
      }
      yield* sleep(clock, pauseMs);
    }
    return false;
  }

  /** Asks one daemon once for the newest configuration. */
  *read(via: string | undefined): Task {
    const { clock } = this.outside;
    const startMs = clock.nowMs();
    const response = yield* this.outside.sendAdminRequest(via, readJob("/config"));
    if (response?.code !== 200) return;
    const { sequence } = create(jsonIn(response.body), sequenced);
    this.recorder.configReads.push({ startMs, endMs: clock.nowMs(), version: sequence });
  }

  /** An operator who reads the newest configuration now and then, from any daemon. */
  *readPeriodically(everyMs: number): Task {
    while (!this.isOver()) {
      yield* sleep(this.outside.clock, everyMs * (0.5 + this.outside.random()));
      this.outside.start(this.read(undefined));
    }
  }

  /** Sends what is no configuration; it must be refused. */
  *putMalformed(): Task {
    this.changes += 1;
    const probe = (this.sequence + 1) * 1000 + (this.changes % 1000);
    const bad = malformedConfigs(profileConfig(this.profile, probe), this.profile, probe);
    const body = Buffer.from(bad[Math.floor(this.outside.random() * bad.length)] ?? "");
    const response = yield* this.outside.sendAdminRequest(undefined, {
      method: "PUT",
      target: "/config",
      headers: { "if-match": `"${this.sequence}"` },
      body,
    });
    const atMs = this.outside.clock.nowMs();
    if (response?.code === 400)
      this.recorder.environmentRecords.push({ kind: "rejected", atMs, probe });
    if (response && response.code < 300)
      this.recorder.environmentRecords.push({ kind: "tookMalformed", atMs, text: body.toString() });
  }

  /** Reads back every configuration that was accepted, at the end of a day; one that nobody returns reads as missing. */
  *readBack(): Task {
    for (const sequence of new Set(
      this.recorder.ofKind("accepted").map((record) => record.sequence),
    )) {
      const text = yield* this.textOf(sequence);
      this.recorder.environmentRecords.push({
        kind: "readBack",
        atMs: this.outside.clock.nowMs(),
        sequence,
        text,
      });
    }
  }

  private *textOf(sequence: number): Task<string | undefined> {
    for (let attempt = 0; attempt < attemptsOfRead; attempt += 1) {
      const response = yield* this.outside.sendAdminRequest(
        undefined,
        readJob(`/config/${sequence}`),
      );
      if (response?.code === 200)
        return JSON.stringify(create(jsonIn(response.body), foundConfig).config);
      if (response && response.code !== 503) return undefined;
      yield* sleep(this.outside.clock, readPauseMs);
    }
    return undefined;
  }
}
