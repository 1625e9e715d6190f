/** A route in the form in which requests are served by it, with all defaults filled in. */
import type { Config } from "../configuration/config.js";

type Route = Config["routes"][string];

/** How long requests of a route may take, how often they may be sent, and their priority. */
export interface RouteTargets {
  /** The largest number of backends that one request may be sent to. */
  readonly attempts: number;
  /** One less than `attempts`. */
  readonly maxRetries: number;
  /** How long a request may take before it is answered with a timeout. */
  readonly timeoutMs: number;
  /** The latency target, by which the load balancer judges backends. */
  readonly latencyTargetMs: number;
  /** The priority of its requests, 0 the highest. */
  readonly priority: number;
}

/** A route of the configuration in force, prepared for serving. */
export interface ActiveRoute extends RouteTargets {
  readonly name: string;
  /** The host in lower case, or undefined for any. */
  readonly host: string | undefined;
  /** The services that serve its requests, with their weights. */
  readonly splits: ReadonlyArray<{ readonly service: string; readonly weight: number }>;
  /** The first of its services. */
  readonly service: string;
  readonly methods: ReadonlySet<string> | undefined;
  readonly path: string;
  readonly isPrefix: boolean;
  readonly kind: NonNullable<Route["kind"]>;
  readonly isDownload: boolean;
  readonly repeatable: boolean;
  readonly keyed: boolean;
  readonly stampHeader: string;
  /** How many requests a daemon may have in flight at one backend. */
  readonly maxInFlight: number;
  /** Chooses a service by weight; `draw` is a random number from 0 up to, but not including, 1. */
  chooseService(draw: number): string;
  /** Whether the route sends requests to a service. */
  routesTo(service: string): boolean;
}
