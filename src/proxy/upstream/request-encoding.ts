/** A backend request in the form in which undici sends it, paced by the link. */
import { Readable } from "node:stream";
import type { Dispatcher } from "undici";
import type { LinkPacer, Transfer } from "../../runtime/link-pacer.js";
import type { BackendRequest } from "./backend-client.js";

/** About how many bytes a request's head takes beside its path and headers. */
const REQUEST_LINE_BYTES = 100;

/** Bytes in chunks, each once its turn on the link came. */
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

/** A request's body as undici sends it: a large one in turns with the other transfers on the link. */
export const requestBody = (
  { body, bodyRemainder: rest }: BackendRequest,
  egress: LinkPacer,
  dueMs: number,
): Uint8Array | Readable | null => {
  if (!rest && body.length <= egress.smallBytes) {
    egress.recordBytes(body.length);
    return body.length > 0 ? body : null;
  }
  return Readable.from(
    (async function* () {
      const transfer = egress.begin({ transferClass: "request", dueMs }, body.length);
      try {
        yield* pacedChunks(body, transfer, egress.turnBytes);
        if (rest)
          for await (const chunk of rest) yield* pacedChunks(chunk, transfer, egress.turnBytes);
      } finally {
        transfer.end();
      }
    })(),
    { objectMode: false },
  );
};

/** A request's headers as undici sends them; the length of a paced body is stated. */
export const requestHeaders = (
  { headers, body, bodyRemainder: rest }: BackendRequest,
  { smallBytes }: LinkPacer,
): BackendRequest["headers"] =>
  !rest && body.length > smallBytes
    ? { ...headers, "content-length": String(body.length) }
    : headers;

/** About how many bytes the head of a request takes on the link. */
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

/** Whether undici can send a request of this method. */
export const isHttpMethod = (method: string): method is Dispatcher.HttpMethod =>
  HTTP_METHODS.has(method);
