/** What the load balancer must know of a backend; whatever else a caller keeps of it is passed through. */
export interface Backend {
  /** IP:port. */
  readonly address: string;
  /** Tells registrations apart that follow one another at one address. */
  readonly number: number;
  readonly zone: string;
  /** One life of the backend, or empty where it doesn't name its lives. */
  readonly instance: string;
  /** How many requests it works on at a time; 0 where it hasn't said. */
  readonly capacity: number;
  /** 0 to 1, as told by a backend without instances. */
  readonly warmth: number;
  /** How long after its start a backend with instances is slow. */
  readonly warmMs: number;
}
