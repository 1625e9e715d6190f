import type { Registration } from "../state/state-machine.js";
import type { ReplicaUpdate } from "./replica-update.js";
import type { LeasedView } from "../control-protocol/command.js";
import { itemHash, SetDigest } from "../configuration/set-digest.js";

/** The hash of a registration: over its number and all of its state. */
export const registrationHash = (one: Registration): bigint =>
  itemHash(
    JSON.stringify([
      one.address,
      one.service,
      one.zone,
      one.warmth,
      one.number,
      one.leaving,
      one.leftAt,
      one.drained,
      one.instance,
      one.capacity,
      one.warmMs,
      one.order,
    ]),
  );

type DirectoryPart = Pick<
  LeasedView,
  "directory" | "directoryChanges" | "directoryDigest" | "directorySequence"
>;

/** A daemon's copy of the directory: taken whole or kept up by changes, and compared with the leader's digest. */
export class EndpointReplica {
  private table = new Map<string, Registration>();
  private setDigest = new SetDigest();
  /** The newest sequence of the directory that was taken here. */
  sequence = -1;
  private isSound = true;

  /** The sequence to ask by: none where the copy was found to differ, so that the whole comes. */
  get knownSequence(): number {
    return this.isSound ? this.sequence : -1;
  }

  /** All registrations, also those that are leaving. */
  get registrations(): readonly Registration[] {
    return [...this.table.values()];
  }

  /** Takes what a view tells. Where the copy differs afterwards, the view must not be served by. */
  take(view: DirectoryPart): ReplicaUpdate {
    if (view.directory) {
      this.takeWhole(view.directory);
      this.sequence = view.directorySequence;
      this.isSound = true;
      return "changed";
    }
    const changes = view.directoryChanges;
    const isNews = view.directorySequence !== this.sequence;
    if (isNews && this.isSound && changes !== undefined && changes.base < this.sequence)
      return "outdated";
    if (isNews && changes?.base !== this.sequence) return this.differ();
    if (isNews && changes) this.takeChanges(changes.put, changes.removed);
    this.sequence = view.directorySequence;
    if (view.directoryDigest !== undefined && view.directoryDigest !== this.setDigest.text)
      return this.differ();
    return isNews ? "changed" : "same";
  }

  private differ(): "differs" {
    this.isSound = false;
    return "differs";
  }

  private takeWhole(registrations: readonly Registration[]): void {
    this.table = new Map(registrations.map((one) => [one.address, one]));
    this.setDigest = new SetDigest();
    for (const one of registrations) this.setDigest.add(registrationHash(one));
  }

  private takeChanges(put: readonly Registration[], removed: readonly string[]): void {
    for (const address of removed) this.remove(address);
    for (const one of put) {
      this.remove(one.address);
      this.table.set(one.address, one);
      this.setDigest.add(registrationHash(one));
    }
  }

  private remove(address: string): void {
    const former = this.table.get(address);
    if (!former) return;
    this.setDigest.remove(registrationHash(former));
    this.table.delete(address);
  }
}
