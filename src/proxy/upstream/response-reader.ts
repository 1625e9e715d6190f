/** Reads one response as it arrives, and pauses the backend while too much of it is unread. */
import type { Dispatcher } from "undici";
import type { LinkPacer, Transfer } from "../../runtime/link-pacer.js";
import { type Task, waitFor } from "../../runtime/task.js";
import { ResponseBufferOverflowError } from "./connection-errors.js";

/** How much of a response is buffered before the backend is paused. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/** How much is buffered of a response that ends its connection and so can't be paused; a larger one is cancelled. */
const MAX_BUFFERED_CLOSING_BYTES = 8 * 1024 * 1024;

/** A response's status and headers, each header once and in lower case. */
export interface ReceivedHead {
  readonly kind: "head";
  readonly code: number;
  readonly headers: Record<string, string>;
}

/** A response that failed; after its head came, that is reported again by the body. */
export interface ReceiveFailure {
  readonly kind: "error";
  readonly error: Error;
}

/** What a response reader needs, and whom it notifies. */
export interface ResponseReaderOptions {
  readonly ingress: LinkPacer;
  /** When the response should have ended, which ranks it among the transfers on the link. */
  readonly dueMs: number;
  onHead(head: ReceivedHead | ReceiveFailure): void;
  /** The response ended: the connection may be used again where it is complete. */
  onEnd(isComplete: boolean): void;
}

/** Whether the connection stays open after a response with these headers: its end is then no part of the response. */
const keepsConnectionOpen = (headers: Record<string, string>): boolean => {
  const options = (headers["connection"] ?? "").toLowerCase().split(",");
  if (options.some((option) => option.trim() === "close")) return false;
  const isChunked = headers["transfer-encoding"]?.toLowerCase().trim() === "chunked";
  return isChunked || headers["content-length"] !== undefined;
};

/** The headers with the values of those that came more than once joined. */
const joinedHeaders = (
  headers: Record<string, string | string[] | undefined>,
): Record<string, string> => {
  const joined: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value !== undefined) joined[name] = typeof value === "string" ? value : value.join(", ");
  }
  return joined;
};

/** Reads one response; undici calls it as the response arrives. */
export class ResponseReader implements Dispatcher.DispatchHandler {
  /** Whether undici has begun to write the request; before that, nothing of it was sent. */
  hasStarted = false;
  private readonly chunks: Uint8Array[] = [];
  private bufferedBytes = 0;
  private receivedBytes = 0;
  private ending: "end" | "cut" | undefined;
  /** Nobody reads any more: what still arrives is discarded. */
  private isDiscarding = false;
  private resumeReader: (() => void) | undefined;
  private readonly ingress: LinkPacer;
  private readonly transfer: Transfer;
  /** What may arrive before the next turn; the link has accounted for it. */
  private creditBytes = 0;
  /**
   * Whether the backend may be paused. undici fails an assertion, which ends the process, where the connection of a paused
   * response ends after the response announced that it would: such a response is read as it arrives.
   */
  private mayPause = false;
  /** Cancels the pending turn on the link; set while the backend is paused for it. */
  private cancelPendingTurn: (() => void) | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private readonly options: ResponseReaderOptions;

  constructor(options: ResponseReaderOptions) {
    const { ingress, dueMs } = options;
    this.options = options;
    this.ingress = ingress;
    this.transfer = ingress.begin({ transferClass: "response", dueMs });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.hasStarted = true;
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    code: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (code < 200) return;
    const joined = joinedHeaders(headers);
    this.mayPause = keepsConnectionOpen(joined);
    this.options.onHead({ kind: "head", code, headers: joined });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
    if (!this.isDiscarding) this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    this.receivedBytes += chunk.length;
    this.ingress.recordBytes(Math.max(0, chunk.length - this.creditBytes));
    this.creditBytes = Math.max(0, this.creditBytes - chunk.length);
    if (this.mayPause) this.applyBackpressure(controller);
    else if (this.bufferedBytes > MAX_BUFFERED_CLOSING_BYTES) this.abort(controller);
    this.wakeReader();
  }

  onResponseEnd(): void {
    this.ending ??= "end";
    this.cancelPendingTurn?.();
    this.options.onEnd(true);
    this.wakeReader();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.ending = "cut";
    this.cancelPendingTurn?.();
    this.options.onEnd(false);
    this.options.onHead({ kind: "error", error });
    this.wakeReader();
  }

  /** The next chunk; `end` after the last, `cut` where the body was cut short. */
  *nextChunk(): Task<Uint8Array | "end" | "cut"> {
    for (;;) {
      const chunk = this.chunks.shift();
      if (chunk) {
        this.bufferedBytes -= chunk.length;
        this.resumeBackend();
        return chunk;
      }
      if (this.ending !== undefined) return this.ending;
      yield* waitFor<true>((done) => {
        this.resumeReader = () => done(true);
      });
    }
  }

  /** Discards the rest as it arrives; whoever still reads gets `cut`. */
  drain(): void {
    this.isDiscarding = true;
    this.ending ??= "cut";
    this.cancelPendingTurn?.();
    this.cancelPendingTurn = undefined;
    this.chunks.length = 0;
    this.bufferedBytes = -Infinity;
    this.resumeBackend();
    this.wakeReader();
  }

  /** Pauses the backend while too much is buffered, or until its turn on the link. */
  private applyBackpressure(controller: Dispatcher.DispatchController): void {
    if (this.receivedBytes > this.ingress.smallBytes && this.creditBytes === 0) this.requestTurn();
    if (this.bufferedBytes > MAX_BUFFERED_BYTES || this.cancelPendingTurn) controller.pause();
  }

  /** Aborts a response that can't be paused and exceeds the buffer. */
  private abort(controller: Dispatcher.DispatchController): void {
    queueMicrotask(() => {
      if (this.ending === undefined)
        controller.abort(new ResponseBufferOverflowError(MAX_BUFFERED_CLOSING_BYTES));
    });
  }

  /** Requests a turn among all transfers that are received over the link. */
  private requestTurn(): void {
    if (this.cancelPendingTurn) return;
    let isTurn = false;
    const { turnBytes } = this.ingress;
    const cancel = this.transfer.onTurn(turnBytes, () => {
      isTurn = true;
      this.cancelPendingTurn = undefined;
      this.creditBytes += turnBytes;
      this.resumeBackend();
    });
    if (!isTurn) this.cancelPendingTurn = cancel;
  }

  /**
   * Resumes the backend once the calls that led here have returned: they may come from within the parser of another
   * connection, and undici fails where one parser runs inside another.
   */
  private resumeBackend(): void {
    queueMicrotask(() => {
      const { controller } = this;
      if (controller?.paused !== true || this.cancelPendingTurn || this.ending !== undefined)
        return;
      if (this.bufferedBytes <= MAX_BUFFERED_BYTES / 2) controller.resume();
    });
  }

  private wakeReader(): void {
    const { resumeReader } = this;
    this.resumeReader = undefined;
    resumeReader?.();
  }
}
