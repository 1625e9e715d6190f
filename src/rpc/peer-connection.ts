/** The outgoing connection to one peer: opened when there is a request to send, and again after it broke. */
import { type Clock, withTimeout, sleep } from "../runtime/clock.js";
import type { Connection } from "../runtime/network.js";
import { Queue } from "../runtime/queue.js";
import type { Task } from "../runtime/task.js";
import { encodeFrame, FrameReader } from "./frame.js";
import { PacedConnection } from "./paced-connection.js";
import { PendingCalls } from "./pending-calls.js";
import type { RpcContext } from "./rpc-context.js";

/** A connection on which a request has waited for longer than this, while nothing arrived, is closed. */
const UNRESPONSIVE_MS = 1000;
/** How long after a connection has ended the next one is opened. */
const RECONNECT_DELAY_MS = 60;

/** A request as it is sent: its body is encoded when it is handed to the connection. */
export interface OutgoingRequest {
  readonly requestId: number;
  readonly methodId: number;
  encodeBody(): Uint8Array;
}

/** A peer, the connection to it, and the calls that wait for its responses. */
export class PeerConnection {
  private readonly context: RpcContext;
  private readonly clock: Clock;
  private readonly address: string;
  private readonly outgoing = new Queue<Uint8Array>();
  private readonly pending = new PendingCalls();
  private connection: Connection | undefined;
  private lastReceivedMs = -Infinity;
  /** Since when a request has waited though nothing was received; undefined once something is. */
  private unansweredSinceMs: number | undefined;
  private lastFailedMs = -Infinity;
  /** The frame version that is used: the newest, and the one before it if the peer refuses that. */
  private version: number;

  constructor(context: RpcContext, address: string) {
    this.context = context;
    this.clock = context.runtime.clock;
    this.address = address;
    this.version = context.newestVersion;
  }

  /** Whether anything was received from the peer since a moment. */
  hasReceivedSince(sinceMs: number): boolean {
    return this.lastReceivedMs >= sinceMs;
  }

  /** Whether a connection failed or was unresponsive since a moment, and nothing was received after that. */
  hasFailedSince(sinceMs: number): boolean {
    return this.lastFailedMs >= sinceMs && this.lastFailedMs > this.lastReceivedMs;
  }

  /** Sends a request and waits for the body of its response; `undefined` where none came in time or the connection broke. */
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

  /** Goes on waiting for a response that didn't come in time, beside any later requests. */
  awaitLate(requestId: number, waitMs: number, take: (body: Uint8Array) => void): void {
    const forget = (): void => this.pending.remove(requestId);
    this.pending.add(requestId, (body) => {
      forget();
      if (body !== undefined) take(body);
    });
    this.clock.after(waitMs, forget);
  }

  /** Closes the connection if an error was raised by what came over it. */
  closeOnViolation(error: unknown): void {
    this.context.guard.closeOnViolation(this.connection, error);
  }

  /** Connects whenever there is something to send, for as long as the daemon runs. */
  *run(): Task {
    for (;;) {
      const first = yield* this.outgoing.take();
      const connected = yield* this.context.runtime.network.connect(this.address);
      if (connected) yield* this.use(connected, first);
      else this.lastFailedMs = this.clock.nowMs();
      this.outgoing.drain();
      this.pending.failAll();
      yield* sleep(this.clock, RECONNECT_DELAY_MS);
    }
  }

  /** Sends over a new connection until that ends. A peer that sent no frame may speak another version only. */
  private *use(connected: Connection, first: Uint8Array): Task {
    const { pacers, newestVersion } = this.context;
    const connection = new PacedConnection(connected, pacers.egress, this.clock);
    this.noteReceived();
    this.unansweredSinceMs = this.lastReceivedMs;
    this.connection = connection;
    connection.send(first);
    for (const frame of this.outgoing.drain()) connection.send(frame);
    const isUnderstood = yield* this.receive(connection);
    if (!isUnderstood)
      this.version =
        this.version === newestVersion ? Math.max(0, newestVersion - 1) : newestVersion;
    this.connection = undefined;
    connection.close();
  }

  /** Hands responses to their calls until the connection ends; returns whether any frame was received. */
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

  /** Closes a connection on which a request has waited for so long that no peer can be there; a slow response is no sign of that. */
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
