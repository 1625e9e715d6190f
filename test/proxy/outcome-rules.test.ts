import { readFileSync } from "node:fs";
import { describe, expect, test } from "vitest";
import { findResponseHeadFault } from "../../src/proxy/upstream/response-validation.js";
import { type HeaderNames, defaultHeaderNames } from "../../src/proxy/header-names.js";
import { createFailureOutcome, mayRetry, outcomeRules } from "../../src/proxy/outcome-rules.js";

const strictHeaderNames: HeaderNames = {
  ...defaultHeaderNames,
  requestId: "name",
  requestIdEcho: "name",
  seal: "stamp",
  expectedInstance: "want",
  notRun: "unrun",
  proof: "request",
};

describe("rules of outcomes", () => {
  test("for each way in which an attempt can end: may it have run, were bytes sent, the connection, the client's status", () => {
    const rows = [...outcomeRules].map(
      ([cause, { execution, isSent, connection, clientStatus }]) =>
        `${cause} ${execution} ${isSent ? "sent" : "unsent"} ${connection} ${clientStatus}`,
    );
    expect(rows).toEqual([
      "refused neverRan unsent none 503",
      "foreign neverRan unsent none 503",
      "unreached neverRan unsent none 503",
      "withdrawn neverRan unsent keep 503",
      "lost mayHaveRun sent close 502",
      "late mayHaveRun sent close 504",
      "otherInstance neverRan sent keep 503",
      "notRun neverRan sent keep 503",
      "otherRequest mayHaveRun sent close 502",
      "bareRefusal mayHaveRun sent close 502",
      "noSeal mayHaveRun sent close 502",
      "encoded mayHaveRun sent close 502",
      "noLength mayHaveRun sent close 502",
      "bodyCut mayHaveRun sent close 502",
      "bodyTooLong mayHaveRun sent close 502",
      "answered mayHaveRun sent close 502",
      "whole ran sent keep backend",
      "streamed ran sent keep backend",
      "streamCut mayHaveRun sent close cut",
    ]);
  });

  test("only a request that never ran gets a status that promises so, and only that may be retried whatever its route", () => {
    for (const [cause, { execution, isSent, clientStatus }] of outcomeRules) {
      expect([cause, clientStatus === 503]).toEqual([cause, execution === "neverRan"]);
      if (!isSent) expect([cause, execution]).toEqual([cause, "neverRan"]);
    }
    for (const repeatable of [true, false]) {
      expect(mayRetry("neverRan", { repeatable })).toBe(true);
      expect(mayRetry("mayHaveRun", { repeatable })).toBe(repeatable);
      expect(mayRetry("ran", { repeatable })).toBe(repeatable);
    }
    expect(createFailureOutcome("late", 100)).toMatchObject({
      execution: "mayHaveRun",
      response: { code: 504 },
    });
    expect(createFailureOutcome("notRun", 100)).toMatchObject({
      execution: "neverRan",
      response: { code: 503 },
    });
  });
});

describe("validation of a response head", () => {
  test.each([
    ["its own success", 200, { name: "me", stamp: "s" }, undefined],
    ["its own failure needs no seal", 500, { name: "me" }, undefined],
    ["a success without the seal", 200, { name: "me" }, "noSeal"],
    ["another's success", 200, { name: "you", stamp: "s" }, "otherRequest"],
    ["nobody's success", 200, { stamp: "s" }, "otherRequest"],
    ["its own 421", 421, { name: "me" }, "otherInstance"],
    ["another's 421", 421, { name: "you" }, "otherRequest"],
    ["its own word that it didn't run", 503, { name: "me", unrun: "1" }, "notRun"],
    ["another's word that it didn't run", 503, { name: "you", unrun: "1" }, "otherRequest"],
    ["a 503 without that word", 503, { name: "me" }, "bareRefusal"],
    ["a 429 without that word", 429, { name: "me" }, "bareRefusal"],
    ["a 408 without that word", 408, { name: "me" }, "bareRefusal"],
    ["an encoded body", 200, { name: "me", stamp: "s", "content-encoding": "br" }, "encoded"],
  ] as const)("%s", (_what, code, headers, fault) => {
    const expected = { headerNames: strictHeaderNames, id: "me", echoHeader: "name" };
    expect(findResponseHeadFault({ code, headers }, expected)).toBe(fault);
  });
});

describe("documentation of outcomes", () => {
  test("docs/control.md has a row for each way in which an attempt can end", () => {
    const page = readFileSync(new URL("../../docs/control.md", import.meta.url), "utf8");
    const missing = [...outcomeRules.keys()].filter(
      (cause) =>
        !page.split("\n").some((line) => line.startsWith("|") && line.includes(`\`${cause}\``)),
    );
    expect(missing).toEqual([]);
  });
});
