import {
  CONNECT_TIMEOUT_MS,
  openedResponse,
  openFailure,
  type BackendClient,
  type BackendAttempt,
  type OpenResult,
} from "../proxy/upstream/backend-client.js";
import type { Clock } from "../runtime/clock.js";
import { type Task, waitFor } from "../runtime/task.js";
import { EventGate } from "./event-gate.js";
import type { TestBackendResponse, TestBackend } from "./test-backend.js";
import type { VirtualNetwork } from "./virtual-network.js";

/** A connection of a daemon to one process of a test backend. */
interface BackendConnection {
  readonly testBackend: TestBackend;
  readonly incarnation: number;
  /** Whether the daemon knows that the connection is broken. */
  isBroken: boolean;
  /** Receives the next response on it; undefined while the connection is idle. */
  onResponse: ((response: TestBackendResponse) => void) | undefined;
}

/** The options of one machine's client to the virtual backends. */
export interface VirtualBackendOptions {
  readonly location: string;
  readonly gate: EventGate;
  /** The machine's clock, by which attempts time out. */
  readonly machineClock: Clock;
  readonly clock: Clock;
  readonly network: VirtualNetwork;
  readonly random: () => number;
  readonly findTestBackend: (address: string) => TestBackend | undefined;
}

const outsideGate = new EventGate();

/** The backend client of one simulated machine. Its connections over the virtual network are slow, partitioned and reset as real ones are. */
export const virtualBackends = ({
  location,
  gate,
  machineClock,
  clock,
  network,
  random,
  findTestBackend,
}: VirtualBackendOptions): BackendClient => {
  const idleConnections = new Map<string, BackendConnection[]>();

  const isIntact = ({ testBackend, incarnation }: BackendConnection): boolean =>
    testBackend.isUp && testBackend.incarnation === incarnation;
  const createConnection = (testBackend: TestBackend): BackendConnection => {
    const connection: BackendConnection = {
      testBackend,
      incarnation: testBackend.incarnation,
      isBroken: false,
      onResponse: undefined,
    };
    testBackend.onStop(() =>
      network.deliver(
        testBackend.address,
        location,
        gate,
        () => {
          connection.isBroken = true;
        },
        () => undefined,
      ),
    );
    return connection;
  };

  const openConnection = function* ({
    address,
    service,
  }: BackendAttempt): Task<BackendConnection | "refused" | "foreign" | "unreached"> {
    return yield* waitFor<BackendConnection | "refused" | "foreign" | "unreached">((done) => {
      let isSettled = false;
      const settle = (outcome: BackendConnection | "refused" | "foreign" | "unreached"): void => {
        if (isSettled) return;
        isSettled = true;
        cancel();
        gate.pass(() => done(outcome));
      };
      const cancel = clock.after(CONNECT_TIMEOUT_MS, () => settle("unreached"));
      const sendBack = (outcome: BackendConnection | "refused" | "foreign" | "unreached"): void =>
        network.deliver(
          address,
          location,
          gate,
          () => settle(outcome),
          () => undefined,
        );
      const accept = (): void => {
        const testBackend = findTestBackend(address);
        if (!testBackend?.isUp) return sendBack("refused");
        const connection = createConnection(testBackend);
        const identify = (): void =>
          isIntact(connection)
            ? sendBack(testBackend.service === service ? connection : "foreign")
            : sendBack("unreached");
        network.deliver(
          address,
          location,
          gate,
          () => network.deliver(location, address, outsideGate, identify, () => undefined),
          () => undefined,
        );
      };
      clock.after(network.drawConnectDelayMs(), () =>
        network.deliver(location, address, outsideGate, accept, () => undefined),
      );
    });
  };

  const sendRequest = function* (
    connection: BackendConnection,
    { request, deadlineMs, pool }: BackendAttempt,
  ): Task<OpenResult> {
    const { testBackend } = connection;
    const { address } = testBackend;
    return yield* waitFor<OpenResult>((done) => {
      let isSettled = false;
      const settle = (opened: OpenResult): void => {
        if (isSettled) return;
        isSettled = true;
        cancel();
        gate.pass(() => done(opened));
      };
      const cancel = clock.after(deadlineMs - machineClock.nowMs(), () =>
        settle(openFailure("late")),
      );
      const sendBack = (opened: OpenResult): void =>
        network.deliver(
          address,
          location,
          gate,
          () => settle(opened),
          () => settle(openFailure("lost")),
        );
      const sentMs = clock.nowMs();
      const latencyMs = network.drawLatencyMs();
      network.deliver(
        location,
        address,
        outsideGate,
        () => {
          if (!isIntact(connection)) return sendBack(openFailure("lost"));
          const response = testBackend.handleRequest(
            request,
            clock.nowMs(),
            Math.max(0, clock.nowMs() - sentMs - latencyMs),
          );
          connection.onResponse = (first) => sendBack(readResponse(connection, first, pool));
          clock.after(response.delayMs, () =>
            deliverResponse(connection, response, () => sendBack(openFailure("lost"))),
          );
        },
        () => settle(openFailure("lost")),
        latencyMs,
      );
    });
  };

  /** Sends a response on its connection, to the request that waits there, and a duplicate where the response has one. */
  const deliverResponse = (
    connection: BackendConnection,
    response: TestBackendResponse,
    onLost: () => void,
  ): void => {
    if (response.isLost || !isIntact(connection)) return onLost();
    const { onResponse } = connection;
    connection.onResponse = undefined;
    if (onResponse) onResponse(response);
    else connection.isBroken = true;
    const { repeatAfterMs } = response;
    if (repeatAfterMs !== undefined)
      clock.after(repeatAfterMs, () =>
        deliverResponse(connection, { ...response, repeatAfterMs: undefined }, () => undefined),
      );
  };

  const readResponse = (
    connection: BackendConnection,
    response: TestBackendResponse,
    pool: string,
  ): OpenResult => {
    const { address } = connection.testBackend;
    const body = response.body.subarray(0, response.truncateAt ?? response.body.length);
    let offset = 0;
    return openedResponse({
      code: response.code,
      headers: response.headers,
      *nextChunk() {
        if (offset >= body.length) {
          if (response.truncateAt !== undefined) return "cut";
          release(connection, pool);
          return "end";
        }
        const hasArrived = yield* waitFor<boolean>((done) =>
          network.deliver(
            address,
            location,
            gate,
            () => done(isIntact(connection)),
            () => gate.pass(() => done(false)),
            network.drawLatencyMs() / 10,
          ),
        );
        if (!hasArrived) return "cut";
        const chunk = body.subarray(offset, offset + 65_536);
        offset += chunk.length;
        return chunk;
      },
      cancel: () => undefined,
    });
  };

  const release = (connection: BackendConnection, pool: string): void => {
    if (connection.isBroken || random() < 0.02) return;
    const connections = idleConnections.get(pool);
    if (connections) connections.push(connection);
    else idleConnections.set(pool, [connection]);
  };

  return {
    *send(attempt) {
      const pooled = idleConnections.get(attempt.pool) ?? [];
      let idle = pooled.pop();
      while (idle?.isBroken) idle = pooled.pop();
      const connection = idle ?? (yield* openConnection(attempt));
      if (typeof connection === "string") return openFailure(connection);
      if (!attempt.maySend()) {
        release(connection, attempt.pool);
        return openFailure("withdrawn");
      }
      return yield* sendRequest(connection, attempt);
    },
    retainPools(pools) {
      for (const pool of idleConnections.keys()) if (!pools.has(pool)) idleConnections.delete(pool);
    },
    close: () => idleConnections.clear(),
  };
};
