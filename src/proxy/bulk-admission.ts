/** Admission control for large responses by the capacity of the link to the clients. */
import type { LinkPacer } from "../runtime/link-pacer.js";

/** The weight of each response in the moving average of its route's response sizes. */
const SIZE_SMOOTHING = 0.1;
/** Maximum number of routes with an average; the table is cleared when it is full. */
const MAX_ROUTES = 4096;

/**
 * Admits a request whose route has large responses on average only if the response can be sent in time, behind the bytes
 * that are queued on the link and those reserved for active requests. Other requests are rejected before they run.
 */
export class BulkAdmission {
  private readonly egress: LinkPacer;
  private readonly maxBufferedBytes: number;
  private readonly averageSizes = new Map<string, number>();
  /** Expected total size of the responses to active requests. */
  private reservedBytes = 0;

  /** `maxBufferedBytes`: a response up to this size is received completely before its first byte is sent. */
  constructor(egress: LinkPacer, maxBufferedBytes: number) {
    this.egress = egress;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /**
   * Whether a response of the route's average size can be sent within the time. Always true if no other large response
   * is in transfer.
   */
  admits(route: string, remainingMs: number): boolean {
    const { egress, reservedBytes } = this;
    const bytes = this.averageBytes(route);
    if (bytes <= egress.smallBytes || reservedBytes + egress.bulkBytes < 1) return true;
    const arrivalMs = bytes <= this.maxBufferedBytes ? egress.transferMs(bytes) : 0;
    return arrivalMs + egress.estimateWaitMs(reservedBytes + bytes) <= remainingMs;
  }

  /**
   * Reserves capacity for a response of the route's average size. The returned function releases it, and is idempotent.
   */
  reserve(route: string): () => void {
    let bytes = this.averageBytes(route);
    if (bytes <= this.egress.smallBytes) return () => undefined;
    this.reservedBytes += bytes;
    return () => {
      this.reservedBytes -= bytes;
      bytes = 0;
    };
  }

  /** Adds the size of a complete response to the average of its route. */
  recordSize(route: string, bytes: number): void {
    if (!this.egress.isPaced) return;
    const average = this.averageSizes.get(route);
    if (average === undefined && this.averageSizes.size >= MAX_ROUTES) this.averageSizes.clear();
    this.averageSizes.set(
      route,
      average === undefined ? bytes : average + (bytes - average) * SIZE_SMOOTHING,
    );
  }

  private averageBytes(route: string): number {
    return this.averageSizes.get(route) ?? 0;
  }
}
