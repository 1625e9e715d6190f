/** The claim of an idempotency key; the field names are stored and travel. */
export interface IdempotencyClaim {
  bodyHash: string;
  /** The request that has the key. */
  job: string;
  /** How the request ended, where a former build recorded it here; else `inHand`. */
  verdict: "inHand" | "ran" | "mayHaveRun";
  /** The daemons that know the outcome of the request, which isn't replicated. */
  holders?: readonly string[];
  /** The index of the log entry that made the claim. */
  atIndex: number;
}
