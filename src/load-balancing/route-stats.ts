/** One daemon's statistics of the requests of each route, over all backends. */
import type { AttemptSample } from "./attempt-sample.js";

/** Assumed size of a route's responses until the first one. */
export const DEFAULT_RESPONSE_BYTES = 32 * 1024;
/** Maximum number of routes in the table, which is cleared when it is full. */
const MAX_ROUTES = 4096;
/** The weight of the newest sample in the moving averages. */
const SMOOTHING_FACTOR = 0.05;

/** Moving averages over a route's complete responses. */
export interface RouteStats {
  /** Mean latency of attempts. */
  meanLatencyMs: number;
  /** Mean size of responses. */
  meanResponseBytes: number;
}

/** The statistics of the routes that this daemon has served, up to `MAX_ROUTES`. */
export class RouteStatsTable {
  private readonly byRoute = new Map<string, RouteStats>();

  /** Returns the statistics of a route, if any. */
  find(route: string): RouteStats | undefined {
    return this.byRoute.get(route);
  }

  /** Adds an attempt to the statistics of its route, and returns them. */
  recordSample({ route = "", latencyMs, isComplete, responseBytes }: AttemptSample): RouteStats {
    const stats = this.findOrCreate(route, latencyMs);
    if (!isComplete) return stats;
    stats.meanLatencyMs += (latencyMs - stats.meanLatencyMs) * SMOOTHING_FACTOR;
    if (responseBytes !== undefined)
      stats.meanResponseBytes +=
        (responseBytes - stats.meanResponseBytes) *
        (stats.meanResponseBytes === DEFAULT_RESPONSE_BYTES ? 1 : SMOOTHING_FACTOR);
    return stats;
  }

  private findOrCreate(route: string, latencyMs: number): RouteStats {
    const existing = this.byRoute.get(route);
    if (existing) return existing;
    if (this.byRoute.size >= MAX_ROUTES) this.byRoute.clear();
    const stats = { meanLatencyMs: latencyMs, meanResponseBytes: DEFAULT_RESPONSE_BYTES };
    this.byRoute.set(route, stats);
    return stats;
  }
}
