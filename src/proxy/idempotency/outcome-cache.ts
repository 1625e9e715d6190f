import type { Clock } from "../../runtime/clock.js";
import type { KeyedOutcome, KeyedRequest } from "./keyed-outcome.js";

interface KeptOutcome {
  readonly outcome: KeyedOutcome;
  readonly bytes: number;
  readonly keptMs: number;
}

/** How many bytes of responses one daemon keeps at most; beyond that the oldest go. */
export const OUTCOME_CACHE_BYTES = 8 * 1024 * 1024;
/** About what an entry takes beside its body and headers. */
const entryBytes = 200;

const bytesOf = (outcome: KeyedOutcome): number => {
  if (outcome.kind !== "ran") return entryBytes;
  const { headers, body } = outcome.response;
  let sum = entryBytes + body.length;
  for (const name in headers) sum += name.length + (headers[name]?.length ?? 0);
  return sum;
};

/** Outcomes of keyed requests in memory, for as long as their keys are held, and within a bound of bytes. */
export class OutcomeCache {
  private readonly clock: Clock;
  private readonly keepMs: number;
  private readonly mostBytes: number;
  /** By scope and request, the oldest first. */
  private readonly kept = new Map<string, KeptOutcome>();
  private heldBytes = 0;

  constructor(clock: Clock, keepMs: number, mostBytes = OUTCOME_CACHE_BYTES) {
    this.clock = clock;
    this.keepMs = keepMs;
    this.mostBytes = mostBytes;
  }

  /** How many bytes are held now. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** Notes an outcome in the place of what was known of that request. */
  note({ scope, job }: KeyedRequest, outcome: KeyedOutcome): void {
    const name = nameOf(scope, job);
    this.remove(name);
    const bytes = bytesOf(outcome);
    this.kept.set(name, { outcome, bytes, keptMs: this.clock.nowMs() });
    this.heldBytes += bytes;
    const oldestMs = this.clock.nowMs() - this.keepMs;
    for (const [oldest, { keptMs }] of this.kept) {
      if (this.heldBytes <= this.mostBytes && keptMs >= oldestMs) return;
      this.remove(oldest);
    }
  }

  find({ scope, job }: KeyedRequest): KeyedOutcome | undefined {
    return this.kept.get(nameOf(scope, job))?.outcome;
  }

  private remove(name: string): void {
    this.heldBytes -= this.kept.get(name)?.bytes ?? 0;
    this.kept.delete(name);
  }
}

const nameOf = (scope: string, job: string): string => `${scope} ${job}`;
