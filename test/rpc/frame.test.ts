import { expect, test } from "vitest";
import {
  decodeExactly,
  type Frame,
  encodeFrame,
  FrameError,
  FrameReader,
  FRAME_VERSION,
} from "../../src/rpc/frame.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";

/** Creates a decoder of messages without the check of their size. */
const createDecoder =
  (coder: { fromBuffer(bytes: Uint8Array): unknown; size(value: never): number }) =>
  (bytes: Uint8Array) =>
    decodeExactly(
      {
        fromBuffer: (read) => coder.fromBuffer(read),
        size: () => bytes.length,
        toBuffer: () => bytes,
      },
      bytes,
    );
const sample: Frame = {
  version: FRAME_VERSION - 1,
  methodId: 3,
  isResponse: true,
  requestId: 70000,
  body: new Uint8Array([1, 2, 3]),
};

test("frames are assembled from pieces of any size", () => {
  const bytes = Buffer.concat([encodeFrame(sample), encodeFrame({ ...sample, requestId: 2 })]);
  for (let size = 1; size <= bytes.length; size += 1) {
    const reader = new FrameReader();
    const frames: Frame[] = [];
    for (let offset = 0; offset < bytes.length; offset += size)
      frames.push(...reader.read(bytes.subarray(offset, offset + size)));
    expect(frames.map((frame) => frame.requestId)).toEqual([70000, 2]);
    expect([...(frames[0]?.body ?? [])]).toEqual([1, 2, 3]);
  }
});

test("random bytes are rejected with a frame error, as frames and as messages of every method", async () => {
  const random = RandomDraw.of(9);
  const decoders = Object.values(rpcMethods).flatMap((method) => [
    createDecoder(method.request),
    createDecoder(method.response),
  ]);
  let refused = 0;
  for (let round = 0; round < 3000; round += 1) {
    const bytes = Buffer.from(
      Array.from({ length: Math.floor(random() * 60) }, () =>
        Math.floor(random() < 0.5 ? random() * 4 : random() * 256),
      ),
    );
    const readers = [
      () => new FrameReader().read(bytes),
      ...decoders.map((decode) => () => decode(bytes)),
    ];
    for (const read of readers) {
      try {
        read();
      } catch (error) {
        expect(error).toBeInstanceOf(FrameError);
        refused += 1;
      }
    }
  }
  expect(refused).toBeGreaterThan(3000);
});

test("oversized frames and frames of an unsupported version are rejected", () => {
  const large = Buffer.from(encodeFrame(sample));
  large.writeUInt32BE(2 ** 31, 7);
  expect(() => new FrameReader().read(large)).toThrow(FrameError);
  const otherVersion = Buffer.from(encodeFrame({ ...sample, version: 9 }));
  expect(() => new FrameReader().read(otherVersion)).toThrow(FrameError);
});
