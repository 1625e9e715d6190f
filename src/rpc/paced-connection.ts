/** A connection that shares the machine's link with other bulk transfers. */
import type { Clock } from "../runtime/clock.js";
import type { Queue } from "../runtime/queue.js";
import type { LinkPacer, Transfer, TransferRank } from "../runtime/link-pacer.js";
import type { Connection } from "../runtime/network.js";

/** Rank of a large frame; its deadline changes once sending starts. */
interface FrameRank extends TransferRank {
  dueMs: number;
}

/** A large frame that is queued or partly sent. */
interface LargeFrame {
  readonly frame: Uint8Array;
  readonly transfer: Transfer;
  /** Rank of the frame; a partly sent frame precedes those that are not started. */
  readonly rank: FrameRank;
  sentBytes: number;
  readonly cancelExpiry: () => void;
}

/** Base of the deadlines of expiring frames: ranks them behind frames that don't expire, and the newest of them first. */
const NEWEST_FIRST_MS = 1e15;

/**
 * A connection that writes large frames in turns with all other bulk transfers on the machine's link. Small frames are written
 * immediately: before queued large frames, and after a partly sent one.
 */
export class PacedConnection implements Connection {
  readonly incoming: Queue<Uint8Array | "closed">;
  private readonly connection: Connection;
  private readonly egress: LinkPacer;
  private readonly clock: Clock;
  private readonly maxDeferralMs: number;
  /** Small frames that wait for the end of the partly sent large frame. */
  private readonly smallFrames: Uint8Array[] = [];
  /** Queued large frames in sending order; the first may be partly sent. */
  private readonly largeFrames: LargeFrame[] = [];
  private cancelTurn: (() => void) | undefined;
  private isClosed = false;

  /** `maxDeferralMs`: how long large frames may be deferred in favor of those of other connections. */
  constructor(connection: Connection, egress: LinkPacer, clock: Clock, maxDeferralMs = 0) {
    this.connection = connection;
    this.incoming = connection.incoming;
    this.egress = egress;
    this.clock = clock;
    this.maxDeferralMs = maxDeferralMs;
  }

  /**
   * Sends a frame, immediately if it is small. A large frame is dropped if it expires before sending starts. Of expiring frames the
   * newest is sent first, so that on an overloaded link some arrive in time.
   */
  send(frame: Uint8Array, expiresMs = Infinity): void {
    if (this.isClosed) return;
    if (frame.length > this.egress.smallBytes) {
      this.enqueue(frame, expiresMs);
      return;
    }
    const [first] = this.largeFrames;
    if (first && first.sentBytes > 0) this.smallFrames.push(frame);
    else this.write(frame);
  }

  /** Closes the connection and drops queued frames. */
  close(): void {
    this.isClosed = true;
    this.cancelTurn?.();
    for (const { transfer, cancelExpiry } of this.largeFrames.splice(0)) {
      cancelExpiry();
      transfer.end();
    }
    this.connection.close();
  }

  private enqueue(frame: Uint8Array, expiresMs: number): void {
    const nowMs = this.clock.nowMs();
    const expires = expiresMs !== Infinity;
    const rank: FrameRank = {
      transferClass: "control",
      dueMs: expires ? NEWEST_FIRST_MS - nowMs : nowMs + this.maxDeferralMs,
    };
    const transfer = this.egress.begin(rank, frame.length);
    const cancelExpiry = expires
      ? this.clock.after(expiresMs - nowMs, () => this.drop(frame))
      : () => undefined;
    this.largeFrames.push({ frame, transfer, rank, sentBytes: 0, cancelExpiry });
    if (this.largeFrames.length === 1) this.awaitTurn();
  }

  /** Sends the first large frame, one part per turn, then the next one. */
  private awaitTurn(): void {
    const [first] = this.largeFrames;
    if (!first) return;
    const { frame, transfer, sentBytes } = first;
    const part = frame.subarray(sentBytes, sentBytes + this.egress.turnBytes);
    let hadTurn = false;
    const cancel = transfer.onTurn(part.length, () => {
      hadTurn = true;
      this.cancelTurn = undefined;
      first.cancelExpiry();
      first.rank.dueMs = Math.min(first.rank.dueMs, this.clock.nowMs());
      first.sentBytes += part.length;
      this.connection.send(part);
      if (first.sentBytes >= frame.length) {
        this.largeFrames.shift();
        transfer.end();
        for (const smallFrame of this.smallFrames.splice(0)) this.write(smallFrame);
      }
      this.awaitTurn();
    });
    if (!hadTurn) this.cancelTurn = cancel;
  }

  /** Drops a frame whose sending has not started. */
  private drop(frame: Uint8Array): void {
    const index = this.largeFrames.findIndex((queued) => queued.frame === frame);
    const [dropped] = index < 0 ? [] : this.largeFrames.splice(index, 1);
    dropped?.transfer.end();
    if (index !== 0) return;
    this.cancelTurn?.();
    this.awaitTurn();
  }

  private write(frame: Uint8Array): void {
    this.egress.recordBytes(frame.length);
    this.connection.send(frame);
  }
}
