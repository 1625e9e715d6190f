/** The names of the headers between clients, the proxy and backends, which an adapter may choose. */

/** Header names in lower case, and how the protocol uses them. */
export interface HeaderNames {
  /** In which a client names its attempt; the proxy names it where this is undefined. */
  readonly clientRequestId: string | undefined;
  /** In which a backend gets the attempt's name. */
  readonly requestId: string;
  /** In which a backend's response repeats that name. */
  readonly requestIdEcho: string;
  /** Which each complete success must carry, if any. */
  readonly seal: string | undefined;
  /** The idempotency key: in which a client names the operation that its attempts belong to. */
  readonly idempotencyKey: string;
  /** In which clients state, and backends get, how many milliseconds are left. */
  readonly deadline: string | undefined;
  /** In which a backend gets the instance that is meant; a response 421 states that it is another. */
  readonly expectedInstance: string | undefined;
  /** By which a backend's response states that the request was not run. */
  readonly notRun: string | undefined;
  /** Whether clients read fractions of a second in `Retry-After`. */
  readonly hasFractionalRetryAfter: boolean;
  /** Whether a connection proves its service when it opens, or each request its instance. */
  readonly proof: "connection" | "request";
}

const OWN_HEADER_NAMES: HeaderNames = {
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

export const defaultHeaderNames = OWN_HEADER_NAMES;
