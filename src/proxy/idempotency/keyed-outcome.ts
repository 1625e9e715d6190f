/** The outcome of a request with an idempotency key, and its encoding in RPC messages. */
import { create, record, string } from "superstruct";
import type { rpcMethods } from "../../rpc/rpc-method.js";
import type { DecodedMessage } from "../../rpc/rpc-endpoint.js";
import type { ClientResponse } from "../request-outcome.js";

/** A request that claimed a key. */
export interface KeyedRequest {
  /** The hash of the key and of what it is unique within. */
  readonly scope: string;
  /** The claiming request among all of that scope; `job` in commands and RPC messages. */
  readonly requestId: string;
}

/**
 * The outcome of the request that claimed a key, as its daemon knows it: in progress (`inHand`); ended without having run,
 * which it never will (`neverRan`); run, with its response (`ran`) or with one that is too large to be stored
 * (`ranNotKept`); or possibly run, its response lost (`mayHaveRun`).
 */
export type KeyedOutcome =
  | { readonly kind: "inHand" | "neverRan" | "ranNotKept" | "mayHaveRun" }
  | { readonly kind: "ran"; readonly response: ClientResponse };

/** An outcome in an RPC message; `unknown` where the daemon has no record of the request. */
export type OutcomeMessage = DecodedMessage<typeof rpcMethods.keyedOutcome.response>;

/** By the number that stands for each in a message. */
const MESSAGE_KINDS = ["unknown", "inHand", "neverRan", "ran", "ranNotKept", "mayHaveRun"] as const;
const headersSchema = record(string(), string());
const EMPTY_RESPONSE = { code: 0, headers: "{}", body: new Uint8Array() };

const decodeResponse = ({ code, headers, body }: OutcomeMessage): ClientResponse => ({
  code,
  headers: create(JSON.parse(headers), headersSchema),
  // A copy, so that the frame it came in can be freed.
  body: Uint8Array.from(body),
});

/** The message that states an outcome, or `unknown` for undefined. */
export function encodeKeyedOutcome(outcome: KeyedOutcome | undefined): OutcomeMessage {
  const state = MESSAGE_KINDS.indexOf(outcome?.kind ?? "unknown");
  if (outcome?.kind !== "ran") return { state, ...EMPTY_RESPONSE };
  const { code, headers, body } = outcome.response;
  return { state, code, headers: JSON.stringify(headers), body };
}

/** The outcome that a message states; undefined for `unknown`, and for a kind that only a later build knows. */
export function decodeKeyedOutcome(message: OutcomeMessage): KeyedOutcome | undefined {
  const kind = MESSAGE_KINDS[message.state];
  if (kind === undefined || kind === "unknown") return undefined;
  return kind === "ran" ? { kind, response: decodeResponse(message) } : { kind };
}
