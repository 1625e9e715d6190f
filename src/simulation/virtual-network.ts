import type { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import { waitFor } from "../runtime/task.js";
import type { Connection, Network } from "../runtime/network.js";
import type { EventGate } from "./event-gate.js";

/** One end of a connection. */
interface Endpoint {
  readonly location: string;
  readonly gate: EventGate;
  readonly incoming: Queue<Uint8Array | "closed">;
  isOpen: boolean;
  /** When the last message in transit arrives at this end; later messages arrive after it. */
  lastArrivalMs: number;
}

/** The delay until a lost message is sent again. */
const RETRANSMIT_MS = 200;
/** How long a message may be undeliverable until its connection breaks. */
const CONNECTION_TIMEOUT_MS = 4000;

/** A network between locations. Every message has a latency; a partition delays messages until their connection breaks. */
export class VirtualNetwork {
  private readonly clock: Clock;
  private readonly random: () => number;
  private readonly listeners = new Map<
    string,
    { location: string; gate: EventGate; accept: (connection: Connection) => void }
  >();
  private readonly endpoints = new Set<Endpoint>();
  private readonly partitionCounts = new Map<string, number>();
  /** The bandwidth of a connection, in bytes per ms; unlimited by default. */
  bytesPerMs = Infinity;
  /**
   * The conditions of the whole network: the largest extra latency of a message and the largest extra delay of a new
   * connection, in ms, and the fraction of messages that are lost and sent again.
   */
  conditions = { maxExtraLatencyMs: 0, maxExtraConnectMs: 0, lossFraction: 0 };

  constructor(clock: Clock, random: () => number) {
    this.clock = clock;
    this.random = random;
  }

  /** Partitions the link from one location to another, in this direction only. */
  partition(from: string, to: string): void {
    this.partitionCounts.set(`${from}>${to}`, (this.partitionCounts.get(`${from}>${to}`) ?? 0) + 1);
  }

  /** Ends one partition of a link. A link that was partitioned twice stays so until both have ended. */
  heal(from: string, to: string): void {
    const link = `${from}>${to}`;
    const remaining = (this.partitionCounts.get(link) ?? 0) - 1;
    if (remaining > 0) this.partitionCounts.set(link, remaining);
    else this.partitionCounts.delete(link);
  }

  /** Ends all partitions and resets the network's conditions. */
  healAll(): void {
    this.partitionCounts.clear();
    this.conditions = { maxExtraLatencyMs: 0, maxExtraConnectMs: 0, lossFraction: 0 };
  }

  /** Whether the link from one location to another is partitioned. */
  isPartitioned(from: string, to: string): boolean {
    return this.partitionCounts.has(`${from}>${to}`);
  }

  /** Draws the latency of one message, with its retransmissions, in ms. */
  drawLatencyMs(): number {
    const { maxExtraLatencyMs, lossFraction } = this.conditions;
    let retransmissionMs = 0;
    while (
      lossFraction > 0 &&
      retransmissionMs < CONNECTION_TIMEOUT_MS &&
      this.random() < lossFraction
    )
      retransmissionMs += RETRANSMIT_MS;
    return (
      0.2 +
      this.random() * 1.2 +
      (this.random() < 0.01 ? this.random() * 25 : 0) +
      (maxExtraLatencyMs > 0 ? this.random() * maxExtraLatencyMs : 0) +
      retransmissionMs
    );
  }

  /** Draws the delay of a new connection beyond its round trip, in ms. */
  drawConnectDelayMs(): number {
    return this.conditions.maxExtraConnectMs > 0
      ? this.random() * this.conditions.maxExtraConnectMs
      : 0;
  }

  /** Breaks all connections of a location and removes its listeners. */
  disconnect(location: string): void {
    for (const [address, listener] of this.listeners)
      if (listener.location === location) this.listeners.delete(address);
    for (const endpoint of this.endpoints)
      if (endpoint.location === location) endpoint.isOpen = false;
  }

  /** Delivers a message after its latency, with retransmissions while the link is partitioned; calls `failed` when it times out. */
  deliver(
    from: string,
    to: string,
    gate: EventGate,
    run: () => void,
    failed: () => void,
    waitMs = this.drawLatencyMs(),
    sinceMs = this.clock.nowMs(),
  ): void {
    this.clock.after(waitMs, () => {
      if (!this.isPartitioned(from, to)) return gate.pass(run);
      if (this.clock.nowMs() - sinceMs > CONNECTION_TIMEOUT_MS) return failed();
      this.deliver(from, to, gate, run, failed, RETRANSMIT_MS, sinceMs);
    });
  }

  /** Creates the network interface of one machine. */
  createInterface(location: string, gate: EventGate): Network {
    const listen = (address: string, accept: (connection: Connection) => void): unknown =>
      this.listeners.set(address, { location, gate, accept });
    const connect = (address: string, done: (connection: Connection | undefined) => void): void =>
      this.connect(location, gate, address, done);
    return {
      *listen(address, accept) {
        listen(address, accept);
      },
      *connect(address) {
        return yield* waitFor<Connection | undefined>((done) => connect(address, done));
      },
    };
  }

  private connect(
    location: string,
    gate: EventGate,
    address: string,
    done: (connection: Connection | undefined) => void,
  ): void {
    const settle = (connection: Connection | undefined, waitMs: number): unknown =>
      this.clock.after(waitMs, () => gate.pass(() => done(connection)));
    const listener = this.listeners.get(address);
    if (!listener?.gate.isAlive) return void settle(undefined, 2 * this.drawLatencyMs());
    if (
      this.isPartitioned(location, listener.location) ||
      this.isPartitioned(listener.location, location)
    )
      return void settle(undefined, 1000);
    const local: Endpoint = {
      location,
      gate,
      incoming: new Queue(),
      isOpen: true,
      lastArrivalMs: 0,
    };
    const remote: Endpoint = {
      location: listener.location,
      gate: listener.gate,
      incoming: new Queue(),
      isOpen: true,
      lastArrivalMs: 0,
    };
    this.endpoints.add(local).add(remote);
    this.deliver(
      location,
      listener.location,
      listener.gate,
      () => listener.accept(this.createConnection(remote, local)),
      () => this.close(local, remote),
    );
    settle(
      this.createConnection(local, remote),
      2 * this.drawLatencyMs() + 0.5 + this.drawConnectDelayMs(),
    );
  }

  private createConnection(local: Endpoint, remote: Endpoint): Connection {
    return {
      incoming: local.incoming,
      send: (bytes) => {
        if (!local.isOpen || !remote.isOpen) return this.close(local, remote);
        const nowMs = this.clock.nowMs();
        const firstByteMs = Math.max(remote.lastArrivalMs + 0.001, nowMs + this.drawLatencyMs());
        const arrivalMs = firstByteMs + bytes.length / this.bytesPerMs;
        remote.lastArrivalMs = arrivalMs;
        this.transmit(local, remote, bytes, arrivalMs - nowMs, nowMs);
      },
      close: () => this.close(local, remote),
    };
  }

  private transmit(
    local: Endpoint,
    remote: Endpoint,
    bytes: Uint8Array,
    waitMs: number,
    sentMs: number,
  ): void {
    this.clock.after(waitMs, () => {
      if (!local.isOpen || !remote.isOpen) return this.close(local, remote);
      if (!this.isPartitioned(local.location, remote.location))
        return remote.gate.pass(() => remote.incoming.put(bytes));
      const nowMs = this.clock.nowMs();
      if (nowMs - sentMs > CONNECTION_TIMEOUT_MS) return this.close(local, remote);
      this.transmit(local, remote, bytes, RETRANSMIT_MS, sentMs);
    });
  }

  private close(...endpoints: Endpoint[]): void {
    for (const endpoint of endpoints) {
      if (!this.endpoints.delete(endpoint)) continue;
      endpoint.isOpen = false;
      this.clock.after(this.drawLatencyMs(), () =>
        endpoint.gate.pass(() => endpoint.incoming.put("closed")),
      );
    }
  }
}
