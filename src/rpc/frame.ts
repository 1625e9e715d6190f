/** The frames in which requests and responses travel between daemons, and how they are read from a stream of bytes. */
import * as r from "restructure";

/** The newest version of frames that this build uses; it also reads the one before. */
export const FRAME_VERSION = 3;

const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** How many bytes of a frame precede its body; the last of them are the body's length. */
const HEADER_BYTES = 11;
const LENGTH_BYTES = 4;

/** A request of some method, or the response to one. */
export interface Frame {
  version: number;
  methodId: number;
  isResponse: boolean;
  requestId: number;
  body: Uint8Array;
}

/** Thrown where bytes from a peer are no frame or no message that this daemon takes. */
export class FrameError extends Error {}

const frameStruct = new r.Struct({
  version: r.uint8,
  methodId: r.uint8,
  isResponse: new r.Boolean(r.uint8),
  requestId: r.uint32,
  body: new r.Buffer(r.uint32),
});

/** Decodes a value from exactly these bytes. Throws a `FrameError` where they are too few, too many or out of range. */
export const decodeExactly = <T>(coder: r.Coder<T>, bytes: Uint8Array): T => {
  let value: T;
  try {
    value = coder.fromBuffer(bytes);
    if (coder.size(value) === bytes.length) return value;
  } catch (error) {
    throw new FrameError("The bytes don't fit the layout.", { cause: error });
  }
  throw new FrameError("The bytes are cut short or too many.");
};

/** The bytes of a frame, ready to send. */
export const encodeFrame = (frame: Frame): Uint8Array => frameStruct.toBuffer(frame);

/** Assembles frames from the pieces in which their bytes arrive. */
export class FrameReader {
  private pieces: Uint8Array[] = [];
  private bufferedBytes = 0;
  /** How many bytes have to be buffered until there may be a frame. */
  private neededBytes = HEADER_BYTES;
  private readonly newestVersion: number;

  /** Accepts frames of this version and of the one before. */
  constructor(newestVersion = FRAME_VERSION) {
    this.newestVersion = newestVersion;
  }

  /** Takes a piece and returns the frames that it completes. Throws a `FrameError` for what is no frame. */
  read(piece: Uint8Array): Frame[] {
    this.pieces.push(piece);
    this.bufferedBytes += piece.length;
    const frames: Frame[] = [];
    while (this.bufferedBytes >= this.neededBytes) {
      const bytes = Buffer.concat(this.pieces, this.bufferedBytes);
      const bodyBytes = bytes.readUInt32BE(HEADER_BYTES - LENGTH_BYTES);
      if (bodyBytes > MAX_BODY_BYTES)
        throw new FrameError(`A frame of ${bodyBytes} bytes is too large.`);
      const frameBytes = HEADER_BYTES + bodyBytes;
      const isComplete = bytes.length >= frameBytes;
      if (isComplete) frames.push(this.decode(bytes.subarray(0, frameBytes)));
      this.buffer(isComplete ? bytes.subarray(frameBytes) : bytes);
      this.neededBytes = isComplete ? HEADER_BYTES : frameBytes;
    }
    return frames;
  }

  private decode(bytes: Uint8Array): Frame {
    const frame = decodeExactly(frameStruct, bytes);
    if (frame.version !== this.newestVersion && frame.version !== this.newestVersion - 1)
      throw new FrameError(`Frames of sequence ${frame.version} aren't spoken here.`);
    return frame;
  }

  private buffer(bytes: Uint8Array): void {
    this.pieces = [bytes];
    this.bufferedBytes = bytes.length;
  }
}
