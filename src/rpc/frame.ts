import * as r from "restructure";

/** The newest layout of frames that this build speaks; it also reads the one before. */
export const FRAME_VERSION = 3;

/** What one process says to another: an ask of some kind, or the return of one. */
export interface Frame {
  sequence: number;
  kind: number;
  isReturn: boolean;
  job: number;
  body: Uint8Array;
}

/** Raised when bytes from a peer are no frame that this daemon takes. */
export class FrameError extends Error {}

const frame = new r.Struct({
  sequence: r.uint8,
  kind: r.uint8,
  isReturn: new r.Boolean(r.uint8),
  job: r.uint32,
  body: new r.Buffer(r.uint32),
});

const maxFrameBytes = 64 * 1024 * 1024;
const headBytes = 11;

/** Reads a value exactly: bytes that are short, left over or out of range raise an error. */
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

export const Frame = {
  encode: (value: Frame): Uint8Array => frame.toBuffer(value),
};

/** Puts frames together from the pieces in which bytes arrive. */
export class FrameReader {
  private pieces: Uint8Array[] = [];
  private heldBytes = 0;
  private wantedBytes = headBytes;
  private readonly newest: number;

  /** Takes frames of the newest sequence that is spoken here, and of the one before. */
  constructor(newest = FRAME_VERSION) {
    this.newest = newest;
  }

  /** Takes a piece and gives the frames that it completes. */
  read(piece: Uint8Array): Frame[] {
    this.pieces.push(piece);
    this.heldBytes += piece.length;
    const frames: Frame[] = [];
    while (this.heldBytes >= this.wantedBytes) {
      const bytes = Buffer.concat(this.pieces, this.heldBytes);
      const bodyBytes = bytes.readUInt32BE(headBytes - 4);
      if (bodyBytes > maxFrameBytes)
        throw new FrameError(`A frame of ${bodyBytes} bytes is too large.`);
      const wholeBytes = headBytes + bodyBytes;
      if (bytes.length >= wholeBytes) {
        const one = decodeExactly(frame, bytes.subarray(0, wholeBytes));
        if (one.sequence !== this.newest && one.sequence !== this.newest - 1)
          throw new FrameError(`Frames of sequence ${one.sequence} aren't spoken here.`);
        frames.push(one);
      }
      const rest = bytes.length >= wholeBytes ? bytes.subarray(wholeBytes) : bytes;
      this.pieces = [rest];
      this.heldBytes = rest.length;
      this.wantedBytes = bytes.length >= wholeBytes ? headBytes : wholeBytes;
    }
    return frames;
  }
}
