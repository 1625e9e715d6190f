/** The memory of this process: its heap, and what the daemon's parts retain there. */
import { getHeapStatistics } from "node:v8";
import type { RetainedLog } from "../replication/retained-log.js";

/** What the daemon's parts retain in memory. */
export interface RetainedAmounts {
  /** The replicated log; undefined at a machine without a disk. */
  readonly log: RetainedLog | undefined;
  /** Outcomes of keyed requests, in bytes. */
  readonly outcomeBytes: number;
  /** Requests of clients that are being handled. */
  readonly requests: number;
}

/** The heap of this process, in MB. */
export interface HeapUsage {
  readonly usedMb: number;
  /** The size at which the process ends. */
  readonly limitMb: number;
  /** Buffers and strings outside the heap. */
  readonly externalMb: number;
}

const BYTES_PER_MB = 1024 * 1024;

const toMb = (bytes: number): number => Math.round((bytes / BYTES_PER_MB) * 10) / 10;

/** Reads the heap of this process. */
export const readHeapUsage = (): HeapUsage => {
  const { used_heap_size, heap_size_limit, external_memory } = getHeapStatistics();
  return {
    usedMb: toMb(used_heap_size),
    limitMb: toMb(heap_size_limit),
    externalMb: toMb(external_memory),
  };
};
