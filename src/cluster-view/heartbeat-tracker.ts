/** Backend heartbeats that a daemon accepts without the leader and reports with its next watch request. */
import type { Command } from "../control-protocol/command.js";
import type { Registration } from "../state/registration.js";

/** Maximum age of an accepted heartbeat that is reported to the leader. */
const REPORTABLE_AGE_MS = 2000;
/** Number of instances beyond the number of registrations whose newest heartbeat order is retained. */
const MAX_UNREGISTERED_INSTANCES = 1000;
/** Heartbeat interval of backends until the leader sends another one. */
const DEFAULT_HEARTBEAT_INTERVAL_MS = 1000;

/** Content of a backend's heartbeat. */
export type BackendHeartbeat = Omit<Extract<Command, { kind: "announce" }>, "kind" | "seen">;

/** Response that a daemon sends to a backend without asking the leader; its field names are part of the admin API. */
export interface KnownRegistration {
  contract: number;
  state: "known" | "overtaken";
  announceMs: number;
}

/** An accepted heartbeat: its order among its instance's heartbeats, and the time of its receipt. */
export interface AcceptedHeartbeat {
  readonly order: number;
  readonly atMs: number;
}

/** State against which a heartbeat is checked. */
export interface HeartbeatContext {
  /** Registration at the heartbeat's address. */
  readonly registration: Registration | undefined;
  /** Whether the daemon holds its lease and the registration is active. */
  readonly mayAccept: boolean;
  readonly nowMs: number;
}

/** The registration if it belongs to the backend that sent the heartbeat, otherwise `undefined`. */
const registrationOf = (
  { instance = "", service }: BackendHeartbeat,
  registration: Registration | undefined,
): Registration | undefined =>
  registration?.instance === instance && registration.service === service
    ? registration
    : undefined;

const isUnchanged = (registration: Registration, heartbeat: BackendHeartbeat): boolean =>
  registration.zone === heartbeat.zone && registration.capacity === (heartbeat.capacity ?? 0);

/** Accepts heartbeats that change nothing, and retains them until they are reported to the leader. */
export class HeartbeatTracker {
  /** Accepted heartbeats that are not yet reported to the leader, by registration number. */
  private readonly unreported = new Map<number, AcceptedHeartbeat>();
  /** Newest heartbeat order received from each instance. */
  private readonly newestOrders = new Map<string, number>();
  /** Heartbeat interval that responses request from backends. */
  intervalMs = DEFAULT_HEARTBEAT_INTERVAL_MS;

  /** The response to a heartbeat that changes nothing or is outdated; `undefined` if the leader has to decide. */
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

  /** Drops heartbeats that are too old to be reported. */
  expire(nowMs: number): void {
    for (const [number, { atMs }] of this.unreported)
      if (nowMs - atMs > REPORTABLE_AGE_MS) this.unreported.delete(number);
  }

  /** Heartbeats to report, by registration number. */
  snapshot(): ReadonlyMap<number, AcceptedHeartbeat> {
    return new Map(this.unreported);
  }

  /** Drops reported heartbeats, unless a newer one replaced them meanwhile. */
  acknowledge(reported: ReadonlyMap<number, AcceptedHeartbeat>): void {
    for (const [number, heartbeat] of reported)
      if (this.unreported.get(number) === heartbeat) this.unreported.delete(number);
  }

  /** Bounds the number of retained orders: drops those of unregistered instances once there are too many. */
  limitOrders(registrationCount: number, isRegistered: (instance: string) => boolean): void {
    if (this.newestOrders.size <= registrationCount + MAX_UNREGISTERED_INSTANCES) return;
    for (const instance of this.newestOrders.keys())
      if (!isRegistered(instance)) this.newestOrders.delete(instance);
  }

  /** Whether a newer heartbeat of the same instance was received earlier; if not, records this one as the newest. */
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
