/** Idempotency claims: which request has each idempotency key, and which daemons know its outcome. */
import { array, define, string } from "superstruct";
import type { IdempotencyClaim } from "./idempotency-claim.js";
import type { LogCommandOf } from "./log-command.js";
import type { LogOutcome } from "./log-outcome.js";

/** How many claims are retained; beyond that new ones are refused, so that a snapshot fits a frame and is made within a lease. */
export const MAX_IDEMPOTENCY_CLAIMS = 40_000;

/** A claim under its scope: the idempotency key and what it applies to. */
export interface StoredClaim {
  readonly scope: string;
  readonly claim: IdempotencyClaim;
}

const holdersShape = array(string());

const isVerdict = (value: unknown): value is IdempotencyClaim["verdict"] =>
  value === "inHand" || value === "ran" || value === "mayHaveRun";

const isClaim = (value: unknown): value is IdempotencyClaim =>
  typeof value === "object" &&
  value !== null &&
  "bodyHash" in value &&
  typeof value.bodyHash === "string" &&
  "job" in value &&
  typeof value.job === "string" &&
  "verdict" in value &&
  isVerdict(value.verdict) &&
  "atIndex" in value &&
  typeof value.atIndex === "number" &&
  (!("holders" in value) || holdersShape.is(value.holders));

const isStoredClaim = (value: unknown): value is StoredClaim =>
  typeof value === "object" &&
  value !== null &&
  "scope" in value &&
  typeof value.scope === "string" &&
  "claim" in value &&
  isClaim(value.claim);

/** The stored shape of the table; it is large, so that plain code checks it. */
export const claimsShape = define<StoredClaim[]>(
  "keys",
  (value) => Array.isArray(value) && value.every(isStoredClaim),
);

/** A claim without the fields that a former build stored beside it. */
const withoutLegacyFields = ({
  bodyHash,
  job,
  verdict,
  holders,
  atIndex,
}: IdempotencyClaim): IdempotencyClaim => ({
  bodyHash,
  job,
  verdict,
  ...(holders ? { holders } : {}),
  atIndex,
});

/** The claims by scope. */
export class IdempotencyClaimTable {
  private claims = new Map<string, IdempotencyClaim>();

  /** The claims by scope. */
  get byScope(): ReadonlyMap<string, IdempotencyClaim> {
    return this.claims;
  }

  /** The stored form of the table. */
  toStored(): StoredClaim[] {
    return [...this.claims].map(([scope, claim]) => ({ scope, claim }));
  }

  /** Takes over stored claims. */
  restore(toStored: readonly StoredClaim[]): void {
    this.claims = new Map(toStored.map(({ scope, claim }) => [scope, withoutLegacyFields(claim)]));
  }

  /** Applies a log command. */
  apply(
    index: number,
    command: LogCommandOf<"claim" | "settle" | "release" | "forget">,
  ): LogOutcome {
    switch (command.kind) {
      case "claim":
        return this.claim(index, command);
      case "settle":
        return this.settle(command);
      case "release":
        return this.release(command);
      case "forget":
        return this.expire(command);
    }
  }

  private claim(
    index: number,
    { scope, bodyHash, job, holders, replaces }: LogCommandOf<"claim">,
  ): LogOutcome {
    const current = this.claims.get(scope);
    if (current?.job === job) return { claimed: true };
    if (current && current.job !== replaces) return { held: current };
    this.claims.set(scope, {
      bodyHash,
      job,
      verdict: "inHand",
      ...(holders ? { holders } : {}),
      atIndex: index,
    });
    return { claimed: true };
  }

  private settle({ scope, job, verdict }: LogCommandOf<"settle">): LogOutcome {
    const current = this.claims.get(scope);
    if (current?.job !== job) return { known: false };
    this.claims.set(scope, { ...current, verdict });
    return { known: true };
  }

  private release({ scope, job }: LogCommandOf<"release">): LogOutcome {
    const current = this.claims.get(scope);
    if (current?.job === job && current.verdict === "inHand") this.claims.delete(scope);
    return { known: true };
  }

  private expire({ scopes, upTo }: LogCommandOf<"forget">): LogOutcome {
    for (const scope of scopes)
      if ((this.claims.get(scope)?.atIndex ?? Infinity) <= upTo) this.claims.delete(scope);
    return { known: true };
  }
}
