/** What this daemon itself knows of routes, services, backends' shares and request counts, as query responses. */
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";
import type { Clock } from "../runtime/clock.js";
import type { AdminDependencies, DaemonStatusSource } from "./admin-dependencies.js";
import { errorResponse } from "./admin-response.js";

/** The part of all requests from which on a route counts as heavy. */
const HEAVY_ROUTE_FRACTION = 0.1;

type BackendShare = { readonly service: string } & ReturnType<LoadBalancer["explain"]>[number];

/** Answers queries from the daemon's own view, without the leader. */
export class RoutingExplanations {
  private readonly clock: Clock;
  private readonly dependencies: AdminDependencies;

  constructor(clock: Clock, dependencies: AdminDependencies) {
    this.clock = clock;
    this.dependencies = dependencies;
  }

  /** All routes with their services and goals. */
  routes(): ClientResponse {
    const { clusterView } = this.dependencies;
    return jsonResponse(200, {
      sequence: clusterView.configSequence,
      routes: clusterView.routeTable.all.map(
        ({ name, service, latencyTargetMs: goalMs, maxRetries: furtherTries, repeatable }) => ({
          route: name,
          service,
          goalMs,
          furtherTries,
          repeatable,
        }),
      ),
    });
  }

  /** A route's service, and how its requests are shared among that service's backends. */
  route(name: string): ClientResponse {
    const { clusterView } = this.dependencies;
    const route = clusterView.routeTable.all.find((one) => one.name === name);
    if (!route) return errorResponse(404, `No route "${name}" is in force.`);
    return jsonResponse(200, {
      route: route.name,
      service: route.service,
      why: `config ${clusterView.configSequence} says so`,
      backEnds: this.explain(route.service),
    });
  }

  /** A service's backends, and its requests and retries in the window of the retry budget. */
  service(service: string): ClientResponse {
    const { clusterView, daemon, retryRules } = this.dependencies;
    const id = clusterView.idOf("service", service);
    if (id === undefined) return errorResponse(404, `No service "${service}" is in force.`);
    const { sketch, windowMs } = retryRules;
    const latest = daemon.counts();
    const counts = latest?.counts.ofService(id, this.clock.nowMs(), windowMs);
    return jsonResponse(200, {
      service,
      windowMs,
      firstTries: counts ? Math.round(counts.firstAttempts) : null,
      furtherTries: counts ? Math.round(counts.retries) : null,
      furtherTriesAllowed: counts
        ? Math.floor(sketch.earned * counts.firstAttempts + sketch.pool)
        : null,
      coverage: latest ? coverageOf(latest) : null,
      backEnds: this.explain(service),
    });
  }

  /** The routes that receive a large part of all requests. */
  heavyRoutes(): ClientResponse {
    const { clusterView, daemon, retryRules } = this.dependencies;
    const latest = daemon.counts();
    if (!latest) return errorResponse(503, "The fleet's counts have not come yet.");
    const { windowMs } = retryRules;
    const heavy = latest.counts.findHeavyRoutes(HEAVY_ROUTE_FRACTION, this.clock.nowMs(), windowMs);
    const routes = heavy.map(({ item, estimate }) => ({
      route: clusterView.nameOf(item)?.replace(/^route /, "") ?? `number ${item}`,
      requests: Math.round(estimate),
    }));
    return jsonResponse(200, {
      atLeastPartOfAll: HEAVY_ROUTE_FRACTION,
      windowMs,
      routes,
      coverage: coverageOf(latest),
    });
  }

  /** The shares of all backends. */
  shares(): ClientResponse {
    return jsonResponse(200, { shares: this.allShares() });
  }

  /** The share of the backend at an address. */
  share(address: string): ClientResponse {
    const found = this.allShares().find((share) => share.address === address);
    return found
      ? jsonResponse(200, { ...found })
      : errorResponse(404, `No back end at ${address} is known here.`);
  }

  private allShares(): BackendShare[] {
    return this.dependencies.clusterView.services.flatMap((service) =>
      this.explain(service).map((share) => ({ service, ...share })),
    );
  }

  private explain(service: string): ReturnType<LoadBalancer["explain"]> {
    const { clusterView, loadBalancer } = this.dependencies;
    return loadBalancer.explain(clusterView.backendsOf(service), this.clock.nowMs());
  }
}

/** How many edges the counts cover, and how old they are. */
const coverageOf = ({
  coverage,
  ageMs,
}: NonNullable<ReturnType<DaemonStatusSource["counts"]>>): Record<string, unknown> => ({
  ...coverage,
  ageMs: Math.round(ageMs),
});
