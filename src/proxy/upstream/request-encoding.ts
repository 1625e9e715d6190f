/** Encodes backend requests for undici and paces their bodies on the link. */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { LinkPacer } from "../../runtime/link-pacer.js";
import type { BackendRequest } from "./backend-client.js";

/** Approximate size of a request's head besides its path and headers. */
const REQUEST_LINE_BYTES = 100;

/** Thrown at the turn of a body's first byte if its request may no longer be sent. */
export class RequestWithdrawnError extends Error {
  readonly code = "REQUEST_WITHDRAWN";
}

/** What happens while a body is sent. */
export interface BodyEvents {
  /** Whether the request may still be sent; called at the turn of a paced body's first byte, before the request's head is written. */
  readonly mayStart: () => boolean;
  /** Called when the whole body is handed over. */
  readonly onSent: () => void;
}

/** Yields the chunks of a large body, each at its turn on the link. */
const pacedBody = async function* (
  { body, bodyRemainder }: BackendRequest,
  egress: LinkPacer,
  dueMs: number,
  { mayStart, onSent }: BodyEvents,
): AsyncGenerator<Uint8Array> {
  const transfer = egress.begin({ transferClass: "request", dueMs }, body.length);
  const { turnBytes } = egress;
  let isStarted = false;
  const pacedChunks = async function* (bytes: Uint8Array): AsyncGenerator<Uint8Array> {
    for (let offset = 0; offset < bytes.length; offset += turnBytes) {
      const chunk = bytes.subarray(offset, offset + turnBytes);
      await new Promise<void>((done) => transfer.onTurn(chunk.length, done));
      if (!isStarted && !mayStart())
        throw new RequestWithdrawnError("The request may no longer be sent to this backend.");
      isStarted = true;
      yield chunk;
    }
  };
  try {
    yield* pacedChunks(body);
    if (bodyRemainder) for await (const chunk of bodyRemainder) yield* pacedChunks(chunk);
    onSent();
  } finally {
    transfer.end();
  }
};

/** Creates a request's body for undici. A large body shares the link with the other transfers in turns. */
export const requestBody = (
  request: BackendRequest,
  egress: LinkPacer,
  dueMs: number,
  events: BodyEvents,
): Uint8Array | Readable | null => {
  const { body, bodyRemainder } = request;
  if (!bodyRemainder && body.length <= egress.smallBytes) {
    egress.recordBytes(body.length);
    events.onSent();
    return body.length > 0 ? body : null;
  }
  return Readable.from(pacedBody(request, egress, dueMs, events), { objectMode: false });
};

/** Creates a request's headers for undici, with the length of a paced body. */
export const requestHeaders = (
  { headers, body, bodyRemainder }: BackendRequest,
  { smallBytes }: LinkPacer,
): BackendRequest["headers"] =>
  !bodyRemainder && body.length > smallBytes
    ? { ...headers, "content-length": String(body.length) }
    : headers;

/** Estimates the size of a request's head on the link. */
export const requestHeadBytes = ({ path, headers }: BackendRequest): number => {
  let bytes = REQUEST_LINE_BYTES + path.length;
  for (const name in headers) bytes += name.length + (headers[name]?.length ?? 0) + 4;
  return bytes;
};

const HTTP_METHODS = new Set<string>([
  "GET",
  "HEAD",
  "POST",
  "PUT",
  "DELETE",
  "CONNECT",
  "OPTIONS",
  "TRACE",
  "PATCH",
]);

/** Whether undici accepts this method. */
export const isHttpMethod = (method: string): method is Dispatcher.HttpMethod =>
  HTTP_METHODS.has(method);
