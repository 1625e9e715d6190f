/** Counters of the proxy, as the status page reports them. */
import type { ExecutionStatus, RequestOutcome } from "./request-outcome.js";

/**
 * Counts requests, their outcomes and their attempts since the daemon started. The status shows the fields under these
 * names.
 */
export class ProxyCounters {
  /** Requests received. */
  taken = 0;
  /** Responses by status code. */
  readonly byCode: Record<string, number> = {};
  /** Requests by execution status. */
  readonly byVerdict: Record<ExecutionStatus, number> = { neverRan: 0, mayHaveRun: 0, ran: 0 };
  /** First attempts sent. */
  firstTries = 0;
  /** Retries sent. */
  furtherTries = 0;
  /** Retries that the retry budget denied, by the part of the budget that denied them. */
  readonly furtherRefused = { sketch: 0, guard: 0 };
  /** Responses that were truncated while they were streamed. */
  cut = 0;

  /** Counts a request that arrived. */
  countRequest(): void {
    this.taken += 1;
  }

  /** Counts the outcome of a request. */
  countOutcome({ execution, response }: RequestOutcome): void {
    this.byVerdict[execution] += 1;
    if (response === "cut") this.cut += 1;
    if (typeof response === "string") return;
    this.byCode[response.code] = (this.byCode[response.code] ?? 0) + 1;
  }

  /** Counts an attempt right before its first byte is sent. */
  countAttempt(isRetry: boolean): void {
    if (isRetry) this.furtherTries += 1;
    else this.firstTries += 1;
  }

  /** Counts a retry that the retry budget denied. */
  countRefusedRetry(by: "sketch" | "guard"): void {
    this.furtherRefused[by] += 1;
  }
}
