/** A connection that shares the link of the machine with other bulk transfers. */
import type { Clock } from "../runtime/clock.js";
import type { Queue } from "../runtime/queue.js";
import type { LinkPacer, Transfer, TransferRank } from "../runtime/link-pacer.js";
import type { Connection } from "../runtime/network.js";

interface FrameRank extends TransferRank {
  dueMs: number;
}

/** A large frame that is being sent or waits for it. */
interface LargeFrame {
  readonly frame: Uint8Array;
  readonly transfer: Transfer;
  /** Its rank; a frame that has been begun precedes those that haven't. */
  readonly rank: FrameRank;
  sentBytes: number;
  readonly cancelExpiry: () => void;
}

/** Ranks frames that expire after those that don't, and among them the newest first. */
const NEWEST_FIRST_MS = 1e15;

/**
 * A connection on which large frames are written in turns with all other bulk on the machine's link. Small frames are written at
 * once: before large ones that wait, and after one that has been begun.
 */
export class PacedConnection implements Connection {
  readonly incoming: Queue<Uint8Array | "closed">;
  private readonly connection: Connection;
  private readonly egress: LinkPacer;
  private readonly clock: Clock;
  private readonly patienceMs: number;
  /** Small frames that wait for the end of the large one that has been begun. */
  private readonly small: Uint8Array[] = [];
  /** Large frames in the order of sending; the first may have been begun. */
  private readonly large: LargeFrame[] = [];
  private cancelTurn: (() => void) | undefined;
  private isClosed = false;

  /** `patienceMs`: for how long frames may give way to those of other connections. */
  constructor(connection: Connection, egress: LinkPacer, clock: Clock, patienceMs = 0) {
    this.connection = connection;
    this.incoming = connection.incoming;
    this.egress = egress;
    this.clock = clock;
    this.patienceMs = patienceMs;
  }

  /**
   * Sends a frame, at once if it is small. A large one that expires before it has been begun is dropped; of frames that expire the
   * newest goes first, so that on an overloaded link some are in time.
   */
  send(frame: Uint8Array, expiresMs = Infinity): void {
    if (this.isClosed) return;
    if (frame.length > this.egress.smallBytes) {
      this.enqueue(frame, expiresMs);
      return;
    }
    const [first] = this.large;
    if (first && first.sentBytes > 0) this.small.push(frame);
    else this.write(frame);
  }

  /** Closes the connection; frames that wait are dropped. */
  close(): void {
    this.isClosed = true;
    this.cancelTurn?.();
    for (const { transfer, cancelExpiry } of this.large.splice(0)) {
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
      dueMs: expires ? NEWEST_FIRST_MS - nowMs : nowMs + this.patienceMs,
    };
    const transfer = this.egress.begin(rank, frame.length);
    const cancelExpiry = expires
      ? this.clock.after(expiresMs - nowMs, () => this.drop(frame))
      : () => undefined;
    this.large.push({ frame, transfer, rank, sentBytes: 0, cancelExpiry });
    if (this.large.length === 1) this.awaitTurn();
  }

  /** Sends the first of the large frames, a part at each turn, then the next one. */
  private awaitTurn(): void {
    const [first] = this.large;
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
        this.large.shift();
        transfer.end();
        for (const small of this.small.splice(0)) this.write(small);
      }
      this.awaitTurn();
    });
    if (!hadTurn) this.cancelTurn = cancel;
  }

  /** Drops a frame that hasn't been begun. */
  private drop(frame: Uint8Array): void {
    const index = this.large.findIndex((one) => one.frame === frame);
    const [dropped] = index < 0 ? [] : this.large.splice(index, 1);
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
