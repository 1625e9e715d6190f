/** One request and its response on a connection to a backend. */
import { errors } from "undici";
import type { Clock } from "../../runtime/clock.js";
import type { LinkPacers } from "../../runtime/link-pacer.js";
import { type Task, waitFor } from "../../runtime/task.js";
import {
  openedResponse,
  openFailure,
  type BackendAttempt,
  type BackendResponse,
  type OpenResult,
} from "./backend-client.js";
import type { BackendConnection } from "./backend-connection.js";
import type { ConnectionPool } from "./connection-pool.js";
import { isHttpMethod, requestBody, requestHeadBytes, requestHeaders } from "./request-encoding.js";
import { ResponseReader, type ReceivedHead, type ReceiveFailure } from "./response-reader.js";

/** How long a response may still arrive after its deadline, so that its connection can be used again. */
const DRAIN_TIMEOUT_MS = 250;

/** The connection ended before the request was begun: it can be sent on another. */
export interface ConnectionEnded {
  readonly kind: "connectionEnded";
}

/** How an exchange began. */
export type ExchangeResult = OpenResult | ConnectionEnded;

/** What an exchange depends on. */
export interface HttpExchangeOptions {
  readonly clock: Clock;
  readonly pool: ConnectionPool;
  readonly pacers: LinkPacers;
  /** Whether a response that misses its deadline is drained for a while, instead of reset at once. */
  readonly drainsLateResponses: boolean;
}

const noCancel = (): void => undefined;

/** One exchange, and whom it notifies of its beginning. */
interface HttpExchangeParts extends HttpExchangeOptions {
  readonly connection: BackendConnection;
  readonly attempt: BackendAttempt;
  readonly done: (result: ExchangeResult) => void;
}

/** Sends one attempt on a connection that is in use for it, and returns the connection to its pool at the end. */
class HttpExchange {
  private readonly options: HttpExchangeOptions;
  private readonly connection: BackendConnection;
  private readonly attempt: BackendAttempt;
  private readonly done: (result: ExchangeResult) => void;
  private readonly reader: ResponseReader;
  private isLate = false;
  private isEnded = false;
  private cancelDeadline = noCancel;
  private cancelDrain = noCancel;
  private cancelUnwanted = noCancel;

  constructor({ connection, attempt, done, ...options }: HttpExchangeParts) {
    this.options = options;
    this.connection = connection;
    this.attempt = attempt;
    this.done = done;
    this.reader = new ResponseReader({
      ingress: options.pacers.ingress,
      dueMs: attempt.dueMs ?? attempt.deadlineMs,
      onHead: (head) => done(this.resultOf(head)),
      onEnd: (isComplete) => this.end(isComplete),
    });
  }

  start(): void {
    const { clock, pool, pacers } = this.options;
    const { request, deadlineMs: untilMs, dueMs = untilMs } = this.attempt;
    this.cancelDeadline = clock.after(untilMs - clock.nowMs(), () => this.expire());
    if (!isHttpMethod(request.method)) {
      this.cancelDeadline();
      pool.release(this.connection);
      this.done(openFailure("unreached"));
      return;
    }
    this.cancelUnwanted = this.attempt.onClientClosed?.(() => this.cancel()) ?? noCancel;
    pacers.egress.recordBytes(requestHeadBytes(request));
    this.connection.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: requestHeaders(request, pacers.egress),
        body: requestBody(request, pacers.egress, dueMs),
      },
      this.reader,
    );
  }

  private resultOf(head: ReceivedHead | ReceiveFailure): ExchangeResult {
    if (head.kind === "head") return openedResponse(this.responseOf(head));
    if (this.reader.hasStarted) return openFailure(this.isLate ? "late" : "lost");
    const isInvalidRequest = head.error instanceof errors.InvalidArgumentError;
    return isInvalidRequest ? openFailure("unreached") : { kind: "connectionEnded" };
  }

  private responseOf({ code, headers }: ReceivedHead): BackendResponse {
    return {
      code,
      headers,
      nextChunk: () => this.reader.nextChunk(),
      cancel: () => this.cancel(),
      markUnidentified: () => {
        this.connection.hasUnidentifiedResponse = true;
      },
    };
  }

  /** The response ended, complete or not. */
  private end(isComplete: boolean): void {
    const { pool } = this.options;
    this.isEnded = true;
    this.cancelDeadline();
    this.cancelUnwanted();
    this.cancelDrain();
    if (isComplete) pool.release(this.connection);
    else pool.close(this.connection);
  }

  /** Discards the response, and resets its connection where it hasn't ended. */
  private cancel(): void {
    this.cancelDeadline();
    this.reader.drain();
    if (!this.isEnded) this.options.pool.reset(this.connection);
  }

  /** The deadline passed. */
  private expire(): void {
    const { clock, drainsLateResponses } = this.options;
    this.isLate = true;
    if (!drainsLateResponses) {
      this.cancel();
      return;
    }
    this.reader.drain();
    this.cancelDrain = clock.after(DRAIN_TIMEOUT_MS, () => this.cancel());
    this.done(openFailure("late"));
  }
}

/** Sends an attempt on a connection; returns once the response head came, or the attempt failed. */
export const exchange = function* (
  options: HttpExchangeOptions,
  connection: BackendConnection,
  attempt: BackendAttempt,
): Task<ExchangeResult> {
  return yield* waitFor<ExchangeResult>((done) =>
    new HttpExchange({ ...options, connection, attempt, done }).start(),
  );
};
