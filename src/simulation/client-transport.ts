import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import type { Settings } from "../daemon/settings.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { ClientRecord } from "./event-recorder.js";

/** The outcome of a client request, as the client observes it. */
export interface ClientOutcome {
  readonly code: number;
  readonly failure: ClientRecord["failure"];
  readonly body: Buffer;
  readonly contentLength: number | undefined;
  readonly retryAfterS: number | undefined;
}

/** The transport from clients, backends and operators to daemons, over the virtual network or real sockets. */
export interface ClientTransport {
  readonly clock: Clock;
  random(): number;
  /** The daemons that accept new client connections. */
  readyDaemons(): Array<Pick<Settings, "machine" | "zone">>;
  /** Whether a daemon's process runs. An existing connection to it stays usable even if it accepts no new ones. */
  isUp(daemon: string): boolean;
  sendRequest(daemon: string, clientRequest: ProxyRequest, timeoutMs: number): Task<ClientOutcome>;
  /**
   * Sends a request to a daemon's admin API, or to a random daemon where none is named. `from` is the location of the
   * sending backend; by default the operators' location.
   */
  sendAdminRequest(
    daemon: string | undefined,
    clientRequest: ProxyRequest,
    from?: string,
    timeoutMs?: number,
  ): Task<ClientResponse | undefined>;
  start(task: Task<unknown>): void;
}
