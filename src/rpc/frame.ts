/** Frames of requests and responses between daemons, and their assembly from a byte stream. */
import * as r from "restructure";

/** The newest frame version that this build uses; it also reads the previous one. */
export const FRAME_VERSION = 3;

const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Length of the frame header, which ends with the length of the body. */
const HEADER_BYTES = 11;
/** Length of the field for the body's length. */
const LENGTH_BYTES = 4;

/** A request of a method, or the response to it. */
export interface Frame {
  version: number;
  methodId: number;
  isResponse: boolean;
  requestId: number;
  body: Uint8Array;
}

/** Thrown when bytes from a peer aren't a valid frame, or not a valid message of a served method. */
export class FrameError extends Error {}

const frameStruct = new r.Struct({
  version: r.uint8,
  methodId: r.uint8,
  isResponse: new r.Boolean(r.uint8),
  requestId: r.uint32,
  body: new r.Buffer(r.uint32),
});

/** Decodes a value from exactly these bytes. Throws a `FrameError` if they are too few, too many or out of range. */
export const decodeExactly = <T>(coder: r.Coder<T>, bytes: Uint8Array): T => {
  let value: T;
  let size: number;
  try {
    value = coder.fromBuffer(bytes);
    size = coder.size(value);
  } catch (error) {
    throw new FrameError(`${bytes.length} bytes don't match the layout of the message`, {
      cause: error,
    });
  }
  if (size !== bytes.length)
    throw new FrameError(`received ${bytes.length} bytes, the message has ${size}`);
  return value;
};

/** Encodes a frame. */
export const encodeFrame = (frame: Frame): Uint8Array => frameStruct.toBuffer(frame);

/** Assembles frames from the received pieces of a byte stream. */
export class FrameReader {
  private pieces: Uint8Array[] = [];
  private bufferedBytes = 0;
  /** Number of buffered bytes from which on the next frame may be complete. */
  private neededBytes = HEADER_BYTES;
  private readonly newestVersion: number;

  /** Accepts frames of `newestVersion` and of the previous version. */
  constructor(newestVersion = FRAME_VERSION) {
    this.newestVersion = newestVersion;
  }

  /** Adds a piece and returns the frames that it completes. Throws a `FrameError` for an invalid frame. */
  read(piece: Uint8Array): Frame[] {
    this.pieces.push(piece);
    this.bufferedBytes += piece.length;
    const frames: Frame[] = [];
    while (this.bufferedBytes >= this.neededBytes) {
      const bytes = Buffer.concat(this.pieces, this.bufferedBytes);
      const bodyBytes = bytes.readUInt32BE(HEADER_BYTES - LENGTH_BYTES);
      if (bodyBytes > MAX_BODY_BYTES)
        throw new FrameError(
          `frame body of ${bodyBytes} bytes exceeds the limit of ${MAX_BODY_BYTES} bytes`,
        );
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
      throw new FrameError(
        `frame version ${frame.version} is not supported, only ${this.newestVersion - 1} and ${this.newestVersion} are`,
      );
    return frame;
  }

  private buffer(bytes: Uint8Array): void {
    this.pieces = [bytes];
    this.bufferedBytes = bytes.length;
  }
}
