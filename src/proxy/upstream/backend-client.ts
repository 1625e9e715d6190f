/** How the proxy reaches backends: the interface of a client, its requests and their results. */
import type { Task } from "../../runtime/task.js";

/** One request as it goes to a backend: the buffered part of its body, and the part that is still to come. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  readonly bodyRemainder?: AsyncIterable<Uint8Array> | undefined;
}

/** The head of a backend's response, and its body chunk by chunk. */
export interface BackendResponse {
  readonly code: number;
  readonly headers: Record<string, string>;
  /** The next chunk; `end` after the last, `cut` where the body was cut short or came too late. */
  nextChunk(): Task<Uint8Array | "end" | "cut">;
  /** Ends the response, whose body is not read any further. */
  cancel(): void;
  /** Notes that it names no request: a duplicate of it could pass for the response to the next request on its connection. */
  markUnidentified?(): void;
}

/**
 * Why an attempt got no response head. Nothing was sent: `refused` (nobody listens there), `foreign` (another service
 * listens there), `unreached` (no connection in time), `withdrawn` (it was no longer allowed once the connection was open).
 * Bytes were sent: `lost` (the connection broke), `late` (the deadline passed).
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

/** How an attempt began. */
export type OpenResult = OpenedResponse | OpenFailure;

/** The result of an attempt that got this response. */
export const openedResponse = (response: BackendResponse): OpenedResponse => ({
  kind: "opened",
  response,
});

/** The result of an attempt that failed before a response head. */
export const openFailure = (cause: OpenFailureCause): OpenFailure => ({ kind: "failed", cause });

/** One attempt at a backend. */
export interface BackendAttempt {
  readonly address: string;
  readonly service: string;
  /** Connections are shared within a pool: one for each registration of a backend. */
  readonly pool: string;
  readonly request: BackendRequest;
  /** The deadline, by the daemon's clock. */
  readonly deadlineMs: number;
  /** When its response should have ended; of two large ones, the one due first is read first. */
  readonly dueMs?: number | undefined;
  /** Whether it must run at most once: it then uses no connection on which a response named no request. */
  readonly isAtMostOnce?: boolean;
  /** Registers a callback for when nobody waits for the response any more, where it may then be cancelled; returns a cancel function. */
  onClientClosed?(run: () => void): () => void;
  /** Whether it may still be sent; called when the connection is open, right before the first byte. */
  maySend(): boolean;
}

/** Sends requests to backends. */
export interface BackendClient {
  /** Sends one attempt; returns once the response head came, or the attempt failed. */
  send(attempt: BackendAttempt): Task<OpenResult>;
  /** Closes the idle connections of all other pools, now and in the future. */
  retainPools(pools: ReadonlySet<string>): void;
  /** Closes all connections. */
  close(): void;
}

/** Where a backend serves the proof of its service: any response whose `SERVICE_HEADER` names it. */
export const SERVICE_PROOF_PATH = "/.well-known/daledoor";
/** In which a backend names its service, and a request the service it is for. */
export const SERVICE_HEADER = "x-daledoor-service";
/** How long opening a connection may take, and how long its service proof. */
export const CONNECT_TIMEOUT_MS = 1000;
