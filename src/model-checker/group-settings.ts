import { safetyRules, type SafetyRules } from "../consensus/safety-rules.js";
import type { ElectionTimeouts } from "../consensus/state.js";
import { defaultReplicationTimeouts } from "../replication/replication-timeouts.js";

/** What an explored group is made of. */
export interface GroupSettings {
  readonly names: readonly string[];
  /** How many of the names vote at first; the others are spares that learn. */
  readonly wantedVoters: number;
  readonly clockRates: readonly number[];
  /** Varies the election waits. */
  readonly seed: number;
  readonly timeouts: ElectionTimeouts;
  readonly replaceAfterMs: number;
  readonly responsiveAfterMs: number;
  readonly forgetAfterMs: number;
  /** How many entries one request carries at most. */
  readonly maxBatchEntries: number;
  readonly rules: SafetyRules;
}

/** How far clocks may differ: the lease and the election wait leave room for 11% each way. */
const clockRateSpread = 0.08;

/** A group with production's waits and rules. */
export function createGroupSettings(
  voters: number,
  spares: number,
  seed: number,
  change: { rules?: Partial<SafetyRules>; timeouts?: Partial<ElectionTimeouts> } = {},
): GroupSettings {
  const names = Array.from({ length: voters + spares }, (_, at) => `m${at + 1}`);
  const clockRates = names.map((_, at) => 1 + clockRateSpread * (((seed + at * 2) % 3) - 1));
  return {
    names,
    wantedVoters: voters,
    clockRates,
    seed,
    timeouts: { ...defaultReplicationTimeouts, ...change.timeouts },
    replaceAfterMs: defaultReplicationTimeouts.replaceAfterMs,
    responsiveAfterMs: defaultReplicationTimeouts.responsiveAfterMs,
    forgetAfterMs: defaultReplicationTimeouts.forgetAfterMs,
    maxBatchEntries: seed % 4 < 2 ? 1 : 8,
    rules: { ...safetyRules, ...change.rules },
  };
}
