/** A line of the operators' language, understood. */
export type Query =
  | { kind: "showService"; service: string }
  | { kind: "showRoutes" }
  | { kind: "showHeavyRoutes" }
  | { kind: "showShares" }
  | { kind: "showMachines" }
  | { kind: "showBackEnds" }
  | { kind: "whyShare"; address: string }
  | { kind: "whyRoute"; route: string }
  | { kind: "moveRoute"; route: string; service: string }
  | { kind: "setGoal"; route: string; latencyMs: number; furtherTries: number | undefined }
  | { kind: "drainBackEnd"; address: string }
  | { kind: "explain" };

/** The word that was not understood, and what would have been. */
export interface QueryFault {
  word: string;
  expected: string;
}

/** Raised at the first word that isn't understood. */
class WordError extends Error {
  readonly fault: QueryFault;
  constructor(fault: QueryFault) {
    super(`"${fault.word}" is not understood; expected ${fault.expected}.`);
    this.fault = fault;
  }
}

class Words {
  private readonly words: string[];
  constructor(line: string) {
    this.words = line.trim().split(/\s+/).filter(Boolean);
  }

  one(expected: string, takes: (word: string) => boolean = () => true): string {
    const word = this.words.shift();
    if (word === undefined || !takes(word))
      throw new WordError({ word: word ?? "(end of line)", expected });
    return word;
  }

  of(...choices: string[]): string {
    return this.one(choices.map((choice) => `"${choice}"`).join(" or "), (word) =>
      choices.includes(word),
    );
  }

  get isOver(): boolean {
    return this.words.length === 0;
  }

  end(): void {
    if (!this.isOver) this.one("the end of the line", () => false);
  }
}

const isAddress = (word: string): boolean => /^\S+:\d{1,5}$/.test(word);

const read = (words: Words): Query => {
  switch (words.of("show", "why", "move", "set", "drain", "explain")) {
    case "show":
      switch (words.of("service", "routes", "heavy", "shares", "machines", "backends")) {
        case "service":
          return { kind: "showService", service: words.one("the name of a service") };
        case "routes":
          return { kind: "showRoutes" };
        case "heavy":
          words.of("routes");
          return { kind: "showHeavyRoutes" };
        case "shares":
          return { kind: "showShares" };
        case "machines":
          return { kind: "showMachines" };
        default:
          return { kind: "showBackEnds" };
      }
    case "why":
      return words.of("share", "route") === "share"
        ? { kind: "whyShare", address: words.one("the address of a back end, IP:port", isAddress) }
        : { kind: "whyRoute", route: words.one("the name of a route") };
    case "move": {
      words.of("route");
      const route = words.one("the name of a route");
      words.of("to");
      return { kind: "moveRoute", route, service: words.one("the name of a service") };
    }
    case "set": {
      words.of("goal");
      const route = words.one("the name of a route");
      const latencyMs = Number(
        words.one("a latency such as 250ms", (word) => /^[1-9]\d{0,5}ms$/.test(word)).slice(0, -2),
      );
      if (words.isOver) return { kind: "setGoal", route, latencyMs, furtherTries: undefined };
      words.of("tries");
      return {
        kind: "setGoal",
        route,
        latencyMs,
        furtherTries: Number(
          words.one("a number of further tries from 0 to 5", (word) => /^[0-5]$/.test(word)),
        ),
      };
    }
    case "drain":
      words.of("backend");
      return {
        kind: "drainBackEnd",
        address: words.one("the address of a back end, IP:port", isAddress),
      };
    default:
      return { kind: "explain" };
  }
};

export const Query = {
  /** Understands one line, or tells the word it stumbled over. */
  read(line: string): { query: Query } | { fault: QueryFault } {
    try {
      const words = new Words(line);
      const query = read(words);
      words.end();
      return { query };
    } catch (error) {
      if (error instanceof WordError) return { fault: error.fault };
      throw error;
    }
  },

  forms: [
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
  ],
};
