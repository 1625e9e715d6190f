/** Encoding of strings in messages. */
import * as r from "restructure";

const LENGTH_BYTES = 4;

/**
 * A string in UTF-8, preceded by its length in bytes; the layout is identical to the library's own strings. The library counts the
 * bytes character by character, which takes most of the time of encoding a frame; Node's `Buffer` counts them natively.
 */
export class Utf8TextCodec extends r.String {
  constructor() {
    super(r.uint32, "utf8");
  }

  override size(text: string): number {
    return LENGTH_BYTES + Buffer.byteLength(text, "utf8");
  }

  override encode(stream: r.EncodeStream, text: string): void {
    const { buffer } = stream.buffer;
    const start = stream.buffer.byteOffset + stream.pos + LENGTH_BYTES;
    const target = Buffer.from(buffer, start, stream.buffer.byteLength - stream.pos - LENGTH_BYTES);
    const written = target.write(text, "utf8");
    stream.writeUInt32BE(written);
    stream.pos += written;
  }
}
