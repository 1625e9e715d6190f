import fc from "fast-check";
import * as r from "restructure";
import { expect, test } from "vitest";
import { Utf8TextCodec } from "../../src/rpc/utf8-text-codec.js";

test("the encoding of any string is identical to the library's, and decodes to the same string", () => {
  const codec = new r.Struct({ before: r.uint8, text: new Utf8TextCodec(), after: r.uint8 });
  const library = new r.Struct({
    before: r.uint8,
    text: new r.String(r.uint32, "utf8"),
    after: r.uint8,
  });
  fc.assert(
    fc.property(fc.string({ unit: "grapheme" }), (text) => {
      const bytes = codec.toBuffer({ before: 1, text, after: 2 });
      expect(Buffer.compare(bytes, library.toBuffer({ before: 1, text, after: 2 }))).toBe(0);
      expect(codec.fromBuffer(bytes)).toEqual({ before: 1, text, after: 2 });
      expect(codec.size({ before: 1, text, after: 2 })).toBe(bytes.length);
    }),
    { seed: 5, numRuns: 500 },
  );
});
