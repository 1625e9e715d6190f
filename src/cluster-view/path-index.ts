import type { ActiveRoute } from "./active-route.js";

const add = (table: Map<string, ActiveRoute[]>, route: ActiveRoute): void => {
  const known = table.get(route.path);
  if (known) known.push(route);
  else table.set(route.path, [route]);
};

/** The mappings of one host by their paths, found by look-ups alone, whatever their number. */
export class PathIndex {
  private readonly exact = new Map<string, ActiveRoute[]>();
  /** Prefixes that end in a slash. */
  private readonly folders = new Map<string, ActiveRoute[]>();
  private longestFolder = 0;
  /** Prefixes that end within a segment, and their lengths, the longest first. */
  private readonly stems = new Map<string, ActiveRoute[]>();
  private stemLengths: number[] = [];

  add(route: ActiveRoute): void {
    if (!route.isPrefix) return add(this.exact, route);
    const { length } = route.path;
    if (route.path.endsWith("/")) {
      add(this.folders, route);
      this.longestFolder = Math.max(this.longestFolder, length);
      return;
    }
    add(this.stems, route);
    if (!this.stemLengths.includes(length))
      this.stemLengths = [...this.stemLengths, length].sort((a, b) => b - a);
  }

  /** The mapping that fits a path most exactly and takes the method. */
  find(method: string, path: string): ActiveRoute | undefined {
    const takes = (route: ActiveRoute): boolean =>
      route.methods === undefined || route.methods.has(method);
    const exact = this.exact.get(path)?.find(takes);
    if (exact) return exact;
    const folder = this.folder(path, takes);
    const stem = this.stem(path, takes);
    return folder && stem
      ? folder.path.length > stem.path.length
        ? folder
        : stem
      : (folder ?? stem);
  }

  private folder(path: string, takes: (route: ActiveRoute) => boolean): ActiveRoute | undefined {
    if (this.longestFolder === 0) return undefined;
    for (
      let at = path.lastIndexOf("/", this.longestFolder - 1);
      at >= 0;
      at = at === 0 ? -1 : path.lastIndexOf("/", at - 1)
    ) {
      const found = this.folders.get(path.slice(0, at + 1))?.find(takes);
      if (found) return found;
    }
    return undefined;
  }

  private stem(path: string, takes: (route: ActiveRoute) => boolean): ActiveRoute | undefined {
    for (const length of this.stemLengths) {
      const found =
        length <= path.length ? this.stems.get(path.slice(0, length))?.find(takes) : undefined;
      if (found) return found;
    }
    return undefined;
  }
}
