/** How many zones and regions a fleet of a test spans; zones of a region are numbered consecutively. */
export interface Topology {
  readonly zones: number;
  readonly regions: number;
}

const SAME_REGION_ONE_WAY_MS = 1;
const OTHER_REGION_ONE_WAY_MS = 30;

/** The zone of the daemon or backend with an index; zones take turns. */
export const zoneOf = (index: number, { zones }: Topology): string => `zone-${(index % zones) + 1}`;

const regionOf = (zone: string, { zones, regions }: Topology): number =>
  Math.floor(((Number(zone.slice("zone-".length)) - 1) * regions) / zones);

/** The one-way delay between two zones, in milliseconds. */
export const oneWayMs = (from: string, to: string, topology: Topology): number => {
  if (from === to) return 0;
  return regionOf(from, topology) === regionOf(to, topology)
    ? SAME_REGION_ONE_WAY_MS
    : OTHER_REGION_ONE_WAY_MS;
};

/** A configuration with so many services and routes; `change` varies one field of it. */
export const createConfig = (
  { services, routes }: { readonly services: number; readonly routes: number },
  change: number,
): Record<string, unknown> => {
  const named = Array.from({ length: services }, (_, index) => `service-${index}`);
  return {
    services: Object.fromEntries(named.map((name) => [name, {}])),
    routes: Object.fromEntries(
      Array.from({ length: routes }, (_, index) => [
        `route-${index}`,
        {
          match: {
            path: `/r${index}/*`,
            methods: ["GET"],
            host: `tenant-${index % 997}.example`,
          },
          service: named[index % named.length],
          giveUpMs: 3000 + (index === 0 ? change % 1000 : 0),
        },
      ]),
    ),
  };
};
