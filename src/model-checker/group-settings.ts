/** The settings of a model-checked group: its members, clocks, timeouts and safety rules. */
import { safetyRules, type SafetyRules } from "../consensus/safety-rules.js";
import type { ElectionTimeouts } from "../consensus/state.js";
import { defaultReplicationTimeouts } from "../replication/replication-timeouts.js";

/** The settings of a model-checked group. */
export interface GroupSettings {
  readonly names: readonly string[];
  /** The number of voters at the start and the target afterwards; the other names start as learners. */
  readonly wantedVoters: number;
  readonly clockRates: readonly number[];
  /** The seed of the random election timeouts. */
  readonly seed: number;
  readonly timeouts: ElectionTimeouts;
  readonly replaceAfterMs: number;
  readonly responsiveAfterMs: number;
  readonly forgetAfterMs: number;
  /** The maximum number of entries in one append request. */
  readonly maxBatchEntries: number;
  readonly rules: SafetyRules;
}

/** The deviation of clock rates from 1; the lease and the election timeout tolerate 11% in each direction. */
const clockRateSpread = 0.08;

/** Creates the settings of a group with production's timeouts and rules, except for the given overrides. */
export function createGroupSettings(
  voters: number,
  spares: number,
  seed: number,
  override: { rules?: Partial<SafetyRules>; timeouts?: Partial<ElectionTimeouts> } = {},
): GroupSettings {
  const names = Array.from({ length: voters + spares }, (_, position) => `m${position + 1}`);
  const clockRates = names.map(
    (_, position) => 1 + clockRateSpread * (((seed + position * 2) % 3) - 1),
  );
  return {
    names,
    wantedVoters: voters,
    clockRates,
    seed,
    timeouts: { ...defaultReplicationTimeouts, ...override.timeouts },
    replaceAfterMs: defaultReplicationTimeouts.replaceAfterMs,
    responsiveAfterMs: defaultReplicationTimeouts.responsiveAfterMs,
    forgetAfterMs: defaultReplicationTimeouts.forgetAfterMs,
    maxBatchEntries: seed % 4 < 2 ? 1 : 8,
    rules: { ...safetyRules, ...override.rules },
  };
}
