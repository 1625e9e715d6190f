/** A configured route with all defaults filled in, in the form that the proxy uses to serve requests. */
import type { Config } from "../configuration/config.js";

type Route = Config["routes"][string];

/** Timeout, latency target, number of attempts and priority of a route's requests. */
export interface RouteTargets {
  /** Maximum number of attempts of one request, including the first. */
  readonly attempts: number;
  /** Maximum number of retries: `attempts` - 1. */
  readonly maxRetries: number;
  /** Time limit of a request, in ms; after it the proxy responds with a timeout. */
  readonly timeoutMs: number;
  /** Latency target against which the load balancer measures backends, in ms. */
  readonly latencyTargetMs: number;
  /** Priority of the route's requests; 0 is the highest. */
  readonly priority: number;
}

/** A route of the active configuration. */
export interface ActiveRoute extends RouteTargets {
  readonly name: string;
  /** Host in lower case; `undefined` matches any host. */
  readonly host: string | undefined;
  /** Services that receive the route's requests, with their weights. */
  readonly splits: ReadonlyArray<{ readonly service: string; readonly weight: number }>;
  /** The first service of `splits`. */
  readonly service: string;
  readonly methods: ReadonlySet<string> | undefined;
  readonly path: string;
  readonly isPrefix: boolean;
  readonly kind: NonNullable<Route["kind"]>;
  readonly isDownload: boolean;
  readonly repeatable: boolean;
  readonly keyed: boolean;
  readonly stampHeader: string;
  /** Maximum number of requests that one daemon has in flight at one backend. */
  readonly maxInFlight: number;
  /** Chooses a service by weight; `draw` is a random number in [0, 1). */
  chooseService(draw: number): string;
  /** Whether the route sends requests to a service, with a weight above 0. */
  routesTo(service: string): boolean;
}
