import type { Task } from "../runtime/task.js";
import type { ClientResponse } from "./request-outcome.js";

/** A caller's request; a small body is held whole, of a large one the rest is still to come. */
export interface ProxyRequest {
  readonly method: string;
  /** The path with its query, as the caller sent it. */
  readonly target: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  /** What follows `body`, as it comes; it can be read once. It raises an error where the caller breaks it off. */
  readonly rest?: AsyncIterable<Uint8Array>;
}

/** The way back to a caller. */
export interface ClientConnection {
  readonly isClosed: boolean;
  /** Calls back once the caller has left; returns a cancel function. Absent where nothing is heard of it. */
  onClosed?(run: () => void): () => void;
  /** Waits until all that came before on its connection is answered; false where that closed the connection. Absent where requests come one at a time. */
  awaitTurn?(): Task<boolean>;
  /** When the response should have ended: of two large ones, that which is due first goes first. */
  dueMs?: number;
  respond(response: ClientResponse): void;
  writeHead(code: number, headers: Record<string, string>): void;
  /** Passes a piece on; false once the caller is gone. */
  writeChunk(bytes: Uint8Array): Task<boolean>;
  end(): void;
  /** Breaks the connection, so that what was sent can't look complete. */
  abort(): void;
}

export const ProxyRequest = {
  /** The path without its query. */
  path(clientRequest: ProxyRequest): string {
    const query = clientRequest.target.indexOf("?");
    return query < 0 ? clientRequest.target : clientRequest.target.slice(0, query);
  },
};
