import { expect, test } from "vitest";
import { Query } from "../../src/admin/query-parser.js";

test("lines are understood, and the first word that isn't is named", () => {
  expect(Query.read("move route reads to archive")).toEqual({
    query: { kind: "moveRoute", route: "reads", service: "archive" },
  });
  expect(Query.read("set goal reads 250ms tries 2")).toEqual({
    query: { kind: "setGoal", route: "reads", latencyMs: 250, furtherTries: 2 },
  });
  expect(Query.read("show heavy roads")).toEqual({
    fault: { word: "roads", expected: '"routes"' },
  });
  expect(Query.read("set goal reads fast")).toEqual({
    fault: { word: "fast", expected: "a latency such as 250ms" },
  });
  expect(Query.read("show routes now")).toEqual({
    fault: { word: "now", expected: "the end of the line" },
  });
  expect(Query.read("")).toMatchObject({ fault: { word: "(end of line)" } });
});
