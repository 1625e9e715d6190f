/** A daemon's replica of all registrations, verified by the leader's digest. */
import type { Registration } from "../state/registration.js";
import { classifyUpdate, type ReplicaUpdate } from "./replica-update.js";
import type { LeasedView } from "../control-protocol/leased-view.js";
import { itemHash, SetDigest } from "../configuration/set-digest.js";

/** Hash of a registration, over its number and its full state. */
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

/** A daemon's replica of the registrations: replaced in full or updated by changes, then verified by the leader's digest. */
export class EndpointReplica {
  private byAddress = new Map<string, Registration>();
  private setDigest = new SetDigest();
  /** Sequence of the newest applied change; -1 for none. */
  sequence = -1;
  /** Whether the replica matches the leader's state at the same sequence, as far as known. */
  isConsistent = true;

  /** Sequence from which to request changes; -1 requests a full copy, also for an inconsistent replica. */
  get knownSequence(): number {
    return this.isConsistent ? this.sequence : -1;
  }

  /** All registrations, including leaving ones. */
  get registrations(): readonly Registration[] {
    return [...this.byAddress.values()];
  }

  /** Applies a view. Unless the outcome is `same` or `changed`, the daemon must not serve requests by this view. */
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
    const previous = this.byAddress.get(address);
    if (!previous) return;
    this.setDigest.remove(registrationHash(previous));
    this.byAddress.delete(address);
  }
}
