/** The outcomes of log commands, which their proposers get as JSON. */
import type { IdempotencyClaim } from "./idempotency-claim.js";

/** The outcome of applying a log command; its field names are part of the protocol. */
export type LogOutcome =
  /** Whether the object of the command existed. */
  | { readonly known: boolean }
  /** The version of the configuration that was accepted. */
  | { readonly accepted: number }
  /** The active version, where a rejected configuration isn't based on it. */
  | { readonly lost: number }
  /** The number of the registration. */
  | { readonly number: number }
  /** The instance has a tombstone. */
  | { readonly gone: true }
  | { readonly claimed: true }
  /** The claim of another request. */
  | { readonly held: IdempotencyClaim }
  | Readonly<Record<string, never>>;
