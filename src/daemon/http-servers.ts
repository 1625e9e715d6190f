/** The HTTP servers of one daemon: for clients, for the admin API, and for readiness checks alone. */
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

/** A server that hands the requests of a filter to the daemon's admin API. */
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
      else client.respond(jsonResponse(404, { error: "Only readiness is served here." }));
    },
    { egress, transferClass: "control" },
  );
  server.setLimits({ bodyBytes: MAX_CONFIG_BODY_BYTES });
  return server;
};

/** The servers of a daemon, opened and closed together. */
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

  /** Listens on the addresses of the settings. */
  *listen(): Task {
    const { operators, ready } = this.settings;
    yield* this.admin.listen(operators);
    if (ready !== undefined) yield* this.readiness.listen(ready);
    const address = this.clientAddress;
    if (address !== undefined) yield* this.clients.listen(address);
  }

  /** Whether responses to clients are still being written. */
  get hasUnfinishedResponses(): boolean {
    return this.clients.unfinishedResponses > 0;
  }

  /** Has every response close its client's connection from now on. */
  closeClientConnections(): void {
    this.clients.closeClientConnections();
  }

  /** Accepts no new client connections. */
  stopAcceptingClients(): void {
    if (this.clientAddress !== undefined) this.clients.close();
  }

  /** Closes all servers and their connections. */
  close(): void {
    this.clients.closeConnections();
    for (const server of [this.admin, this.readiness]) {
      server.close();
      server.closeConnections();
    }
  }

  /** Where clients connect; undefined at a daemon that is no edge. */
  private get clientAddress(): string | undefined {
    return rolesOf(this.settings).includes("edge") ? this.settings.callers : undefined;
  }
}
