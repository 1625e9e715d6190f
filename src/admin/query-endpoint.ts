/** The query endpoint: handles operators' one-line queries about the fleet, and changes that have a query form. */
import { create, define, string, type, unknown } from "superstruct";
import type { Command } from "../control-protocol/command.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { COMMAND_TIMEOUT_MS, type AdminDependencies } from "./admin-dependencies.js";
import { errorResponse, noLeaderResponse } from "./admin-response.js";
import type { ConfigEndpoints } from "./config-endpoints.js";
import { parseQuery, QUERY_FORMS, type Query } from "./query-parser.js";
import { RoutingExplanations } from "./routing-explanations.js";

/** Number of the latest journal entries that `explain` returns. */
const MAX_JOURNAL_ENTRIES = 100;

const historyShape = type({
  journal: define<Array<{ index: number; text: string }>>("journal", Array.isArray),
});
const fleetShape = type({
  leader: string(),
  voters: unknown(),
  learners: unknown(),
  machines: unknown(),
  backEnds: unknown(),
});

/** A query that changes the configuration or a backend. */
type ChangeQuery = Extract<Query, { kind: "moveRoute" | "setGoal" | "drainBackend" }>;

const isChange = (query: Query): query is ChangeQuery =>
  query.kind === "moveRoute" || query.kind === "setGoal" || query.kind === "drainBackend";

/** Serves `POST /ask`. */
export class QueryEndpoint {
  private readonly dependencies: AdminDependencies;
  private readonly config: ConfigEndpoints;
  private readonly routing: RoutingExplanations;

  constructor(runtime: Runtime, dependencies: AdminDependencies, config: ConfigEndpoints) {
    this.dependencies = dependencies;
    this.config = config;
    this.routing = new RoutingExplanations(runtime.clock, dependencies);
  }

  /** Parses the request's body as one query and handles it. */
  *handle(clientRequest: ProxyRequest): Task<ClientResponse> {
    const parsed = parseQuery(Buffer.from(clientRequest.body).toString("utf8"));
    if ("fault" in parsed)
      return errorResponse(
        400,
        `Unexpected "${parsed.fault.word}"; expected ${parsed.fault.expected}.`,
        { ...parsed.fault, forms: QUERY_FORMS },
      );
    const { query } = parsed;
    return isChange(query) ? yield* this.change(query) : yield* this.read(query);
  }

  private *read(query: Exclude<Query, ChangeQuery>): Task<ClientResponse> {
    switch (query.kind) {
      case "showMachines":
      case "showBackends":
        return yield* this.showFleet(query.kind);
      case "explain":
        return yield* this.explain();
      case "showService":
        return this.routing.service(query.service);
      case "showRoutes":
        return this.routing.routes();
      case "showHeavyRoutes":
        return this.routing.heavyRoutes();
      case "showShares":
        return this.routing.shares();
      case "whyShare":
        return this.routing.share(query.address);
      case "whyRoute":
        return this.routing.route(query.route);
    }
  }

  private *change(query: ChangeQuery): Task<ClientResponse> {
    switch (query.kind) {
      case "moveRoute":
        return yield* this.config.patchRoute(query.route, {
          routes: { [query.route]: { service: query.service, split: null, origin: null } },
        });
      case "setGoal": {
        const { route, latencyMs, retryLimit } = query;
        const hasRetryLimit = retryLimit !== undefined;
        return yield* this.config.patchRoute(route, {
          routes: { [route]: { origin: null, ...(hasRetryLimit ? { attempts: null } : {}) } },
          goals: {
            [route]: { latencyMs, ...(hasRetryLimit ? { furtherTries: retryLimit } : {}) },
          },
        });
      }
      case "drainBackend":
        return yield* this.config.forward({ kind: "drainBackEnd", address: query.address });
    }
  }

  private *showFleet(kind: "showMachines" | "showBackends"): Task<ClientResponse> {
    const text = yield* this.command({ kind: "fleet" });
    if (text === undefined) return noLeaderResponse();
    const fleet = create(JSON.parse(text), fleetShape);
    const { leader, voters, learners, machines, backEnds } = fleet;
    return kind === "showMachines"
      ? jsonResponse(200, { leader, voters, learners, machines })
      : jsonResponse(200, { backEnds });
  }

  private *explain(): Task<ClientResponse> {
    const text = yield* this.command({ kind: "history" });
    if (text === undefined) return noLeaderResponse();
    return jsonResponse(200, {
      journal: create(JSON.parse(text), historyShape).journal.slice(-MAX_JOURNAL_ENTRIES),
    });
  }

  private command(command: Command): Task<string | undefined> {
    return this.dependencies.forwarder.command(command, COMMAND_TIMEOUT_MS);
  }
}
