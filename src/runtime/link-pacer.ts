/** Pacing of large transfers on the link of the machine, so that small messages aren't delayed by them. */
import type { Clock } from "./clock.js";
import { type Task, waitFor } from "./task.js";

/** The class of a bulk transfer: control traffic precedes requests, and those precede responses to clients. */
export type TransferClass = "control" | "request" | "response";

/** The rank of a bulk transfer among those that wait. */
export interface TransferRank {
  readonly transferClass: TransferClass;
  /** Its deadline; responses that have missed theirs give way to those that haven't. */
  readonly dueMs: number;
}

/** One large body that is sent over the link. */
export interface Transfer {
  /** Waits until that many bytes may be written, which then count as written; at most `turnBytes`. */
  awaitTurn(bytes: number): Task;
  /** Calls back once that many bytes may be written, which then count as written. Returns a cancel function. */
  onTurn(bytes: number, run: () => void): () => void;
  /** Ends the transfer, whose remaining bytes no longer count as bulk. */
  end(): void;
}

/** A turn that a transfer waits for. */
interface WaitingTurn {
  readonly rank: TransferRank;
  readonly bytes: number;
  readonly run: () => void;
}

/** The precedence of the classes, the first lowest in number. */
const CLASS_ORDER: { readonly [name in TransferClass]: number } = {
  control: 0,
  request: 1,
  response: 2,
};

/** How much time of the link one turn may take, and how long the queue may be when it begins. */
const TURN_MS = 15;
/** Which part of the link's rate is used; the rest is for headers and acknowledgments. */
const USABLE_PART = 0.9;
const BYTES_PER_MS_OF_MBPS = 125;
/** Bodies that are larger than this aren't small on any link. */
const MAX_SMALL_BYTES = 8 * 1024;

const isBefore = (one: TransferRank, other: TransferRank, nowMs: number): boolean => {
  if (one.transferClass !== other.transferClass)
    return CLASS_ORDER[one.transferClass] < CLASS_ORDER[other.transferClass];
  const isOneLate = one.transferClass === "response" && one.dueMs < nowMs;
  const isOtherLate = other.transferClass === "response" && other.dueMs < nowMs;
  if (isOneLate !== isOtherLate) return isOtherLate;
  return one.dueMs < other.dueMs;
};

/**
 * Paces one direction of a machine's link. It keeps a model of the queue in front of the link: bytes that are small or urgent
 * join it at once, bulk only in turns of at most `TURN_MS` and only while the queue is no longer than that. So nothing urgent
 * ever waits behind more than two turns of bulk. Among bulk transfers the one that is due first has the next turn.
 */
export class LinkPacer {
  private readonly clock: Clock;
  private readonly bytesPerMs: number;
  /** When the link will have taken all that was written. */
  private emptyAtMs = -Infinity;
  private readonly waiting: WaitingTurn[] = [];
  private hasTimer = false;
  private remainingBulkBytes = 0;

  /** The largest number of bytes that are written in one turn. */
  readonly turnBytes: number;
  /** Bodies up to this size are not bulk: they are written at once. */
  readonly smallBytes: number;

  /** A link of that rate in each direction; without one, nothing is delayed. */
  constructor(clock: Clock, linkMbps: number | undefined) {
    this.clock = clock;
    this.bytesPerMs =
      linkMbps === undefined || linkMbps <= 0
        ? Infinity
        : linkMbps * BYTES_PER_MS_OF_MBPS * USABLE_PART;
    this.turnBytes = Math.ceil(this.bytesPerMs * TURN_MS);
    this.smallBytes = this.isPaced ? Math.min(this.turnBytes, MAX_SMALL_BYTES) : Infinity;
  }

  /** Whether the link has a known rate. */
  get isPaced(): boolean {
    return Number.isFinite(this.bytesPerMs);
  }

  /** How long bytes that are written now wait until they leave. */
  get queueMs(): number {
    return Math.max(0, this.emptyAtMs - this.clock.nowMs());
  }

  /** How long it takes to send the queue, all bulk that is known of, and that many bytes more. */
  estimateWaitMs(moreBytes: number): number {
    return this.queueMs + this.transferMs(this.remainingBulkBytes + moreBytes);
  }

  /** How long the link takes for that many bytes. */
  transferMs(bytes: number): number {
    return bytes / this.bytesPerMs;
  }

  /** Bytes of bulk transfers that haven't been written yet. */
  get bulkBytes(): number {
    return this.remainingBulkBytes;
  }

  /** Counts bytes that are written at once. */
  recordBytes(bytes: number): void {
    if (!this.isPaced) return;
    this.emptyAtMs = Math.max(this.emptyAtMs, this.clock.nowMs()) + bytes / this.bytesPerMs;
  }

  /** Begins a bulk transfer of that many bytes, where the number is known. */
  begin(rank: TransferRank, bytes = 0): Transfer {
    let remainingBytes = this.isPaced ? bytes : 0;
    this.remainingBulkBytes += remainingBytes;
    const release = (part: number): void => {
      const released = Math.min(remainingBytes, part);
      remainingBytes -= released;
      this.remainingBulkBytes -= released;
    };
    const onTurn = (part: number, run: () => void): (() => void) =>
      this.take({
        rank,
        bytes: part,
        run: () => {
          release(part);
          run();
        },
      });
    return {
      onTurn,
      *awaitTurn(part) {
        yield* waitFor<true>((done) => {
          onTurn(part, () => done(true));
        });
      },
      end: () => release(remainingBytes),
    };
  }

  private take(turn: WaitingTurn): () => void {
    if (!this.isPaced) {
      turn.run();
      return () => undefined;
    }
    this.waiting.push(turn);
    this.grantTurns();
    return () => {
      const index = this.waiting.indexOf(turn);
      if (index >= 0) this.waiting.splice(index, 1);
    };
  }

  /** Gives turns while the queue is short, then waits until it is again. */
  private grantTurns(): void {
    while (!this.hasTimer && this.waiting.length > 0) {
      const excessMs = this.queueMs - TURN_MS;
      if (excessMs > 0) {
        this.hasTimer = true;
        this.clock.after(excessMs, () => {
          this.hasTimer = false;
          this.grantTurns();
        });
        return;
      }
      const next = this.next();
      if (!next) return;
      this.recordBytes(next.bytes);
      next.run();
    }
  }

  /** Removes the turn that goes first; of equals, the one that has waited longest. */
  private next(): WaitingTurn | undefined {
    const nowMs = this.clock.nowMs();
    let first = 0;
    for (const [index, turn] of this.waiting.entries()) {
      const best = this.waiting[first];
      if (best && isBefore(turn.rank, best.rank, nowMs)) first = index;
    }
    return this.waiting.splice(first, 1)[0];
  }
}

/** Both directions of a machine's link. */
export interface LinkPacers {
  readonly egress: LinkPacer;
  readonly ingress: LinkPacer;
}

/** The two directions of a link of that rate each. */
export function createLinkPacers(clock: Clock, linkMbps: number | undefined): LinkPacers {
  return { egress: new LinkPacer(clock, linkMbps), ingress: new LinkPacer(clock, linkMbps) };
}
