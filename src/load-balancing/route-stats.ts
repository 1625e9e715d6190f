/** What one daemon has measured of the requests of each route, whichever backend served them. */
import type { AttemptSample } from "./attempt-sample.js";

/** The assumed size of a route's responses until one was seen. */
export const DEFAULT_RESPONSE_BYTES = 32 * 1024;
/** The table is cleared when it has as many routes as this. */
const MAX_ROUTES = 4096;
/** How much the newest sample counts in the moving means. */
const SMOOTHING_FACTOR = 0.05;

/** Moving means of a route's complete responses. */
export interface RouteStats {
  /** Mean time that attempts take. */
  meanLatencyMs: number;
  /** Mean size of the responses. */
  meanResponseBytes: number;
}

/** The statistics of the routes that this daemon has served, up to a bound. */
export class RouteStatsTable {
  private readonly byRoute = new Map<string, RouteStats>();

  /** The statistics of a route, where it has any. */
  find(route: string): RouteStats | undefined {
    return this.byRoute.get(route);
  }

  /** Learns from an attempt, and returns the statistics of its route. */
  recordSample({
    route = "",
    latencyMs: tookMs,
    isComplete: isWhole,
    responseBytes: bytes,
  }: AttemptSample): RouteStats {
    const stats = this.statsOf(route, tookMs);
    if (!isWhole) return stats;
    stats.meanLatencyMs += (tookMs - stats.meanLatencyMs) * SMOOTHING_FACTOR;
    if (bytes !== undefined)
      stats.meanResponseBytes +=
        (bytes - stats.meanResponseBytes) *
        (stats.meanResponseBytes === DEFAULT_RESPONSE_BYTES ? 1 : SMOOTHING_FACTOR);
    return stats;
  }

  private statsOf(route: string, tookMs: number): RouteStats {
    const known = this.byRoute.get(route);
    if (known) return known;
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const stats = { tookMs, bytes: DEFAULT_RESPONSE_BYTES };
    this.byRoute.set(route, stats);
    return stats;
  }
}
