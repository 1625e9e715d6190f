import { expect, test } from "vitest";
import { FrameError } from "../../src/rpc/frame.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import {
  RequestCounts,
  defaultRequestCountsFormat,
} from "../../src/retry-budget/request-counts.js";

test("counts are decoded by another clock, and truncated bytes are refused", () => {
  const own = new RequestCounts(defaultRequestCountsFormat);
  for (let atMs = 0; atMs < 5000; atMs += 5) own.countAttempt(3, atMs % 50 === 0, 70_000 + atMs);
  const bytes = own.encode(75_000);
  const received = RequestCounts.decode(bytes, defaultRequestCountsFormat, 999_999_123, 40);
  const merged = RequestCounts.merge([received, received], defaultRequestCountsFormat, 999_999_123);
  expect(received.ofService(3, 999_999_123, 10_000).firstAttempts).toBeGreaterThan(850);
  expect(merged.ofService(3, 999_999_123, 10_000).retries).toBeGreaterThan(170);
  for (const size of [0, 10, bytes.length - 1])
    expect(() =>
      RequestCounts.decode(bytes.subarray(0, size), defaultRequestCountsFormat, 0, 0),
    ).toThrow(FrameError);
});
test("among ten thousand routes the heavy ones are found, and none that is lighter than the paper's bound allows", async () => {
  const random = RandomDraw.of(4);
  const edges = Array.from({ length: 3 }, () => new RequestCounts(defaultRequestCountsFormat));
  const heavy = [9, 4105, 8201, 12_297];
  const truth = new Map<number, number>();
  let total = 0;
  for (let atMs = 0; atMs < 12_000; atMs += 2) {
    const route =
      random() < 0.64 ? (heavy[Math.floor(random() * 4)] ?? 0) : 1 + Math.floor(random() * 10_000);
    edges[atMs % 3]?.countRoute(route, atMs);
    if (atMs < 2000) continue;
    truth.set(route, (truth.get(route) ?? 0) + 1);
    total += 1;
  }
  const merged = RequestCounts.merge(
    edges.map((edge) =>
      RequestCounts.decode(edge.encode(12_000), defaultRequestCountsFormat, 12_000, 0),
    ),
    defaultRequestCountsFormat,
    12_000,
  );
  const found = merged.findHeavyRoutes(0.1, 12_000, 10_000);
  for (const route of heavy) expect(found.map(({ item }) => item)).toContain(route);
  const cell = Math.sqrt(1 + defaultRequestCountsFormat.routes.epsilon) - 1;
  const bound = 2 * cell + cell * cell + cell + (2 * cell + cell * cell) * cell;
  for (const { item } of found) expect((truth.get(item) ?? 0) / total).toBeGreaterThan(0.1 - bound);
  expect(found.length).toBeLessThan(12);
});
