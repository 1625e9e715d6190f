/** The registrations of backends at the leader: heartbeats, deregistration, expiry, refused connections and tombstones. */
import { create, literal, number, optional, type } from "superstruct";
import type { Command } from "../control-protocol/command.js";
import type { WatchRequest } from "../control-protocol/watch-request.js";
import { completed, type CommandResult } from "../control-protocol/command-response.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { LogCommand } from "../state/log-command.js";
import type { Registration } from "../state/registration.js";
import type { StateMachine } from "../state/state-machine.js";
import type { ControlPlaneTimeouts } from "./control-plane-timeouts.js";
import type { EndpointChangeLog } from "./endpoint-change-log.js";
import { HeartbeatTable } from "./heartbeat-table.js";
import { NO_LEASE, type LeaderLog } from "./leader-log.js";
import { TombstoneAges } from "./tombstone-ages.js";

/** The outcome of the log entry of a registration. */
const registrationOutcomeShape = type({
  number: optional(number()),
  gone: optional(literal(true)),
});

/** What the leader responds to a heartbeat, in the words of the protocol. */
type HeartbeatState = "known" | "taken" | "leaving" | "drained" | "gone" | "overtaken" | "behind";

interface HeartbeatStatus {
  /** The number of the registration, or 0 for none. */
  readonly number: number;
  readonly state: HeartbeatState;
}

type AnnounceCommand = Extract<Command, { kind: "announce" }>;

/** A heartbeat with the defaults of the fields that a backend may leave out. */
type Heartbeat = Omit<AnnounceCommand, "instance" | "capacity" | "warmMs"> & {
  readonly instance: string;
  readonly capacity: number;
  readonly warmMs: number;
};

const withDefaults = (command: AnnounceCommand): Heartbeat => ({
  ...command,
  instance: command.instance ?? "",
  capacity: command.capacity ?? 0,
  warmMs: command.warmMs ?? 0,
});

const isRegistrationOf = (
  registration: Registration | undefined,
  { service, instance }: Heartbeat,
): registration is Registration =>
  registration?.service === service && registration.instance === instance;

/** What the endpoint registry needs. */
export interface EndpointRegistryOptions {
  readonly clock: Clock;
  readonly log: LeaderLog;
  readonly stateMachine: StateMachine;
  readonly endpointChanges: EndpointChangeLog;
  readonly timeouts: Pick<
    ControlPlaneTimeouts,
    "heartbeatMs" | "expiryMs" | "leaveHoldMs" | "purgeMs" | "tombstoneMs"
  >;
}

/** Registers backends by their heartbeats and ends, purges and forgets registrations by their timeouts. */
export class EndpointRegistry {
  private readonly clock: Clock;
  private readonly log: LeaderLog;
  private readonly stateMachine: StateMachine;
  private readonly endpoints: EndpointChangeLog;
  private readonly timeouts: EndpointRegistryOptions["timeouts"];
  private readonly heartbeats = new HeartbeatTable();
  private readonly tombstoneAges: TombstoneAges;
  /** The numbers of registrations whose end is proposed since a connection was refused. */
  private readonly ending = new Set<number>();

  constructor({
    clock,
    log,
    stateMachine,
    endpointChanges: endpoints,
    timeouts,
  }: EndpointRegistryOptions) {
    this.clock = clock;
    this.log = log;
    this.stateMachine = stateMachine;
    this.endpoints = endpoints;
    this.timeouts = timeouts;
    this.tombstoneAges = new TombstoneAges(stateMachine);
  }

  /** Begins a term: nothing has been observed of any backend. */
  startTerm(nowMs: number): void {
    this.ending.clear();
    this.heartbeats.clear();
    this.tombstoneAges.startTerm(nowMs);
  }

  /** Follows the tombstones in the replicated log. */
  onApplied(command: LogCommand): void {
    if (command.kind === "leave" || command.kind === "contract")
      this.tombstoneAges.observe(() => this.clock.nowMs());
    if (command.kind === "forgetGone")
      for (const instance of command.instances) this.tombstoneAges.delete(instance);
  }

  /** The time of the last heartbeat of the backend at an address, by the leader's clock. */
  lastHeartbeatMs(address: string): number | undefined {
    return this.heartbeats.findTimes(address)?.heartbeatMs;
  }

