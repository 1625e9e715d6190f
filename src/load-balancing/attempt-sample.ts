/** What the load balancer learns from one attempt. */

/** An attempt that has ended. */
export interface AttemptSample {
  readonly latencyMs: number;
  /** Whether a complete response came. */
  readonly isComplete: boolean;
  /** The latency target of its route. */
  readonly latencyTargetMs: number;
  readonly route?: string;
  /** Size of the response, where it was complete. */
  readonly responseBytes?: number | undefined;
}
