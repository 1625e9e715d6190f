/** What a scale run is made of. */
export interface ScaleSpec {
  /** Hollow daemons: the control part of an edge, with the door shut. */
  readonly daemons: number;
  /** How many processes the hollow daemons share. */
  readonly processes: number;
  /** Real edges beside them. */
  readonly edges: number;
  readonly recorders: number;
  readonly zones: number;
  readonly regions: number;
  readonly backEnds: number;
  readonly services: number;
  readonly routes: number;
  /** Requests a second of the whole fleet; they are only counted, never sent. */
  readonly requests: number;
  /** Keyed writes a second of the whole fleet. */
  readonly keyedWrites: number;
  /** Config changes a second while it is measured. */
  readonly configChanges: number;
  /** Back ends replaced a second while it is measured. */
  readonly replacements: number;
  readonly applyMs: number;
  readonly drainMs: number;
  readonly heartbeatMs: number;
  /** The build of the real processes. */
  readonly program: string;
}

export const ScaleSpec = {
  /** The usual waits, a small fleet without back ends. */
  small: {
    daemons: 20,
    processes: 1,
    edges: 0,
    recorders: 3,
    zones: 8,
    regions: 2,
    backEnds: 0,
    services: 3,
    routes: 3,
    requests: 0,
    keyedWrites: 0,
    configChanges: 0,
    replacements: 0,
    applyMs: 2000,
    drainMs: 2000,
    heartbeatMs: 1000,
    program: "",
  },

  /** The zone at a place in the fleet; zones of a region lie side by side. */
  zone: (at: number, { zones }: Pick<ScaleSpec, "zones">): string => `zone-${(at % zones) + 1}`,

  /** Which region a zone belongs to. */
  region(zone: string, { zones, regions }: Pick<ScaleSpec, "zones" | "regions">): number {
    return Math.floor(((Number(zone.slice(5)) - 1) * regions) / zones);
  },

  /** How long one way takes between two zones. */
  oneWayMs(from: string, to: string, spec: Pick<ScaleSpec, "zones" | "regions">): number {
    if (from === to) return 0;
    return ScaleSpec.region(from, spec) === ScaleSpec.region(to, spec) ? 1 : 30;
  },

  /** A config of so many services and routes. */
  config(
    { services, routes }: Pick<ScaleSpec, "services" | "routes">,
    change: number,
  ): Record<string, unknown> {
    const named = Array.from({ length: services }, (_, at) => `service-${at}`);
    return {
      services: Object.fromEntries(named.map((name) => [name, {}])),
      routes: Object.fromEntries(
        Array.from({ length: routes }, (_, at) => [
          `route-${at}`,
          {
            match: { path: `/r${at}/*`, methods: ["GET"], host: `tenant-${at % 997}.example` },
            service: named[at % named.length],
            giveUpMs: 3000 + (at === 0 ? change % 1000 : 0),
          },
        ]),
      ),
    };
  },

  /** The services that back ends of a fleet belong to, by their place. */
  service: (at: number, { services }: Pick<ScaleSpec, "services">): string =>
    `service-${at % services}`,
};
