/** The outcome of a request with an idempotency key, and its encoding in RPC messages. */
import { create, record, string } from "superstruct";
import type { rpcMethods } from "../../rpc/rpc-method.js";
import type { DecodedMessage } from "../../rpc/rpc-endpoint.js";
import type { ClientResponse } from "../request-outcome.js";

/** A request that claimed a key. */
export interface KeyedRequest {
  /** Hash of the key and of what the key is unique within. */
  readonly scope: string;
  /** Identifies the request within the scope; called `job` in commands and RPC messages. */
  readonly requestId: string;
}

/**
 * The outcome of the request that claimed a key, as known to its daemon:
 *
 * - `inHand`: in progress.
 * - `neverRan`: ended without having run; it will never run.
 * - `ran`: ran, and its response is stored.
 * - `ranNotKept`: ran, and its response is not stored, for example because it is too large.
 * - `mayHaveRun`: may have run, and its response is lost.
 */
export type KeyedOutcome =
  | { readonly kind: "inHand" | "neverRan" | "ranNotKept" | "mayHaveRun" }
  | { readonly kind: "ran"; readonly response: ClientResponse };

/** An outcome in an RPC message; `unknown` if the daemon has no record of the request. */
export type OutcomeMessage = DecodedMessage<typeof rpcMethods.keyedOutcome.response>;

/** The kinds of outcomes; the index of each is its number in a message. */
const MESSAGE_KINDS = ["unknown", "inHand", "neverRan", "ran", "ranNotKept", "mayHaveRun"] as const;
const headersSchema = record(string(), string());
const EMPTY_RESPONSE = { code: 0, headers: "{}", body: new Uint8Array() };

const decodeResponse = ({ code, headers, body }: OutcomeMessage): ClientResponse => ({
  code,
  headers: create(JSON.parse(headers), headersSchema),
  // A copy, so that the frame that contains the body can be freed.
  body: Uint8Array.from(body),
});

/** Encodes an outcome as a message; undefined becomes `unknown`. */
export function encodeKeyedOutcome(outcome: KeyedOutcome | undefined): OutcomeMessage {
  const state = MESSAGE_KINDS.indexOf(outcome?.kind ?? "unknown");
  if (outcome?.kind !== "ran") return { state, ...EMPTY_RESPONSE };
  const { code, headers, body } = outcome.response;
  return { state, code, headers: JSON.stringify(headers), body };
}

/** Decodes the outcome in a message; undefined for `unknown` and for a kind that only a later version defines. */
export function decodeKeyedOutcome(message: OutcomeMessage): KeyedOutcome | undefined {
  const kind = MESSAGE_KINDS[message.state];
  if (kind === undefined || kind === "unknown") return undefined;
  return kind === "ran" ? { kind, response: decodeResponse(message) } : { kind };
}
