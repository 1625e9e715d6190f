/** The admin API: the HTTP interface for operators, backends and the platform's readiness checks. */
import { create, literal, object } from "superstruct";
import { type ProxyRequest, requestPath } from "../proxy/proxy-request.js";
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import type { AdminDependencies, DaemonStatusSource } from "./admin-dependencies.js";
import { errorResponse } from "./admin-response.js";
import { BackendRegistrationEndpoints } from "./backend-registration-endpoints.js";
import { ConfigEndpoints } from "./config-endpoints.js";
import { QueryEndpoint } from "./query-endpoint.js";

const readyShape = object({ ready: literal(true) });

const CONFIG_VERSION_PATH = /^\/config\/(\d{1,15})$/;

/** The endpoints as listed to a client that requests an unknown path. */
const SERVED_ENDPOINTS = [
  "GET /ready",
  "GET /status",
  "GET|PUT|PATCH /config",
  "GET /config/VERSION",
  "POST /config/items",
  "GET /config/history",
  "POST /backends/announce",
  "POST /backends/leave",
  "POST /ask",
];

type Endpoint = (clientRequest: ProxyRequest) => Task<ClientResponse>;

/** Dispatches requests to the endpoints by method and path. */
export class AdminApi {
  private readonly daemon: DaemonStatusSource;
  private readonly config: ConfigEndpoints;
  private readonly endpoints: ReadonlyMap<string, Endpoint>;

  constructor(runtime: Runtime, dependencies: AdminDependencies) {
    const log = runtime.loggers.component("admin");
    this.daemon = dependencies.daemon;
    const config = new ConfigEndpoints(runtime, dependencies);
    const registrations = new BackendRegistrationEndpoints(runtime, dependencies, log);
    const query = new QueryEndpoint(runtime, dependencies, config);
    const change: Endpoint = (clientRequest) => config.change(clientRequest);
    this.config = config;
    this.endpoints = new Map<string, Endpoint>([
      ["GET /ready", () => this.readiness()],
      ["GET /status", () => this.status()],
      ["GET /config", () => config.read()],
      ["GET /config/history", () => config.forward({ kind: "history" })],
      ["PUT /config", change],
      ["PATCH /config", change],
      ["POST /config/items", change],
      ["POST /backends/announce", (clientRequest) => registrations.register(clientRequest)],
      ["POST /backends/leave", (clientRequest) => registrations.deregister(clientRequest)],
      ["POST /ask", (clientRequest) => query.handle(clientRequest)],
    ]);
  }

  /** Answers one request. */
  *handle(clientRequest: ProxyRequest): Task<ClientResponse> {
    const path = requestPath(clientRequest);
    const version = CONFIG_VERSION_PATH.exec(path)?.[1];
    if (clientRequest.method === "GET" && version !== undefined)
      return yield* this.config.read(Number(version));
    const endpoint = this.endpoints.get(`${clientRequest.method} ${path}`);
    if (!endpoint)
      return errorResponse(404, "Nothing is served at this path.", { served: SERVED_ENDPOINTS });
    return yield* endpoint(clientRequest);
  }

  private *readiness(): Task<ClientResponse> {
    const why = this.daemon.notReadyReason();
    return why === ""
      ? jsonResponse(200, create({ ready: true }, readyShape))
      : jsonResponse(503, { ready: false, why });
  }

  private *status(): Task<ClientResponse> {
    return jsonResponse(200, this.daemon.status());
  }
}
