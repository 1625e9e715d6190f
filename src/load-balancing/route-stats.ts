import type { AttemptSample } from "./attempt-sample.js";

/** How large a route's responses are taken to be until one was seen. */
export const UNSEEN_RESPONSE_BYTES = 32 * 1024;
const knownRoutes = 4096;
const learnRate = 0.05;

/** What one daemon has seen of one route's requests, whichever backend had them. */
export interface RouteStats {
  tookMs: number;
  bytes: number;
}

/** The stats of all routes that this daemon has served, up to a bound. */
export class RouteStatsTable {
  private readonly byRoute = new Map<string, RouteStats>();

  /** What is known of a route, if anything is. */
  find(route: string): RouteStats | undefined {
    return this.byRoute.get(route);
  }

  /** Learns from one try on a route, and gives what its requests usually take. */
  learn({ route = "", tookMs, isWhole, bytes }: AttemptSample): RouteStats {
    const stats = this.statsOf(route, tookMs);
    if (!isWhole) return stats;
    stats.tookMs += (tookMs - stats.tookMs) * learnRate;
    if (bytes !== undefined)
      stats.bytes +=
        (bytes - stats.bytes) * (stats.bytes === UNSEEN_RESPONSE_BYTES ? 1 : learnRate);
    return stats;
  }

  private statsOf(route: string, tookMs: number): RouteStats {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= knownRoutes) this.byRoute.clear();
    const stats = { tookMs, bytes: UNSEEN_RESPONSE_BYTES };
    this.byRoute.set(route, stats);
    return stats;
  }
}
