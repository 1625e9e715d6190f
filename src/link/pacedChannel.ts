import type { Clock } from "../runtime/clock.js";
import type { Holding } from "../runtime/holding.js";
import type { LinkPacer, Transfer } from "../runtime/linkPacer.js";
import type { Channel } from "../runtime/wire.js";

/** A large frame on its way, and how much of it was written. */
interface PartlySent {
  readonly frame: Uint8Array;
  readonly transfer: Transfer;
  sentBytes: number;
}

/**
 * A channel on which large frames are written in turns with all other bulk on the machine's link. Small frames are written at
 * once: before large ones that wait, and after the one that has begun.
 */
export class PacedChannel implements Channel {
  readonly incoming: Holding<Uint8Array | "closed">;
  private readonly channel: Channel;
  private readonly egress: LinkPacer;
  private readonly clock: Clock;
  private readonly patienceMs: number;
  private readonly small: Uint8Array[] = [];
  private readonly large: PartlySent[] = [];
  private cancelTurn: (() => void) | undefined;
  private isClosed = false;

  /** `patienceMs`: for how long frames may give way to those of other channels. */
  constructor(channel: Channel, egress: LinkPacer, clock: Clock, patienceMs = 0) {
    this.channel = channel;
    this.incoming = channel.incoming;
    this.egress = egress;
    this.clock = clock;
    this.patienceMs = patienceMs;
  }

  send(frame: Uint8Array): void {
    if (this.isClosed) return;
    if (frame.length <= this.egress.smallBytes) {
      const [begun] = this.large;
      if (begun && begun.sentBytes > 0) this.small.push(frame);
      else this.write(frame);
      return;
    }
    const transfer = this.egress.begin(
      { transferClass: "control", dueMs: this.clock.nowMs() + this.patienceMs },
      frame.length,
    );
    this.large.push({ frame, transfer, sentBytes: 0 });
    if (this.large.length === 1) this.awaitTurn();
  }

  close(): void {
    this.isClosed = true;
    this.cancelTurn?.();
    for (const { transfer } of this.large.splice(0)) transfer.end();
    this.channel.close();
  }

  /** Writes the first of the large frames, a part at each turn, then the next one. */
  private awaitTurn(): void {
    const [first] = this.large;
    if (!first) return;
    const { frame, transfer, sentBytes } = first;
    const part = frame.subarray(sentBytes, sentBytes + this.egress.turnBytes);
    this.cancelTurn = transfer.onTurn(part.length, () => {
      first.sentBytes += part.length;
      this.channel.send(part);
      if (first.sentBytes >= frame.length) {
        this.large.shift();
        transfer.end();
        for (const small of this.small.splice(0)) this.write(small);
      }
      this.awaitTurn();
    });
  }

  private write(frame: Uint8Array): void {
    this.egress.note(frame.length);
    this.channel.send(frame);
  }
}
