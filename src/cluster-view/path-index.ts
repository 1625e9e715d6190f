/** Lookup of routes by path, in time that is independent of the number of routes. */
import type { ActiveRoute } from "./active-route.js";

const addRoute = (table: Map<string, ActiveRoute[]>, route: ActiveRoute): void => {
  const known = table.get(route.path);
  if (known) known.push(route);
  else table.set(route.path, [route]);
};

/** Index of one host's routes by path. */
export class PathIndex {
  private readonly exact = new Map<string, ActiveRoute[]>();
  /** Prefixes that end in a slash, i.e. between two segments. */
  private readonly segmentPrefixes = new Map<string, ActiveRoute[]>();
  /** Length of the longest prefix that ends in a slash. */
  private maxSegmentPrefixLength = 0;
  /** Prefixes that end within a segment. */
  private readonly partialPrefixes = new Map<string, ActiveRoute[]>();
  /** Lengths of the prefixes that end within a segment, in descending order. */
  private partialPrefixLengths: number[] = [];

  /** Adds a route; of several routes with one path and method, the first added matches. */
  add(route: ActiveRoute): void {
    if (!route.isPrefix) return addRoute(this.exact, route);
    const { length } = route.path;
    if (route.path.endsWith("/")) {
      addRoute(this.segmentPrefixes, route);
      this.maxSegmentPrefixLength = Math.max(this.maxSegmentPrefixLength, length);
      return;
    }
    addRoute(this.partialPrefixes, route);
    if (!this.partialPrefixLengths.includes(length))
      this.partialPrefixLengths = [...this.partialPrefixLengths, length].sort((a, b) => b - a);
  }

  /** The most specific route for a path and method: an exact path, then the longest prefix. */
  find(method: string, path: string): ActiveRoute | undefined {
    const allows = (route: ActiveRoute): boolean =>
      route.methods === undefined || route.methods.has(method);
    const exact = this.exact.get(path)?.find(allows);
    if (exact) return exact;
    const segmentMatch = this.findSegmentPrefix(path, allows);
    const partialMatch = this.findPartialPrefix(path, allows);
    if (!segmentMatch || !partialMatch) return segmentMatch ?? partialMatch;
    return segmentMatch.path.length > partialMatch.path.length ? segmentMatch : partialMatch;
  }

  private findSegmentPrefix(
    path: string,
    allows: (route: ActiveRoute) => boolean,
  ): ActiveRoute | undefined {
    if (this.maxSegmentPrefixLength === 0) return undefined;
    for (
      let slash = path.lastIndexOf("/", this.maxSegmentPrefixLength - 1);
      slash >= 0;
      slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)
    ) {
      const found = this.segmentPrefixes.get(path.slice(0, slash + 1))?.find(allows);
      if (found) return found;
    }
    return undefined;
  }

  private findPartialPrefix(
    path: string,
    allows: (route: ActiveRoute) => boolean,
  ): ActiveRoute | undefined {
    for (const length of this.partialPrefixLengths) {
      const found =
        length <= path.length
          ? this.partialPrefixes.get(path.slice(0, length))?.find(allows)
          : undefined;
      if (found) return found;
    }
    return undefined;
  }
}
