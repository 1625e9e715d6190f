import { expect, test } from "vitest";
import { FrameError } from "../../src/rpc/frame.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { RequestCounts, RequestCountsFormat } from "../../src/retry-budget/request-counts.js";

test("counts travel between clocks that disagree, and cut bytes are refused", () => {
  const own = new RequestCounts(RequestCountsFormat.usual);
  for (let at = 0; at < 5000; at += 5) own.countAttempt(3, at % 50 === 0, 70_000 + at);
  const bytes = own.encode(75_000);
  const far = RequestCounts.decode(bytes, RequestCountsFormat.usual, 999_999_123, 40);
  const merged = RequestCounts.merge([far, far], RequestCountsFormat.usual, 999_999_123);
  expect(far.ofService(3, 999_999_123, 10_000).first).toBeGreaterThan(850);
  expect(merged.ofService(3, 999_999_123, 10_000).further).toBeGreaterThan(170);
  for (const size of [0, 10, bytes.length - 1])
    expect(() =>
      RequestCounts.decode(bytes.subarray(0, size), RequestCountsFormat.usual, 0, 0),
    ).toThrow(FrameError);
});
test("among ten thousand routes the heavy ones are told, and none that is lighter than the paper's bound allows", async () => {
  const random = RandomDraw.of(4);
  const edges = Array.from({ length: 3 }, () => new RequestCounts(RequestCountsFormat.usual));
  const heavy = [9, 4105, 8201, 12_297];
  const truth = new Map<number, number>();
  let all = 0;
  for (let at = 0; at < 12_000; at += 2) {
    const route =
      random() < 0.64 ? (heavy[Math.floor(random() * 4)] ?? 0) : 1 + Math.floor(random() * 10_000);
    edges[at % 3]?.countRoute(route, at);
    if (at < 2000) continue;
    truth.set(route, (truth.get(route) ?? 0) + 1);
    all += 1;
  }
  const merged = RequestCounts.merge(
    edges.map((edge) =>
      RequestCounts.decode(edge.encode(12_000), RequestCountsFormat.usual, 12_000, 0),
    ),
    RequestCountsFormat.usual,
    12_000,
  );
  const found = merged.heavyRoutes(0.1, 12_000, 10_000);
  for (const route of heavy) expect(found.map(({ item }) => item)).toContain(route);
  const cell = Math.sqrt(1 + RequestCountsFormat.usual.routes.epsilon) - 1;
  const bound = 2 * cell + cell * cell + cell + (2 * cell + cell * cell) * cell;
  for (const { item } of found) expect((truth.get(item) ?? 0) / all).toBeGreaterThan(0.1 - bound);
  expect(found.length).toBeLessThan(12);
});
