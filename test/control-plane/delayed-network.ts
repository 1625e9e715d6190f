import { type Clock, sleep } from "../../src/runtime/clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import type { Connection, Network } from "../../src/runtime/network.js";

/** Bytes and messages that a network transferred, by direction. */
export interface TrafficTotals {
  bytesIn: number;
  bytesOut: number;
  messagesIn: number;
  messagesOut: number;
}

/** A network that counts its traffic and adds a one-way delay by remote address. */
export class DelayedNetwork implements Network {
  readonly totals: TrafficTotals = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };
  private readonly inner: Network;
  private readonly clock: Clock;
  private readonly oneWayMs: (address: string) => number;

  constructor(inner: Network, clock: Clock, oneWayMs: (address: string) => number) {
    this.inner = inner;
    this.clock = clock;
    this.oneWayMs = oneWayMs;
  }

  *connect(address: string): Task<Connection | undefined> {
    const delayMs = this.oneWayMs(address);
    if (delayMs > 0) yield* sleep(this.clock, 2 * delayMs);
    const connection = yield* this.inner.connect(address);
    return connection && this.wrap(connection, delayMs);
  }

  *listen(address: string, accept: (connection: Connection) => void): Task {
    yield* this.inner.listen(address, (connection) => accept(this.wrap(connection, 0)));
  }

  private wrap(connection: Connection, delayMs: number): Connection {
    const { totals } = this;
    const incoming = new Queue<Uint8Array | "closed">();
    const [delayOutgoing, delayIncoming] = [this.createDelay(delayMs), this.createDelay(delayMs)];
    const pump = function* (): Task {
      for (;;) {
        const bytes = yield* connection.incoming.take();
        delayIncoming(() => incoming.put(bytes));
        if (bytes === "closed") return;
        totals.bytesIn += bytes.length;
        totals.messagesIn += 1;
      }
    };
    runTask(pump(), (error) => {
      throw error;
    });
    return {
      incoming,
      send(bytes) {
        totals.bytesOut += bytes.length;
        totals.messagesOut += 1;
        delayOutgoing(() => connection.send(bytes));
      },
      close: () => delayOutgoing(() => connection.close()),
    };
  }

  /** Creates a function that runs callbacks after a delay, in the order in which it gets them. */
  private createDelay(delayMs: number): (run: () => void) => void {
    if (delayMs <= 0) return (run) => run();
    const queue: Array<() => void> = [];
    return (run) => {
      queue.push(run);
      this.clock.after(delayMs, () => queue.shift()?.());
    };
  }
}
