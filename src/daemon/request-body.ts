/** Streams or discards request bodies that are too large to buffer, up to a size limit. */
import type { IncomingMessage } from "node:http";

/** Thrown when a streamed body ends before it is complete or exceeds its size limit. */
export class RequestBodyAbortedError extends Error {
  readonly code = "REQUEST_BODY_ABORTED";
}

/**
 * Reads and discards the rest of a body that is no longer needed, since closing a connection with unread bytes can lose
 * the response. Destroys the connection if the body exceeds the limit.
 */
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

/**
 * Yields the chunks of a body after its buffered bytes; calls `onStart` when the first one is requested, and throws what that
 * throws. Throws a RequestBodyAbortedError if the body exceeds the limit or the client aborts it.
 */
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
        throw new RequestBodyAbortedError("The request body yielded a chunk that is not bytes.");
      totalBytes += chunk.length;
      if (totalBytes > limitBytes)
        throw new RequestBodyAbortedError(
          `The request body exceeds the limit of ${limitBytes} bytes.`,
        );
      yield chunk;
    }
    if (!request.complete)
      throw new RequestBodyAbortedError(`The request body ended early, after ${totalBytes} bytes.`);
  } finally {
    discardBody(request, totalBytes, limitBytes);
  }
};
