/** One try that has ended, as the load balancer learns from it. */
export interface AttemptSample {
  readonly tookMs: number;
  readonly isWhole: boolean;
  readonly goalMs: number;
  readonly route?: string;
  /** How large the response was, where there was a whole one. */
  readonly bytes?: number | undefined;
}
