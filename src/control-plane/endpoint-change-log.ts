/** The updates of the endpoints that leased views contain. */
import type { StateMachine } from "../state/state-machine.js";
import type { Registration } from "../state/registration.js";
import { TextCompression } from "../runtime/text-compression.js";
import { registrationHash } from "../cluster-view/endpoint-replica.js";
import { COMPRESSION_THRESHOLD_CHARS } from "../control-protocol/compressed-text.js";
import { ChangeBuffer, DEFAULT_MAX_CHANGE_BYTES } from "./change-buffer.js";
import { SetDigest } from "../configuration/set-digest.js";

/** The key of the part with all registrations: the sequence of a daemon that has none yet. */
const COMPLETE = -1;

/**
 * What views contain of the registrations: those that changed since the sequence that a daemon has, or all of them. It follows
 * the state machine on every member of the replicated log, so that a new leader knows the same changes as the former one.
 */
export class EndpointChangeLog {
  private readonly stateMachine: StateMachine;
  private registrations: StateMachine["registrations"];
  private observedSequence: number;
  private readonly changes: ChangeBuffer;
  private readonly hashes = new Map<string, bigint>();
  private readonly byNumber = new Map<number, Registration>();
  private readonly setDigest = new SetDigest();
  /** The parts of views under the present sequence, by the sequence that the daemon has; the whole table under `WHOLE`. */
  private readonly viewParts = new Map<number, string>();

  constructor(stateMachine: StateMachine) {
    this.stateMachine = stateMachine;
    this.registrations = stateMachine.registrations.clear();
    this.observedSequence = 0;
    this.changes = new ChangeBuffer(0, DEFAULT_MAX_CHANGE_BYTES);
    stateMachine.onApplied(() => this.observe());
  }

  /** The newest sequence of the registrations. */
  get sequence(): number {
    this.observe();
    return this.observedSequence;
  }

  /** The digest that a daemon's replica must have under this sequence. */
  get digest(): string {
    this.observe();
    return this.setDigest.hex;
  }

  /** The registration under a number. */
  findRegistration(number: number): Registration | undefined {
    this.observe();
    return this.byNumber.get(number);
  }

  /** The part of a view that updates a daemon from the sequence that it has to the newest one. */
  viewPart(fromSequence: number): string {
    this.observe();
    const cached = this.viewParts.get(fromSequence);
    if (cached !== undefined) return cached;
    const touched = this.changes.keysChangedSince(fromSequence);
    const part =
      touched && touched.size < this.registrations.size
        ? this.changesPart(fromSequence, touched)
        : this.wholePart();
    this.viewParts.set(fromSequence, part);
    return part;
  }

  private changesPart(base: number, touched: ReadonlySet<string>): string {
    const put: Registration[] = [];
    const removed: string[] = [];
    for (const address of touched) {
      const findRegistration = this.registrations.get(address);
      if (findRegistration) put.push(findRegistration);
      else removed.push(address);
    }
    return `"directoryChanges":${JSON.stringify({ base, put, removed })}`;
  }

  private wholePart(): string {
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

  /** Compares the registrations with those of the last observation; what differs has changed since. */
  private observe(): void {
    const { registrations, endpointSequence } = this.stateMachine;
    if (registrations === this.registrations && endpointSequence === this.observedSequence) return;
    const touched: string[] = [];
    for (const [address, findRegistration] of registrations) {
      const former = this.registrations.get(address);
      if (former === findRegistration) continue;
      touched.push(address);
      this.remove(former);
      this.add(findRegistration);
    }
    for (const [address, former] of this.registrations) {
      if (registrations.has(address)) continue;
      touched.push(address);
      this.remove(former);
    }
    this.registrations = registrations;
    this.observedSequence = endpointSequence;
    this.viewParts.clear();
    this.changes.record(endpointSequence, touched);
  }

  private add(findRegistration: Registration): void {
    const hash = registrationHash(findRegistration);
    this.hashes.set(findRegistration.address, hash);
    this.setDigest.add(hash);
    this.byNumber.set(findRegistration.number, findRegistration);
  }

  private remove(findRegistration: Registration | undefined): void {
    if (!findRegistration) return;
    this.setDigest.remove(this.hashes.get(findRegistration.address) ?? 0n);
    this.hashes.delete(findRegistration.address);
    if (this.byNumber.get(findRegistration.number) === findRegistration)
      this.byNumber.delete(findRegistration.number);
  }
}
