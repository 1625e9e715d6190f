/** The HTTP clients of a fleet of real processes: for requests to the proxy, and to the admin API. */
import { Pool, request } from "undici";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { type Task, fromPromise } from "../runtime/task.js";
import type { ClientOutcome } from "../simulation/client-transport.js";
import { CLIENT_TIMEOUT_MS } from "../simulation/workload.js";

const ADMIN_TIMEOUT_MS = 5000;
const MAX_CONNECTIONS_PER_DAEMON = 200;

/** What a client records where no response came. */
export const noResponse = (broke: ClientOutcome["failure"]): ClientOutcome => ({
  code: 0,
  failure: broke,
  body: Buffer.alloc(0),
  contentLength: undefined,
  retryAfterS: undefined,
});

const classifyFailure = (error: unknown, timeoutMs: number): ClientOutcome["failure"] => {
  if (!(error instanceof Error)) return "broken";
  if (error.name === "TimeoutError") return timeoutMs < CLIENT_TIMEOUT_MS ? "hungUp" : "silent";
  return "code" in error && error.code === "ECONNREFUSED" ? "refused" : "broken";
};

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

const parseNumber = (value: string | string[] | undefined): number | undefined => {
  const text = firstValue(value);
  return text === undefined ? undefined : Number(text);
};

const getRequestBody = (clientRequest: ProxyRequest): Uint8Array | null =>
  clientRequest.body.length > 0 ? clientRequest.body : null;

/** Sends requests to the proxies of daemons, with a connection pool for each. */
export class FleetClient {
  private readonly pools = new Map<string, Pool>();

  /** Sends one request; a client that has no response by its timeout hangs up. */
  *send(address: string, clientRequest: ProxyRequest, timeoutMs: number): Task<ClientOutcome> {
    const outcome = yield* fromPromise(
      this.pool(address)
        .request({
          method: clientRequest.method,
          path: clientRequest.target,
          headers: clientRequest.headers,
          body: getRequestBody(clientRequest),
          signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
        })
        .then(async ({ statusCode, headers, body }) => ({
          statusCode,
          headers,
          body: Buffer.from(await body.arrayBuffer()),
        })),
    );
    if ("error" in outcome) return noResponse(classifyFailure(outcome.error, timeoutMs));
    const { statusCode, headers, body } = outcome.value;
    return {
      code: statusCode,
      failure: "",
      body,
      contentLength: parseNumber(headers["content-length"]),
      retryAfterS: parseNumber(headers["retry-after"]),
    };
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map((pool) => pool.destroy()));
  }

  private pool(address: string): Pool {
    const known = this.pools.get(address);
    if (known) return known;
    const pool = new Pool(`http://${address}`, {
      pipelining: 1,
      connections: MAX_CONNECTIONS_PER_DAEMON,
    });
    this.pools.set(address, pool);
    return pool;
  }
}

const toAdminMethod = ({ method }: ProxyRequest): "GET" | "PUT" | "PATCH" | "POST" =>
  method === "PUT" || method === "PATCH" || method === "GET" ? method : "POST";

/** Sends one request to the admin API at an address; undefined without a response. */
export const sendAdminRequest = function* (
  address: string,
  clientRequest: ProxyRequest,
): Task<ClientResponse | undefined> {
  const outcome = yield* fromPromise(
    request(`http://${address}${clientRequest.target}`, {
      method: toAdminMethod(clientRequest),
      headers: clientRequest.headers,
      body: getRequestBody(clientRequest),
      signal: AbortSignal.timeout(ADMIN_TIMEOUT_MS),
    }).then(async ({ statusCode, body }) => ({
      code: statusCode,
      headers: {},
      body: Buffer.from(await body.arrayBuffer()),
    })),
  );
  return "value" in outcome ? outcome.value : undefined;
};
