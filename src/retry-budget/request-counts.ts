import * as r from "restructure";
import { decodeExactly } from "../rpc/frame.js";
import { ID_LIMIT } from "../state/id-allocator.js";
import { DyadicSketch } from "../sketch/dyadic-sketch.js";
import { EcmSketch, SketchMismatchError, type SketchFormat } from "../sketch/ecm-sketch.js";
import { stampOf } from "../sketch/exponential-histogram.js";

/** The window in which a service's repeats are held against its requests. */
export const RETRY_WINDOW_MS = 10_000;

/** The longest window of a sketch: stamps wrap around. */
const longestWindowMs = 32_000;

/** What every sketch of the fleet has in common. */
export interface RequestCountsFormat {
  readonly tries: SketchFormat;
  readonly routes: SketchFormat;
  readonly routeBits: number;
}

export const RequestCountsFormat = {
  /** Ours: a window twice the budget's, so that late counts still fall inside; as many routes as can have a number. */
  usual: {
    tries: { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 1 },
    routes: { epsilon: 0.2, delta: 0.1, windowMs: 20_000, seed: 101 },
    routeBits: Math.log2(ID_LIMIT),
  },

  /** The usual form, for another window of the budget; as long as the stamps allow. */
  forWindow(retryMs: number): RequestCountsFormat {
    const { tries, routes, routeBits } = RequestCountsFormat.usual;
    const windowMs = Math.min(2 * retryMs, longestWindowMs);
    return { tries: { ...tries, windowMs }, routes: { ...routes, windowMs }, routeBits };
  },
};

const form = new r.Struct({
  epsilon: r.double,
  delta: r.double,
  windowMs: r.uint32,
  seed: r.uint32,
});
const histogram = new r.Struct({
  floorAge: r.uint16,
  levels: new r.Array(new r.Array(r.uint16, r.uint16), r.uint8),
});
const sketch = new r.Struct({
  form,
  cells: new r.Array(new r.Struct({ cell: r.uint32, histogram }), r.uint16),
});
const counts = new r.Struct({ tries: sketch, routes: new r.Array(sketch, r.uint8) });

/** First and further tries by service and requests by route, in a sliding window. */
export class RequestCounts {
  readonly form: RequestCountsFormat;
  private readonly tries: EcmSketch;
  private readonly routes: DyadicSketch;
  /** Whether requests by route are among them: they travel less often than tries do. */
  readonly hasRoutes: boolean;

  constructor(
    form: RequestCountsFormat,
    tries?: EcmSketch,
    routes?: DyadicSketch,
    hasRoutes = true,
  ) {
    this.form = form;
    this.tries = tries ?? new EcmSketch(form.tries);
    this.routes = routes ?? new DyadicSketch(form.routes, form.routeBits);
    this.hasRoutes = hasRoutes;
  }

  /** These tries with the routes of counts that came before, where these came without. */
  withRoutesOf(former: RequestCounts | undefined): RequestCounts {
    return this.hasRoutes || !former
      ? this
      : new RequestCounts(this.form, this.tries, former.routes, former.hasRoutes);
  }

  /** Counts a try sent to a backend of a service. */
  countAttempt(service: number, isFurther: boolean, nowMs: number): void {
    this.tries.add(service * 2 + (isFurther ? 1 : 0), stampOf(nowMs));
  }

  /** Counts a request taken on a route. */
  countRoute(route: number, nowMs: number): void {
    this.routes.add(route, stampOf(nowMs));
  }

  /** First and further tries of a service in the last `rangeMs`. */
  ofService(service: number, nowMs: number, rangeMs: number): { first: number; further: number } {
    const now = stampOf(nowMs);
    return {
      first: this.tries.estimate(service * 2, now, rangeMs),
      further: this.tries.estimate(service * 2 + 1, now, rangeMs),
    };
  }

  /** Routes that make up at least `phi` of all requests in the last `rangeMs`, by number. */
  heavyRoutes(
    phi: number,
    nowMs: number,
    rangeMs: number,
  ): Array<{ item: number; estimate: number }> {
    return this.routes.heavy(phi, stampOf(nowMs), rangeMs);
  }

  expire(nowMs: number): void {
    this.tries.expire(stampOf(nowMs));
    this.routes.expire(stampOf(nowMs));
  }

  /** As they travel, with or without routes. */
  encode(nowMs: number, withRoutes = true): Uint8Array {
    const now = stampOf(nowMs);
    return counts.toBuffer({
      tries: this.tries.aged(now),
      routes: withRoutes && this.hasRoutes ? this.routes.aged(now) : [],
    });
  }

  /** Reads counts that were on their way for `olderMs`; those of another form are refused. */
  static decode(
    bytes: Uint8Array,
    form: RequestCountsFormat,
    nowMs: number,
    olderMs: number,
  ): RequestCounts {
    const held = decodeExactly(counts, bytes);
    const now = stampOf(nowMs);
    const tries = EcmSketch.ofAged(held.tries, form.tries, now, olderMs);
    if (held.routes.length === 0) return new RequestCounts(form, tries, undefined, false);
    if (held.routes.length !== form.routeBits)
      throw new SketchMismatchError("The sketch has another number of levels.");
    return new RequestCounts(
      form,
      tries,
      DyadicSketch.ofAged(held.routes, form.routes, form.routeBits, now, olderMs),
    );
  }

  static merge(
    inputs: RequestCounts[],
    form: RequestCountsFormat,
    nowMs: number,
    withRoutes = true,
  ): RequestCounts {
    const now = stampOf(nowMs);
    const tries = (): EcmSketch =>
      EcmSketch.merge(
        inputs.map((input) => input.tries),
        form.tries,
        now,
      );
    if (!withRoutes) return new RequestCounts(form, tries(), undefined, false);
    return new RequestCounts(
      form,
      tries(),
      DyadicSketch.merge(
        inputs.flatMap((input) => (input.hasRoutes ? [input.routes] : [])),
        form.routes,
        form.routeBits,
        now,
      ),
    );
  }
}
