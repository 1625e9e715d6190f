/** A client's request and the connection that it came on, as the proxy sees them. */
import type { Task } from "../runtime/task.js";
import type { ClientResponse } from "./request-outcome.js";

/** A client's request; a small body is buffered whole, the rest of a large one is still to come. */
export interface ProxyRequest {
  readonly method: string;
  /** The path with its query, as the client sent it. */
  readonly target: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  /** What follows `body`, as it arrives; it can be read once, and throws where the client aborts it. */
  readonly bodyRemainder?: AsyncIterable<Uint8Array>;
}

/** The connection to a client, for the response to one request. */
export interface ClientConnection {
  readonly isClosed: boolean;
  /** Calls back once the client has closed the connection; returns a cancel function. Absent where that isn't noticed. */
  onClosed?(run: () => void): () => void;
  /** Waits until all earlier requests on the connection are answered; false where that closed it. Absent where requests come one at a time. */
  awaitEarlierResponses?(): Task<boolean>;
  /** When the response should have ended: of two large ones, the one due first is sent first. */
  dueMs?: number;
  /** Sends a whole response. */
  respond(response: ClientResponse): void;
  /** Sends the head of a response that is streamed. */
  writeHead(code: number, headers: Record<string, string>): void;
  /** Sends a chunk of the body, and waits while the client is slow; false once the client has closed the connection. */
  writeChunk(bytes: Uint8Array): Task<boolean>;
  /** Ends a streamed response. */
  end(): void;
  /** Resets the connection, so that what was sent can't look complete. */
  abort(): void;
}

/** The path without its query. */
export function requestPath(clientRequest: ProxyRequest): string {
  const queryIndex = clientRequest.target.indexOf("?");
  return queryIndex < 0 ? clientRequest.target : clientRequest.target.slice(0, queryIndex);
}
