/** A model of limited machines: a share of a core for the process, and a link with a limited rate. */
import type { Clock } from "../../src/runtime/clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import type { Connection, Network } from "../../src/runtime/network.js";
import { EventGate } from "../../src/simulation/event-gate.js";

/** The resources of a simulated machine. */
export interface MachineLimits {
  /** The share of a core that the machine's process gets. */
  readonly cpuShare: number;
  /** The rate of the machine's link in each direction. */
  readonly linkMbps: number;
}

/** The time that a whole core needs for each operation of a process. */
export interface CpuCosts {
  readonly wakeUpMs: number;
  readonly messageMs: number;
  readonly kibibyteMs: number;
  readonly connectionMs: number;
}

/** Estimates that aren't calibrated against the real program, so no assertion may depend on them alone. */
export const estimatedCpuCosts: CpuCosts = {
  wakeUpMs: 0.02,
  messageMs: 0.06,
  kibibyteMs: 0.02,
  connectionMs: 0.4,
};

/** Resolution of timers. A shorter wait would be rounded up to it, and let only one event pass per millisecond. */
const timerResolutionMs = 1;
const bytesPerMsPerMbps = 125;
const BYTES_PER_KIB = 1024;

/** One process's share of a core. It works sequentially: work that arrives while it is busy waits. */
export class Processor {
  private readonly clock: Clock;
  private readonly share: number;
  private freeAtMs = 0;
  /** Total work so far, in milliseconds of a whole core. */
  usedMs = 0;

  constructor(clock: Clock, share: number) {
    this.clock = clock;
    this.share = share;
  }

  /** How long work that arrives now waits. */
  get waitMs(): number {
    return Math.max(0, this.freeAtMs - this.clock.nowMs());
  }

  /** Adds work that takes `coreMs` on a whole core. */
  charge(coreMs: number): void {
    this.usedMs += coreMs;
    this.freeAtMs = Math.max(this.freeAtMs, this.clock.nowMs()) + coreMs / this.share;
  }
}

/** A gate whose events wait until the processor is free. */
export class LimitedGate extends EventGate {
  private readonly queue: Array<() => void> = [];
  private isWaiting = false;
  private readonly processor: Processor;
  private readonly costs: CpuCosts;
  private readonly ungatedClock: Clock;

  constructor(ungatedClock: Clock, processor: Processor, costs: CpuCosts) {
    super();
    this.ungatedClock = ungatedClock;
    this.processor = processor;
    this.costs = costs;
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
      if (waitMs > timerResolutionMs) {
        this.isWaiting = true;
        this.ungatedClock.after(waitMs, () => {
          this.isWaiting = false;
          this.serve();
        });
        return;
      }
      const next = this.queue.shift();
      this.processor.charge(this.costs.wakeUpMs);
      if (next) super.pass(next);
    }
  }
}

/** One direction of a machine's link, which transmits bytes in order at a fixed rate. */
export class LinkQueue {
  private readonly clock: Clock;
  private readonly bytesPerMs: number;
  private emptyAtMs = 0;

  constructor(clock: Clock, mbps: number) {
    this.clock = clock;
    this.bytesPerMs = mbps * bytesPerMsPerMbps;
  }

  /** Queues bytes; returns the time until the last of them is transmitted, in ms. */
  enqueue(bytes: number): number {
    const nowMs = this.clock.nowMs();
    this.emptyAtMs = Math.max(this.emptyAtMs, nowMs) + bytes / this.bytesPerMs;
    return this.emptyAtMs - nowMs;
  }
}

/** The clock, processor and link of one machine, and the cost of its operations. */
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

const limitConnection = (inner: Connection, resources: MachineResources): Connection => {
  const { clock, processor, egress, ingress, costs } = resources;
  const incoming = new Queue<Uint8Array | "closed">();
  const chargeFor = (bytes: number): void =>
    processor.charge(costs.messageMs + (bytes / BYTES_PER_KIB) * costs.kibibyteMs);
  const forwardIncoming = function* (): Task {
    for (;;) {
      const chunk = yield* inner.incoming.take();
      if (chunk === "closed") {
        incoming.put("closed");
        return;
      }
      const waitMs = ingress.enqueue(chunk.length);
      clock.after(waitMs, () => {
        chargeFor(chunk.length);
        incoming.put(chunk);
      });
    }
  };
  runTask(forwardIncoming(), rethrow);
  return {
    incoming,
    send(bytes) {
      chargeFor(bytes.length);
      clock.after(egress.enqueue(bytes.length), () => inner.send(bytes));
    },
    close: () => inner.close(),
  };
};

/** Wraps a machine's network so that its traffic uses the machine's processor and link. */
export const limitNetwork = (inner: Network, resources: MachineResources): Network => ({
  *connect(address) {
    resources.processor.charge(resources.costs.connectionMs);
    const connection = yield* inner.connect(address);
    return connection && limitConnection(connection, resources);
  },
  *listen(address, accept) {
    yield* inner.listen(address, (connection) => {
      resources.processor.charge(resources.costs.connectionMs);
      accept(limitConnection(connection, resources));
    });
  },
});
