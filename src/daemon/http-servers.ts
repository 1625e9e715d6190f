/** The HTTP servers of one daemon: for clients, for the admin API, and for readiness checks only. */
import { type ProxyRequest, requestPath } from "../proxy/proxy-request.js";
import { jsonResponse } from "../proxy/request-outcome.js";
import type { LinkPacer } from "../runtime/link-pacer.js";
import type { Task } from "../runtime/task.js";
import type { Adapter, TranslatedRequest } from "./adapter.js";
import type { Daemon } from "./daemon.js";
import { HttpServer } from "./http-server.js";
import { type Settings, rolesOf } from "./settings.js";

const MAX_CONFIG_BODY_BYTES = 64 * 1024 * 1024;

const isReadinessCheck = (clientRequest: ProxyRequest): boolean =>
  clientRequest.method === "GET" && requestPath(clientRequest) === "/ready";

const withoutTranslation = (clientRequest: ProxyRequest): TranslatedRequest => ({
  clientRequest,
  translateResponse: (response) => response,
});

/** Creates a server that passes the requests for which `isServed` holds to the daemon's admin API, and refuses others with 404. */
const createAdminServer = (
  daemon: Daemon,
  egress: LinkPacer,
  adapter: Adapter | undefined,
  isServed: (clientRequest: ProxyRequest) => boolean,
): HttpServer => {
  const server = new HttpServer(
    (clientRequest, client) => {
      const translated = adapter
        ? adapter.control.translateRequest(clientRequest)
        : withoutTranslation(clientRequest);
      if ("code" in translated) client.respond(translated);
      else if (isServed(translated.clientRequest))
        daemon.adminRequests.emit({
          clientRequest: translated.clientRequest,
          respond: (response) => client.respond(translated.translateResponse(response)),
        });
      else
        client.respond(jsonResponse(404, { error: "This address serves only readiness checks." }));
    },
    { egress, transferClass: "control" },
  );
  server.setLimits({ bodyBytes: MAX_CONFIG_BODY_BYTES });
  return server;
};

/** Opens and closes all HTTP servers of a daemon. */
export class HttpServers {
  private readonly settings: Settings;
  private readonly clients: HttpServer;
  private readonly admin: HttpServer;
  private readonly readiness: HttpServer;

  constructor(daemon: Daemon, settings: Settings, egress: LinkPacer, adapter: Adapter | undefined) {
    this.settings = settings;
    this.clients = new HttpServer(
      (clientRequest, client) => daemon.clientRequests.emit({ clientRequest, client }),
      { bufferWholeBodies: false, egress },
    );
    this.admin = createAdminServer(daemon, egress, adapter, () => true);
    this.readiness = createAdminServer(daemon, egress, adapter, isReadinessCheck);
    daemon.onRequestLimits = (limits) => this.clients.setLimits(limits);
  }

  /** Listens on the addresses in the settings. */
  *listen(): Task {
    const { operators, ready } = this.settings;
    yield* this.admin.listen(operators);
    if (ready !== undefined) yield* this.readiness.listen(ready);
    const address = this.clientAddress;
    if (address !== undefined) yield* this.clients.listen(address);
  }

  /** Whether clients have yet to receive responses or the end of their connections, or operators and backends responses. */
  get hasUnfinishedResponses(): boolean {
    return this.clients.connectionCount > 0 || this.admin.unfinishedResponses > 0;
  }

  /** Closes each client connection with the response to the last request on it. */
  closeClientConnections(): void {
    this.clients.closeClientConnections();
  }

  /** Stops accepting client connections. */
  stopAcceptingClients(): void {
    this.clients.close();
  }

  /** Stops accepting connections of clients, operators and backends. */
  stopAccepting(): void {
    this.clients.close();
    this.admin.close();
    this.readiness.close();
  }

  /** Closes all connections. */
  closeConnections(): void {
    for (const server of [this.clients, this.admin, this.readiness]) server.closeConnections();
  }

  /** The address for clients; undefined if the daemon is not an edge. */
  private get clientAddress(): string | undefined {
    return rolesOf(this.settings).includes("edge") ? this.settings.callers : undefined;
  }
}
