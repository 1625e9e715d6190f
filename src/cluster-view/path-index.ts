/** Look-up of routes by path in time that doesn't grow with their number. */
import type { ActiveRoute } from "./active-route.js";

const addTo = (table: Map<string, ActiveRoute[]>, route: ActiveRoute): void => {
  const known = table.get(route.path);
  if (known) known.push(route);
  else table.set(route.path, [route]);
};

/** The routes of one host by path. */
export class PathIndex {
  private readonly exact = new Map<string, ActiveRoute[]>();
  /** Prefixes that end in a slash, and the length of the longest. */
  private readonly folders = new Map<string, ActiveRoute[]>();
  private longestFolder = 0;
  /** Prefixes that end within a segment, and their lengths in descending order. */
  private readonly stems = new Map<string, ActiveRoute[]>();
  private stemLengths: number[] = [];

  add(route: ActiveRoute): void {
    if (!route.isPrefix) return addTo(this.exact, route);
    const { length } = route.path;
    if (route.path.endsWith("/")) {
      addTo(this.folders, route);
      this.longestFolder = Math.max(this.longestFolder, length);
      return;
    }
    addTo(this.stems, route);
    if (!this.stemLengths.includes(length))
      this.stemLengths = [...this.stemLengths, length].sort((a, b) => b - a);
  }

  /** The most specific route that matches a path and a method. */
  find(method: string, path: string): ActiveRoute | undefined {
    const allows = (route: ActiveRoute): boolean =>
      route.methods === undefined || route.methods.has(method);
    const exact = this.exact.get(path)?.find(allows);
    if (exact) return exact;
    const folder = this.findFolder(path, allows);
    const stem = this.findStem(path, allows);
    if (!folder || !stem) return folder ?? stem;
    return folder.path.length > stem.path.length ? folder : stem;
  }

  private findFolder(
    path: string,
    allows: (route: ActiveRoute) => boolean,
  ): ActiveRoute | undefined {
    if (this.longestFolder === 0) return undefined;
    for (
      let slash = path.lastIndexOf("/", this.longestFolder - 1);
      slash >= 0;
      slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)
    ) {
      const found = this.folders.get(path.slice(0, slash + 1))?.find(allows);
      if (found) return found;
    }
    return undefined;
  }

  private findStem(path: string, allows: (route: ActiveRoute) => boolean): ActiveRoute | undefined {
    for (const length of this.stemLengths) {
      const found =
        length <= path.length ? this.stems.get(path.slice(0, length))?.find(allows) : undefined;
      if (found) return found;
    }
    return undefined;
  }
}
