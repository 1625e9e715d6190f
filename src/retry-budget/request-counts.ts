/** Sketches of how often services were sent attempts and routes were requested, and their layout as they travel. */
import * as r from "restructure";
import { decodeExactly } from "../rpc/frame.js";
import { ID_LIMIT } from "../state/id-allocator.js";
import { DyadicSketch, type HeavyItem } from "../sketch/dyadic-sketch.js";
import { EcmSketch, SketchMismatchError, type SketchFormat } from "../sketch/ecm-sketch.js";
import { stampOf } from "../sketch/exponential-histogram.js";

/** The default window in which a service's retries are compared with its requests. */
export const RETRY_WINDOW_MS = 10_000;

/** The longest window of a sketch: its stamps wrap around. */
const MAX_WINDOW_MS = 32_000;

/** What all sketches of a cluster have in common. */
export interface RequestCountsFormat {
  /** The sketch of attempts by service. */
  readonly attempts: SketchFormat;
  /** The sketch of requests by route. */
  readonly routes: SketchFormat;
  /** How many bits the number of a route has. */
  readonly routeBits: number;
}

/** The default: a window twice the retry budget's, so that late counts still fall inside, and as many routes as there are numbers. */
export const defaultRequestCountsFormat = {
  attempts: { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 1 },
  routes: { epsilon: 0.2, delta: 0.1, windowMs: 20_000, seed: 101 },
  routeBits: Math.log2(ID_LIMIT),
};

/** The default format for another window of the retry budget; as long as the stamps allow. */
export function createRequestCountsFormat(retryWindowMs: number): RequestCountsFormat {
  const { attempts: tries, routes, routeBits } = defaultRequestCountsFormat;
  const windowMs = Math.min(2 * retryWindowMs, MAX_WINDOW_MS);
  return { attempts: { ...tries, windowMs }, routes: { ...routes, windowMs }, routeBits };
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

/** The item that stands for a service's first attempts or its retries in the sketch of attempts. */
const attemptItem = (serviceNumber: number, isRetry: boolean): number =>
  serviceNumber * 2 + (isRetry ? 1 : 0);

/** First attempts and retries by service and requests by route, in a sliding window. */
export class RequestCounts {
  readonly format: RequestCountsFormat;
  private readonly attempts: EcmSketch;
  private readonly routes: DyadicSketch;
  /** Whether requests by route are included: they travel less often than attempts do. */
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

  /** These counts with the routes of former ones, where these have none. */
  withRoutesOf(former: RequestCounts | undefined): RequestCounts {
    return this.hasRoutes || !former
      ? this
      : new RequestCounts(this.format, this.attempts, former.routes, former.hasRoutes);
  }

  /** Counts an attempt sent to a backend of a service. */
  countAttempt(service: number, isRetry: boolean, nowMs: number): void {
    this.attempts.add(attemptItem(service, isRetry), stampOf(nowMs));
  }

  /** Counts a request on a route. */
  countRoute(route: number, nowMs: number): void {
    this.routes.add(route, stampOf(nowMs));
  }

  /** First attempts and retries of a service in the last `rangeMs`. */
  ofService(service: number, nowMs: number, rangeMs: number): AttemptCounts {
    const now = stampOf(nowMs);
    return {
      firstAttempts: this.attempts.estimate(attemptItem(service, false), now, rangeMs),
      retries: this.attempts.estimate(attemptItem(service, true), now, rangeMs),
    };
  }

  /** Routes that make up at least the part `phi` of all requests in the last `rangeMs`, by number. */
  findHeavyRoutes(phi: number, nowMs: number, rangeMs: number): HeavyItem[] {
    return this.routes.findHeavyItems(phi, stampOf(nowMs), rangeMs);
  }

  /** Drops what is older than the window. */
  expire(nowMs: number): void {
    this.attempts.expire(stampOf(nowMs));
    this.routes.expire(stampOf(nowMs));
  }

  /** The bytes that travel, with or without routes. */
  encode(nowMs: number, withRoutes = true): Uint8Array {
    const now = stampOf(nowMs);
    return countsStruct.toBuffer({
      attempts: this.attempts.agedForm(now),
      routes: withRoutes && this.hasRoutes ? this.routes.agedForm(now) : [],
    });
  }

  /** Decodes counts that were in transit for `olderMs`. Throws a `SketchMismatchError` for those of another format. */
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
      throw new SketchMismatchError("The sketch has another number of levels.");
    return new RequestCounts(
      format,
      attempts,
      DyadicSketch.fromAged(decoded.routes, format.routes, format.routeBits, now, olderMs),
    );
  }

  /** Merges counts; without routes, where those of the inputs aren't wanted. */
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
