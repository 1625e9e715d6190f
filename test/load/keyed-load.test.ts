import { expect, test } from "vitest";
import {
  openedResponse,
  openFailure,
  type BackendClient,
} from "../../src/proxy/upstream/backend-client.js";
import type { ClientConnection } from "../../src/proxy/proxy-request.js";
import type { DaemonOptions } from "../../src/daemon/daemon-options.js";
import { type Clock, sleep } from "../../src/runtime/clock.js";
import type { Task } from "../../src/runtime/task.js";
import type { ConfigChangeBytes } from "../platform/command-stage.js";
import type { FixtureMachine } from "../replication/fleet-stage.js";
import { LimitedCluster } from "./limited-stage.js";

const zones = ["a", "b", "c"];
const machinesOf = (kind: string, count: number): string[] =>
  Array.from({ length: count }, (_, at) => `${kind}:${zones[at % zones.length]}`);

/** Figures of the grown deployments: how soon a leave is acknowledged, and how soon a keyed write is to be answered. */
const ackTimeoutMs = 4000;
const targetTimeMs = 900;
const deadlineMs = 3300;
/** Whoever calls a control address goes on to another daemon after a second of silence. */
const clientTimeoutMs = 1000;
/** Grown Rastro has some 400 keyed writes a second at its peak. */
const writesPerSecond = 600;
const processingMs = 160;
const responseBytes = 5000;
const backendCount = 20;
const heartbeatIntervalMs = 1000;

const configuration: ConfigChangeBytes = {
  target: "config/put",
  base: "0",
  body: JSON.stringify({
    ver: "r1",
    objs: [
      {
        type: "routes",
        meta: { name: "write" },
        spec: {
          host: "a.example",
          pfx: "/write/",
          kind: "idempotent",
          deadline: `${deadlineMs}ms`,
          target_time: `${targetTimeMs}ms`,
          prio: 1,
          svc: "ledger",
          tries: 2,
        },
      },
      { type: "services", meta: { name: "ledger" }, spec: { maxConns: 500 } },
    ],
  }),
};

/** Backends that answer each request after some work with a body of usual size. */
const createBackendClient = (clock: Clock): BackendClient => ({
  *send({ request: job, maySend: mayStill }) {
    if (!mayStill()) return openFailure("withdrawn");
    yield* sleep(clock, processingMs);
    const pieces = [Buffer.alloc(responseBytes, "r")];
    return openedResponse({
      code: 200,
      headers: {
        "try-id": job.headers["try-id"] ?? "",
        seal: "seal",
        "content-length": String(responseBytes),
      },
      *nextChunk() {
        return pieces.shift() ?? "end";
      },
      cancel: () => undefined,
    });
  },
  retainPools: () => undefined,
  close: () => undefined,
});

interface KeyedWrite {
  code: number | undefined;
  durationMs: number;
}

class KeyedWriteCluster extends LimitedCluster {
  readonly writes: KeyedWrite[] = [];
  private readonly leaving = new Set<number>();

  constructor() {
    super([...machinesOf("d", 6), ...machinesOf("e", 30)], [0, 1, 2], {
      tolerate: { machines: 2, zones: 0 },
    });
  }

  protected override daemonOptions(): DaemonOptions {
    return {
      backendClient: createBackendClient(this.virtualClock.clock()),
      headerNames: LimitedCluster.headerNames,
    };
  }

  get edges(): FixtureMachine[] {
    return this.machines.filter(({ disk }) => !disk);
  }

  /** Sends keyed writes at a rate, each with a key of its own, to all edges in turn. */
  startWrites(perSecond: number, forMs: number): void {
    const { virtualClock: time, edges } = this;
    const startMs = time.nowMs();
    const count = (perSecond * forMs) / 1000;
    const writing = function* (stage: KeyedWriteCluster): Task {
      while (stage.writes.length < count) {
        const dueCount = Math.min(count, ((time.nowMs() - startMs) * perSecond) / 1000);
        for (let at = stage.writes.length; at < dueCount; at += 1)
          stage.send(edges[at % edges.length], `key-${at}`);
        yield* sleep(time.clock(), 1);
      }
    };
    this.startTask(writing(this));
  }

