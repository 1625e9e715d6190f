/** The placement of edges: which place each edge has among all, from which it follows which backends it uses. */
import { number, object, type Infer } from "superstruct";

/** The shape of an edge's placement as it travels. */
export const edgePlacementShape = object({
  /** The index among the edges of the same zone, from 0. */
  zoneIndex: number(),
  /** How many edges there are in the same zone. */
  zoneCount: number(),
  /** How many edges there are in all zones. */
  count: number(),
});

/** An edge's placement among all that send requests to backends. */
export type EdgePlacement = Infer<typeof edgePlacementShape>;

/** A daemon that may be an edge. */
export interface PlacementCandidate {
  readonly name: string;
  readonly zone: string;
  readonly roles: readonly string[];
  readonly draining: boolean;
}

const isEdge = ({ roles, draining }: PlacementCandidate): boolean =>
  roles.includes("edge") && !draining;

/** The placements of all edges, in the order of their names: a restart changes none, and one that leaves changes few. */
export const computeEdgePlacements = (
  daemons: Iterable<PlacementCandidate>,
): ReadonlyMap<string, EdgePlacement> => {
  const edges = [...daemons].filter(isEdge).sort((a, b) => (a.name < b.name ? -1 : 1));
  const zoneCounts = new Map<string, number>();
  for (const { zone } of edges) zoneCounts.set(zone, (zoneCounts.get(zone) ?? 0) + 1);
  const placedInZone = new Map<string, number>();
  const placements = new Map<string, EdgePlacement>();
  for (const { name, zone } of edges) {
    const zoneIndex = placedInZone.get(zone) ?? 0;
    placedInZone.set(zone, zoneIndex + 1);
    const zoneCount = zoneCounts.get(zone) ?? 0;
    placements.set(name, { zoneIndex, zoneCount, count: edges.length });
  }
  return placements;
};
