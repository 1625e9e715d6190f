/** The load balancer's interface of a backend. */

/** The fields of a backend that the load balancer uses; other fields are passed through. */
export interface Backend {
  /** IP:port. */
  readonly address: string;
  /** Distinguishes successive registrations at one address. */
  readonly number: number;
  readonly zone: string;
  /** Identifies one run of the backend's process; empty if the backend states none. */
  readonly instance: string;
  /** Number of requests that it serves concurrently; 0 if unknown. */
  readonly capacity: number;
  /** Warm-up progress from 0 to 1, as reported by a backend without an instance. */
  readonly warmth: number;
  /** Warm-up time of a backend with an instance, in ms. */
  readonly warmMs: number;
}
