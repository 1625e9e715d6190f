import { number, object, type Infer } from "superstruct";

/** The shape of an edge's place as it travels. */
export const edgePlacementShape = object({
  /** The place among the edges of the same zone, from 0, and how many those are. */
  zoneIndex: number(),
  zoneCount: number(),
  /** How many edges there are in all zones. */
  count: number(),
});

/** An edge's place among all that send requests to backends; from it follows which backends it uses. */
export type EdgePlacement = Infer<typeof edgePlacementShape>;

/** A machine that may send requests to backends. */
export interface PlacedDaemon {
  readonly name: string;
  readonly zone: string;
  readonly roles: readonly string[];
  readonly draining: boolean;
}

const isEdge = ({ roles, draining }: PlacedDaemon): boolean => roles.includes("edge") && !draining;

/** Gives every edge its place by name, so that one that restarts has the same place and few places move when one goes. */
export const edgePlacementsOf = (
  machines: Iterable<PlacedDaemon>,
): ReadonlyMap<string, EdgePlacement> => {
  const edges = [...machines].filter(isEdge).sort((a, b) => (a.name < b.name ? -1 : 1));
  const zoneCounts = new Map<string, number>();
  for (const { zone } of edges) zoneCounts.set(zone, (zoneCounts.get(zone) ?? 0) + 1);
  const seen = new Map<string, number>();
  const places = new Map<string, EdgePlacement>();
  for (const { name, zone } of edges) {
    const zoneIndex = seen.get(zone) ?? 0;
    seen.set(zone, zoneIndex + 1);
    const zoneCount = zoneCounts.get(zone) ?? 0;
    places.set(name, { zoneIndex, zoneCount, count: edges.length });
  }
  return places;
};
