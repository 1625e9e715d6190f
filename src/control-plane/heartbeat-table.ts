/** The times of backends' last heartbeats, as the leader observed them; they aren't replicated. */
import type { Registration } from "../state/registration.js";
import type { StateMachine } from "../state/state-machine.js";

/** The times of a backend's last heartbeat and last deregistration, by the leader's clock. */
export interface BackendTimes {
  readonly heartbeatMs: number;
  /** -Infinity where no deregistration is known. */
  readonly leftMs: number;
}

/** The heartbeats of registered backends by address, and the newest heartbeat sequence of each instance. */
export class HeartbeatTable {
  private readonly byAddress = new Map<string, BackendTimes>();
  /** The newest known heartbeat sequence of each instance. */
  private readonly sequences = new Map<string, number>();

  /** Drops all observations. */
  clear(): void {
    this.byAddress.clear();
    this.sequences.clear();
  }

  /** The times of the backend at an address. */
  findTimes(address: string): BackendTimes | undefined {
    return this.byAddress.get(address);
  }

  /** Records a heartbeat. */
  recordHeartbeat(address: string, nowMs: number): void {
    this.byAddress.set(address, {
      heartbeatMs: nowMs,
      leftMs: this.byAddress.get(address)?.leftMs ?? -Infinity,
    });
  }

  /** Records that a backend left. */
  recordDeparture(address: string, nowMs: number): BackendTimes {
    const times = { heartbeatMs: nowMs, leftMs: nowMs };
    this.byAddress.set(address, times);
    return times;
  }

  /** Starts to track a registration that a new leader takes over. */
  startTracking({ address, leaving }: Registration, nowMs: number): void {
    this.byAddress.set(address, { heartbeatMs: nowMs, leftMs: leaving ? nowMs : -Infinity });
  }

  /** Removes the times of an address. */
  delete(address: string): void {
    this.byAddress.delete(address);
  }

  /** Records the heartbeat sequence of an instance; backends without an instance don't number their heartbeats. */
  recordSequence(instance: string, sequence: number): void {
    if (instance !== "")
      this.sequences.set(instance, Math.max(sequence, this.sequences.get(instance) ?? 0));
  }

  /** The newest heartbeat sequence of an instance, from this table or its registrations. */
  newestSequence(instance: string, registrations: readonly Registration[]): number {
    if (instance === "") return 0;
    return Math.max(this.sequences.get(instance) ?? 0, ...registrations.map(({ order }) => order));
  }

  /** Removes the sequences of instances without a registration. */
  pruneSequences(registrations: StateMachine["registrations"]): void {
    if (this.sequences.size <= registrations.size) return;
    const registered = new Set([...registrations.values()].map(({ instance }) => instance));
    for (const instance of this.sequences.keys())
      if (!registered.has(instance)) this.sequences.delete(instance);
  }
}
