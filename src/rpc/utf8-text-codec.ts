import * as r from "restructure";

const lengthBytes = 4;

/**
 * A text in UTF-8 behind its length in bytes, laid out as the library's own strings are. The library counts a text's bytes one
 * character after another, which is most of the work of a frame; the runtime does it in one step.
 */
export class Utf8TextCodec extends r.String {
  constructor() {
    super(r.uint32, "utf8");
  }

  override size(text: string): number {
    return lengthBytes + Buffer.byteLength(text, "utf8");
  }

  override encode(stream: r.EncodeStream, text: string): void {
    const { buffer } = stream.buffer;
    const start = stream.buffer.byteOffset + stream.pos + lengthBytes;
    const target = Buffer.from(buffer, start, stream.buffer.byteLength - stream.pos - lengthBytes);
    const written = target.write(text, "utf8");
    stream.writeUInt32BE(written);
    stream.pos += written;
  }
}
