import { describe, expect, test } from "vitest";
import { endToEndHeaders } from "../../src/proxy/hop-by-hop-headers.js";

describe("end-to-end headers", () => {
  test("hop-by-hop headers, those that Connection names and reserved ones are removed", () => {
    const headers = {
      "x-own": "1",
      connection: "keep-alive, X-Named",
      "x-named": "2",
      te: "trailers",
      "content-length": "3",
      "x-daledoor-service": "forged",
    };
    expect(endToEndHeaders(headers)).toEqual({ "x-own": "1" });
  });

  test("the headers passed in are not modified", () => {
    const headers = { connection: "close", host: "shop.example" };
    expect(endToEndHeaders(headers)).toEqual({ host: "shop.example" });
    expect(headers).toEqual({ connection: "close", host: "shop.example" });
  });
});
