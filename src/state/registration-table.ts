/** The registrations of backends, by address. */
import { Map as ImmutableMap } from "immutable";
import type { Journal } from "./journal.js";
import type { LogCommandOf } from "./log-command.js";
import type { LogOutcome } from "./log-outcome.js";
import type { Registration } from "./registration.js";
import type { TombstoneTable } from "./tombstone-table.js";

/** The registrations by address, and the index of the last log entry that changed them. */
export class RegistrationTable {
  private registrations = ImmutableMap<string, Registration>();
  private changedAt = 0;
  private readonly tombstones: TombstoneTable;
  private readonly journal: Journal;

  constructor(tombstones: TombstoneTable, journal: Journal) {
    this.tombstones = tombstones;
    this.journal = journal;
  }

  /** The registrations by address; a new object after each change. */
  get byAddress(): ImmutableMap<string, Registration> {
    return this.registrations;
  }

  /** The index of the last log entry that changed the table, or 0. */
  get sequence(): number {
    return this.changedAt;
  }

  /** The registrations of an instance: at most one active one, and those at addresses that it left. */
  findByInstance(instance: string): Registration[] {
    return instance === ""
      ? []
      : [...this.registrations.values()].filter(
          (registration) => registration.instance === instance,
        );
  }

  /** The stored form of the registrations. */
  toStored(): Registration[] {
    return [...this.registrations.values()];
  }

  /** Loads stored registrations. */
  restore(stored: readonly Registration[], sequence: number): void {
    this.registrations = ImmutableMap(
      stored.map((registration) => [registration.address, registration]),
    );
    this.changedAt = sequence;
  }

  /** Applies a log command. */
  apply(index: number, command: LogCommandOf<"contract" | "leave" | "end" | "purge">): LogOutcome {
    switch (command.kind) {
      case "contract":
        return this.register(index, command);
      case "leave":
        return command.instance === undefined || command.instance === ""
          ? this.deregisterAddress(index, command)
          : this.deregisterInstance(index, command.instance, command.drained);
      case "end":
        return this.end(index, command);
      case "purge":
        return this.purge(index, command);
    }
  }

  private register(index: number, command: LogCommandOf<"contract">): LogOutcome {
    const { address, service, zone, warmth } = command;
    const { instance = "", capacity = 0, warmMs = 0, order = 0 } = command;
    if (this.tombstones.has(instance)) return { gone: true };
    const previous = this.registrations.get(address);
    const number = RegistrationTable.keepsNumber(previous, command) ? previous.number : index;
    if (previous && previous.instance !== instance) this.tombstones.add(index, previous.instance);
    this.leaveOtherAddresses(index, { address, instance });
    this.set({
      address,
      service,
      zone,
      warmth,
      number,
      leaving: false,
      leftAt: 0,
      drained: false,
      instance,
      capacity,
      warmMs,
      order,
    });
    this.changedAt = index;
    if (previous && previous.service !== service)
      this.journal.add(index, `${address} now serves ${service}, no longer ${previous.service}.`);
    return { number };
  }

  /** Whether a registration keeps its number when a command replaces it: only its capacity, warmth or order may differ. */
  private static keepsNumber(
    previous: Registration | undefined,
    { service, zone, instance = "" }: LogCommandOf<"contract">,
  ): previous is Registration {
    return (
      instance !== "" &&
      previous?.instance === instance &&
      previous.service === service &&
      !previous.leaving &&
      previous.zone === zone
    );
  }

  private deregisterAddress(
    index: number,
    { address, service, drained }: LogCommandOf<"leave">,
  ): LogOutcome {
    const registration =
      this.registrations.get(address) ?? RegistrationTable.createDeparted(index, address, service);
    if (registration.service !== service) return { known: false };
    this.tombstones.add(index, registration.instance);
    this.markLeft(index, registration, drained);
    if (drained) this.journal.add(index, `${address} of ${service} is drained by an operator.`);
    this.changedAt = index;
    return { known: true };
  }

  /** The registration of a backend that left without having registered. */
  private static createDeparted(index: number, address: string, service: string): Registration {
    return {
      address,
      service,
      zone: "",
      warmth: 0,
      number: index,
      leaving: true,
      leftAt: index,
      drained: false,
      instance: "",
      capacity: 0,
      warmMs: 0,
      order: 0,
    };
  }

  private deregisterInstance(index: number, instance: string, drained: boolean): LogOutcome {
    this.tombstones.add(index, instance);
    const registrations = this.findByInstance(instance);
    for (const registration of registrations) this.markLeft(index, registration, drained);
    if (registrations.length > 0) this.changedAt = index;
    return { known: registrations.length > 0 };
  }

  private end(index: number, { address, number, why }: LogCommandOf<"end">): LogOutcome {
    const registration = this.registrations.get(address);
    if (!registration || registration.number !== number) return { known: false };
    this.markLeft(index, registration);
    this.changedAt = index;
    this.journal.add(index, `${address} of ${registration.service} ended: ${why}.`);
    return { known: true };
  }

  private purge(index: number, { address, number }: LogCommandOf<"purge">): LogOutcome {
    if (this.registrations.get(address)?.number === number)
      this.registrations = this.registrations.delete(address);
    this.changedAt = index;
    return { known: true };
  }

  /** Ends the registrations of an instance at its other addresses, since it has moved. */
  private leaveOtherAddresses(
    index: number,
    { address, instance }: Pick<Registration, "address" | "instance">,
  ): void {
    for (const other of this.findByInstance(instance))
      if (other.address !== address && !other.leaving) this.markLeft(index, other);
  }

  private markLeft(index: number, registration: Registration, drained = false): void {
    this.set({
      ...registration,
      leaving: true,
      leftAt: index,
      drained: registration.drained || drained,
    });
  }

  private set(registration: Registration): void {
    this.registrations = this.registrations.set(registration.address, registration);
  }
}
