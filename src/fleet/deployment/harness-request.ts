/** One HTTP request of the harness on a connection of its own. */
import { Agent, request as httpRequest } from "node:http";

/** A request of an operator, a backend or the platform. */
export interface HarnessRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs: number;
}

/** The response, or status 0 if none came whole in time. */
export interface HarnessResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

const NO_RESPONSE: HarnessResponse = { status: 0, headers: {}, body: "" };

/** Sends a request on a new connection. */
export const sendHarnessRequest = (request: HarnessRequest): Promise<HarnessResponse> =>
  new Promise((resolve) => {
    const { host, port, method, path, headers = {}, body, timeoutMs } = request;
    const outgoing = httpRequest({
      host,
      port,
      method,
      path,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { "content-type": "application/json" }),
      },
      agent: new Agent({ keepAlive: false }),
    });
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    const finish = (response: HarnessResponse): void => {
      clearTimeout(timer);
      resolve(response);
    };
    outgoing.once("error", () => finish(NO_RESPONSE));
    outgoing.once("response", (incoming) => {
      const chunks: Buffer[] = [];
      incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
      incoming.once("error", () => finish(NO_RESPONSE));
      incoming.once("end", () =>
        finish({
          status: incoming.statusCode ?? 0,
          headers: incoming.headers,
          body: Buffer.concat(chunks).toString("utf8"),
        }),
      );
    });
    outgoing.end(body);
  });
