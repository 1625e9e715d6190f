/** The measurements of one attempt for the load balancer. */

/** The measurements of an attempt that has ended. */
export interface AttemptSample {
  readonly latencyMs: number;
  /** Whether a complete response was received. */
  readonly isComplete: boolean;
  /** The latency target of its route. */
  readonly latencyTargetMs: number;
  readonly route?: string;
  /** Size of the response; undefined if it was incomplete or streamed. */
  readonly responseBytes?: number | undefined;
}