  /** Processes a backend's heartbeat: registers it, or renews its registration. */
  *heartbeat(command: AnnounceCommand): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    const heartbeat = withDefaults(command);
    const current = this.stateMachine.registrations.get(heartbeat.address);
    if (heartbeat.draining) return yield* this.drainingHeartbeat(heartbeat, current);
    const nowMs = this.clock.nowMs();
    const status = this.statusWithoutProposal(heartbeat, current, nowMs);
    return status ? this.respond(status) : yield* this.register(heartbeat, nowMs);
  }

  /** Deregisters a backend by its instance, or by its address and service. */
  *deregister({
    address = "",
    service = "",
    instance = "",
  }: Pick<
    Extract<Command, { kind: "leave" }>,
    "address" | "service" | "instance"
  >): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    if (instance === "") return yield* this.deregisterAddress(address, service, false);
    if (this.stateMachine.tombstones.has(instance)) return completed({ known: true });
    const result = yield* this.log.propose({
      kind: "leave",
      address,
      service,
      drained: false,
      instance,
    });
    const nowMs = this.clock.nowMs();
    for (const registration of this.stateMachine.findRegistrations(instance))
      this.heartbeats.recordDeparture(registration.address, nowMs);
    return result;
  }

  /** Deregisters the backend at an address for an operator: no heartbeat registers it again. */
  *drain(address: string): Task<CommandResult> {
    const registration = this.stateMachine.registrations.get(address);
    if (!registration) return completed({ known: false });
    if (!this.log.holdsLease) return NO_LEASE;
    return yield* this.deregisterAddress(registration.address, registration.service, true);
  }

  /** Takes from a watch request which backends sent heartbeats to its daemon, and which refused connections. */
  observeWatchRequest({ machine, heard = [], refused }: WatchRequest, nowMs: number): void {
    for (const { number, order } of heard) {
      const registration = this.endpoints.findRegistration(number);
      if (!registration || registration.leaving) continue;
      this.heartbeats.recordHeartbeat(registration.address, nowMs);
      this.heartbeats.recordSequence(registration.instance, order);
    }
    for (const { address, number } of refused) {
      const registration = this.endpoints.findRegistration(number);
      if (registration?.address !== address || registration.leaving || this.ending.has(number))
        continue;
      this.ending.add(number);
      const why = `it refused a connection from ${machine.name}, or another service is there`;
      this.log.submit({ kind: "end", address, number, why }, (result) => {
        if (result.kind === "failed") this.ending.delete(number);
      });
    }
  }

  /** Ends registrations without heartbeats and purges those of backends that left long ago. */
  expireRegistrations(nowMs: number): void {
    for (const registration of this.stateMachine.registrations.values()) {
      const { address, number, leaving } = registration;
      const times = this.heartbeats.findTimes(address);
      if (!times) {
        this.heartbeats.startTracking(registration, nowMs);
        continue;
      }
      const { heartbeatMs, leftMs } = times;
      if (leaving) {
        if (nowMs - Math.max(heartbeatMs, leftMs) <= this.timeouts.purgeMs) continue;
        this.log.submit({ kind: "purge", address, number });
        this.heartbeats.delete(address);
      } else if (nowMs - heartbeatMs > this.timeouts.expiryMs) {
        this.log.submit({ kind: "end", address, number, why: "no announcement came" });
        this.heartbeats.recordHeartbeat(address, nowMs);
      }
    }
  }

  /** Proposes to remove old tombstones, and drops the heartbeat sequences that aren't needed any more. */
  expireTombstones(nowMs: number): void {
    const instances = this.tombstoneAges.expired(nowMs, this.timeouts.tombstoneMs);
    if (instances.length > 0) this.log.submit({ kind: "forgetGone", instances });
    this.heartbeats.pruneSequences(this.stateMachine.registrations);
  }

  private *drainingHeartbeat(
    { address, service, instance }: Heartbeat,
    current: Registration | undefined,
  ): Task<CommandResult> {
    const left = yield* this.deregister({ address, service, instance });
    if (left.kind === "failed") return left;
    return this.respond({
      number: current?.instance === instance ? current.number : 0,
      state: instance === "" ? "leaving" : "gone",
    });
  }

  /** The response to a heartbeat that changes nothing in the replicated state; `undefined` where the backend must be registered. */
  private statusWithoutProposal(
    heartbeat: Heartbeat,
    current: Registration | undefined,
    nowMs: number,
  ): HeartbeatStatus | undefined {
    const { instance, order, seen } = heartbeat;
    if (this.stateMachine.tombstones.has(instance)) {
      this.tombstoneAges.renew(instance, nowMs);
      return { number: 0, state: "gone" };
    }
    const isSame = isRegistrationOf(current, heartbeat);
    if (order !== undefined && order < this.newestSequence(instance))
      return { number: isSame ? current.number : 0, state: "overtaken" };
    const leftMs = this.leftMs(heartbeat.address, current, nowMs);
    const renewed = isSame ? this.renew(current, heartbeat, { leftMs, nowMs }) : undefined;
    if (renewed) return renewed;
    // A backend that counts its heartbeats gets no acknowledgment: another daemon may know a newer directory and register it.
    if (current && seen < Math.max(current.number, current.leftAt))
      return { number: current.number, state: order === undefined ? "overtaken" : "behind" };
    return undefined;
  }

  /** Renews the registration that a heartbeat is of; `undefined` where the registration must change. */
  private renew(
    registration: Registration,
    heartbeat: Heartbeat,
    { leftMs, nowMs }: { readonly leftMs: number; readonly nowMs: number },
  ): HeartbeatStatus | undefined {
    const { number, leaving, drained } = registration;
    const { address, instance, zone, capacity, order } = heartbeat;
    const hasJustLeft = instance === "" && nowMs - leftMs < this.timeouts.holdDownMs;
    if (leaving && !drained && hasJustLeft) return { number, state: "leaving" };
    this.heartbeats.recordHeartbeat(address, nowMs);
    this.heartbeats.recordSequence(instance, order ?? 0);
    if (drained) return { number, state: "drained" };
    const isUnchanged = registration.zone === zone && registration.capacity === capacity;
    return !leaving && isUnchanged ? { number, state: "known" } : undefined;
  }

  /** When the backend at an address left; a new leader doesn't know, so that it may have been just now. */
  private leftMs(address: string, current: Registration | undefined, nowMs: number): number {
    const times = this.heartbeats.findTimes(address);
    if (times) return times.leftMs;
    return current?.leaving === true
      ? this.heartbeats.recordDeparture(current.address, nowMs).leftMs
      : -Infinity;
  }

  private newestSequence(instance: string): number {
    return this.heartbeats.newestSequence(instance, this.stateMachine.findRegistrations(instance));
  }

  private *register(heartbeat: Heartbeat, nowMs: number): Task<CommandResult> {
    const { address, service, zone, warmth, instance, capacity, warmMs } = heartbeat;
    const order = heartbeat.order ?? 0;
    this.heartbeats.recordHeartbeat(address, nowMs);
    this.heartbeats.recordSequence(instance, order);
    const result = yield* this.log.propose({
      kind: "contract",
      address,
      service,
      zone,
      warmth,
      instance,
      capacity,
      warmMs,
      order,
    });
    if (result.kind === "failed") return result;
    const outcome = create(JSON.parse(result.json), registrationOutcomeShape);
    if (outcome.gone) return this.respond({ number: 0, state: "gone" });
    return outcome.number === undefined
      ? result
      : this.respond({ number: outcome.number, state: "taken" });
  }

  private *deregisterAddress(
    address: string,
    service: string,
    drained: boolean,
  ): Task<CommandResult> {
    const current = this.stateMachine.registrations.get(address);
    const isDone = current?.service === service && current.leaving && (current.drained || !drained);
    if (isDone) {
      this.heartbeats.recordDeparture(address, this.clock.nowMs());
      return completed({ known: true });
    }
    const result = yield* this.log.propose({ kind: "leave", address, service, drained });
    this.heartbeats.recordDeparture(address, this.clock.nowMs());
    return result;
  }

  private respond({ number, state }: HeartbeatStatus): CommandResult {
    return completed({ contract: number, state, announceMs: this.timeouts.heartbeatMs });
  }
}
