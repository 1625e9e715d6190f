import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import type { Settings } from "../daemon/settings.js";
import type { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { ClientRecord } from "./event-recorder.js";

/** How a caller's request ended, as the caller saw it. */
export interface ClientOutcome {
  readonly code: number;
  readonly failure: ClientRecord["failure"];
  readonly body: Buffer;
  readonly contentLength: number | undefined;
  readonly retryAfterS: number | undefined;
}

/** The way from callers, back ends and operators to daemons: virtual or real. */
export interface ClientTransport {
  readonly clock: Clock;
  random(): number;
  /** The edges that the platform sends new connections to. */
  readyDaemons(): Array<Pick<Settings, "machine" | "zone">>;
  /** Whether a daemon's process runs, so that a kept connection to it may be used though it takes no new ones. */
  isUp(daemon: string): boolean;
  sendRequest(daemon: string, clientRequest: ProxyRequest, patienceMs: number): Task<ClientOutcome>;
  /** Asks the operators' port of a daemon, any daemon where none is named, from a back end's place or the operators'. */
  sendAdminRequest(
    daemon: string | undefined,
    clientRequest: ProxyRequest,
    from?: string,
    patienceMs?: number,
  ): Task<ClientResponse | undefined>;
  start(task: Task<unknown>): void;
}
