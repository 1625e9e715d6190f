/** A daemon's replica of all registrations, and the digest by which it is compared with the leader's. */
import type { Registration } from "../state/registration.js";
import { classifyUpdate, type ReplicaUpdate } from "./replica-update.js";
import type { LeasedView } from "../control-protocol/leased-view.js";
import { itemHash, SetDigest } from "../configuration/set-digest.js";

/** The hash of a registration: over its number and all of its state. */
export const registrationHash = (registration: Registration): bigint =>
  itemHash(
    JSON.stringify([
      registration.address,
      registration.service,
      registration.zone,
      registration.warmth,
      registration.number,
      registration.leaving,
      registration.leftAt,
      registration.drained,
      registration.instance,
      registration.capacity,
      registration.warmMs,
      registration.order,
    ]),
  );

type EndpointsOfView = Pick<
  LeasedView,
  "directory" | "directoryChanges" | "directoryDigest" | "directorySequence"
>;

/** A daemon's replica of the registrations: replaced in full or updated by changes, and compared with the leader's digest. */
export class EndpointReplica {
  private byAddress = new Map<string, Registration>();
  private setDigest = new SetDigest();
  /** The sequence of the newest change that was applied here; -1 for none. */
  sequence = -1;
  /** Whether the replica is what the leader had at its sequence, as far as is known. */
  isConsistent = true;

  /** The sequence to request changes from; -1 requests a full copy, also where the replica was found to differ. */
  get knownSequence(): number {
    return this.isConsistent ? this.sequence : -1;
  }

  /** All registrations, also those that are leaving. */
  get registrations(): readonly Registration[] {
    return [...this.byAddress.values()];
  }

  /** Applies a view. Unless the outcome is `same` or `changed`, the view must not be served by. */
  apply(view: EndpointsOfView): ReplicaUpdate {
    if (view.directory) {
      this.replaceAll(view.directory);
      this.sequence = view.directorySequence;
      this.isConsistent = true;
      return "changed";
    }
    const changes = view.directoryChanges;
    const effect = classifyUpdate(this, view.directorySequence, changes?.base);
    if (effect === "outdated") return effect;
    if (effect === "differs") return this.markInconsistent();
    if (effect === "changed" && changes) this.applyChanges(changes.put, changes.removed);
    this.sequence = view.directorySequence;
    if (view.directoryDigest !== undefined && view.directoryDigest !== this.setDigest.hex)
      return this.markInconsistent();
    return effect;
  }

  private markInconsistent(): "differs" {
    this.isConsistent = false;
    return "differs";
  }

  private replaceAll(registrations: readonly Registration[]): void {
    this.byAddress = new Map(
      registrations.map((registration) => [registration.address, registration]),
    );
    this.setDigest = new SetDigest();
    for (const registration of registrations) this.setDigest.add(registrationHash(registration));
  }

  private applyChanges(put: readonly Registration[], removed: readonly string[]): void {
    for (const address of removed) this.remove(address);
    for (const registration of put) {
      this.remove(registration.address);
      this.byAddress.set(registration.address, registration);
      this.setDigest.add(registrationHash(registration));
    }
  }

  private remove(address: string): void {
    const former = this.byAddress.get(address);
    if (!former) return;
    this.setDigest.remove(registrationHash(former));
    this.byAddress.delete(address);
  }
}
