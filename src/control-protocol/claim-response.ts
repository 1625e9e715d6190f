/** The response to the claim of an idempotency key. */
import {
  array,
  create,
  literal,
  object,
  optional,
  string,
  type,
  union,
  type Infer,
} from "superstruct";
import { fastValidator } from "../runtime/fast-validator.js";

const claimedShape = object({ claimed: literal(true) });

const claimResponseShape = union([
  claimedShape,
  /** The leader's table of claims is full. */
  object({ full: literal(true) }),
  /** Another request holds the key. */
  object({
    held: type({
      bodyHash: string(),
      job: string(),
      verdict: union([literal("inHand"), literal("ran"), literal("mayHaveRun")]),
      holders: optional(array(string())),
    }),
  }),
]);

/** The leader's response to the claim of an idempotency key. */
export type ClaimResponse = Infer<typeof claimResponseShape>;

const readClaimed = fastValidator(claimedShape);

/** Reads the text of a response. */
export function readClaimResponse(text: string): ClaimResponse {
  const value: unknown = JSON.parse(text);
  return typeof value === "object" && value !== null && "claimed" in value
    ? readClaimed(value)
    : create(value, claimResponseShape);
}
