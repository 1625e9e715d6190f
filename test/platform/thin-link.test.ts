import { describe, expect, test } from "vitest";
import { ProxyFixture, success } from "./proxy-fixture.js";

/** The rate of the link, 400 bytes per millisecond, of which the pacer plans with 360. */
const linkMbps = 3.2;
const bytesPerMs = 360;
const fraction = /^\d+\.\d+$/;
const largeText = "x".repeat(200_000);

describe("request on a slow link", () => {
  test("one that the link would send only after the lease expires is not sent, and gets a Retry-After", () => {
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

  test("one is withdrawn if the queue on the link grows too long while its connection opens", () => {
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

  test("one is served if the queue on the link is short", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.pacers.egress.recordBytes(30 * bytesPerMs);
    expect(fixture.exchange("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
  });
});

describe("download on a slow link", () => {
  test("one that the link can't send in time is refused before it runs; short requests are still served", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.reply = ({ tryId, path }) =>
      success(tryId, path.startsWith("/download") ? largeText : "short");
    const download = (deadlineMs: number) =>
      fixture.exchange("GET", "/download/x", { "deadline-ms": String(deadlineMs) });
    expect(download(8000).code).toBe(200);
    const bulkTransfer = fixture.pacers.egress.begin(
      { transferClass: "response", dueMs: Infinity },
      20_000 * bytesPerMs,
    );
    const before = fixture.receivedRequests.length;
    const refused = download(8000);
    expect(refused.code).toBe(503);
    expect(refused.headers["retry-after"]).toMatch(fraction);
    expect(refused.tookMs).toBeLessThan(50);
    expect(fixture.receivedRequests).toHaveLength(before);
    expect(fixture.exchange("GET", "/safe/x", { "deadline-ms": "900" }).code).toBe(200);
    bulkTransfer.end();
    expect(download(8000).code).toBe(200);
  });

  test("downloads count before their first byte: of many concurrent ones, those that the link can't send in time are refused", () => {
    const fixture = ProxyFixture.create(2, { linkMbps });
    fixture.reply = ({ tryId }) => success(tryId, largeText, { waitMs: 100 });
    expect(fixture.exchange("GET", "/download/x", { "deadline-ms": "8000" }).code).toBe(200);
    const clients = Array.from({ length: 30 }, () =>
      fixture.send("GET", "/download/x", { "deadline-ms": "2000" }),
    );
    fixture.advance(1000);
    const servedCount = clients.filter(({ code }) => code === 200).length;
    expect(servedCount).toBeGreaterThan(0);
    expect(servedCount).toBeLessThanOrEqual((2000 * bytesPerMs) / largeText.length);
    expect(clients.filter(({ code }) => code === 503)).toHaveLength(30 - servedCount);
  });
});
