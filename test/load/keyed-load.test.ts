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
/** Machines of one kind in alternating zones: "d" with a disk, "e" an edge. */
const machinesOf = (kind: string, count: number): string[] =>
  Array.from({ length: count }, (_, index) => `${kind}:${zones[index % zones.length]}`);

/** In the grown deployments a deregistration must be acknowledged within this time. */
const ackTimeoutMs = 4000;
/** Target time and deadline of the response to a keyed write in the grown deployments. */
const targetTimeMs = 900;
const deadlineMs = 3300;
/** A client of a control address tries another daemon if no response arrives within this time. */
const clientTimeoutMs = 1000;
/** The grown Rastro deployment has about 400 keyed writes/s at its peak. */
const writesPerSecond = 600;
/** Time that a backend takes to process a request. */
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

/** Creates a client whose backends respond to each request after the processing time, with a body of typical size. */
const createBackendClient = (clock: Clock): BackendClient => ({
  *send({ request, maySend }) {
    if (!maySend()) return openFailure("withdrawn");
    yield* sleep(clock, processingMs);
    const chunks = [Buffer.alloc(responseBytes, "r")];
    return openedResponse({
      code: 200,
      headers: {
        "try-id": request.headers["try-id"] ?? "",
        seal: "seal",
        "content-length": String(responseBytes),
      },
      *nextChunk() {
        return chunks.shift() ?? "end";
      },
      cancel: () => undefined,
    });
  },
  retainPools: () => undefined,
  close: () => undefined,
});

/** The response to a keyed write: no code and an infinite duration until it arrives. */
interface KeyedWrite {
  code: number | undefined;
  durationMs: number;
}

/** A cluster with limited machines that receives keyed writes, heartbeats and deregistrations. */
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
      backendClient: createBackendClient(this.virtualClock.clock()),
      headerNames: LimitedCluster.headerNames,
    };
  }

  get edges(): FixtureMachine[] {
    return this.machines.filter(({ disk }) => !disk);
  }

  /** Starts keyed writes at a fixed rate, each with its own key, distributed round-robin over all edges. */
  startWrites(ratePerSecond: number, durationMs: number): void {
    const { virtualClock, edges } = this;
    const startMs = virtualClock.nowMs();
    const count = (ratePerSecond * durationMs) / 1000;
    const writeAtRate = function* (cluster: KeyedWriteCluster): Task {
      while (cluster.writes.length < count) {
        const due = Math.min(count, ((virtualClock.nowMs() - startMs) * ratePerSecond) / 1000);
        for (let index = cluster.writes.length; index < due; index += 1)
          cluster.send(edges[index % edges.length], `key-${index}`);
        yield* sleep(virtualClock.clock(), 1);
      }
    };
    this.startTask(writeAtRate(this));
  }

  private send(edge: FixtureMachine | undefined, key: string): void {
    const sentMs = this.virtualClock.nowMs();
    const write: KeyedWrite = { code: undefined, durationMs: Infinity };
    this.writes.push(write);
    const client: ClientConnection = {
      isClosed: false,
      respond: ({ code }) => {
        write.code = code;
        write.durationMs = this.virtualClock.nowMs() - sentMs;
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

  /** Starts the heartbeats of backends, each to a different edge than the previous one, until the backend deregisters. */
  startHeartbeats(ids: readonly number[]): void {
    const clock = this.virtualClock.clock();
    const sendHeartbeats = function* (cluster: KeyedWriteCluster, id: number): Task {
      for (let calls = 1; !cluster.deregisteringIds.has(id); calls += 1) {
        const edge = cluster.edges[(id + calls) % cluster.edges.length];
        if (edge) cluster.heartbeat(edge, { id: `${id}`, calls, service: "ledger" });
        yield* sleep(clock, heartbeatIntervalMs);
      }
    };
    for (const id of ids) this.startTask(sendHeartbeats(this, id));
  }

  /**
   * Deregisters backends, each through random edges until one of them acknowledges it.
   *
   * Returns how long each deregistration took, infinite for one that wasn't acknowledged.
   */
  deregister(ids: readonly number[]): number[] {
    const durationsMs = ids.map(() => Infinity);
    const clock = this.virtualClock.clock();
    const deregisterBackend = function* (
      cluster: KeyedWriteCluster,
      id: number,
      index: number,
    ): Task {
      const startedMs = clock.nowMs();
      cluster.deregisteringIds.add(id);
      for (let calls = 1000; ; calls += 1) {
        const edge = cluster.edges[Math.floor(cluster.random() * cluster.edges.length)];
        if (!edge) return;
        const request = cluster.heartbeat(edge, {
          id: `${id}`,
          calls,
          state: "draining",
          service: "ledger",
        });
        const timeoutAtMs = clock.nowMs() + clientTimeoutMs;
        while (request.code === undefined && clock.nowMs() < timeoutAtMs) yield* sleep(clock, 5);
        if (request.code === 200) {
          durationsMs[index] = clock.nowMs() - startedMs;
          return;
        }
        yield* sleep(clock, 50);
      }
    };
    for (const [index, id] of ids.entries()) this.startTask(deregisterBackend(this, id, index));
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

/**
 * Guards against a leader whose processor the claims of keyed writes use up. It then misses its own heartbeats and loses its
 * leadership, responds too late, or leaves deregistrations unacknowledged.
 */
test("at 1.5 times the peak rate of keyed writes of a grown deployment the leader keeps its leadership, writes are answered in time, and all deregistrations are acknowledged", () => {
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
  const inTime = cluster.writes.filter(
    ({ code, durationMs }) => code === 200 && durationMs < targetTimeMs,
  );
  expect(inTime.length).toBeGreaterThan(cluster.writes.length * 0.9);
}, 120_000);
