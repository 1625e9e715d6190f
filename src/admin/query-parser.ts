/** Parses the operators' query language: one line, word by word. */

/** A parsed query. */
export type Query =
  | { kind: "showService"; service: string }
  | { kind: "showRoutes" }
  | { kind: "showHeavyRoutes" }
  | { kind: "showShares" }
  | { kind: "showMachines" }
  | { kind: "showBackends" }
  | { kind: "whyShare"; address: string }
  | { kind: "whyRoute"; route: string }
  | { kind: "moveRoute"; route: string; service: string }
  | { kind: "setGoal"; route: string; latencyMs: number; retryLimit: number | undefined }
  | { kind: "drainBackend"; address: string }
  | { kind: "explain" };

/** The first unexpected word of a line, and what was expected; sent to the client unchanged. */
export interface QueryFault {
  word: string;
  expected: string;
}

/** The forms of all queries, as shown to operators. */
export const QUERY_FORMS: readonly string[] = [
  "show service NAME",
  "show routes",
  "show heavy routes",
  "show shares",
  "show machines",
  "show backends",
  "why share IP:PORT",
  "why route NAME",
  "move route NAME to SERVICE",
  "set goal ROUTE 250ms [tries 2]",
  "drain backend IP:PORT",
  "explain",
];

/** Thrown at the first unexpected word of a line. */
class QuerySyntaxError extends Error {
  readonly code = "QUERY_SYNTAX";
  readonly fault: QueryFault;

  constructor(fault: QueryFault) {
    super(`Unexpected "${fault.word}"; expected ${fault.expected}.`);
    this.fault = fault;
  }
}

/** Reads the words of a line in order. */
class WordReader {
  private readonly words: string[];

  constructor(line: string) {
    this.words = line.trim().split(/\s+/).filter(Boolean);
  }

  /** Returns the next word; throws a QuerySyntaxError if it doesn't match. */
  next(expected: string, matches: (word: string) => boolean = () => true): string {
    const word = this.words.shift();
    if (word === undefined || !matches(word))
      throw new QuerySyntaxError({ word: word ?? "(end of line)", expected });
    return word;
  }

  /** Returns the next word; throws a QuerySyntaxError if it is none of the choices. */
  nextOneOf(...choices: string[]): string {
    const expected = choices.map((choice) => `"${choice}"`).join(" or ");
    return this.next(expected, (word) => choices.includes(word));
  }

  get isAtEnd(): boolean {
    return this.words.length === 0;
  }

  expectEnd(): void {
    if (!this.isAtEnd) this.next("the end of the line", () => false);
  }
}

const routeName = (words: WordReader): string => words.next("the name of a route");

const serviceName = (words: WordReader): string => words.next("the name of a service");

const backendAddress = (words: WordReader): string =>
  words.next("the address of a backend, IP:port", (word) => /^\S+:\d{1,5}$/.test(word));

const parseShow = (words: WordReader): Query => {
  switch (words.nextOneOf("service", "routes", "heavy", "shares", "machines", "backends")) {
    case "service":
      return { kind: "showService", service: serviceName(words) };
    case "routes":
      return { kind: "showRoutes" };
    case "heavy":
      words.nextOneOf("routes");
      return { kind: "showHeavyRoutes" };
    case "shares":
      return { kind: "showShares" };
    case "machines":
      return { kind: "showMachines" };
    default:
      return { kind: "showBackends" };
  }
};

const parseWhy = (words: WordReader): Query =>
  words.nextOneOf("share", "route") === "share"
    ? { kind: "whyShare", address: backendAddress(words) }
    : { kind: "whyRoute", route: routeName(words) };

const parseMove = (words: WordReader): Query => {
  words.nextOneOf("route");
  const route = routeName(words);
  words.nextOneOf("to");
  return { kind: "moveRoute", route, service: serviceName(words) };
};

const parseSet = (words: WordReader): Query => {
  words.nextOneOf("goal");
  const route = routeName(words);
  const latency = words.next("a latency such as 250ms", (word) => /^[1-9]\d{0,5}ms$/.test(word));
  const latencyMs = Number(latency.slice(0, -"ms".length));
  if (words.isAtEnd) return { kind: "setGoal", route, latencyMs, retryLimit: undefined };
  words.nextOneOf("tries");
  const retryLimit = Number(
    words.next("a number of retries from 0 to 5", (word) => /^[0-5]$/.test(word)),
  );
  return { kind: "setGoal", route, latencyMs, retryLimit };
};

const parseDrain = (words: WordReader): Query => {
  words.nextOneOf("backend");
  return { kind: "drainBackend", address: backendAddress(words) };
};

const parseWords = (words: WordReader): Query => {
  switch (words.nextOneOf("show", "why", "move", "set", "drain", "explain")) {
    case "show":
      return parseShow(words);
    case "why":
      return parseWhy(words);
    case "move":
      return parseMove(words);
    case "set":
      return parseSet(words);
    case "drain":
      return parseDrain(words);
    default:
      return { kind: "explain" };
  }
};

/** Parses one line as a query; returns a fault for its first unexpected word. */
export const parseQuery = (line: string): { query: Query } | { fault: QueryFault } => {
  try {
    const words = new WordReader(line);
    const query = parseWords(words);
    words.expectEnd();
    return { query };
  } catch (error) {
    if (error instanceof QuerySyntaxError) return { fault: error.fault };
    throw error;
  }
};
