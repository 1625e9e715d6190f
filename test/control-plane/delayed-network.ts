import { type Clock, sleep } from "../../src/runtime/clock.js";
import { Queue } from "../../src/runtime/queue.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import type { Connection, Network } from "../../src/runtime/network.js";

/** Bytes and messages that went over a network, each way. */
export interface TrafficTotals {
  bytesIn: number;
  bytesOut: number;
  messagesIn: number;
  messagesOut: number;
}

/** A network that counts its traffic and adds a one-way delay that depends on the remote address. */
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
    const waitMs = this.oneWayMs(address);
    if (waitMs > 0) yield* sleep(this.clock, 2 * waitMs);
    const connection = yield* this.inner.connect(address);
    return connection && this.counted(connection, waitMs);
  }

  *listen(address: string, accept: (connection: Connection) => void): Task {
    yield* this.inner.listen(address, (connection) => accept(this.counted(connection, 0)));
  }

  private counted(connection: Connection, waitMs: number): Connection {
    const { totals } = this;
    const incoming = new Queue<Uint8Array | "closed">();
    const [away, back] = [this.inOrder(waitMs), this.inOrder(waitMs)];
    const pump = function* (): Task {
      for (;;) {
        const piece = yield* connection.incoming.take();
        back(() => incoming.put(piece));
        if (piece === "closed") return;
        totals.bytesIn += piece.length;
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
        away(() => connection.send(bytes));
      },
      close: () => away(() => connection.close()),
    };
  }

  /** Runs what it is handed a while later, in the order in which it came. */
  private inOrder(waitMs: number): (run: () => void) => void {
    if (waitMs <= 0) return (run) => run();
    const waiting: Array<() => void> = [];
    return (run) => {
      waiting.push(run);
      this.clock.after(waitMs, () => waiting.shift()?.());
    };
  }
}
