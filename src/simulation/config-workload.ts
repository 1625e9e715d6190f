import { create, number, optional, type, unknown } from "superstruct";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";

import type { EventRecorder } from "./event-recorder.js";
import { malformedConfigs } from "./malformed-configs.js";
import type { ClientTransport } from "./client-transport.js";
import { type Profile, profileConfig } from "./profile.js";

/** A config change prepared by an operator. Retries send the same bytes. */
export interface ConfigChange {
  /** The version that it is based on. */
  readonly base: number;
  /** The version that it requests; the fleet chooses one where undefined. */
  readonly version: number | undefined;
  /** The number of a route that no other config has. */
  readonly probe: number;
  readonly text: string;
  readonly changeId: string;
}

/** How a config change is sent. */
export interface CommandSendOptions {
  /** Chooses the daemon for the next attempt; a random daemon where it returns undefined. */
  readonly chooseDaemon?: () => string | undefined;
  /** The timeout of one attempt, in ms. */
  readonly timeoutMs?: number;
}

const sequenceBody = type({ sequence: number() });
const configBody = type({ config: optional(unknown()) });
const MAX_COMMAND_ATTEMPTS = 60;
const COMMAND_RETRY_DELAY_MS = 150;
const MAX_READ_ATTEMPTS = 10;
const READ_RETRY_DELAY_MS = 200;

const parseJson = (body: Uint8Array): unknown => JSON.parse(Buffer.from(body).toString());

const createReadRequest = (target: string): ProxyRequest => ({
  method: "GET",
  target,
  headers: { "content-type": "application/json" },
  body: Buffer.alloc(0),
});

