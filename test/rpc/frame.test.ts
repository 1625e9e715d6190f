import { expect, test } from "vitest";
import {
  decodeExactly,
  Frame,
  FrameError,
  FrameReader,
  FRAME_VERSION,
} from "../../src/rpc/frame.js";
import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";

const reader =
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
  sequence: FRAME_VERSION - 1,
  kind: 3,
  isReturn: true,
  job: 70000,
  body: new Uint8Array([1, 2, 3]),
};
test("frames come whole out of pieces of any size", () => {
  const bytes = Buffer.concat([Frame.encode(sample), Frame.encode({ ...sample, job: 2 })]);
  for (let size = 1; size <= bytes.length; size += 1) {
    const reader = new FrameReader();
    const frames: Frame[] = [];
    for (let at = 0; at < bytes.length; at += size)
      frames.push(...reader.read(bytes.subarray(at, at + size)));
    expect(frames.map((one) => one.job)).toEqual([70000, 2]);
    expect([...(frames[0]?.body ?? [])]).toEqual([1, 2, 3]);
  }
});
test("random and truncated bytes are refused as such, by frames and by every kind", async () => {
  const random = RandomDraw.of(9);
  const coders = Object.values(RpcMethod).flatMap((kind) => [
    reader(kind.request),
    reader(kind.response),
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
      ...coders.map((read) => () => read(bytes)),
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
test("oversized and foreign frames are refused", () => {
  const large = Buffer.from(Frame.encode(sample));
  large.writeUInt32BE(2 ** 31, 7);
  expect(() => new FrameReader().read(large)).toThrow(FrameError);
  const foreign = Buffer.from(Frame.encode({ ...sample, sequence: 9 }));
  expect(() => new FrameReader().read(foreign)).toThrow(FrameError);
});
