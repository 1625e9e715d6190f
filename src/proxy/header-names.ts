/** The names of the headers between clients, the proxy and backends. An adapter can replace them. */

/** Header names in lower case, and the options of the protocol that uses them. */
export interface HeaderNames {
  /** Request header with the client's id of its attempt. If undefined, the proxy generates the id. */
  readonly clientRequestId: string | undefined;
  /** Request header with the attempt's id, sent to the backend. */
  readonly requestId: string;
  /** Response header in which a backend repeats that id. */
  readonly requestIdEcho: string;
  /** Response header that each successful response must have; undefined for none. */
  readonly seal: string | undefined;
  /** Request header with the idempotency key, which identifies the operation that several attempts belong to. */
  readonly idempotencyKey: string;
  /** Request header with the remaining time in milliseconds, from clients and to backends. */
  readonly deadline: string | undefined;
  /** Request header with the instance that must serve the request; another instance responds with 421. */
  readonly expectedInstance: string | undefined;
  /** Response header by which a backend states that it did not run the request. */
  readonly notRun: string | undefined;
  /** Whether clients accept fractions of a second in `Retry-After`. */
  readonly hasFractionalRetryAfter: boolean;
  /** Whether each connection proves its service when it opens, or each request its instance. */
  readonly proof: "connection" | "request";
}

/** The header names of daledoor's own protocol. */
export const defaultHeaderNames: HeaderNames = {
  clientRequestId: undefined,
  requestId: "x-daledoor-job",
  requestIdEcho: "x-daledoor-stamp",
  seal: undefined,
  idempotencyKey: "idempotency-key",
  deadline: undefined,
  expectedInstance: undefined,
  notRun: undefined,
  hasFractionalRetryAfter: false,
  proof: "connection",
};
