/** When backends were last heard of: the leader's own observations, which aren't replicated. */
import type { Registration } from "../state/registration.js";
import type { StateMachine } from "../state/state-machine.js";

/** When a backend last sent a heartbeat and when it last left, by the leader's clock. */
export interface BackendTimes {
  readonly heartbeatMs: number;
  /** -Infinity where the backend isn't known to have left. */
  readonly leftMs: number;
}

/** The heartbeats of registered backends by address, and the newest heartbeat sequence of each instance. */
export class HeartbeatTable {
  private readonly byAddress = new Map<string, BackendTimes>();
  /** The newest heartbeat sequence that is known of each instance. */
  private readonly sequences = new Map<string, number>();

  /** Drops all observations. */
  clear(): void {
    this.byAddress.clear();
    this.sequences.clear();
  }

  /** What is known of the backend at an address. */
  findTimes(address: string): BackendTimes | undefined {
    return this.byAddress.get(address);
  }

  /** Takes in a heartbeat. */
  recordHeartbeat(address: string, nowMs: number): void {
    this.byAddress.set(address, {
      heartbeatMs: nowMs,
      leftMs: this.byAddress.get(address)?.leftMs ?? -Infinity,
    });
  }

  /** Takes in that a backend left. */
  recordDeparture(address: string, nowMs: number): BackendTimes {
    const findTimes = { heartbeatMs: nowMs, leftMs: nowMs };
    this.byAddress.set(address, findTimes);
    return findTimes;
  }

  /** Begins to observe a registration that a new leader takes over. */
  startTracking({ address, leaving }: Registration, nowMs: number): void {
    this.byAddress.set(address, { heartbeatMs: nowMs, leftMs: leaving ? nowMs : -Infinity });
  }

  /** Drops what is known of an address. */
  delete(address: string): void {
    this.byAddress.delete(address);
  }

  /** Takes in the heartbeat sequence of an instance; backends without an instance count none. */
  recordSequence(instance: string, sequence: number): void {
    if (instance !== "")
      this.sequences.set(instance, Math.max(sequence, this.sequences.get(instance) ?? 0));
  }

  /** The newest heartbeat sequence of an instance, here or in its registrations. */
  newestSequence(instance: string, registrations: readonly Registration[]): number {
    if (instance === "") return 0;
    return Math.max(this.sequences.get(instance) ?? 0, ...registrations.map(({ order }) => order));
  }

  /** Drops the sequences of instances that have no registration any more. */
  pruneSequences(registrations: StateMachine["registrations"]): void {
    if (this.sequences.size <= registrations.size) return;
    const registered = new Set([...registrations.values()].map(({ instance }) => instance));
    for (const instance of this.sequences.keys())
      if (!registered.has(instance)) this.sequences.delete(instance);
  }
}
