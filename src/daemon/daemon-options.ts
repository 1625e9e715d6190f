/** What a daemon is constructed with, and the requests that are handed to it. */
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

/** What a daemon is constructed with besides its settings. */
export interface DaemonOptions {
  /** The client for the backends as this machine reaches them. */
  readonly backendClient: BackendClient;
  /** Where accepted configs are archived, on a machine with a disk. */
  readonly archive?: ConfigArchive | undefined;
  /** The headers exchanged with clients and backends. */
  readonly headerNames?: HeaderNames;
  /** The pacers of both directions of the machine's link, where its rate is limited. */
  readonly pacers?: LinkPacers;
  /** Timeouts of the replicated log that override those derived from the bounds. */
  readonly replicationTimeouts?: Partial<ReplicationTimeouts>;
}
