import { expect, test } from "vitest";
import { Book, Deed, keptReturnBytes } from "../../src/record/book.js";

const members = { voters: ["a"], learners: [] };
test("one of two racing configs loses, a repeated change id gets its first outcome, and a checkpoint keeps all", () => {
  const book = new Book();
  const put = (index: number, expected: number, changeId: string) =>
    book.apply(
      index,
      Deed.text({
        kind: "config",
        expected,
        changeId,
        acceptedAt: "",
        text: `{"n":"${changeId}"}`,
        services: ["s"],
        routes: ["r"],
      }),
    );
  expect([put(1, 0, "x"), put(2, 0, "y"), put(3, 0, "x")].map((text) => JSON.parse(text))).toEqual([
    { accepted: 1 },
    { lost: 1 },
    { accepted: 1 },
  ]);
  const copy = new Book();
  expect(copy.restore(book.checkpoint(members))).toEqual(members);
  expect(copy.checkpoint(members)).toBe(book.checkpoint(members));
});
test("a key is one job's until it is released or forgotten", () => {
  const book = new Book();
  const claim = (index: number, job: string): unknown =>
    JSON.parse(book.apply(index, Deed.text({ kind: "claim", scope: "k", bodyHash: "h", job })));
  expect(claim(1, "one")).toEqual({ claimed: true });
  expect(claim(2, "two")).toMatchObject({ held: { job: "one", verdict: "inHand" } });
  book.apply(
    3,
    Deed.text({
      kind: "settle",
      scope: "k",
      job: "one",
      verdict: "ran",
      return: { code: 201, headers: {}, body: "" },
    }),
  );
  book.apply(4, Deed.text({ kind: "release", scope: "k", job: "one" }));
  expect(claim(5, "two")).toMatchObject({ held: { verdict: "ran", return: { code: 201 } } });
  book.apply(6, Deed.text({ kind: "forget", scopes: ["k"], upTo: 1 }));
  expect(claim(7, "two")).toEqual({ claimed: true });
});
test("a claim that arrives again after its request was settled leaves the outcome as it is", () => {
  const book = new Book();
  const apply = (index: number, deed: Deed): unknown =>
    JSON.parse(book.apply(index, Deed.text(deed)));
  const claim: Deed = { kind: "claim", scope: "k", bodyHash: "h", job: "one" };
  const kept = { code: 201, headers: {}, body: "b" };
  apply(1, claim);
  expect(apply(2, claim)).toEqual({ claimed: true });
  apply(3, { kind: "settle", scope: "k", job: "one", verdict: "ran", return: kept });
  apply(4, claim);
  expect(apply(5, { ...claim, job: "other" })).toMatchObject({
    held: { verdict: "ran", return: kept },
  });
});
test("kept returns are bounded all together: the oldest go, their keys stay, on a restored copy too", () => {
  let book = new Book();
  const body = "x".repeat(64 * 1024);
  const many = Math.ceil(keptReturnBytes / body.length) + 40;
  for (let at = 0; at < many; at += 1) {
    book.apply(2 * at + 1, Deed.text({ kind: "claim", scope: `k${at}`, bodyHash: "h", job: "j" }));
    book.apply(
      2 * at + 2,
      Deed.text({
        kind: "settle",
        scope: `k${at}`,
        job: "j",
        verdict: "ran",
        return: { code: 201, headers: {}, body },
      }),
    );
    if (at !== Math.floor(many / 2)) continue;
    const copy = new Book();
    copy.restore(book.checkpoint(members));
    book = copy;
  }
  expect(book.checkpoint(members).length).toBeLessThan(keptReturnBytes * 1.1);
  expect([...book.keys.values()].filter((claim) => claim.return).length).toBe(
    Math.floor(keptReturnBytes / body.length),
  );
  expect(
    JSON.parse(
      book.apply(9999, Deed.text({ kind: "claim", scope: "k0", bodyHash: "h", job: "other" })),
    ),
  ).toEqual({ held: { bodyHash: "h", job: "j", verdict: "ran", atIndex: 1 } });
});
