/** Sketches that count attempts by service and requests by route, and their layout in messages. */
import * as r from "restructure";
import { decodeExactly } from "../rpc/frame.js";
import { ID_LIMIT } from "../state/id-allocator.js";
import { DyadicSketch, type HeavyItem } from "../sketch/dyadic-sketch.js";
import { EcmSketch, SketchMismatchError, type SketchFormat } from "../sketch/ecm-sketch.js";
import { stampOf } from "../sketch/exponential-histogram.js";

/** Default window over which a service's retries are compared with its requests. */
export const RETRY_WINDOW_MS = 10_000;

/** Longest window of a sketch, limited by the wrap-around of its stamps. */
const MAX_WINDOW_MS = 32_000;

/** Sketch formats that all daemons of a cluster share. */
export interface RequestCountsFormat {
  /** Format of the sketch of attempts by service. */
  readonly attempts: SketchFormat;
  /** Format of the sketch of requests by route. */
  readonly routes: SketchFormat;
  /** Number of bits of a route id. */
  readonly routeBits: number;
}

/** Default formats: the window is twice the retry budget's, so that delayed counts still fall inside; `routeBits` covers all ids. */
export const defaultRequestCountsFormat = {
  attempts: { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 1 },
  routes: { epsilon: 0.2, delta: 0.1, windowMs: 20_000, seed: 101 },
  routeBits: Math.log2(ID_LIMIT),
};

/** The default formats for another window of the retry budget, limited to `MAX_WINDOW_MS`. */
export function createRequestCountsFormat(retryWindowMs: number): RequestCountsFormat {
  const { attempts, routes, routeBits } = defaultRequestCountsFormat;
  const windowMs = Math.min(2 * retryWindowMs, MAX_WINDOW_MS);
  return { attempts: { ...attempts, windowMs }, routes: { ...routes, windowMs }, routeBits };
}

/** First attempts and retries of a service. */
export interface AttemptCounts {
  readonly firstAttempts: number;
  readonly retries: number;
}

const formatStruct = new r.Struct({
  epsilon: r.double,
  delta: r.double,
  windowMs: r.uint32,
  seed: r.uint32,
});
const histogramStruct = new r.Struct({
  floorAge: r.uint16,
  levels: new r.Array(new r.Array(r.uint16, r.uint16), r.uint8),
});
const sketchStruct = new r.Struct({
  format: formatStruct,
  cells: new r.Array(new r.Struct({ cell: r.uint32, histogram: histogramStruct }), r.uint16),
});
const countsStruct = new r.Struct({
  attempts: sketchStruct,
  routes: new r.Array(sketchStruct, r.uint8),
});

/** Item of the attempt sketch for a service's first attempts or its retries. */
const attemptItem = (serviceId: number, isRetry: boolean): number =>
  serviceId * 2 + (isRetry ? 1 : 0);

/** First attempts and retries by service and requests by route, in a sliding window. */
export class RequestCounts {
  readonly format: RequestCountsFormat;
  private readonly attempts: EcmSketch;
  private readonly routes: DyadicSketch;
  /** Whether requests by route are included; they are sent less often than attempts. */
  readonly hasRoutes: boolean;

  constructor(
    format: RequestCountsFormat,
    attempts = new EcmSketch(format.attempts),
    routes = new DyadicSketch(format.routes, format.routeBits),
    hasRoutes = true,
  ) {
    this.format = format;
    this.attempts = attempts;
    this.routes = routes;
    this.hasRoutes = hasRoutes;
  }

  /** These counts, with the previous route counts if they have none. */
  withRoutesOf(previous: RequestCounts | undefined): RequestCounts {
    return this.hasRoutes || !previous
      ? this
      : new RequestCounts(this.format, this.attempts, previous.routes, previous.hasRoutes);
  }

  /** Counts an attempt sent to a backend of a service. */
  countAttempt(serviceId: number, isRetry: boolean, nowMs: number): void {
    this.attempts.add(attemptItem(serviceId, isRetry), stampOf(nowMs));
  }

  /** Counts a request on a route. */
  countRoute(routeId: number, nowMs: number): void {
    this.routes.add(routeId, stampOf(nowMs));
  }

  /** First attempts and retries of a service in the last `rangeMs`. */
  ofService(serviceId: number, nowMs: number, rangeMs: number): AttemptCounts {
    const now = stampOf(nowMs);
    return {
      firstAttempts: this.attempts.estimate(attemptItem(serviceId, false), now, rangeMs),
      retries: this.attempts.estimate(attemptItem(serviceId, true), now, rangeMs),
    };
  }

  /** Ids of the routes with at least the fraction `phi` of all requests in the last `rangeMs`. */
  findHeavyRoutes(phi: number, nowMs: number, rangeMs: number): HeavyItem[] {
    return this.routes.findHeavyItems(phi, stampOf(nowMs), rangeMs);
  }

  /** Drops counts that are older than the window. */
  expire(nowMs: number): void {
    this.attempts.expire(stampOf(nowMs));
    this.routes.expire(stampOf(nowMs));
  }

  /** Encodes the counts for a message, with or without routes. */
  encode(nowMs: number, withRoutes = true): Uint8Array {
    const now = stampOf(nowMs);
    return countsStruct.toBuffer({
      attempts: this.attempts.agedForm(now),
      routes: withRoutes && this.hasRoutes ? this.routes.agedForm(now) : [],
    });
  }

  /** Decodes counts that were in transit for `olderMs`. Throws a `SketchMismatchError` if their format differs. */
  static decode(
    bytes: Uint8Array,
    format: RequestCountsFormat,
    nowMs: number,
    olderMs: number,
  ): RequestCounts {
    const decoded = decodeExactly(countsStruct, bytes);
    const now = stampOf(nowMs);
    const attempts = EcmSketch.fromAged(decoded.attempts, format.attempts, now, olderMs);
    if (decoded.routes.length === 0) return new RequestCounts(format, attempts, undefined, false);
    if (decoded.routes.length !== format.routeBits)
      throw new SketchMismatchError(
        `route sketch has ${decoded.routes.length} levels, expected ${format.routeBits}`,
      );
    return new RequestCounts(
      format,
      attempts,
      DyadicSketch.fromAged(decoded.routes, format.routes, format.routeBits, now, olderMs),
    );
  }

  /** Merges counts, with or without routes. */
  static merge(
    inputs: RequestCounts[],
    format: RequestCountsFormat,
    nowMs: number,
    withRoutes = true,
  ): RequestCounts {
    const now = stampOf(nowMs);
    const attempts = EcmSketch.merge(
      inputs.map((input) => input.attempts),
      format.attempts,
      now,
    );
    if (!withRoutes) return new RequestCounts(format, attempts, undefined, false);
    const routes = DyadicSketch.merge(
      inputs.flatMap((input) => (input.hasRoutes ? [input.routes] : [])),
      format.routes,
      format.routeBits,
      now,
    );
    return new RequestCounts(format, attempts, routes);
  }
}
