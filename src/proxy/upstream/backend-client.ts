/** The interface through which the proxy sends requests to backends. */
import type { Task } from "../../runtime/task.js";

/** A request to a backend. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  /** The buffered part of the body. */
  readonly body: Uint8Array;
  /** The part of the body after `body`, streamed as it arrives. */
  readonly bodyRemainder?: AsyncIterable<Uint8Array> | undefined;
}

/** The head of a backend's response and a reader of its body. */
export interface BackendResponse {
  readonly code: number;
  readonly headers: Record<string, string>;
  /** The next chunk; `end` after the last, `cut` if the body was truncated or missed the deadline. */
  nextChunk(): Task<Uint8Array | "end" | "cut">;
  /** Cancels the response; its body must not be read any further. */
  cancel(): void;
  /**
   * Records that it carries no request id: a duplicate could be mistaken for the response to the next request on its
   * connection.
   */
  markUnidentified?(): void;
}

/**
 * Why an attempt got no response head.
 *
 * - No byte was sent: `refused` (no process listens at the address), `foreign` (another service listens there),
 *   `unreached` (no connection opened in time), `withdrawn` (the attempt was no longer allowed when the connection opened or its
 *   first byte could be sent).
 * - Bytes were sent: `lost` (the connection failed), `late` (the deadline passed).
 */
export type OpenFailureCause = "refused" | "foreign" | "unreached" | "withdrawn" | "lost" | "late";

/** An attempt that got a response head. */
export interface OpenedResponse {
  readonly kind: "opened";
  readonly response: BackendResponse;
}

/** An attempt that got no response head. */
export interface OpenFailure {
  readonly kind: "failed";
  readonly cause: OpenFailureCause;
}

/** The result of sending an attempt. */
export type OpenResult = OpenedResponse | OpenFailure;

/** Creates the result of an attempt that got a response head. */
export const openedResponse = (response: BackendResponse): OpenedResponse => ({
  kind: "opened",
  response,
});

/** Creates the result of an attempt that failed before a response head. */
export const openFailure = (cause: OpenFailureCause): OpenFailure => ({ kind: "failed", cause });

/** Which request a response names as its own. */
export type ResponseIdentity = "own" | "other" | "none";

/** One attempt at a backend. */
export interface BackendAttempt {
  readonly address: string;
  readonly service: string;
  /** Key of the connection pool; each registration of a backend has one pool. */
  readonly pool: string;
  readonly request: BackendRequest;
  /** The deadline by the daemon's clock. */
  readonly deadlineMs: number;
  /**
   * The time at which its response should have ended. Of two large responses, the one with the earlier time is read
   * first.
   */
  readonly dueMs?: number | undefined;
  /**
   * Whether a response with these headers carries the id of this attempt, that of another request, or none. Absent if responses
   * that miss the deadline aren't awaited.
   */
  identifyResponse?(headers: BackendResponse["headers"]): ResponseIdentity;
  /** Whether it must run at most once. It then uses no connection that carried a response without a request id. */
  readonly isAtMostOnce?: boolean;
  /**
   * Registers a callback for when the client disconnects; returns a cancel function. Absent if the attempt is not
   * cancelled then.
   */
  onClientClosed?(callback: () => void): () => void;
  /** Whether it may still be sent. Called when the connection is open, right before the first byte. */
  maySend(): boolean;
  /**
   * Whether it may still be sent; called right before the first byte if a large body has waited for its turn on the link. By
   * default it may.
   */
  mayStillSend?(): boolean;
}

/** Sends requests to backends. */
export interface BackendClient {
  /** Sends one attempt; returns when the response head has arrived or the attempt has failed. */
  send(attempt: BackendAttempt): Task<OpenResult>;
  /** Closes the idle connections of all other pools, now and in the future. */
  retainPools(pools: ReadonlySet<string>): void;
  /** Closes all connections. */
  close(): void;
}

/** Path of the service proof, a response whose `SERVICE_HEADER` names the backend's service. */
export const SERVICE_PROOF_PATH = "/.well-known/daledoor";
/** Header in which a backend names its service, and a request the service that it is for. */
export const SERVICE_HEADER = "x-daledoor-service";
/** Timeout for opening a connection, and also for its service proof. */
export const CONNECT_TIMEOUT_MS = 1000;
