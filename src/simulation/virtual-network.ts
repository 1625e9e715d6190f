import type { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import { waitFor } from "../runtime/task.js";
import type { Connection, Network } from "../runtime/network.js";
import type { EventGate } from "./event-gate.js";

interface End {
  readonly place: string;
  readonly gate: EventGate;
  readonly incoming: Queue<Uint8Array | "closed">;
  isOpen: boolean;
  /** When the last piece on its way to this end arrives, so that pieces keep their order. */
  lastMs: number;
}

const resendMs = 200;
const giveUpMs = 4000;

/** A network between places: each piece takes time, and cuts hold it back until the connection breaks. */
export class VirtualNetwork {
  private readonly clock: Clock;
  private readonly random: () => number;
  private readonly listeners = new Map<
    string,
    { place: string; gate: EventGate; accept: (connection: Connection) => void }
  >();
  private readonly ends = new Set<End>();
  private readonly cuts = new Map<string, number>();
  /** How many bytes a connection carries in a millisecond; without end unless a test makes links thin. */
  bytesPerMs = Infinity;
  /** How much longer a way takes at most, how much longer a connection does, and which part of pieces must be sent again. */
  conditions = { maxExtraLatencyMs: 0, maxExtraConnectMs: 0, lossFraction: 0 };

  constructor(clock: Clock, random: () => number) {
    this.clock = clock;
    this.random = random;
  }

  /** Cuts the way from one place to another, one way. */
  partition(from: string, to: string): void {
    this.cuts.set(`${from}>${to}`, (this.cuts.get(`${from}>${to}`) ?? 0) + 1);
  }

  /** Ends one cut; a way that was cut twice is cut until both have ended. */
  heal(from: string, to: string): void {
    const way = `${from}>${to}`;
    const left = (this.cuts.get(way) ?? 0) - 1;
    if (left > 0) this.cuts.set(way, left);
    else this.cuts.delete(way);
  }

  /** Ends all cuts and bad weather. */
  healAll(): void {
    this.cuts.clear();
    this.conditions = { maxExtraLatencyMs: 0, maxExtraConnectMs: 0, lossFraction: 0 };
  }

  isPartitioned(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** How long one way takes now. */
  drawLatencyMs(): number {
    const { maxExtraLatencyMs: slowMs, lossFraction: lossPart } = this.conditions;
    let againMs = 0;
    while (lossPart > 0 && againMs < giveUpMs && this.random() < lossPart) againMs += resendMs;
    return (
      0.2 +
      this.random() * 1.2 +
      (this.random() < 0.01 ? this.random() * 25 : 0) +
      (slowMs > 0 ? this.random() * slowMs : 0) +
      againMs
    );
  }

  /** How much longer a new connection takes now than a way there and back. */
  drawConnectDelayMs(): number {
    return this.conditions.maxExtraConnectMs > 0
      ? this.random() * this.conditions.maxExtraConnectMs
      : 0;
  }

  /** All that a place held open breaks; its listeners are gone. */
  disconnect(place: string): void {
    for (const [address, listener] of this.listeners)
      if (listener.place === place) this.listeners.delete(address);
    for (const end of this.ends) if (end.place === place) end.isOpen = false;
  }

  /** Delivers after a trip, trying again while the way is cut; `failed` once that has taken too long. */
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
      if (this.clock.nowMs() - sinceMs > giveUpMs) return failed();
      this.deliver(from, to, gate, run, failed, resendMs, sinceMs);
    });
  }

  /** The wire of one machine. */
  createInterface(place: string, gate: EventGate): Network {
    const listen = (address: string, accept: (connection: Connection) => void): unknown =>
      this.listeners.set(address, { place, gate, accept });
    const connect = (address: string, done: (connection: Connection | undefined) => void): void =>
      this.connect(place, gate, address, done);
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
    place: string,
    gate: EventGate,
    address: string,
    done: (connection: Connection | undefined) => void,
  ): void {
    const give = (connection: Connection | undefined, waitMs: number): unknown =>
      this.clock.after(waitMs, () => gate.pass(() => done(connection)));
    const listener = this.listeners.get(address);
    if (!listener?.gate.isAlive) return void give(undefined, 2 * this.drawLatencyMs());
    if (this.isPartitioned(place, listener.place) || this.isPartitioned(listener.place, place))
      return void give(undefined, 1000);
    const near: End = { place, gate, incoming: new Queue(), isOpen: true, lastMs: 0 };
    const far: End = {
      place: listener.place,
      gate: listener.gate,
      incoming: new Queue(),
      isOpen: true,
      lastMs: 0,
    };
    this.ends.add(near).add(far);
    this.deliver(
      place,
      listener.place,
      listener.gate,
      () => listener.accept(this.channel(far, near)),
      () => this.close(near, far),
    );
    give(this.channel(near, far), 2 * this.drawLatencyMs() + 0.5 + this.drawConnectDelayMs());
  }

  private channel(own: End, other: End): Connection {
    return {
      incoming: own.incoming,
      send: (bytes) => {
        if (!own.isOpen || !other.isOpen) return this.close(own, other);
        const nowMs = this.clock.nowMs();
        const firstMs = Math.max(other.lastMs + 0.001, nowMs + this.drawLatencyMs());
        const arriveMs = firstMs + bytes.length / this.bytesPerMs;
        other.lastMs = arriveMs;
        this.travel(own, other, bytes, arriveMs - nowMs, nowMs);
      },
      close: () => this.close(own, other),
    };
  }

  private travel(own: End, other: End, bytes: Uint8Array, waitMs: number, sentMs: number): void {
    this.clock.after(waitMs, () => {
      if (!own.isOpen || !other.isOpen) return this.close(own, other);
      if (!this.isPartitioned(own.place, other.place))
        return other.gate.pass(() => other.incoming.put(bytes));
      const nowMs = this.clock.nowMs();
      if (nowMs - sentMs > giveUpMs) return this.close(own, other);
      this.travel(own, other, bytes, resendMs, sentMs);
    });
  }

  private close(...ends: End[]): void {
    for (const end of ends) {
      if (!this.ends.delete(end)) continue;
      end.isOpen = false;
      this.clock.after(this.drawLatencyMs(), () => end.gate.pass(() => end.incoming.put("closed")));
    }
  }
}
