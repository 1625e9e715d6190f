import { describe, expect, test } from "vitest";
import { ProxyFixture, success } from "./proxy-fixture.js";

/** 3.2 Mbit/s: 360 bytes a millisecond are counted on. */
const linkMbps = 3.2;
const bytesPerMs = 360;
const fraction = /^\d+\.\d+$/;
const largeText = "x".repeat(200_000);

describe("request on a thin link", () => {
  test("one that would leave the link only after the lease expired is not sent, and gets a Retry-After", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.pacers.egress.recordBytes(3000 * bytesPerMs);
    const delayed = fixture.exchange("GET", "/safe/x", { "deadline-ms": "900" });
    expect(delayed.code).toBe(503);
    expect(delayed.headers["retry-after"]).toMatch(fraction);
    expect(delayed.tookMs).toBeLessThan(50);
    expect(fixture.receivedRequests).toEqual([]);
    fixture.advance(2500);
    expect(fixture.exchange("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
  });

  test("one for which the queue on the link grew too long while its connection opened is withdrawn", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.connectFailure = () => {
      fixture.pacers.egress.recordBytes(3000 * bytesPerMs);
      return undefined;
    };
    const client = fixture.exchange("POST", "/unsafe/x", { "deadline-ms": "900" });
    expect(client.code).toBe(503);
    expect(client.headers["retry-after"]).toMatch(fraction);
    expect(fixture.receivedRequests).toEqual([]);
  });

  test("a short queue on the link delays nothing", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.pacers.egress.recordBytes(30 * bytesPerMs);
    expect(fixture.exchange("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
  });
});

describe("download on a thin link", () => {
  test("one that can't be sent in time is refused before it runs; short requests are still served", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.reply = ({ tryId, path }) =>
      success(tryId, path.startsWith("/download") ? largeText : "short");
    const ask = (deadlineMs: number) =>
      fixture.exchange("GET", "/download/x", { "deadline-ms": String(deadlineMs) });
    expect(ask(8000).code).toBe(200);
    const many = fixture.pacers.egress.begin(
      { transferClass: "response", dueMs: Infinity },
      20_000 * bytesPerMs,
    );
    const before = fixture.receivedRequests.length;
    const refused = ask(8000);
    expect(refused.code).toBe(503);
    expect(refused.headers["retry-after"]).toMatch(fraction);
    expect(refused.tookMs).toBeLessThan(50);
    expect(fixture.receivedRequests).toHaveLength(before);
    expect(fixture.exchange("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
    many.end();
    expect(ask(8000).code).toBe(200);
  });

  test("active downloads count before their first byte: of many at once, those that can't be sent in time are refused", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.reply = ({ tryId }) => success(tryId, largeText, { waitMs: 100 });
    expect(fixture.exchange("GET", "/download/x", { "deadline-ms": "8000" }).code).toBe(200);
    const all = Array.from({ length: 30 }, () =>
      fixture.send("GET", "/download/x", { "deadline-ms": "2000" }),
    );
    fixture.advance(1000);
    const taken = all.filter(({ code }) => code === 200).length;
    expect(taken).toBeGreaterThan(0);
    expect(taken).toBeLessThanOrEqual((2000 * bytesPerMs) / largeText.length);
    expect(all.filter(({ code }) => code === 503)).toHaveLength(30 - taken);
  });
});
