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
import type { StageMachine } from "../replication/fleet-stage.js";
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
      *next() {
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
  private readonly deregisteringIds = new Set<number>();

  constructor() {
    super([...machinesOf("d", 6), ...machinesOf("e", 30)], [0, 1, 2], {
      tolerate: { machines: 2, zones: 0 },
    });
  }

  protected override daemonOptions(): DaemonOptions {
    return {
      backendClient: createBackendClient(this.time.clock()),
      headerNames: LimitedCluster.headerNames,
    };
  }

  get edges(): StageMachine[] {
    return this.machines.filter(({ disk }) => !disk);
  }

  /** Sends keyed writes at a rate, each with a key of its own, to all edges in turn. */
  startWrites(ratePerSecond: number, durationMs: number): void {
    const { time, edges } = this;
    const startMs = time.nowMs();
    const count = (ratePerSecond * durationMs) / 1000;
    const writeAtRate = function* (cluster: KeyedWriteCluster): Task {
      while (cluster.writes.length < count) {
        const due = Math.min(count, ((time.nowMs() - startMs) * ratePerSecond) / 1000);
        for (let at = cluster.writes.length; at < due; at += 1)
          cluster.send(edges[at % edges.length], `key-${at}`);
        yield* sleep(time.clock(), 1);
      }
    };
    this.start(writeAtRate(this));
  }

  private send(edge: StageMachine | undefined, key: string): void {
    const sentMs = this.time.nowMs();
    const write: KeyedWrite = { code: undefined, durationMs: Infinity };
    this.writes.push(write);
    const client: ClientConnection = {
      isClosed: false,
      respond: ({ code }) => {
        write.code = code;
        write.durationMs = this.time.nowMs() - sentMs;
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
    const clientRequest = {
      method: "POST",
      target: `/write/${key}`,
      headers,
      body: Buffer.from(key),
    };
    edge?.daemon?.clientRequests.emit({ clientRequest, client });
  }

  /** Has backends announce themselves through one edge after another, until they leave. */
  startHeartbeats(ids: readonly number[]): void {
    const clock = this.time.clock();
    const sendHeartbeats = function* (cluster: KeyedWriteCluster, id: number): Task {
      for (let calls = 1; !cluster.deregisteringIds.has(id); calls += 1) {
        const edge = cluster.edges[(id + calls) % cluster.edges.length];
        if (edge) cluster.heartbeat(edge, { id: `${id}`, calls, service: "ledger" });
        yield* sleep(clock, heartbeatIntervalMs);
      }
    };
    for (const id of ids) this.start(sendHeartbeats(this, id));
  }

  /** Has backends leave, each calling one daemon after another until it is acknowledged; how long each took. */
  deregister(ids: readonly number[]): number[] {
    const durationsMs = ids.map(() => Infinity);
    const clock = this.time.clock();
    const deregisteringIds = function* (
      cluster: KeyedWriteCluster,
      id: number,
      index: number,
    ): Task {
      const startedMs = clock.nowMs();
      cluster.deregisteringIds.add(id);
      for (let calls = 1000; ; calls += 1) {
        const edge = cluster.edges[Math.floor(cluster.random() * cluster.edges.length)];
        if (!edge) return;
        const call = cluster.heartbeat(edge, {
          id: `${id}`,
          calls,
          state: "draining",
          service: "ledger",
        });
        const untilMs = clock.nowMs() + clientTimeoutMs;
        while (call.code === undefined && clock.nowMs() < untilMs) yield* sleep(clock, 5);
        if (call.code === 200) {
          durationsMs[index] = clock.nowMs() - startedMs;
          return;
        }
        yield* sleep(clock, 50);
      }
    };
    for (const [index, id] of ids.entries()) this.start(deregisteringIds(this, id, index));
    this.wait(ackTimeoutMs);
    return durationsMs;
  }
}

const createCluster = (): KeyedWriteCluster => {
  const cluster = new KeyedWriteCluster();
  cluster.bootAll();
  cluster.wait(5000);
  expect(cluster.submitUntilFinal(configuration, 6)).toBe(200);
  cluster.startHeartbeats(Array.from({ length: backendCount }, (_, id) => id));
  cluster.wait(3000);
  return cluster;
};

test("under one and a half times the keyed writes of a grown deployment's peak the leader keeps its lead, writes are answered in time, and every backend that leaves is acknowledged", () => {
  const cluster = createCluster();
  const electionsBefore = cluster.electionCount;
  cluster.startWrites(writesPerSecond, 6000);
  cluster.wait(3000);
  const ids = Array.from({ length: backendCount / 2 }, (_, id) => id);
  const deregistrationsMs = cluster.deregister(ids);
  cluster.wait(deadlineMs);
  expect(cluster.writes.length).toBe(writesPerSecond * 6);
  expect(cluster.electionCount).toBe(electionsBefore);
  expect(Math.max(...deregistrationsMs)).toBeLessThan(ackTimeoutMs);
  const inTime = cluster.writes.filter((one) => one.code === 200 && one.durationMs < targetTimeMs);
  expect(inTime.length).toBeGreaterThan(cluster.writes.length * 0.9);
}, 120_000);
