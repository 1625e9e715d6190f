/** The dependencies of a daemon and the requests that it receives. */
import type { ConfigArchive } from "../admin/config-archive.js";
import type { HeaderNames } from "../proxy/header-names.js";
import type { ClientConnection, ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import type { BackendClient } from "../proxy/upstream/backend-client.js";
import type { ReplicationTimeouts } from "../replication/replication-timeouts.js";
import type { LinkPacers } from "../runtime/link-pacer.js";

/** A client's request to the proxy. */
export interface IncomingRequest {
  readonly clientRequest: ProxyRequest;
  readonly client: ClientConnection;
}

/** A request to the admin API. */
export interface IncomingAdminRequest {
  readonly clientRequest: ProxyRequest;
  /** Sends the response. */
  readonly respond: (response: ClientResponse) => void;
}

/** The dependencies and overrides that a daemon is constructed with in addition to its settings. */
export interface DaemonOptions {
  /** The client that sends requests to backends from this machine. */
  readonly backendClient: BackendClient;
  /** The archive of accepted configs, on a machine with a disk. */
  readonly archive?: ConfigArchive | undefined;
  /** The headers exchanged with clients and backends. */
  readonly headerNames?: HeaderNames;
  /** The pacers for both directions of the machine's link, whose rate may be limited. */
  readonly pacers?: LinkPacers;
  /** Timeouts of the replicated log that override those derived from the bounds. */
  readonly replicationTimeouts?: Partial<ReplicationTimeouts>;
}
