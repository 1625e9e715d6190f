import type { LinkPacer } from "../runtime/link-pacer.js";

/** How fast the usual size of a route's responses follows those that are seen. */
const sizeRate = 0.1;
const mostRoutes = 4096;

/**
 * Decides whether a request whose response is usually large is taken: only where its response can leave in time, after all that is
 * queued on the link and all that requests in hand will bring. A request that can't make it is refused before it runs.
 */
export class BulkAdmission {
  private readonly egress: LinkPacer;
  private readonly heldBytes: number;
  private readonly sizes = new Map<string, number>();
  /** Bytes that responses to requests in hand are expected to have. */
  private expectedBytes = 0;

  /** `heldBytes`: responses up to this size arrive whole before they begin to leave. */
  constructor(egress: LinkPacer, heldBytes: number) {
    this.egress = egress;
    this.heldBytes = heldBytes;
  }

  /** Whether a response of the route's usual size can leave within the time; where no other is on its way it may always try. */
  admits(route: string, leftMs: number): boolean {
    const { egress, expectedBytes } = this;
    const bytes = this.usualBytes(route);
    if (bytes <= egress.smallBytes || expectedBytes + egress.bulkBytes < 1) return true;
    const arrivalMs = bytes <= this.heldBytes ? egress.transferMs(bytes) : 0;
    return arrivalMs + egress.waitMs(expectedBytes + bytes) <= leftMs;
  }

  /** Expects a response of the route's usual size; the function that is returned, called once or more, ends that. */
  expect(route: string): () => void {
    let bytes = this.usualBytes(route);
    if (bytes <= this.egress.smallBytes) return () => undefined;
    this.expectedBytes += bytes;
    return () => {
      this.expectedBytes -= bytes;
      bytes = 0;
    };
  }

  /** Learns how large a whole response of a route was. */
  learn(route: string, bytes: number): void {
    if (!this.egress.isPaced) return;
    const usual = this.sizes.get(route);
    if (usual === undefined && this.sizes.size >= mostRoutes) this.sizes.clear();
    this.sizes.set(route, usual === undefined ? bytes : usual + (bytes - usual) * sizeRate);
  }

  private usualBytes(route: string): number {
    return this.sizes.get(route) ?? 0;
  }
}
