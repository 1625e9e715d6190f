/** Look-up of routes by path in time that doesn't grow with their number. */
import type { ActiveRoute } from "./active-route.js";

const addRoute = (table: Map<string, ActiveRoute[]>, route: ActiveRoute): void => {
  const known = table.get(route.path);
  if (known) known.push(route);
  else table.set(route.path, [route]);
};

/** The routes of one host by path. */
export class PathIndex {
  private readonly exact = new Map<string, ActiveRoute[]>();
  /** Prefixes that end in a slash, and the length of the longest. */
  private readonly segmentPrefixes = new Map<string, ActiveRoute[]>();
  private maxSegmentPrefixLength = 0;
  /** Prefixes that end within a segment, and their lengths in descending order. */
  private readonly partialPrefixes = new Map<string, ActiveRoute[]>();
  private partialPrefixLengths: number[] = [];

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

  /** The most specific route that matches a path and a method. */
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
