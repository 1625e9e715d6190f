/** Pacing of large transfers on the machine's link, so that they don't delay small messages. */
import type { Clock } from "./clock.js";
import { type Task, waitFor } from "./task.js";

/** Class of a bulk transfer: control traffic precedes requests, and requests precede responses to clients. */
export type TransferClass = "control" | "request" | "response";

/** Rank of a bulk transfer among the waiting ones. */
export interface TransferRank {
  readonly transferClass: TransferClass;
  /** Deadline; responses that have missed theirs are ranked behind those that haven't. */
  readonly dueMs: number;
}

/** A large body that is sent over the link. */
export interface Transfer {
  /** Waits until `bytes` may be written, and counts them as written; at most `turnBytes`. */
  awaitTurn(bytes: number): Task;
  /** Calls `run` once `bytes` may be written, and counts them as written. Returns a cancel function. */
  onTurn(bytes: number, run: () => void): () => void;
  /** Ends the transfer; its remaining bytes no longer count as bulk. */
  end(): void;
}

/** A queued turn of a transfer. */
interface WaitingTurn {
  readonly rank: TransferRank;
  readonly bytes: number;
  readonly run: () => void;
}

/** Precedence of the classes; the lowest number is first. */
const CLASS_ORDER: { readonly [name in TransferClass]: number } = {
  control: 0,
  request: 1,
  response: 2,
};

/** Maximum link time of one turn, and maximum length of the queue when a turn is granted. */
const TURN_MS = 15;
/** Fraction of the link's rate that is used; headers and acknowledgments take the rest. */
const USABLE_FRACTION = 0.9;
/** 1 Mbit/s in bytes per ms. */
const BYTES_PER_MS_OF_MBPS = 125;
/** Bodies larger than this count as bulk on every link. */
const MAX_SMALL_BYTES = 8 * 1024;

const isBefore = (first: TransferRank, second: TransferRank, nowMs: number): boolean => {
  if (first.transferClass !== second.transferClass)
    return CLASS_ORDER[first.transferClass] < CLASS_ORDER[second.transferClass];
  const isFirstLate = first.transferClass === "response" && first.dueMs < nowMs;
  const isSecondLate = second.transferClass === "response" && second.dueMs < nowMs;
  if (isFirstLate !== isSecondLate) return isSecondLate;
  return first.dueMs < second.dueMs;
};

/**
 * Paces one direction of a machine's link by a model of the queue in front of it. Small or urgent bytes join the queue immediately;
 * bulk joins it in turns of at most `TURN_MS`, and only while the queue is no longer than that. So urgent bytes never wait behind
 * more than two turns of bulk. The bulk transfer of the highest rank gets the next turn.
 */
export class LinkPacer {
  private readonly clock: Clock;
  private readonly bytesPerMs: number;
  /** Time at which the link will have sent everything written so far. */
  private emptyAtMs = -Infinity;
  private readonly waiting: WaitingTurn[] = [];
  private hasTimer = false;
  private isReleased = false;
  private remainingBulkBytes = 0;

  /** Maximum number of bytes written in one turn. */
  readonly turnBytes: number;
  /** Bodies up to this size are not bulk: they are written immediately. */
  readonly smallBytes: number;

  /** Paces a link of the rate `linkMbps`; without a rate, nothing is delayed. */
  constructor(clock: Clock, linkMbps: number | undefined) {
    this.clock = clock;
    this.bytesPerMs =
      linkMbps === undefined || linkMbps <= 0
        ? Infinity
        : linkMbps * BYTES_PER_MS_OF_MBPS * USABLE_FRACTION;
    this.turnBytes = Math.ceil(this.bytesPerMs * TURN_MS);
    this.smallBytes = this.isPaced ? Math.min(this.turnBytes, MAX_SMALL_BYTES) : Infinity;
  }

  /** Whether the link has a known rate. */
  get isPaced(): boolean {
    return Number.isFinite(this.bytesPerMs);
  }

  /** How long bytes written now wait in the queue. */
  get queueMs(): number {
    return Math.max(0, this.emptyAtMs - this.clock.nowMs());
  }

  /** Estimated time to send the queue, all announced bulk and `moreBytes`. */
  estimateWaitMs(moreBytes: number): number {
    return this.queueMs + this.transferMs(this.remainingBulkBytes + moreBytes);
  }

  /** Time that the link takes to send `bytes`. */
  transferMs(bytes: number): number {
    return bytes / this.bytesPerMs;
  }

  /** Announced bytes of bulk transfers that are not written yet. */
  get bulkBytes(): number {
    return this.remainingBulkBytes;
  }

  /** Counts bytes that are written immediately. */
  recordBytes(bytes: number): void {
    if (!this.isPaced) return;
    this.emptyAtMs = Math.max(this.emptyAtMs, this.clock.nowMs()) + bytes / this.bytesPerMs;
  }

  /** Begins a bulk transfer; `bytes` is its size, 0 if unknown. */
  begin(rank: TransferRank, bytes = 0): Transfer {
    let remainingBytes = this.isPaced ? bytes : 0;
    this.remainingBulkBytes += remainingBytes;
    const release = (chunkBytes: number): void => {
      const released = Math.min(remainingBytes, chunkBytes);
      remainingBytes -= released;
      this.remainingBulkBytes -= released;
    };
    const onTurn = (chunkBytes: number, run: () => void): (() => void) =>
      this.enqueueTurn({
        rank,
        bytes: chunkBytes,
        run: () => {
          release(chunkBytes);
          run();
        },
      });
    return {
      onTurn,
      *awaitTurn(chunkBytes) {
        yield* waitFor<true>((done) => {
          onTurn(chunkBytes, () => done(true));
        });
      },
      end: () => release(remainingBytes),
    };
  }

  /**
   * Ends the pacing: all waiting turns are granted, and later ones at once. A process that ends hands its last responses to the
   * operating system this way, which sends them at the link's rate also after the process has ended.
   */
  release(): void {
    this.isReleased = true;
    for (let turn = this.dequeueTurn(); turn !== undefined; turn = this.dequeueTurn()) turn.run();
  }

  private enqueueTurn(turn: WaitingTurn): () => void {
    if (!this.isPaced || this.isReleased) {
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

  /** Grants turns while the queue is short, then waits until it is short again. */
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
      const turn = this.dequeueTurn();
      if (!turn) return;
      this.recordBytes(turn.bytes);
      turn.run();
    }
  }

  /** Removes and returns the first turn by rank; of equal ranks, the longest waiting one. */
  private dequeueTurn(): WaitingTurn | undefined {
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

/** Creates the pacers of a link with the rate `linkMbps` in each direction. */
export function createLinkPacers(clock: Clock, linkMbps: number | undefined): LinkPacers {
  return { egress: new LinkPacer(clock, linkMbps), ingress: new LinkPacer(clock, linkMbps) };
}
