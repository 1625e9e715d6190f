/** Admission control for large responses, by the capacity of the link to the clients. */
import type { LinkPacer } from "../runtime/link-pacer.js";

/** The weight of each response in the moving average of its route's response sizes. */
const SIZE_SMOOTHING = 0.1;
/** How many routes have an average; beyond that all are forgotten. */
const MAX_ROUTES = 4096;

/**
 * Decides whether a request with a large response on average is admitted: only where the response can be sent in time, after
 * all that is queued on the link and all that is expected for active requests. Others are refused before they run.
 */
export class BulkAdmission {
  private readonly egress: LinkPacer;
  private readonly maxBufferedBytes: number;
  private readonly averageSizes = new Map<string, number>();
  /** Bytes that the responses to active requests are expected to have. */
  private reservedBytes = 0;

  /** `maxBufferedBytes`: responses up to this size arrive whole before any of them is sent. */
  constructor(egress: LinkPacer, maxBufferedBytes: number) {
    this.egress = egress;
    this.maxBufferedBytes = maxBufferedBytes;
  }

  /** Whether a response of the route's average size can be sent within the time; always where no other large one is in transfer. */
  admits(route: string, leftMs: number): boolean {
    const { egress, reservedBytes: expectedBytes } = this;
    const bytes = this.averageBytes(route);
    if (bytes <= egress.smallBytes || expectedBytes + egress.bulkBytes < 1) return true;
    const arrivalMs = bytes <= this.maxBufferedBytes ? egress.transferMs(bytes) : 0;
    return arrivalMs + egress.estimateWaitMs(expectedBytes + bytes) <= leftMs;
  }

  /** Reserves capacity for a response of the route's average size; the returned function releases it, and may be called again. */
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
