/** Heartbeats of backends that a daemon accepts without the leader, and reports to it with the next watch request. */
import type { Command } from "../control-protocol/command.js";
import type { Registration } from "../state/registration.js";

/** How old an accepted heartbeat may be and still be reported. */
const REPORTABLE_AGE_MS = 2000;
/** How many instances' newest orders are retained beyond the number of registrations. */
const MAX_UNREGISTERED_INSTANCES = 1000;
/** How often backends send heartbeats until the leader has said otherwise. */
const DEFAULT_HEARTBEAT_INTERVAL_MS = 1000;

/** What a backend sends in a heartbeat. */
export type BackendHeartbeat = Omit<Extract<Command, { kind: "announce" }>, "kind" | "seen">;

/** A daemon's response to a heartbeat that needs no leader, as it is sent to the backend. */
export interface KnownRegistration {
  contract: number;
  state: "known" | "overtaken";
  announceMs: number;
}

/** A heartbeat that was accepted here: its order among those of its instance, and when it came. */
export interface AcceptedHeartbeat {
  readonly order: number;
  readonly atMs: number;
}

/** What a heartbeat is compared with. */
export interface HeartbeatContext {
  /** The registration at the heartbeat's address. */
  readonly registration: Registration | undefined;
  /** Whether the daemon holds its lease and the registration is in force. */
  readonly mayAccept: boolean;
  readonly nowMs: number;
}

/** The registration, if it is that of the backend that sent the heartbeat. */
const registrationOf = (
  { instance = "", service }: BackendHeartbeat,
  registration: Registration | undefined,
): Registration | undefined =>
  registration?.instance === instance && registration.service === service
    ? registration
    : undefined;

const isUnchanged = (registration: Registration, heartbeat: BackendHeartbeat): boolean =>
  registration.zone === heartbeat.zone && registration.capacity === (heartbeat.capacity ?? 0);

/** Accepts heartbeats that change nothing, and retains them until the leader knows of them. */
export class HeartbeatTracker {
  /** Accepted heartbeats that the leader doesn't know of yet, by registration number. */
  private readonly unreported = new Map<number, AcceptedHeartbeat>();
  /** The newest order that was seen of each instance. */
  private readonly newestOrders = new Map<string, number>();
  /** How often backends are asked to send heartbeats. */
  intervalMs = DEFAULT_HEARTBEAT_INTERVAL_MS;

  /** The response to a heartbeat that changes nothing or is out of date; `undefined` where the leader has to decide. */
  accept(heartbeat: BackendHeartbeat, context: HeartbeatContext): KnownRegistration | undefined {
    if (heartbeat.draining === true) return undefined;
    const { mayAccept, nowMs } = context;
    const registration = registrationOf(heartbeat, context.registration);
    if (this.isOutOfOrder(heartbeat)) return this.response("overtaken", registration?.number ?? 0);
    if (!registration || !mayAccept || !isUnchanged(registration, heartbeat)) return undefined;
    const { number } = registration;
    const previousOrder = this.unreported.get(number)?.order ?? 0;
    this.unreported.set(number, {
      order: Math.max(heartbeat.order ?? 0, previousOrder),
      atMs: nowMs,
    });
    return this.response("known", number);
  }

  /** Forgets heartbeats that are too old to be reported. */
  expire(nowMs: number): void {
    for (const [number, { atMs }] of this.unreported)
      if (nowMs - atMs > REPORTABLE_AGE_MS) this.unreported.delete(number);
  }

  /** The heartbeats to report, by registration number. */
  snapshot(): ReadonlyMap<number, AcceptedHeartbeat> {
    return new Map(this.unreported);
  }

  /** Forgets heartbeats that were reported, except where a newer one has come since. */
  acknowledge(reported: ReadonlyMap<number, AcceptedHeartbeat>): void {
    for (const [number, heartbeat] of reported)
      if (this.unreported.get(number) === heartbeat) this.unreported.delete(number);
  }

  /** Bounds the retained orders: those of instances without a registration go once there are too many. */
  limitOrders(registrationCount: number, isRegistered: (instance: string) => boolean): void {
    if (this.newestOrders.size <= registrationCount + MAX_UNREGISTERED_INSTANCES) return;
    for (const instance of this.newestOrders.keys())
      if (!isRegistered(instance)) this.newestOrders.delete(instance);
  }

  /** Whether a newer heartbeat of the same instance came before; otherwise this one is now its newest. */
  private isOutOfOrder({ instance = "", order }: BackendHeartbeat): boolean {
    if (instance === "" || order === undefined) return false;
    const newest = this.newestOrders.get(instance) ?? 0;
    if (order < newest) return true;
    this.newestOrders.set(instance, order);
    return false;
  }

  private response(
    state: KnownRegistration["state"],
    registrationNumber: number,
  ): KnownRegistration {
    return { contract: registrationNumber, state, announceMs: this.intervalMs };
  }
}
