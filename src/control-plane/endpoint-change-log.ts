/** The endpoint updates in leased views. */
import type { StateMachine } from "../state/state-machine.js";
import type { Registration } from "../state/registration.js";
import { TextCompression } from "../runtime/text-compression.js";
import { registrationHash } from "../cluster-view/endpoint-replica.js";
import { COMPRESSION_THRESHOLD_CHARS } from "../control-protocol/compressed-text.js";
import { ChangeBuffer, DEFAULT_MAX_CHANGE_BYTES } from "./change-buffer.js";
import { SetDigest } from "../configuration/set-digest.js";

/** The key of the view part that contains all registrations: the sequence of a daemon without any. */
const COMPLETE = -1;

/**
 * Builds the endpoint part of views: the registrations that changed since a daemon's sequence, or all of them. It tracks the
 * state machine on every member of the replicated log, so that a new leader has the same changes as the previous one.
 */
export class EndpointChangeLog {
  private readonly stateMachine: StateMachine;
  private registrations: StateMachine["registrations"];
  private observedSequence: number;
  private readonly changes: ChangeBuffer;
  private readonly hashes = new Map<string, bigint>();
  private readonly byNumber = new Map<number, Registration>();
  private readonly setDigest = new SetDigest();
  /** The view parts of the current sequence by the daemon's sequence; `COMPLETE` is the key of the complete table. */
  private readonly viewParts = new Map<number, string>();

  constructor(stateMachine: StateMachine) {
    this.stateMachine = stateMachine;
    this.registrations = stateMachine.registrations.clear();
    this.observedSequence = 0;
    this.changes = new ChangeBuffer(0, DEFAULT_MAX_CHANGE_BYTES);
    stateMachine.onApplied(() => this.observe());
  }

  /** The current sequence of the registrations. */
  get sequence(): number {
    this.observe();
    return this.observedSequence;
  }

  /** The digest that a daemon's replica must have at this sequence. */
  get digest(): string {
    this.observe();
    return this.setDigest.hex;
  }

  /** The registration with a number. */
  findRegistration(number: number): Registration | undefined {
    this.observe();
    return this.byNumber.get(number);
  }

  /** The part of a view that updates a daemon from its sequence to the current one. */
  viewPart(fromSequence: number): string {
    this.observe();
    const cached = this.viewParts.get(fromSequence);
    if (cached !== undefined) return cached;
    const changedAddresses = this.changes.keysChangedSince(fromSequence);
    const part =
      changedAddresses && changedAddresses.size < this.registrations.size
        ? this.changesPart(fromSequence, changedAddresses)
        : this.completePart();
    this.viewParts.set(fromSequence, part);
    return part;
  }

  private changesPart(base: number, changedAddresses: ReadonlySet<string>): string {
    const put: Registration[] = [];
    const removed: string[] = [];
    for (const address of changedAddresses) {
      const registration = this.registrations.get(address);
      if (registration) put.push(registration);
      else removed.push(address);
    }
    return `"directoryChanges":${JSON.stringify({ base, put, removed })}`;
  }

  private completePart(): string {
    const cached = this.viewParts.get(COMPLETE);
    if (cached !== undefined) return cached;
    const text = JSON.stringify([...this.registrations.values()]);
    const part =
      text.length > COMPRESSION_THRESHOLD_CHARS
        ? `"packedDirectory":"${TextCompression.compress(text)}"`
        : `"directory":${text}`;
    this.viewParts.set(COMPLETE, part);
    return part;
  }

  /** Compares the registrations with the last observed ones, and records the differences as changes. */
  private observe(): void {
    const { registrations, endpointSequence } = this.stateMachine;
    if (registrations === this.registrations && endpointSequence === this.observedSequence) return;
    const changedAddresses: string[] = [];
    for (const [address, registration] of registrations) {
      const previous = this.registrations.get(address);
      if (previous === registration) continue;
      changedAddresses.push(address);
      this.remove(previous);
      this.add(registration);
    }
    for (const [address, previous] of this.registrations) {
      if (registrations.has(address)) continue;
      changedAddresses.push(address);
      this.remove(previous);
    }
    this.registrations = registrations;
    this.observedSequence = endpointSequence;
    this.viewParts.clear();
    this.changes.record(endpointSequence, changedAddresses);
  }

  private add(registration: Registration): void {
    const hash = registrationHash(registration);
    this.hashes.set(registration.address, hash);
    this.setDigest.add(hash);
    this.byNumber.set(registration.number, registration);
  }

  private remove(registration: Registration | undefined): void {
    if (!registration) return;
    this.setDigest.remove(this.hashes.get(registration.address) ?? 0n);
    this.hashes.delete(registration.address);
    if (this.byNumber.get(registration.number) === registration)
      this.byNumber.delete(registration.number);
  }
}
