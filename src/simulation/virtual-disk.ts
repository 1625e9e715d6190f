import { type Clock, sleep } from "../runtime/clock.js";
import { DiskError, type Disk } from "../runtime/disk.js";
import type { Task } from "../runtime/task.js";

/** A disk in memory: what was not synced when the power went is gone, or half there. */
export class VirtualDisk implements Disk {
  private readonly files = new Map<string, Buffer>();
  private clock: Clock;
  private readonly random: () => number;
  private writing: { name: string; bytes: Buffer; keptBytes: number } | undefined;
  isFull = false;
  /** How many bytes all files together may take. */
  capacityBytes = Infinity;
  private stalledUntilMs = 0;

  constructor(clock: Clock, random: () => number) {
    this.clock = clock;
    this.random = random;
  }

  /** Every sync waits for a while. */
  stall(waitMs: number): void {
    this.stalledUntilMs = this.clock.nowMs() + waitMs;
  }

  /** A restarted machine meets its disk again, with a new clock. */
  restart(clock: Clock): void {
    this.clock = clock;
    this.stalledUntilMs = 0;
  }

  /** The power goes: a write under way is left torn. */
  losePower(): void {
    if (this.writing) {
      const { name, bytes, keptBytes } = this.writing;
      this.files.set(
        name,
        bytes.subarray(0, keptBytes + Math.floor(this.random() * (bytes.length - keptBytes))),
      );
      this.writing = undefined;
    }
  }

  /** The process died but not the machine: a write under way reaches the disk. */
  finishWrites(): void {
    if (this.writing) this.files.set(this.writing.name, this.writing.bytes);
    this.writing = undefined;
  }

  /** The disk is replaced by an empty one. */
  wipe(): void {
    this.files.clear();
    this.writing = undefined;
  }

  /** How many bytes all files take. */
  get usedBytes(): number {
    let bytes = 0;
    for (const file of this.files.values()) bytes += file.length;
    return bytes;
  }

  peek(name: string): Buffer {
    return this.files.get(name) ?? Buffer.alloc(0);
  }

  poke(name: string, bytes: Uint8Array): void {
    this.files.set(name, Buffer.from(bytes));
  }

  *read(name: string): Task<Uint8Array | undefined> {
    yield* this.rest();
    return this.files.get(name);
  }

  *list(): Task<string[]> {
    yield* this.rest();
    return [...this.files.keys()];
  }

  *write(name: string, bytes: Uint8Array): Task {
    yield* this.lasting(name, Buffer.from(bytes), 0);
  }

  *append(name: string, bytes: Uint8Array): Task {
    yield* this.lasting(name, Buffer.concat([this.peek(name), bytes]), this.peek(name).length);
  }

  *truncate(name: string, size: number): Task {
    yield* this.rest();
    this.files.set(name, this.peek(name).subarray(0, size));
  }

  *remove(name: string): Task {
    yield* this.rest();
    this.files.delete(name);
  }

  private *lasting(name: string, bytes: Buffer, keptBytes: number): Task {
    const addedBytes = bytes.length - this.peek(name).length;
    if (addedBytes > 0 && (this.isFull || this.usedBytes + addedBytes > this.capacityBytes))
      throw new DiskError("The disk is full.");
    this.writing = { name, bytes, keptBytes };
    yield* this.rest();
    this.writing = undefined;
    this.files.set(name, bytes);
  }

  private *rest(): Task {
    yield* sleep(
      this.clock,
      0.3 + this.random() * 2 + Math.max(0, this.stalledUntilMs - this.clock.nowMs()),
    );
  }
}
