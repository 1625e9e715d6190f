/** The registrations of backends, by address. */
import { Map as ImmutableMap } from "immutable";
import type { Journal } from "./journal.js";
import type { LogCommandOf } from "./log-command.js";
import type { LogOutcome } from "./log-outcome.js";
import type { Registration } from "./registration.js";
import type { TombstoneTable } from "./tombstone-table.js";

/** The registrations by address, and the index of the log entry that changed them last. */
export class RegistrationTable {
  private registrations = ImmutableMap<string, Registration>();
  private changedAt = 0;
  private readonly tombstones: TombstoneTable;
  private readonly journal: Journal;

  constructor(tombstones: TombstoneTable, journal: Journal) {
    this.tombstones = tombstones;
    this.journal = journal;
  }

  /** The registrations by address; another object after each change. */
  get byAddress(): ImmutableMap<string, Registration> {
    return this.registrations;
  }

  /** The index of the log entry that changed the table last, or 0. */
  get sequence(): number {
    return this.changedAt;
  }

  /** The registrations of an instance: at most one that isn't leaving, and others that it left before. */
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

  /** Takes over stored registrations. */
  restore(toStored: readonly Registration[], sequence: number): void {
    this.registrations = ImmutableMap(
      toStored.map((registration) => [registration.address, registration]),
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
    const former = this.registrations.get(address);
    const number = RegistrationTable.isContinued(former, command) ? former.number : index;
    if (former && former.instance !== instance) this.tombstones.add(index, former.instance);
    this.markOthersLeft(index, { address, instance });
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
    if (former && former.service !== service)
      this.journal.add(index, `${address} now serves ${service}, no longer ${former.service}.`);
    return { number };
  }

  /** Whether a registration that a command replaces keeps its number: only its capacity, warmth or order differ. */
  private static isContinued(
    former: Registration | undefined,
    { service, zone, instance = "" }: LogCommandOf<"contract">,
  ): former is Registration {
    return (
      instance !== "" &&
      former?.instance === instance &&
      former.service === service &&
      !former.leaving &&
      former.zone === zone
    );
  }

  private deregisterAddress(
    index: number,
    { address, service, drained }: LogCommandOf<"leave">,
  ): LogOutcome {
    const registration =
      this.registrations.get(address) ?? RegistrationTable.unknown(index, address, service);
    if (registration.service !== service) return { known: false };
    this.tombstones.add(index, registration.instance);
    this.markLeft(index, registration, drained);
    if (drained) this.journal.add(index, `${address} of ${service} is drained by an operator.`);
    this.changedAt = index;
    return { known: true };
  }

  /** The registration of a backend that leaves without having registered. */
  private static unknown(index: number, address: string, service: string): Registration {
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

  /** An instance that moves leaves its other addresses. */
  private markOthersLeft(
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
