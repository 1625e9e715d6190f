import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { applyItemChanges } from "../../src/configuration/config-changes.js";
import { checkConfig } from "../../src/configuration/config-validation.js";
import { configText } from "../../src/configuration/config-serializer.js";

const nameArbitrary = fc.stringMatching(/^[a-z0-9._-]{1,6}$/).filter((one) => one !== "__proto__");
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
    originArbitrary: fc.jsonValue(),
  },
  { requiredKeys: [] },
);

/** A fast-check record has undefined fields and no prototype; what is read from a wire hasn't. */
const asParsedJson = (value: unknown): Record<string, never> => JSON.parse(JSON.stringify(value));

describe("configText", () => {
  test("the text of a configuration equals that of JSON.stringify, after any changes", () => {
    fc.assert(
      fc.property(
        fc.array(putArbitrary, { maxLength: 5 }),
        fc.array(nameArbitrary, { maxLength: 4 }),
        (puts, gone) => {
          let config: Record<string, unknown> = { services: { one: {} }, routes: {} };
          for (const one of puts) {
            config = applyItemChanges(config, asParsedJson(one), {
              services: [],
              routes: gone,
              goals: gone,
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
