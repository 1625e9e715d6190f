import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { applyItemChanges } from "../../src/configuration/config-changes.js";
import { checkConfig } from "../../src/configuration/config-validation.js";
import { configText } from "../../src/configuration/config-serializer.js";

const nameArbitrary = fc
  .stringMatching(/^[a-z0-9._-]{1,6}$/)
  .filter((name) => name !== "__proto__");
const originArbitrary = fc.option(fc.jsonValue(), { nil: undefined });
const routeArbitrary = fc.record(
  {
    match: fc.record({ path: fc.constantFrom("/a/*", "/b", "/ünïcode/*") }),
    service: fc.constant("one"),
    priority: fc.nat(9),
    origin: originArbitrary,
  },
  { requiredKeys: ["match", "service"] },
);
const putArbitrary = fc.record(
  {
    services: fc.dictionary(
      nameArbitrary,
      fc.record({ inHand: fc.nat(9), origin: originArbitrary }),
    ),
    routes: fc.dictionary(nameArbitrary, routeArbitrary),
    goals: fc.dictionary(nameArbitrary, fc.record({ latencyMs: fc.integer({ min: 1, max: 9 }) })),
    limits: fc.record({ bodyBytes: fc.nat(1000) }),
    origin: fc.jsonValue(),
  },
  { requiredKeys: [] },
);

/** Removes undefined fields and restores the prototype, which fast-check's records lack and parsed JSON has. */
const asParsedJson = (value: unknown): Record<string, never> => JSON.parse(JSON.stringify(value));

describe("configText", () => {
  test("the serialized text equals that of JSON.stringify after arbitrary changes", () => {
    fc.assert(
      fc.property(
        fc.array(putArbitrary, { maxLength: 5 }),
        fc.array(nameArbitrary, { maxLength: 4 }),
        (putSequence, removedNames) => {
          let config: Record<string, unknown> = { services: { one: {} }, routes: {} };
          for (const changes of putSequence) {
            config = applyItemChanges(config, asParsedJson(changes), {
              services: [],
              routes: removedNames,
              goals: removedNames,
            });
            const checked = checkConfig(config);
            if ("faults" in checked) continue;
            expect(configText(checked.config)).toBe(JSON.stringify(checked.config));
          }
        },
      ),
      { seed: 11, numRuns: 300 },
    );
  });
});
