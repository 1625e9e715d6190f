import { describe, expect, test } from "vitest";
import {
  unavailableOutcome,
  forwardedOutcome,
  type ClientResponse,
} from "../../src/proxy/request-outcome.js";
import { withJitteredRetryAfter } from "../../src/proxy/retry-after.js";

const response: ClientResponse = { code: 503, headers: { own: "1" }, body: new Uint8Array() };

describe("spread of Retry-After", () => {
  test.each([
    [0, "0.075"],
    [0.5, "0.100"],
    [1, "0.125"],
  ])("with a draw of %f, a delay of 100 ms is stated as %s s", (draw, stated) => {
    const outcome = unavailableOutcome("busy", 100);
    expect(withJitteredRetryAfter(outcome, response, () => draw).headers).toEqual({
      own: "1",
      "retry-after": stated,
    });
  });

  test("an outcome without a delay leaves its response as it is, and draws nothing", () => {
    let draws = 0;
    const random = (): number => (draws += 1);
    const outcome = forwardedOutcome(response);
    expect(withJitteredRetryAfter(outcome, response, random)).toBe(response);
    expect(draws).toBe(0);
  });
});
