/** The outgoing connection to one peer, opened on demand and reopened after a failure. */
import { type Clock, withTimeout, sleep } from "../runtime/clock.js";
import type { Connection } from "../runtime/network.js";
import { Queue } from "../runtime/queue.js";
import type { Task } from "../runtime/task.js";
import { encodeFrame, FrameReader } from "./frame.js";
import { PacedConnection } from "./paced-connection.js";
import { PendingCalls } from "./pending-calls.js";
import type { RpcContext } from "./rpc-context.js";

/** A connection is closed if a request has waited longer than this while nothing was received. */
const UNRESPONSIVE_MS = 1000;
/** Delay between the end of a connection and the next one. */
const RECONNECT_DELAY_MS = 60;

/** A request to send; its body is encoded when it is handed to the connection. */
export interface OutgoingRequest {
  readonly requestId: number;
  readonly methodId: number;
  encodeBody(): Uint8Array;
}

/** A peer, the connection to it, and the calls pending there. */
export class PeerConnection {
  private readonly context: RpcContext;
  private readonly clock: Clock;
  private readonly address: string;
  private readonly outgoing = new Queue<Uint8Array>();
  private readonly pending = new PendingCalls();
  private connection: Connection | undefined;
  private lastReceivedMs = -Infinity;
  /** Time since which a request has waited without anything received; `undefined` while none does. */
  private unansweredSinceMs: number | undefined;
  private lastFailedMs = -Infinity;
  /** The frame version in use: the newest, or the previous one if the peer refuses the newest. */
  private version: number;

  constructor(context: RpcContext, address: string) {
    this.context = context;
    this.clock = context.runtime.clock;
    this.address = address;
    this.version = context.newestVersion;
  }

  /** Whether anything was received from the peer since `sinceMs`. */
  hasReceivedSince(sinceMs: number): boolean {
    return this.lastReceivedMs >= sinceMs;
  }

  /** Whether a connection failed or was unresponsive since `sinceMs`, with nothing received after that. */
  hasFailedSince(sinceMs: number): boolean {
    return this.lastFailedMs >= sinceMs && this.lastFailedMs > this.lastReceivedMs;
  }

  /** Sends a request and waits for the body of its response; `undefined` after `timeoutMs` or if the connection failed. */
  *request(
    { requestId, methodId, encodeBody }: OutgoingRequest,
    timeoutMs: number,
  ): Task<Uint8Array | undefined> {
    this.unansweredSinceMs ??= this.clock.nowMs();
    const body = yield* withTimeout<Uint8Array | undefined>(this.clock, timeoutMs, (done) => {
      this.pending.add(requestId, done);
      const frame = encodeFrame({
        version: this.version,
        methodId,
        isResponse: false,
        requestId,
        body: encodeBody(),
      });
      if (this.connection) this.connection.send(frame);
      else this.outgoing.put(frame);
    });
    this.pending.remove(requestId);
    if (body === undefined) this.closeIfUnresponsive();
    return body;
  }

  /** Waits for a response beyond its timeout, independent of later requests; calls `onResponse` if it arrives within `waitMs`. */
  awaitLate(requestId: number, waitMs: number, onResponse: (body: Uint8Array) => void): void {
    const forget = (): void => this.pending.remove(requestId);
    this.pending.add(requestId, (body) => {
      forget();
      if (body !== undefined) onResponse(body);
    });
    this.clock.after(waitMs, forget);
  }

  /** Closes the connection if the error is a protocol violation by the peer; rethrows any other error. */
  closeOnViolation(error: unknown): void {
    this.context.guard.closeOnViolation(this.connection, error);
  }

  /** Connects on demand while the daemon runs. */
  *run(): Task {
    for (;;) {
      const first = yield* this.outgoing.take();
      const connected = yield* this.context.runtime.network.connect(this.address);
      if (connected) yield* this.runConnection(connected, first);
      else this.lastFailedMs = this.clock.nowMs();
      this.outgoing.drain();
      this.pending.failAll();
      yield* sleep(this.clock, RECONNECT_DELAY_MS);
    }
  }

  /** Sends over a new connection until it ends. A peer that sent no frame may support only another version, so the next connection uses the other one. */
  private *runConnection(connected: Connection, first: Uint8Array): Task {
    const { pacers, newestVersion } = this.context;
    const connection = new PacedConnection(connected, pacers.egress, this.clock);
    this.noteReceived();
    this.unansweredSinceMs = this.lastReceivedMs;
    this.connection = connection;
    connection.send(first);
    for (const frame of this.outgoing.drain()) connection.send(frame);
    const receivedFrames = yield* this.receive(connection);
    if (!receivedFrames)
      this.version =
        this.version === newestVersion ? Math.max(0, newestVersion - 1) : newestVersion;
    this.connection = undefined;
    connection.close();
  }

  /** Passes responses to their calls until the connection ends; returns whether any frame was received. */
  private *receive(connection: Connection): Task<boolean> {
    const { pacers, guard, newestVersion } = this.context;
    const reader = new FrameReader(newestVersion);
    let hasFrames = false;
    for (;;) {
      const piece = yield* connection.incoming.take();
      if (piece === "closed") return hasFrames;
      this.noteReceived();
      pacers.ingress.recordBytes(piece.length);
      try {
        for (const { isResponse, requestId, body } of reader.read(piece)) {
          hasFrames = true;
          if (isResponse) this.pending.settle(requestId, body);
        }
      } catch (error) {
        guard.closeOnViolation(connection, error);
        return hasFrames;
      }
    }
  }

  /** Closes the connection if a request has waited too long while nothing at all was received; a slow response alone is not a reason. */
  private closeIfUnresponsive(): void {
    const nowMs = this.clock.nowMs();
    const { connection, unansweredSinceMs } = this;
    if (!connection || unansweredSinceMs === undefined) return;
    if (nowMs - unansweredSinceMs <= UNRESPONSIVE_MS) return;
    this.lastFailedMs = nowMs;
    connection.close();
  }

  private noteReceived(): void {
    this.lastReceivedMs = this.clock.nowMs();
    this.unansweredSinceMs = undefined;
  }
}
