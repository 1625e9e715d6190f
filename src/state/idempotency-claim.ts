/** The claim of an idempotency key; its field names are stored and part of the protocol. */
export interface IdempotencyClaim {
  bodyHash: string;
  /** The request that holds the key. */
  job: string;
  /** The outcome of the request, if an older build recorded it here; otherwise `inHand`. */
  verdict: "inHand" | "ran" | "mayHaveRun";
  /** The daemons that store the outcome of the request, which isn't replicated. */
  holders?: readonly string[];
  /** The index of the log entry that created the claim. */
  atIndex: number;
}
