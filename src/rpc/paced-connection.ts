import type { Clock } from "../runtime/clock.js";
import type { Queue } from "../runtime/queue.js";
import type { LinkPacer, Transfer, TransferRank } from "../runtime/link-pacer.js";
import type { Connection } from "../runtime/network.js";

interface FrameRank extends TransferRank {
  dueMs: number;
}

/** A large frame on its way, and how much of it was written. */
interface PartlySent {
  readonly frame: Uint8Array;
  readonly transfer: Transfer;
  /** How it is ranked; once begun it goes on before those that haven't. */
  readonly rank: FrameRank;
  sentBytes: number;
  /** Keeps it from being dropped for its age. */
  readonly keep: () => void;
}

/** Ranks frames that expire after those that don't, and the newest of them first. */
const newestFirstMs = 1e15;

/**
 * A channel on which large frames are written in turns with all other bulk on the machine's link. Small frames are written at
 * once: before large ones that wait, and after the one that has begun.
 */
export class PacedConnection implements Connection {
  readonly incoming: Queue<Uint8Array | "closed">;
  private readonly connection: Connection;
  private readonly egress: LinkPacer;
  private readonly clock: Clock;
  private readonly patienceMs: number;
  private readonly small: Uint8Array[] = [];
  private readonly large: PartlySent[] = [];
  private cancelTurn: (() => void) | undefined;
  private isClosed = false;

  /** `patienceMs`: for how long frames may give way to those of other channels. */
  constructor(connection: Connection, egress: LinkPacer, clock: Clock, patienceMs = 0) {
    this.connection = connection;
    this.incoming = connection.incoming;
    this.egress = egress;
    this.clock = clock;
    this.patienceMs = patienceMs;
  }

  /**
   * Writes a frame, or has it wait if it is large. One that nobody waits for after `expiresMs` is dropped if it hasn't begun by
   * then; of such frames the newest goes first, so that where more is asked for than the link takes, some are in time.
   */
  send(frame: Uint8Array, expiresMs = Infinity): void {
    if (this.isClosed) return;
    if (frame.length <= this.egress.smallBytes) {
      const [begun] = this.large;
      if (begun && begun.sentBytes > 0) this.small.push(frame);
      else this.write(frame);
      return;
    }
    const nowMs = this.clock.nowMs();
    const isLasting = expiresMs === Infinity;
    const rank: FrameRank = {
      transferClass: "control",
      dueMs: isLasting ? nowMs + this.patienceMs : newestFirstMs - nowMs,
    };
    const transfer = this.egress.begin(rank, frame.length);
    const keep = isLasting
      ? () => undefined
      : this.clock.after(expiresMs - nowMs, () => this.drop(frame));
    this.large.push({ frame, transfer, rank, sentBytes: 0, keep });
    if (this.large.length === 1) this.awaitTurn();
  }

  close(): void {
    this.isClosed = true;
    this.cancelTurn?.();
    for (const { transfer, keep } of this.large.splice(0)) {
      keep();
      transfer.end();
    }
    this.connection.close();
  }

  /** Writes the first of the large frames, a part at each turn, then the next one. */
  private awaitTurn(): void {
    const [first] = this.large;
    if (!first) return;
    const { frame, transfer, sentBytes } = first;
    const part = frame.subarray(sentBytes, sentBytes + this.egress.turnBytes);
    let isGiven = false;
    const cancel = transfer.onTurn(part.length, () => {
      isGiven = true;
      this.cancelTurn = undefined;
      first.keep();
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
    if (!isGiven) this.cancelTurn = cancel;
  }

  /** Drops a frame that hasn't begun. */
  private drop(frame: Uint8Array): void {
    const at = this.large.findIndex((one) => one.frame === frame);
    const [dropped] = at < 0 ? [] : this.large.splice(at, 1);
    dropped?.transfer.end();
    if (at !== 0) return;
    this.cancelTurn?.();
    this.awaitTurn();
  }

  private write(frame: Uint8Array): void {
    this.egress.note(frame.length);
    this.connection.send(frame);
  }
}
