import * as r from "restructure";
import { exactly } from "../link/frame.js";
import { numberLimit } from "../record/numbering.js";
import { DyadicSketch } from "./dyadicSketch.js";
import { EcmSketch, SketchMismatchError, type SketchForm } from "./ecmSketch.js";
import { stampOf } from "./exponentialHistogram.js";

/** The window in which a service's repeats are held against its requests. */
export const retryWindowMs = 10_000;

/** What every sketch of the fleet has in common. */
export interface CountsForm {
  readonly tries: SketchForm;
  readonly routes: SketchForm;
  readonly routeBits: number;
}

export const CountsForm = {
  /** Ours: a window twice the budget's, so that late counts still fall inside; as many routes as can have a number. */
  usual: {
    tries: { epsilon: 0.1, delta: 0.05, windowMs: 20_000, seed: 1 },
    routes: { epsilon: 0.2, delta: 0.1, windowMs: 20_000, seed: 101 },
    routeBits: Math.log2(numberLimit),
  },
};

const form = new r.Struct({ epsilon: r.double, delta: r.double, windowMs: r.uint32, seed: r.uint32 });
const histogram = new r.Struct({ floorAge: r.uint16, levels: new r.Array(new r.Array(r.uint16, r.uint16), r.uint8) });
const sketch = new r.Struct({ form, cells: new r.Array(new r.Struct({ cell: r.uint32, histogram }), r.uint16) });
const counts = new r.Struct({ tries: sketch, routes: new r.Array(sketch, r.uint8) });

/** First and further tries by service and requests by route, in a sliding window. */
export class Counts {
  readonly form: CountsForm;
  private readonly tries: EcmSketch;
  private readonly routes: DyadicSketch;

  constructor(form: CountsForm, tries?: EcmSketch, routes?: DyadicSketch) {
    this.form = form;
    this.tries = tries ?? new EcmSketch(form.tries);
    this.routes = routes ?? new DyadicSketch(form.routes, form.routeBits);
  }

  /** Counts a try sent to a back end of a service. */
  countTry(service: number, isFurther: boolean, nowMs: number): void {
    this.tries.add(service * 2 + (isFurther ? 1 : 0), stampOf(nowMs));
  }

  /** Counts a request taken on a route. */
  countRoute(route: number, nowMs: number): void {
    this.routes.add(route, stampOf(nowMs));
  }

  /** First and further tries of a service in the last `rangeMs`. */
  ofService(service: number, nowMs: number, rangeMs: number): { first: number; further: number } {
    const now = stampOf(nowMs);
    return { first: this.tries.estimate(service * 2, now, rangeMs), further: this.tries.estimate(service * 2 + 1, now, rangeMs) };
  }

  /** Routes that make up at least `phi` of all requests in the last `rangeMs`, by number. */
  heavyRoutes(phi: number, nowMs: number, rangeMs: number): Array<{ item: number; estimate: number }> {
    return this.routes.heavy(phi, stampOf(nowMs), rangeMs);
  }

  expire(nowMs: number): void {
    this.tries.expire(stampOf(nowMs));
    this.routes.expire(stampOf(nowMs));
  }

  encode(nowMs: number): Uint8Array {
    const now = stampOf(nowMs);
    return counts.toBuffer({ tries: this.tries.aged(now), routes: this.routes.aged(now) });
  }

  /** Reads counts that were on their way for `olderMs`; those of another form are refused. */
  static decode(bytes: Uint8Array, form: CountsForm, nowMs: number, olderMs: number): Counts {
    const held = exactly(counts, bytes);
    const now = stampOf(nowMs);
    if (held.routes.length !== form.routeBits) throw new SketchMismatchError("The sketch has another number of levels.");
    return new Counts(
      form,
      EcmSketch.ofAged(held.tries, form.tries, now, olderMs),
      DyadicSketch.ofAged(held.routes, form.routes, form.routeBits, now, olderMs),
    );
  }

  static merge(inputs: Counts[], form: CountsForm, nowMs: number): Counts {
    const now = stampOf(nowMs);
    return new Counts(
      form,
      EcmSketch.merge(
        inputs.map((input) => input.tries),
        form.tries,
        now,
      ),
      DyadicSketch.merge(
        inputs.map((input) => input.routes),
        form.routes,
        form.routeBits,
        now,
      ),
    );
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { FrameError } = await import("../link/frame.js");
  test("counts travel between clocks that disagree, and cut bytes are refused", () => {
    const own = new Counts(CountsForm.usual);
    for (let at = 0; at < 5000; at += 5) own.countTry(3, at % 50 === 0, 70_000 + at);
    const bytes = own.encode(75_000);
    const far = Counts.decode(bytes, CountsForm.usual, 999_999_123, 40);
    const merged = Counts.merge([far, far], CountsForm.usual, 999_999_123);
    expect(far.ofService(3, 999_999_123, 10_000).first).toBeGreaterThan(850);
    expect(merged.ofService(3, 999_999_123, 10_000).further).toBeGreaterThan(170);
    for (const size of [0, 10, bytes.length - 1]) expect(() => Counts.decode(bytes.subarray(0, size), CountsForm.usual, 0, 0)).toThrow(FrameError);
  });
  test("among ten thousand routes the heavy ones are told, and none that is lighter than the paper's bound allows", async () => {
    const { Draw } = await import("../rehearsal/draw.js");
    const random = Draw.of(4);
    const edges = Array.from({ length: 3 }, () => new Counts(CountsForm.usual));
    const heavy = [9, 4105, 8201, 12_297];
    const truth = new Map<number, number>();
    let all = 0;
    for (let at = 0; at < 12_000; at += 2) {
      const route = random() < 0.64 ? heavy[Math.floor(random() * 4)] ?? 0 : 1 + Math.floor(random() * 10_000);
      edges[at % 3]?.countRoute(route, at);
      if (at < 2000) continue;
      truth.set(route, (truth.get(route) ?? 0) + 1);
      all += 1;
    }
    const merged = Counts.merge(edges.map((edge) => Counts.decode(edge.encode(12_000), CountsForm.usual, 12_000, 0)), CountsForm.usual, 12_000);
    const found = merged.heavyRoutes(0.1, 12_000, 10_000);
    for (const route of heavy) expect(found.map(({ item }) => item)).toContain(route);
    const cell = Math.sqrt(1 + CountsForm.usual.routes.epsilon) - 1;
    const bound = 2 * cell + cell * cell + cell + (2 * cell + cell * cell) * cell;
    for (const { item } of found) expect((truth.get(item) ?? 0) / all).toBeGreaterThan(0.1 - bound);
    expect(found.length).toBeLessThan(12);
  });
}
