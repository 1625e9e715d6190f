/** Encodes backend requests for undici and paces their bodies on the link. */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { LinkPacer, Transfer } from "../../runtime/link-pacer.js";
import type { BackendRequest } from "./backend-client.js";

/** Approximate size of a request's head besides its path and headers. */
const REQUEST_LINE_BYTES = 100;

/** Splits bytes into chunks, and yields each at its turn on the link. */
const pacedChunks = async function* (
  bytes: Uint8Array,
  transfer: Transfer,
  turnBytes: number,
): AsyncGenerator<Uint8Array> {
  for (let offset = 0; offset < bytes.length; offset += turnBytes) {
    const chunk = bytes.subarray(offset, offset + turnBytes);
    await new Promise<void>((done) => transfer.onTurn(chunk.length, done));
    yield chunk;
  }
};

/** Creates a request's body for undici. A large body shares the link with the other transfers in turns. */
export const requestBody = (
  { body, bodyRemainder }: BackendRequest,
  egress: LinkPacer,
  dueMs: number,
): Uint8Array | Readable | null => {
  if (!bodyRemainder && body.length <= egress.smallBytes) {
    egress.recordBytes(body.length);
    return body.length > 0 ? body : null;
  }
  return Readable.from(
    (async function* () {
      const transfer = egress.begin({ transferClass: "request", dueMs }, body.length);
      try {
        yield* pacedChunks(body, transfer, egress.turnBytes);
        if (bodyRemainder)
          for await (const chunk of bodyRemainder)
            yield* pacedChunks(chunk, transfer, egress.turnBytes);
      } finally {
        transfer.end();
      }
    })(),
    { objectMode: false },
  );
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
