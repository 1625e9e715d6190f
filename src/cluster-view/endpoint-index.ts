/** Lookup of a daemon's known registrations, and the registrations whose address refused a connection. */
import type { Registration } from "../state/registration.js";

/** Index of all registrations by service, address and instance. */
export class EndpointIndex {
  private byService = new Map<string, Registration[]>();
  private byAddress = new Map<string, Registration>();
  private byInstance = new Map<string, Registration>();
  /** Numbers of the active registrations: neither leaving nor refused. */
  private activeNumbers = new Set<number>();
  private refusedRegistrations: Registration[] = [];

  /** Names of the services with an active registration. */
  get services(): string[] {
    return [...this.byService.keys()];
  }

  /** Registrations whose address refused a connection. */
  get refused(): readonly Registration[] {
    return this.refusedRegistrations;
  }

  /** The active registrations of a service. */
  backendsOf(service: string): readonly Registration[] {
    return this.byService.get(service) ?? [];
  }

  /** The registration at an address. */
  findByAddress(address: string): Registration | undefined {
    return this.byAddress.get(address);
  }

  /** The registration of an instance, even if it is leaving. */
  findByInstance(instance: string): Registration | undefined {
    return this.byInstance.get(instance);
  }

  /** Whether a registration is active: known, not leaving and not refused. */
  isActive(registrationNumber: number): boolean {
    return this.activeNumbers.has(registrationNumber);
  }

  /** Marks a registration whose address refused a connection; false if it was marked before. Call `rebuild` afterwards. */
  markRefused(registration: Registration): boolean {
    if (this.refusedRegistrations.some(({ number }) => number === registration.number))
      return false;
    this.refusedRegistrations.push(registration);
    return true;
  }

  /** Drops refusals of registrations that are not in this list. */
  retainRefused(registrations: readonly Registration[]): void {
    const numbers = new Set(registrations.map(({ number }) => number));
    this.refusedRegistrations = this.refusedRegistrations.filter(({ number }) =>
      numbers.has(number),
    );
  }

  /** Rebuilds the index. */
  rebuild(registrations: readonly Registration[]): void {
    const refused = new Set(this.refusedRegistrations.map(({ number }) => number));
    this.byService = new Map();
    this.byAddress = new Map();
    this.byInstance = new Map();
    this.activeNumbers = new Set();
    for (const registration of registrations) {
      const { address, instance, number, leaving } = registration;
      this.byAddress.set(address, registration);
      if (instance !== "" && (!leaving || !this.byInstance.has(instance)))
        this.byInstance.set(instance, registration);
      if (!leaving && !refused.has(number)) this.addActive(registration);
    }
  }

  private addActive(registration: Registration): void {
    this.activeNumbers.add(registration.number);
    const known = this.byService.get(registration.service);
    if (known) known.push(registration);
    else this.byService.set(registration.service, [registration]);
  }
}
