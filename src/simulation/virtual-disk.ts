import { type Clock, sleep } from "../runtime/clock.js";
import { DiskError, type Disk } from "../runtime/disk.js";
import type { Task } from "../runtime/task.js";

/** A disk in memory. A power loss tears or loses a write that is not synced yet. */
export class VirtualDisk implements Disk {
  private readonly files = new Map<string, Buffer>();
  private clock: Clock;
  private readonly random: () => number;
  private pendingWrite: { name: string; bytes: Buffer; keptBytes: number } | undefined;
  isFull = false;
  /** The capacity for all files together, in bytes. */
  capacityBytes = Infinity;
  private stalledUntilMs = 0;

  constructor(clock: Clock, random: () => number) {
    this.clock = clock;
    this.random = random;
  }

  /** Stalls all operations for `waitMs`. */
  stall(waitMs: number): void {
    this.stalledUntilMs = this.clock.nowMs() + waitMs;
  }

  /** Attaches the disk to a restarted process, which has a new clock, and ends a stall. */
  restart(clock: Clock): void {
    this.clock = clock;
    this.stalledUntilMs = 0;
  }

  /** Loses power: a write in progress is torn. */
  losePower(): void {
    if (this.pendingWrite) {
      const { name, bytes, keptBytes } = this.pendingWrite;
      this.files.set(
        name,
        bytes.subarray(0, keptBytes + Math.floor(this.random() * (bytes.length - keptBytes))),
      );
      this.pendingWrite = undefined;
    }
  }

  /** Completes a write in progress, as when the process is killed but the machine keeps running. */
  finishWrites(): void {
    if (this.pendingWrite) this.files.set(this.pendingWrite.name, this.pendingWrite.bytes);
    this.pendingWrite = undefined;
  }

  /** Replaces the disk by an empty one. */
  wipe(): void {
    this.files.clear();
    this.pendingWrite = undefined;
  }

  /** The size of all files together, in bytes. */
  get usedBytes(): number {
    let bytes = 0;
    for (const file of this.files.values()) bytes += file.length;
    return bytes;
  }

  /** Returns a file's bytes at once, for tests; empty where there is no such file. */
  peek(name: string): Buffer {
    return this.files.get(name) ?? Buffer.alloc(0);
  }

  /** Replaces a file's bytes at once, for tests. */
  poke(name: string, bytes: Uint8Array): void {
    this.files.set(name, Buffer.from(bytes));
  }

  *read(name: string): Task<Uint8Array | undefined> {
    yield* this.waitForDisk();
    return this.files.get(name);
  }

  *list(): Task<string[]> {
    yield* this.waitForDisk();
    return [...this.files.keys()];
  }

  *write(name: string, bytes: Uint8Array): Task {
    yield* this.writeDurably(name, Buffer.from(bytes), 0);
  }

  *append(name: string, bytes: Uint8Array): Task {
    yield* this.writeDurably(name, Buffer.concat([this.peek(name), bytes]), this.peek(name).length);
  }

  *truncate(name: string, size: number): Task {
    yield* this.waitForDisk();
    this.files.set(name, this.peek(name).subarray(0, size));
  }

  *remove(name: string): Task {
    yield* this.waitForDisk();
    this.files.delete(name);
  }

  private *writeDurably(name: string, bytes: Buffer, keptBytes: number): Task {
    const addedBytes = bytes.length - this.peek(name).length;
    if (addedBytes > 0 && (this.isFull || this.usedBytes + addedBytes > this.capacityBytes))
      throw new DiskError("The disk is full.");
    this.pendingWrite = { name, bytes, keptBytes };
    yield* this.waitForDisk();
    this.pendingWrite = undefined;
    this.files.set(name, bytes);
  }

  private *waitForDisk(): Task {
    yield* sleep(
      this.clock,
      0.3 + this.random() * 2 + Math.max(0, this.stalledUntilMs - this.clock.nowMs()),
    );
  }
}