  private send(edge: FixtureMachine | undefined, key: string): void {
    const sentMs = this.virtualClock.nowMs();
    const writes: KeyedWrite = { code: undefined, durationMs: Infinity };
    this.writes.push(writes);
    const client: ClientConnection = {
      isClosed: false,
      respond: ({ code }) => {
        writes.code = code;
        writes.durationMs = this.virtualClock.nowMs() - sentMs;
      },
      writeHead: () => undefined,
      *writeChunk() {
        return true;
      },
      end: () => undefined,
      abort: () => undefined,
    };
    const headers = {
      host: "a.example",
      "try-id": `try-${key}`,
      "op-key": key,
      "deadline-ms": String(deadlineMs),
    };
    const job = { method: "POST", target: `/write/${key}`, headers, body: Buffer.from(key) };
    edge?.daemon?.clientRequests.emit({ clientRequest: job, client });
  }

  /** Has backends announce themselves through one edge after another, until they leave. */
  startHeartbeats(ids: readonly number[]): void {
    const clock = this.virtualClock.clock();
    const announcing = function* (stage: KeyedWriteCluster, id: number): Task {
      for (let calls = 1; !stage.leaving.has(id); calls += 1) {
        const edge = stage.edges[(id + calls) % stage.edges.length];
        if (edge) stage.heartbeat(edge, { id: `${id}`, calls, service: "ledger" });
        yield* sleep(clock, heartbeatIntervalMs);
      }
    };
    for (const id of ids) this.startTask(announcing(this, id));
  }

  /** Has backends leave, each calling one daemon after another until it is acknowledged; how long each took. */
  deregister(ids: readonly number[]): number[] {
    const tookMs = ids.map(() => Infinity);
    const clock = this.virtualClock.clock();
    const leaving = function* (stage: KeyedWriteCluster, id: number, place: number): Task {
      const startedMs = clock.nowMs();
      stage.leaving.add(id);
      for (let calls = 1000; ; calls += 1) {
        const edge = stage.edges[Math.floor(stage.random() * stage.edges.length)];
        if (!edge) return;
        const call = stage.heartbeat(edge, {
          id: `${id}`,
          calls,
          state: "draining",
          service: "ledger",
        });
        const untilMs = clock.nowMs() + clientTimeoutMs;
        while (call.code === undefined && clock.nowMs() < untilMs) yield* sleep(clock, 5);
        if (call.code === 200) {
          tookMs[place] = clock.nowMs() - startedMs;
          return;
        }
        yield* sleep(clock, 50);
      }
    };
    for (const [place, id] of ids.entries()) this.startTask(leaving(this, id, place));
    this.wait(ackTimeoutMs);
    return tookMs;
  }
}

const createCluster = (): KeyedWriteCluster => {
  const stage = new KeyedWriteCluster();
  stage.bootAll();
  stage.wait(5000);
  expect(stage.submitUntilFinal(configuration, 6)).toBe(200);
  stage.startHeartbeats(Array.from({ length: backendCount }, (_, id) => id));
  stage.wait(3000);
  return stage;
};

test("under one and a half times the keyed writes of a grown deployment's peak the leader keeps its lead, writes are answered in time, and every backend that leaves is acknowledged", () => {
  const stage = createCluster();
  const leaders = stage.electionCount;
  stage.startWrites(writesPerSecond, 6000);
  stage.wait(3000);
  const ids = Array.from({ length: backendCount / 2 }, (_, id) => id);
  const tookMs = stage.deregister(ids);
  stage.wait(deadlineMs);
  expect(stage.writes.length).toBe(writesPerSecond * 6);
  expect(stage.electionCount).toBe(leaders);
  expect(Math.max(...tookMs)).toBeLessThan(ackTimeoutMs);
  const inTime = stage.writes.filter((one) => one.code === 200 && one.durationMs < targetTimeMs);
  expect(inTime.length).toBeGreaterThan(stage.writes.length * 0.9);
}, 120_000);
