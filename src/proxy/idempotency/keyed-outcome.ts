import { create, record, string } from "superstruct";
import type { RpcMethod } from "../../rpc/rpc-method.js";
import type { DecodedMessage } from "../../rpc/rpc-endpoint.js";
import type { ClientResponse } from "../request-outcome.js";

/** Which request is meant: the scope of its key, and the name of the one that claimed it. */
export interface KeyedRequest {
  readonly scope: string;
  readonly job: string;
}

/**
 * What became of the request that claimed a key, as its daemon knows it: still in hand; ended without having run, which it never
 * will; run, with the response, or with one that is too large to be kept; or possibly run, its response lost.
 */
export type KeyedOutcome =
  | { readonly kind: "inHand" | "neverRan" | "ranNotKept" | "mayHaveRun" }
  | { readonly kind: "ran"; readonly response: ClientResponse };

/** An outcome as it travels; `unknown` where the daemon that is asked knows of no such request. */
export type OutcomeMessage = DecodedMessage<typeof RpcMethod.keyedOutcome.response>;

const kinds = ["unknown", "inHand", "neverRan", "ran", "ranNotKept", "mayHaveRun"] as const;
const headersShape = record(string(), string());
const noResponse = { code: 0, headers: "{}", body: new Uint8Array() };

const responseOf = ({ code, headers, body }: OutcomeMessage): ClientResponse => ({
  code,
  headers: create(JSON.parse(headers), headersShape),
  // A copy: the frame that it came in is let go.
  body: Uint8Array.from(body),
});

export const KeyedOutcome = {
  message(outcome: KeyedOutcome | undefined): OutcomeMessage {
    const state = kinds.indexOf(outcome?.kind ?? "unknown");
    if (outcome?.kind !== "ran") return { state, ...noResponse };
    const { code, headers, body } = outcome.response;
    return { state, code, headers: JSON.stringify(headers), body };
  },

  /** What a message says; undefined for `unknown`, and for a kind that only a later build knows. */
  read(message: OutcomeMessage): KeyedOutcome | undefined {
    const kind = kinds[message.state];
    if (kind === undefined || kind === "unknown") return undefined;
    return kind === "ran" ? { kind, response: responseOf(message) } : { kind };
  },
};
