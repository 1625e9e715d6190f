/** The headers by which the door speaks with callers and back ends; lower case. */
export interface HeaderNames {
  /** In which a caller names its try; the door names it where this is undefined. */
  readonly callerId: string | undefined;
  /** In which a back end is told the try's name. */
  readonly requestId: string;
  /** In which a back end's response repeats that name. */
  readonly echo: string;
  /** What a whole success carries besides, if anything. */
  readonly seal: string | undefined;
  /** In which a caller names the operation that its tries belong to. */
  readonly key: string;
  /** In which callers say, and back ends are told, how many milliseconds are left. */
  readonly deadline: string | undefined;
  /** In which a back end is told which instance is meant; a response 421 says that it is another. */
  readonly expected: string | undefined;
  /** By which a back end's response says that the request was not run. */
  readonly notRun: string | undefined;
  /** Whether callers read parts of a second in when to come back. */
  readonly tellsParts: boolean;
  /** Whether the service behind a connection is proven when it opens, or the instance with each request. */
  readonly proof: "connection" | "request";
}

const own: HeaderNames = {
  callerId: undefined,
  requestId: "x-daledoor-job",
  echo: "x-daledoor-stamp",
  seal: undefined,
  key: "idempotency-key",
  deadline: undefined,
  expected: undefined,
  notRun: undefined,
  tellsParts: false,
  proof: "connection",
};

/** What a daemon speaks where no adapter says otherwise. */
export const HeaderNames = { own };
