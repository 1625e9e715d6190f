/** A backend as the load balancer needs it. */

/** What the load balancer has to know of a backend; other fields are passed through. */
export interface Backend {
  /** IP:port. */
  readonly address: string;
  /** Distinguishes successive registrations at one address. */
  readonly number: number;
  readonly zone: string;
  /** Identifies one run of the backend's process; empty where it names none. */
  readonly instance: string;
  /** How many requests it serves concurrently; 0 where unknown. */
  readonly capacity: number;
  /** 0 to 1, as reported by a backend without instances. */
  readonly warmth: number;
  /** How long a backend with instances takes to warm up. */
  readonly warmMs: number;
}
