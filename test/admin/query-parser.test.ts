import { describe, expect, test } from "vitest";
import { parseQuery } from "../../src/admin/query-parser.js";

describe("parseQuery", () => {
  test("parses queries that change a route", () => {
    expect(parseQuery("move route reads to archive")).toEqual({
      query: { kind: "moveRoute", route: "reads", service: "archive" },
    });
    expect(parseQuery("set goal reads 250ms tries 2")).toEqual({
      query: { kind: "setGoal", route: "reads", latencyMs: 250, retryLimit: 2 },
    });
  });

  test("reports the first unexpected word and what was expected", () => {
    expect(parseQuery("show heavy roads")).toEqual({
      fault: { word: "roads", expected: '"routes"' },
    });
    expect(parseQuery("set goal reads fast")).toEqual({
      fault: { word: "fast", expected: "a latency such as 250ms" },
    });
    expect(parseQuery("show routes now")).toEqual({
      fault: { word: "now", expected: "the end of the line" },
    });
    expect(parseQuery("")).toMatchObject({ fault: { word: "(end of line)" } });
  });
});
