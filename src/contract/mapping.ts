import { Config, safeMethods } from "./config.js";

/** Where one kind of request goes: a route as the daemons use it. */
export interface Mapping {
  readonly name: string;
  readonly service: string;
  readonly methods: ReadonlySet<string> | undefined;
  readonly path: string;
  readonly isPrefix: boolean;
  readonly repeatable: boolean;
  readonly keyed: boolean;
  readonly giveUpMs: number;
  readonly goalMs: number;
  readonly furtherTries: number;
  readonly stampHeader: string;
  readonly inHandLimit: number;
}

const usual = { giveUpMs: 5000, goalMs: 1000, furtherTries: 1, stampHeader: "x-daledoor-stamp", inHand: 200 };

/** All mappings of one config, the most exact first. */
export class Mappings {
  private readonly exact = new Map<string, Mapping[]>();
  private readonly prefixes: Mapping[] = [];
  readonly all: Mapping[] = [];

  constructor(config: Config) {
    for (const [name, route] of Object.entries(config.routes)) {
      const isPrefix = route.match.path.endsWith("*");
      const service = config.services[route.service];
      const goal = config.goals?.[name];
      const methods = route.match.methods ? new Set<string>(route.match.methods) : undefined;
      const mapping: Mapping = {
        name,
        service: route.service,
        methods,
        path: isPrefix ? route.match.path.slice(0, -1) : route.match.path,
        isPrefix,
        repeatable: route.repeat === undefined ? [...(methods ?? ["POST"])].every((method) => safeMethods.has(method)) : route.repeat === "safe",
        keyed: route.keyed ?? false,
        giveUpMs: route.giveUpMs ?? usual.giveUpMs,
        goalMs: goal?.latencyMs ?? usual.goalMs,
        furtherTries: goal?.furtherTries ?? usual.furtherTries,
        stampHeader: service?.stampHeader ?? usual.stampHeader,
        inHandLimit: service?.inHand ?? usual.inHand,
      };
      this.all.push(mapping);
      if (isPrefix) this.prefixes.push(mapping);
      else this.exact.set(mapping.path, [...(this.exact.get(mapping.path) ?? []), mapping]);
    }
    this.prefixes.sort((a, b) => b.path.length - a.path.length || a.name.localeCompare(b.name));
  }

  /** The mapping of a request, the longest match first. */
  find(method: string, path: string): Mapping | undefined {
    const takes = (mapping: Mapping): boolean => mapping.methods === undefined || mapping.methods.has(method);
    return this.exact.get(path)?.find(takes) ?? this.prefixes.find((mapping) => path.startsWith(mapping.path) && takes(mapping));
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  test("the most exact mapping that takes the method is found", () => {
    const mappings = new Mappings({
      services: { a: {}, b: {} },
      routes: {
        all: { match: { path: "/x/*" }, service: "a" },
        deep: { match: { path: "/x/y/*", methods: ["GET"] }, service: "b" },
        one: { match: { path: "/x/y/z", methods: ["PUT"] }, service: "b" },
      },
    });
    const found = (method: string, path: string) => mappings.find(method, path)?.name;
    expect([found("GET", "/x/y/z"), found("PUT", "/x/y/z"), found("POST", "/x/y/q"), found("GET", "/")]).toEqual(["deep", "one", "all", undefined]);
    expect(mappings.all.map((mapping) => mapping.repeatable)).toEqual([false, true, false]);
  });
}
