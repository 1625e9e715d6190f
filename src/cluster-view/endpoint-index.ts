/** Look-ups over the registrations that a daemon knows, and the addresses at which it was refused a connection. */
import type { Registration } from "../state/registration.js";

/** The registrations of all services by service, address and instance. */
export class EndpointIndex {
  private byService = new Map<string, Registration[]>();
  private byAddress = new Map<string, Registration>();
  private byInstance = new Map<string, Registration>();
  /** The numbers of registrations that are neither leaving nor refused. */
  private activeNumbers = new Set<number>();
  private refusedRegistrations: Registration[] = [];

  /** Names of the services that have an active registration. */
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

  /** The registration of an instance, which may be leaving. */
  findByInstance(instance: string): Registration | undefined {
    return this.byInstance.get(instance);
  }

  /** Whether a registration is in force: known, not leaving and not refused. */
  isActive(registrationNumber: number): boolean {
    return this.activeNumbers.has(registrationNumber);
  }

  /** Notes that an address refused a connection; false if that was known. The index has to be rebuilt afterwards. */
  markRefused(registration: Registration): boolean {
    if (this.refusedRegistrations.some(({ number }) => number === registration.number))
      return false;
    this.refusedRegistrations.push(registration);
    return true;
  }

  /** Forgets refusals of registrations that are no longer among these. */
  retainRefused(registrations: readonly Registration[]): void {
    const numbers = new Set(registrations.map(({ number }) => number));
    this.refusedRegistrations = this.refusedRegistrations.filter(({ number }) =>
      numbers.has(number),
    );
  }

  /** Builds all look-ups anew. */
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
