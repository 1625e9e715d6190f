/** The proxy's interfaces for a client's request and its connection. */
import type { Task } from "../runtime/task.js";
import type { ClientResponse } from "./request-outcome.js";

/** A client's request. A small body is buffered completely, a large one only in part. */
export interface ProxyRequest {
  readonly method: string;
  /** The path and query, as the client sent them. */
  readonly target: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  /**
   * The part of a large body after `body`, streamed as it arrives. It can be read once, and throws if the client aborts.
   */
  readonly bodyRemainder?: AsyncIterable<Uint8Array>;
}

/** The client's side of one request: its connection, and the functions that send its response. */
export interface ClientConnection {
  readonly isClosed: boolean;
  /**
   * Registers a callback for when the client closes the connection; returns a cancel function. Absent if the close is
   * not detected.
   */
  onClosed?(callback: () => void): () => void;
  /**
   * Waits until all earlier requests on the connection are answered; false if one of the responses closed it. Absent
   * without pipelining.
   */
  awaitEarlierResponses?(): Task<boolean>;
  /**
   * The time at which the response should have ended. Of two large responses, the one with the earlier time is sent
   * first.
   */
  dueMs?: number;
  /** Sends a complete response. */
  respond(response: ClientResponse): void;
  /** Sends the head of a response that is streamed. */
  writeHead(code: number, headers: Record<string, string>): void;
  /** Sends a chunk of the body with backpressure from the client; false once the client has closed the connection. */
  writeChunk(bytes: Uint8Array): Task<boolean>;
  /** Ends a streamed response. */
  end(): void;
  /** Resets the connection, so that the client can't mistake a truncated response for a complete one. */
  abort(): void;
}

/** The path without its query. */
export function requestPath(clientRequest: ProxyRequest): string {
  const queryIndex = clientRequest.target.indexOf("?");
  return queryIndex < 0 ? clientRequest.target : clientRequest.target.slice(0, queryIndex);
}
