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
  type ResponseIdentity,
} from "./backend-client.js";
import type { BackendConnection } from "./backend-connection.js";
import type { ConnectionPool } from "./connection-pool.js";
import { isHttpMethod, requestBody, requestHeadBytes, requestHeaders } from "./request-encoding.js";
import { ResponseReader, type ReceivedHead, type ReceiveFailure } from "./response-reader.js";

/** How long a late response is drained after its deadline, so that its connection can be reused. */
const DRAIN_TIMEOUT_MS = 250;

/** The connection closed before any byte of the request was sent, so the request can be sent on another one. */
export interface ConnectionEnded {
  readonly kind: "connectionEnded";
}

/** The result of starting an exchange. */
export type ExchangeResult = OpenResult | ConnectionEnded;

/** What an exchange depends on. */
export interface HttpExchangeOptions {
  readonly clock: Clock;
  readonly pool: ConnectionPool;
  readonly pacers: LinkPacers;
  /** Whether a response that misses its deadline is drained for `DRAIN_TIMEOUT_MS` before its connection is reset. */
  readonly drainsLateResponses: boolean;
}

const noCancel = (): void => undefined;

/** What one exchange consists of. */
interface HttpExchangeParts extends HttpExchangeOptions {
  readonly connection: BackendConnection;
  readonly attempt: BackendAttempt;
  /** Called with the response head or the failure. Calls after the first have no effect. */
  readonly done: (result: ExchangeResult) => void;
}

/** Sends one attempt on a connection, and releases or closes the connection at the end. */
class HttpExchange {
  private readonly options: HttpExchangeOptions;
  private readonly connection: BackendConnection;
  private readonly attempt: BackendAttempt;
  private readonly done: (result: ExchangeResult) => void;
  private readonly reader: ResponseReader;
  private isLate = false;
  /** Which request the response names, if its head came after the deadline. */
  private lateIdentity: ResponseIdentity = "own";
  private isEnded = false;
  private isBodySent = false;
  /** Whether the attempt was no longer allowed when its first byte could be sent. */
  private isWithdrawn = false;
  private cancelDeadline = noCancel;
  private cancelDrain = noCancel;
  private cancelClientClosed = noCancel;

  constructor({ connection, attempt, done, ...options }: HttpExchangeParts) {
    this.options = options;
    this.connection = connection;
    this.attempt = attempt;
    this.done = done;
    this.reader = new ResponseReader({
      ingress: options.pacers.ingress,
      dueMs: attempt.dueMs ?? attempt.deadlineMs,
      onHead: (head) => this.onHead(head),
      onEnd: (isComplete) => this.end(isComplete),
    });
  }

  start(): void {
    const { clock, pool, pacers } = this.options;
    const { request, deadlineMs, dueMs = deadlineMs } = this.attempt;
    this.cancelDeadline = clock.after(deadlineMs - clock.nowMs(), () => this.expire());
    if (!isHttpMethod(request.method)) {
      this.cancelDeadline();
      pool.release(this.connection);
      this.done(openFailure("unreached"));
      return;
    }
    this.cancelClientClosed = this.attempt.onClientClosed?.(() => this.cancel()) ?? noCancel;
    pacers.egress.recordBytes(requestHeadBytes(request));
    this.connection.client.dispatch(
      {
        method: request.method,
        path: request.path,
        headers: requestHeaders(request, pacers.egress),
        body: requestBody(request, pacers.egress, dueMs, {
          mayStart: () => this.mayStart(),
          onSent: () => {
            this.isBodySent = true;
          },
        }),
      },
      this.reader,
    );
  }

  private mayStart(): boolean {
    this.isWithdrawn = this.isLate || this.attempt.mayStillSend?.() === false;
    return !this.isWithdrawn;
  }

  private onHead(head: ReceivedHead | ReceiveFailure): void {
    if (this.isLate && head.kind === "head")
      this.lateIdentity = this.attempt.identifyResponse?.(head.headers) ?? "none";
    this.done(this.createResult(head));
  }

  private createResult(head: ReceivedHead | ReceiveFailure): ExchangeResult {
    if (head.kind === "head") return openedResponse(this.createResponse(head));
    if (this.isWithdrawn) return openFailure("withdrawn");
    if (this.reader.hasStarted) return openFailure(this.isLate ? "late" : "lost");
    const isInvalidRequest = head.error instanceof errors.InvalidArgumentError;
    return isInvalidRequest ? openFailure("unreached") : { kind: "connectionEnded" };
  }

  private createResponse({ code, headers }: ReceivedHead): BackendResponse {
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

  /** Handles the end of the response. */
  private end(isComplete: boolean): void {
    const { pool } = this.options;
    this.isEnded = true;
    this.cancelDeadline();
    this.cancelClientClosed();
    this.cancelDrain();
    // The response to this attempt may still come, in the place of the next one.
    if (!isComplete || this.lateIdentity === "other") return pool.close(this.connection);
    if (this.lateIdentity === "none") this.connection.hasUnidentifiedResponse = true;
    pool.release(this.connection);
  }

  /** Discards the response, and resets its connection if the response hasn't ended. */
  private cancel(): void {
    this.cancelDeadline();
    this.reader.drain();
    if (!this.isEnded) this.options.pool.reset(this.connection);
  }

  /** Handles the deadline. */
  private expire(): void {
    const { clock, drainsLateResponses } = this.options;
    this.isLate = true;
    if (!drainsLateResponses) return this.cancel();
    // An unfinished body must not reach its end after the client was told that the request is late.
    if (!this.isBodySent) this.cancel();
    else {
      this.reader.drain();
      this.cancelDrain = clock.after(DRAIN_TIMEOUT_MS, () => this.cancel());
    }
    this.done(openFailure("late"));
  }
}

/** Sends an attempt on a connection; returns when the response head has arrived or the attempt has failed. */
export const exchange = function* (
  options: HttpExchangeOptions,
  connection: BackendConnection,
  attempt: BackendAttempt,
): Task<ExchangeResult> {
  return yield* waitFor<ExchangeResult>((done) =>
    new HttpExchange({ ...options, connection, attempt, done }).start(),
  );
};
