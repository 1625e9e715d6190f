import fc from "fast-check";
import * as r from "restructure";
import { expect, test } from "vitest";
import { Utf8TextCodec } from "../../src/rpc/utf8-text-codec.js";

test("texts are laid out as the library lays them out, and read back, whatever is in them", () => {
  const own = new r.Struct({ before: r.uint8, text: new Utf8TextCodec(), after: r.uint8 });
  const librarys = new r.Struct({
    before: r.uint8,
    text: new r.String(r.uint32, "utf8"),
    after: r.uint8,
  });
  fc.assert(
    fc.property(fc.string({ unit: "grapheme" }), (text) => {
      const bytes = own.toBuffer({ before: 1, text, after: 2 });
      expect(Buffer.compare(bytes, librarys.toBuffer({ before: 1, text, after: 2 }))).toBe(0);
      expect(own.fromBuffer(bytes)).toEqual({ before: 1, text, after: 2 });
      expect(own.size({ before: 1, text, after: 2 })).toBe(bytes.length);
    }),
    { seed: 5, numRuns: 500 },
  );
});
