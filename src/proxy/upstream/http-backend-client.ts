/** A backend client over HTTP/1.1 by undici, whose own pools, retries and pipelining stay unused. */
import type { Clock } from "../../runtime/clock.js";
import { type LinkPacers, createLinkPacers } from "../../runtime/link-pacer.js";
import { type Task, fromPromise } from "../../runtime/task.js";
import type { HeaderNames } from "../header-names.js";
import {
  CONNECT_TIMEOUT_MS,
  openFailure,
  SERVICE_HEADER,
  SERVICE_PROOF_PATH,
  type BackendAttempt,
  type BackendClient,
  type OpenFailure,
  type OpenResult,
} from "./backend-client.js";
import { BackendConnection, openSocket } from "./backend-connection.js";
import { ConnectionPool } from "./connection-pool.js";
import { exchange, type HttpExchangeOptions } from "./http-exchange.js";

/** How backends are reached over HTTP. */
export interface HttpBackendClientOptions {
  /** Whether each connection or each request proves which service or instance is reached; by default each connection. */
  readonly proof?: HeaderNames["proof"] | undefined;
  readonly connectTimeoutMs?: number;
  /** Both directions of the machine's link, where its rate is limited. */
  readonly pacers?: LinkPacers;
}

/** A connection that is in use for an attempt. */
interface AcquiredConnection {
  readonly kind: "acquired";
  readonly connection: BackendConnection;
  /** It carried requests before: the backend may have ended it since. */
  readonly isReused: boolean;
}

/** Sends requests over connections of its own, each of which is proven once. */
export class HttpBackendClient implements BackendClient {
  private readonly clock: Clock;
  private readonly provesConnections: boolean;
  private readonly connectTimeoutMs: number;
  private readonly pool = new ConnectionPool();
  private readonly exchangeOptions: HttpExchangeOptions;
  private isClosed = false;

  constructor(clock: Clock, options: HttpBackendClientOptions = {}) {
    const {
      proof = "connection",
      connectTimeoutMs = CONNECT_TIMEOUT_MS,
      pacers = createLinkPacers(clock, undefined),
    } = options;
    this.clock = clock;
    this.provesConnections = proof === "connection";
    this.connectTimeoutMs = connectTimeoutMs;
    this.exchangeOptions = {
      clock,
      pool: this.pool,
      pacers,
      drainsLateResponses: !this.provesConnections,
    };
  }

  *send(attempt: BackendAttempt): Task<OpenResult> {
    for (;;) {
      if (this.isClosed) return openFailure("unreached");
      const acquired = yield* this.acquire(attempt);
      if (acquired.kind === "failed") return acquired;
      const { connection, isReused } = acquired;
      if (!attempt.maySend()) {
        this.pool.release(connection);
        return openFailure("withdrawn");
      }
      const result = yield* exchange(this.exchangeOptions, connection, attempt);
      if (result.kind !== "connectionEnded") return result;
      this.pool.close(connection);
      if (!isReused) return openFailure("unreached");
    }
  }

  retainPools(pools: ReadonlySet<string>): void {
    this.pool.retain(pools);
  }

  close(): void {
    this.isClosed = true;
    this.pool.closeAll();
  }

  /** Takes an idle connection, or opens one. */
  private *acquire(attempt: BackendAttempt): Task<AcquiredConnection | OpenFailure> {
    const { pool, isAtMostOnce: isOnce = false } = attempt;
    for (;;) {
      const connection = this.pool.takeIdle(pool, isOnce);
      if (!connection) return yield* this.open(attempt);
      if (this.pool.has(connection)) return { kind: "acquired", connection, isReused: true };
    }
  }

  /** Opens a connection and proves its service, where connections are proven. */
  private *open(attempt: BackendAttempt): Task<AcquiredConnection | OpenFailure> {
    const { address, pool, deadlineMs: untilMs } = attempt;
    const timeoutMs = Math.min(this.connectTimeoutMs, untilMs - this.clock.nowMs());
    const opened = yield* openSocket(this.clock, address, timeoutMs);
    if (opened.kind === "failed") return opened;
    const connection = new BackendConnection(opened.socket, address, pool);
    this.pool.add(connection);
    const failure = this.provesConnections
      ? yield* this.proveService(connection, attempt.service)
      : undefined;
    return failure ?? { kind: "acquired", connection, isReused: false };
  }

  /** Has the backend name its service; resets the connection where it is another, or doesn't answer in time. */
  private *proveService(
    connection: BackendConnection,
    service: string,
  ): Task<OpenFailure | undefined> {
    const cancelTimeout = this.clock.after(this.connectTimeoutMs, () =>
      this.pool.reset(connection),
    );
    const named = yield* fromPromise(
      connection.client
        .request({ method: "GET", path: SERVICE_PROOF_PATH })
        .then(async ({ headers, body }) => body.dump().then(() => headers[SERVICE_HEADER])),
    );
    cancelTimeout();
    if ("value" in named && named.value === service && this.pool.has(connection)) return undefined;
    this.pool.reset(connection);
    return openFailure("value" in named && named.value !== service ? "foreign" : "unreached");
  }
}
