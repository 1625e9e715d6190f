/** The outcomes of log commands, as their proposers get them in JSON. */
import type { IdempotencyClaim } from "./idempotency-claim.js";

/** What applying a log command resulted in; the field names travel. */
export type LogOutcome =
  /** Whether what the command names existed. */
  | { readonly known: boolean }
  /** The version of the configuration that was accepted. */
  | { readonly accepted: number }
  /** The active version, where a configuration builds on another one. */
  | { readonly lost: number }
  /** The number of the registration. */
  | { readonly number: number }
  /** The instance has a tombstone. */
  | { readonly gone: true }
  | { readonly claimed: true }
  /** The claim of another request. */
  | { readonly held: IdempotencyClaim }
  | Readonly<Record<string, never>>;
