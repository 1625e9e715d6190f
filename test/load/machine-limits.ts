import type { Clock } from "../../src/runtime/clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import type { Connection, Network } from "../../src/runtime/network.js";
import { EventGate } from "../../src/simulation/event-gate.js";

/** What a machine of a simulated fleet may use. */
export interface MachineLimits {
  /** The share of a core that its process gets. */
  readonly cpuShare: number;
  /** The rate of its link, each way. */
  readonly linkMbps: number;
}

/** What a whole core takes for each thing that a process does. */
export interface CpuCosts {
  readonly wakeUpMs: number;
  readonly messageMs: number;
  readonly kibibyteMs: number;
  readonly connectionMs: number;
}

/** Estimates, not yet calibrated against the real program; what tests assert must not hang on them alone. */
export const estimatedCpuCosts: CpuCosts = {
  wakeUpMs: 0.02,
  messageMs: 0.06,
  kibibyteMs: 0.02,
  connectionMs: 0.4,
};

/** Timers go off on whole milliseconds: waiting for less than that would let one event through for each. */
const clockStepMs = 1;
const bytesPerMsOfMbps = 125;
const BYTES_PER_KIB = 1024;

/** One process's share of a core: work is done one piece after another, and what comes while it is busy waits. */
export class Processor {
  private readonly clock: Clock;
  private readonly share: number;
  private freeAtMs = 0;
  /** How much work was done, in milliseconds of a whole core. */
  usedMs = 0;

  constructor(clock: Clock, share: number) {
    this.clock = clock;
    this.share = share;
  }

  /** How long new work waits. */
  get waitMs(): number {
    return Math.max(0, this.freeAtMs - this.clock.nowMs());
  }

  /** Counts work that takes so long on a whole core. */
  charge(coreMs: number): void {
    this.usedMs += coreMs;
    this.freeAtMs = Math.max(this.freeAtMs, this.clock.nowMs()) + coreMs / this.share;
  }
}

/** A gate whose events wait for the processor. */
export class LimitedGate extends EventGate {
  private readonly queue: Array<() => void> = [];
  private isWaiting = false;
  private readonly processor: Processor;
  private readonly charges: CpuCosts;
  private readonly time: Clock;

  constructor(time: Clock, processor: Processor, charges: CpuCosts) {
    super();
    this.time = time;
    this.processor = processor;
    this.charges = charges;
  }

  override pass(run: () => void): void {
    this.queue.push(run);
    this.serve();
  }

  override kill(): void {
    this.queue.splice(0);
    super.kill();
  }

  private serve(): void {
    while (!this.isWaiting && this.queue.length > 0) {
      const { waitMs } = this.processor;
      if (waitMs > clockStepMs) {
        this.isWaiting = true;
        this.time.after(waitMs, () => {
          this.isWaiting = false;
          this.serve();
        });
        return;
      }
      const next = this.queue.shift();
      this.processor.charge(this.charges.wakeUpMs);
      if (next) super.pass(next);
    }
  }
}

/** One direction of a machine's link: bytes leave one after another at its rate. */
export class LinkQueue {
  private readonly clock: Clock;
  private readonly bytesPerMs: number;
  private emptyAtMs = 0;

  constructor(clock: Clock, mbps: number) {
    this.clock = clock;
    this.bytesPerMs = mbps * bytesPerMsOfMbps;
  }

  /** Queues bytes; tells in how long the last of them has left. */
  enqueue(bytes: number): number {
    const nowMs = this.clock.nowMs();
    this.emptyAtMs = Math.max(this.emptyAtMs, nowMs) + bytes / this.bytesPerMs;
    return this.emptyAtMs - nowMs;
  }
}

/** What one machine's traffic passes. */
export interface MachineResources {
  readonly clock: Clock;
  readonly processor: Processor;
  readonly egress: LinkQueue;
  readonly ingress: LinkQueue;
  readonly costs: CpuCosts;
}

const rethrow = (error: unknown): void => {
  throw error;
};

const limitConnection = (inner: Connection, parts: MachineResources): Connection => {
  const { clock, processor, egress, ingress, costs: charges } = parts;
  const incoming = new Queue<Uint8Array | "closed">();
  const chargeFor = (bytes: number): void =>
    processor.charge(charges.messageMs + (bytes / BYTES_PER_KIB) * charges.kibibyteMs);
  const receiving = function* (): Task {
    for (;;) {
      const piece = yield* inner.incoming.take();
      if (piece === "closed") {
        incoming.put("closed");
        return;
      }
      const waitMs = ingress.enqueue(piece.length);
      clock.after(waitMs, () => {
        chargeFor(piece.length);
        incoming.put(piece);
      });
    }
  };
  runTask(receiving(), rethrow);
  return {
    incoming,
    send(bytes) {
      chargeFor(bytes.length);
      clock.after(egress.enqueue(bytes.length), () => inner.send(bytes));
    },
    close: () => inner.close(),
  };
};

/** A wire whose bytes take processor time at this machine, and time on its link. */
export const limitNetwork = (inner: Network, parts: MachineResources): Network => ({
  *connect(address) {
    parts.processor.charge(parts.costs.connectionMs);
    const connection = yield* inner.connect(address);
    return connection && limitConnection(connection, parts);
  },
  *listen(address, accept) {
    yield* inner.listen(address, (connection) => {
      parts.processor.charge(parts.costs.connectionMs);
      accept(limitConnection(connection, parts));
    });
  },
});
