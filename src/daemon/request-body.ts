/** Reading of request bodies that are too large to buffer, within a limit. */
import type { IncomingMessage } from "node:http";

/** Thrown where a body is cut short or exceeds its limit while it is streamed. */
export class RequestBodyAbortedError extends Error {
  readonly code = "REQUEST_BODY_ABORTED";
}

/** Reads and discards the rest of an unwanted body: a connection closed with unread bytes can lose its response. */
export const discardBody = (
  request: IncomingMessage,
  readBytes: number,
  limitBytes: number,
): void => {
  if (request.readableEnded) return;
  let totalBytes = readBytes;
  request.on("data", (chunk: Buffer) => {
    totalBytes += chunk.length;
    if (totalBytes > limitBytes) request.destroy();
  });
  request.resume();
};

/** The chunks of a body after the bytes that were buffered; `onStart` is called when the first one is requested. */
export const streamBody = async function* (
  request: IncomingMessage,
  bufferedBytes: number,
  limitBytes: number,
  onStart: () => void,
): AsyncGenerator<Uint8Array> {
  onStart();
  let totalBytes = bufferedBytes;
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      if (!(chunk instanceof Uint8Array))
        throw new RequestBodyAbortedError("The body is not bytes.");
      totalBytes += chunk.length;
      if (totalBytes > limitBytes) throw new RequestBodyAbortedError("The body is over its limit.");
      yield chunk;
    }
    if (!request.complete) throw new RequestBodyAbortedError("The body was cut short.");
  } finally {
    discardBody(request, totalBytes, limitBytes);
  }
};
