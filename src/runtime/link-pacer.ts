import type { Clock } from "./clock.js";
import { Task } from "./task.js";

/** The class of a bulk transfer: control traffic goes before requests, and those before responses to callers. */
export type TransferClass = "control" | "request" | "response";

/** How a bulk transfer is ranked among those that wait. */
export interface TransferRank {
  readonly transferClass: TransferClass;
  /** When it should have ended; responses that are past this time give way to those that are not. */
  readonly dueMs: number;
}

/** One large body on its way over the link. */
export interface Transfer {
  /** Waits until that many bytes may be written, which then count as written; at most `turnBytes`. */
  turn(bytes: number): Task;
  /** Calls back once that many bytes may be written, which then count as written. Returns a cancel function. */
  onTurn(bytes: number, run: () => void): () => void;
  /** Lets go of what is left of it. */
  end(): void;
}

/** One turn that is waited for. */
interface WaitingTurn {
  readonly rank: TransferRank;
  readonly bytes: number;
  readonly run: () => void;
}

const classOrder: { readonly [name in TransferClass]: number } = {
  control: 0,
  request: 1,
  response: 2,
};

/** How much time on the link one turn may take, and how long the queue may be when it begins. */
const turnMs = 15;
/** Which part of the link's rate is counted on; the rest is for headers and acknowledgements. */
const usablePart = 0.9;
const bytesPerMsOfMbps = 125;
/** What is small on any link. */
const mostSmallBytes = 8 * 1024;

const isBefore = (one: TransferRank, other: TransferRank, nowMs: number): boolean => {
  if (one.transferClass !== other.transferClass)
    return classOrder[one.transferClass] < classOrder[other.transferClass];
  const isOneLate = one.transferClass === "response" && one.dueMs < nowMs;
  const isOtherLate = other.transferClass === "response" && other.dueMs < nowMs;
  if (isOneLate !== isOtherLate) return isOtherLate;
  return one.dueMs < other.dueMs;
};

/**
 * Paces one direction of a machine's link. It keeps a model of the queue in front of the link: bytes that are small or urgent
 * join it at once, bulk only in turns of at most `turnMs` and only while the queue is no longer than that. So nothing urgent
 * ever waits behind more than two turns of bulk. Among bulk transfers the one that is due first has the next turn.
 */
export class LinkPacer {
  private readonly clock: Clock;
  private readonly bytesPerMs: number;
  /** When the link will have taken all that was written. */
  private emptyAtMs = -Infinity;
  private readonly waiting: WaitingTurn[] = [];
  private hasTimer = false;
  private leftBulkBytes = 0;

  /** The largest number of bytes that are written in one turn. */
  readonly turnBytes: number;
  /** Bodies up to this size are not bulk: they are written at once. */
  readonly smallBytes: number;

  /** A link of that rate; without one, nothing is held back. */
  constructor(clock: Clock, linkMbps: number | undefined) {
    this.clock = clock;
    this.bytesPerMs =
      linkMbps === undefined || linkMbps <= 0 ? Infinity : linkMbps * bytesPerMsOfMbps * usablePart;
    this.turnBytes = Math.ceil(this.bytesPerMs * turnMs);
    this.smallBytes = this.isPaced ? Math.min(this.turnBytes, mostSmallBytes) : Infinity;
  }

  /** Whether the link has a rate to be kept. */
  get isPaced(): boolean {
    return Number.isFinite(this.bytesPerMs);
  }

  /** How long bytes that are written now wait until they leave. */
  get queueMs(): number {
    return Math.max(0, this.emptyAtMs - this.clock.nowMs());
  }

  /** How long it takes until the queue and all bulk that is known of have left, and that many bytes more. */
  waitMs(moreBytes: number): number {
    return this.queueMs + this.transferMs(this.leftBulkBytes + moreBytes);
  }

  /** How long the link takes for that many bytes. */
  transferMs(bytes: number): number {
    return bytes / this.bytesPerMs;
  }

  /** Bytes of bulk transfers that are yet to be written. */
  get bulkBytes(): number {
    return this.leftBulkBytes;
  }

  /** Counts bytes that are written at once. */
  note(bytes: number): void {
    if (!this.isPaced) return;
    this.emptyAtMs = Math.max(this.emptyAtMs, this.clock.nowMs()) + bytes / this.bytesPerMs;
  }

  /** Begins a bulk transfer of that many bytes, where the number is known. */
  begin(rank: TransferRank, bytes = 0): Transfer {
    let leftBytes = this.isPaced ? bytes : 0;
    this.leftBulkBytes += leftBytes;
    const release = (part: number): void => {
      const released = Math.min(leftBytes, part);
      leftBytes -= released;
      this.leftBulkBytes -= released;
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
      *turn(part) {
        yield* Task.wait<true>((done) => {
          onTurn(part, () => done(true));
        });
      },
      end: () => release(leftBytes),
    };
  }

  private take(turn: WaitingTurn): () => void {
    if (!this.isPaced) {
      turn.run();
      return () => undefined;
    }
    this.waiting.push(turn);
    this.serve();
    return () => {
      const at = this.waiting.indexOf(turn);
      if (at >= 0) this.waiting.splice(at, 1);
    };
  }

  /** Gives turns while the queue is short, then waits until it is again. */
  private serve(): void {
    while (!this.hasTimer && this.waiting.length > 0) {
      const overMs = this.queueMs - turnMs;
      if (overMs > 0) {
        this.hasTimer = true;
        this.clock.after(overMs, () => {
          this.hasTimer = false;
          this.serve();
        });
        return;
      }
      const next = this.next();
      if (!next) return;
      this.note(next.bytes);
      next.run();
    }
  }

  /** Takes out the turn that goes first; of equals, the one that has waited longest. */
  private next(): WaitingTurn | undefined {
    const nowMs = this.clock.nowMs();
    let first = 0;
    for (const [at, turn] of this.waiting.entries()) {
      const best = this.waiting[first];
      if (best && isBefore(turn.rank, best.rank, nowMs)) first = at;
    }
    return this.waiting.splice(first, 1)[0];
  }
}

/** Both directions of a machine's link. */
export interface LinkPacers {
  readonly egress: LinkPacer;
  readonly ingress: LinkPacer;
}

export const LinkPacers = {
  /** The two directions of a link of that rate each. */
  of(clock: Clock, linkMbps: number | undefined): LinkPacers {
    return { egress: new LinkPacer(clock, linkMbps), ingress: new LinkPacer(clock, linkMbps) };
  },
};
