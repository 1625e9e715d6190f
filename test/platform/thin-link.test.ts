import { expect, test } from "vitest";
import { DoorStage, success } from "./proxy-stage.js";

/** 3.2 Mbit/s: 360 bytes a millisecond are counted on. */
const linkMbps = 3.2;
const bytesPerMs = 360;
const fraction = /^\d+\.\d+$/;
const largeText = "x".repeat(200_000);

test("a request that would leave the link only after the lease has ended is not sent, and told when to come back", () => {
  const stage = DoorStage.ready(2, { linkMbps });
  stage.pacers.egress.note(3000 * bytesPerMs);
  const held = stage.ask("GET", "/safe/x", { "deadline-ms": "900" });
  expect(held.code).toBe(503);
  expect(held.headers["retry-after"]).toMatch(fraction);
  expect(held.tookMs).toBeLessThan(50);
  expect(stage.sent).toEqual([]);
  stage.wait(2500);
  expect(stage.ask("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
});

test("a request for which the queue on the link grew too long while its connection was opened is withdrawn", () => {
  const stage = DoorStage.ready(2, { linkMbps });
  stage.before = () => {
    stage.pacers.egress.note(3000 * bytesPerMs);
    return undefined;
  };
  const seen = stage.ask("POST", "/unsafe/x", { "deadline-ms": "900" });
  expect(seen.code).toBe(503);
  expect(seen.headers["retry-after"]).toMatch(fraction);
  expect(stage.sent).toEqual([]);
});

test("a short queue on the link holds nothing up", () => {
  const stage = DoorStage.ready(2, { linkMbps });
  stage.pacers.egress.note(30 * bytesPerMs);
  expect(stage.ask("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
});

test("a download that can't leave the link in time is refused before it runs; short requests are served on", () => {
  const stage = DoorStage.ready(2, { linkMbps });
  stage.act = ({ tryId, path }) =>
    success(tryId, path.startsWith("/download") ? largeText : "short");
  const ask = (deadlineMs: number) =>
    stage.ask("GET", "/download/x", { "deadline-ms": String(deadlineMs) });
  expect(ask(8000).code).toBe(200);
  const many = stage.pacers.egress.begin(
    { transferClass: "response", dueMs: Infinity },
    20_000 * bytesPerMs,
  );
  const before = stage.sent.length;
  const refused = ask(8000);
  expect(refused.code).toBe(503);
  expect(refused.headers["retry-after"]).toMatch(fraction);
  expect(refused.tookMs).toBeLessThan(50);
  expect(stage.sent).toHaveLength(before);
  expect(stage.ask("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
  many.end();
  expect(ask(8000).code).toBe(200);
});

test("downloads in hand count before their first byte: of many at once, those that can't make it are refused", () => {
  const stage = DoorStage.ready(2, { linkMbps });
  stage.act = ({ tryId }) => success(tryId, largeText, { waitMs: 100 });
  expect(stage.ask("GET", "/download/x", { "deadline-ms": "8000" }).code).toBe(200);
  const all = Array.from({ length: 30 }, () =>
    stage.send("GET", "/download/x", { "deadline-ms": "2000" }),
  );
  stage.wait(1000);
  const taken = all.filter(({ code }) => code === 200).length;
  expect(taken).toBeGreaterThan(0);
  expect(taken).toBeLessThanOrEqual((2000 * bytesPerMs) / largeText.length);
  expect(all.filter(({ code }) => code === 503)).toHaveLength(30 - taken);
});
