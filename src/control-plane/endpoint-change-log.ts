import type { StateMachine } from "../state/state-machine.js";
import type { Registration } from "../state/registration.js";
import { TextCompression } from "../runtime/text-compression.js";
import { registrationHash } from "../cluster-view/endpoint-replica.js";
import { COMPRESSION_THRESHOLD_CHARS } from "../control-protocol/compressed-text.js";
import { ChangeBuffer } from "./change-buffer.js";
import { SetDigest } from "../configuration/set-digest.js";

/** How many bytes the names of changed registrations may take; beyond that the oldest changes are forgotten. */
const keptChangeBytes = 1024 * 1024;

/**
 * What polls are told of the directory: the registrations that changed since the sequence that a daemon knows, or all of them.
 * It follows the state machine on every member of the replicated log, so that a new leader knows the same changes as the one
 * before.
 */
export class EndpointChangeLog {
  private readonly stateMachine: StateMachine;
  private table: StateMachine["registrations"];
  private tableSequence: number;
  private readonly recent: ChangeBuffer;
  private readonly hashes = new Map<string, bigint>();
  private readonly byNumber = new Map<number, Registration>();
  private readonly setDigest = new SetDigest();
  /** The parts of views that were made for the present sequence, by the sequence that a daemon knows. */
  private readonly parts = new Map<number, string>();

  constructor(stateMachine: StateMachine) {
    this.stateMachine = stateMachine;
    this.table = stateMachine.registrations.clear();
    this.tableSequence = 0;
    this.recent = new ChangeBuffer(0, keptChangeBytes);
    stateMachine.onApplied(() => this.observe());
  }

  /** The directory's newest sequence. */
  get sequence(): number {
    this.observe();
    return this.tableSequence;
  }

  /** The digest that a daemon's copy must have under this sequence. */
  get digest(): string {
    this.observe();
    return this.setDigest.text;
  }

  /** The registration of a number. */
  registration(number: number): Registration | undefined {
    this.observe();
    return this.byNumber.get(number);
  }

  /** The part of a view that brings a daemon from the sequence that it knows to the newest one. */
  viewPart(known: number): string {
    this.observe();
    const former = this.parts.get(known);
    if (former !== undefined) return former;
    const touched = this.recent.since(known);
    const part =
      touched && touched.size < this.table.size
        ? this.changesPart(known, touched)
        : this.wholePart();
    this.parts.set(known, part);
    return part;
  }

  private changesPart(base: number, touched: ReadonlySet<string>): string {
    const put: Registration[] = [];
    const removed: string[] = [];
    for (const address of touched) {
      const registration = this.table.get(address);
      if (registration) put.push(registration);
      else removed.push(address);
    }
    return `"directoryChanges":${JSON.stringify({ base, put, removed })}`;
  }

  private wholePart(): string {
    const whole = this.parts.get(-1);
    if (whole !== undefined) return whole;
    const text = JSON.stringify([...this.table.values()]);
    const part =
      text.length > COMPRESSION_THRESHOLD_CHARS
        ? `"packedDirectory":"${TextCompression.compress(text)}"`
        : `"directory":${text}`;
    this.parts.set(-1, part);
    return part;
  }

  /** Takes notice of the tables as they are now: what differs from the last time has changed since. */
  private observe(): void {
    const { registrations, endpointSequence: directorySequence } = this.stateMachine;
    if (registrations === this.table && directorySequence === this.tableSequence) return;
    const touched: string[] = [];
    for (const [address, registration] of registrations) {
      const former = this.table.get(address);
      if (former === registration) continue;
      touched.push(address);
      this.forget(former);
      this.know(registration);
    }
    for (const [address, former] of this.table) {
      if (registrations.has(address)) continue;
      touched.push(address);
      this.forget(former);
    }
    this.table = registrations;
    this.tableSequence = directorySequence;
    this.parts.clear();
    this.recent.note(directorySequence, touched);
  }

  private know(registration: Registration): void {
    const hash = registrationHash(registration);
    this.hashes.set(registration.address, hash);
    this.setDigest.add(hash);
    this.byNumber.set(registration.number, registration);
  }

  private forget(registration: Registration | undefined): void {
    if (!registration) return;
    this.setDigest.remove(this.hashes.get(registration.address) ?? 0n);
    this.hashes.delete(registration.address);
    if (this.byNumber.get(registration.number) === registration)
      this.byNumber.delete(registration.number);
  }
}