const createCommandRequest = ({ base, version, text, changeId }: ConfigChange): ProxyRequest => ({
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

/** The requests of operators: changes and reads of the config, all of which are recorded. */
export class ConfigWorkload {
  private readonly transport: ClientTransport;
  private readonly profile: Profile;
  private readonly recorder: EventRecorder;
  private readonly isOver: () => boolean;
  private changeCount = 0;
  private extraRoutes = 0;
  private movedRoutes: Record<string, string> = {};
  /** The latest version that an operator knows to be accepted. */
  sequence = 0;

  constructor(
    transport: ClientTransport,
    profile: Profile,
    recorder: EventRecorder,
    isOver: () => boolean,
  ) {
    this.transport = transport;
    this.profile = profile;
    this.recorder = recorder;
    this.isOver = isOver;
  }

  /** Adds a number of routes to all later configs. */
  growRoutes(count: number): void {
    this.extraRoutes += count;
  }

  /** Prepares a change of the latest known config; it requests `version` where one is given. */
  prepare(version?: number): ConfigChange {
    const base = this.sequence;
    this.changeCount += 1;
    const probe = (base + 1) * 1000 + (this.changeCount % 1000);
    for (const [route, services] of Object.entries(this.profile.moves))
      if (this.transport.random() < 0.3)
        this.movedRoutes[route] =
          services[Math.floor(this.transport.random() * services.length)] ?? "";
    const config = profileConfig(this.profile, probe, this.movedRoutes, this.extraRoutes);
    return {
      base,
      version,
      probe,
      text: JSON.stringify(config),
      changeId: `change-${this.changeCount}`,
    };
  }

  /** Prepares and sends a change of the latest known config; returns whether it was acknowledged. */
  *put(options: CommandSendOptions = {}): Task<boolean> {
    return yield* this.submit(this.prepare(), options);
  }

  /** Sends a change, and retries it after each attempt with an unknown outcome; returns whether it was acknowledged. */
  *submit(
    change: ConfigChange,
    { chooseDaemon, timeoutMs }: CommandSendOptions = {},
  ): Task<boolean> {
    const { base, probe, text } = change;
    const { clock } = this.transport;
    const record = this.recorder.addCommand({ base, probe, startMs: clock.nowMs() });
    this.recorder.environmentRecords.push({ kind: "sent", atMs: clock.nowMs(), probe, text });
    for (let attempt = 0; attempt < MAX_COMMAND_ATTEMPTS && !this.isOver(); attempt += 1) {
      const [daemon, sentMs] = [chooseDaemon?.(), clock.nowMs()];
      const response = yield* this.transport.sendAdminRequest(
        daemon,
        createCommandRequest(change),
        undefined,
        timeoutMs,
      );
      const atMs = clock.nowMs();
      record.attempts.push({ daemon, startMs: sentMs, endMs: atMs, code: response?.code ?? 0 });
      if (response?.code === 200) {
        const { sequence } = create(parseJson(response.body), sequenceBody);
        this.sequence = Math.max(this.sequence, sequence);
        Object.assign(record, { outcome: "accepted", version: sequence, endMs: atMs });
        this.recorder.environmentRecords.push({ kind: "accepted", atMs, sequence, probe, text });
        return true;
      }
      if (response && response.code >= 400 && response.code < 500) {
        const current =
          response.code === 412 ? create(parseJson(response.body), sequenceBody).sequence : 0;
        this.sequence = Math.max(this.sequence, current);
        const outcome = response.code === 412 ? "lost" : "refused";
        Object.assign(record, { outcome, version: current, endMs: atMs });
        this.recorder.environmentRecords.push({ kind: "rejected", atMs, probe });
        return false;
      }
      yield* sleep(clock, COMMAND_RETRY_DELAY_MS);
    }
    return false;
  }

  /** Reads the latest config once, from one daemon. */
  *read(daemon: string | undefined): Task {
    const { clock } = this.transport;
    const startMs = clock.nowMs();
    const response = yield* this.transport.sendAdminRequest(daemon, createReadRequest("/config"));
    if (response?.code !== 200) return;
    const { sequence } = create(parseJson(response.body), sequenceBody);
    this.recorder.configReads.push({ startMs, endMs: clock.nowMs(), version: sequence });
  }

  /** Reads the latest config from random daemons, at random intervals around `intervalMs`. */
  *readPeriodically(intervalMs: number): Task {
    while (!this.isOver()) {
      yield* sleep(this.transport.clock, intervalMs * (0.5 + this.transport.random()));
      this.transport.start(this.read(undefined));
    }
  }

  /** Sends a malformed config, which must be rejected. */
  *putMalformed(): Task {
    this.changeCount += 1;
    const probe = (this.sequence + 1) * 1000 + (this.changeCount % 1000);
    const malformed = malformedConfigs(profileConfig(this.profile, probe), this.profile, probe);
    const body = Buffer.from(
      malformed[Math.floor(this.transport.random() * malformed.length)] ?? "",
    );
    const response = yield* this.transport.sendAdminRequest(undefined, {
      method: "PUT",
      target: "/config",
      headers: { "if-match": `"${this.sequence}"` },
      body,
    });
    const atMs = this.transport.clock.nowMs();
    if (response?.code === 400)
      this.recorder.environmentRecords.push({ kind: "rejected", atMs, probe });
    if (response && response.code < 300)
      this.recorder.environmentRecords.push({
        kind: "malformedAccepted",
        atMs,
        text: body.toString(),
      });
  }

  /** Reads back every accepted config at the end of a run; one that no daemon returns is recorded as missing. */
  *readBack(): Task {
    for (const sequence of new Set(
      this.recorder.ofKind("accepted").map((record) => record.sequence),
    )) {
      const text = yield* this.readText(sequence);
      this.recorder.environmentRecords.push({
        kind: "readBack",
        atMs: this.transport.clock.nowMs(),
        sequence,
        text,
      });
    }
  }

  private *readText(sequence: number): Task<string | undefined> {
    for (let attempt = 0; attempt < MAX_READ_ATTEMPTS; attempt += 1) {
      const response = yield* this.transport.sendAdminRequest(
        undefined,
        createReadRequest(`/config/${sequence}`),
      );
      if (response?.code === 200)
        return JSON.stringify(create(parseJson(response.body), configBody).config);
      if (response && response.code !== 503) return undefined;
      yield* sleep(this.transport.clock, READ_RETRY_DELAY_MS);
    }
    return undefined;
  }
}
