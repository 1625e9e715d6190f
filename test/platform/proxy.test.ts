import { describe, expect, test } from "vitest";
import { ProxyFixture, success, type BackendReply, type ReceivedRequest } from "./proxy-fixture.js";

const fraction = /^\d+\.\d+$/;
const addresses = (fixture: ProxyFixture): string[] =>
  fixture.receivedRequests.map(({ address }) => address);
const declines = (tryId: string, code = 503): BackendReply => ({
  code,
  headers: { "try-id": tryId, "not-run": "full", "content-length": "4" },
  chunks: [Buffer.from("full")],
});
const other = (tryId: string): BackendReply => ({
  code: 421,
  headers: { "try-id": tryId, "content-length": "0" },
  chunks: [],
});

const whole = (
  tryId: string,
  headers: Record<string, string | undefined>,
  pieces: ReadonlyArray<Uint8Array | "cut"> = [Buffer.from("wrong")],
): BackendReply => {
  const sentHeaders: Record<string, string> = {};
  for (const [name, value] of Object.entries({
    "try-id": tryId,
    seal: "s",
    "content-length": "5",
    ...headers,
  }))
    if (value !== undefined) sentHeaders[name] = value;
  return { code: 200, headers: sentHeaders, chunks: pieces };
};
const plain = (tryId: string, code: number): BackendReply => ({
  code,
  headers: { "try-id": tryId, "retry-after": "0.1", "content-length": "0" },
  chunks: [],
});
const faulty: Array<[what: string, reply: (sent: ReceivedRequest) => BackendReply]> = [
  ["with another request's id", () => whole("another", {})],
  ["without an id", ({ tryId }) => whole(tryId, { "try-id": undefined })],
  ["without the seal", ({ tryId }) => whole(tryId, { seal: undefined })],
  ["that is encoded", ({ tryId }) => whole(tryId, { "content-encoding": "gzip" })],
  ["with a 503 of its own without the word that it didn't run", ({ tryId }) => plain(tryId, 503)],
  ["with a 429 of its own without the word that it didn't run", ({ tryId }) => plain(tryId, 429)],
  ["with a 408 of its own without the word that it didn't run", ({ tryId }) => plain(tryId, 408)],
  ["with another request's word that it didn't run", () => declines("another")],
  ["that breaks off", ({ tryId }) => whole(tryId, {}, [Buffer.from("wro"), "cut"])],
  ["that breaks off before its first byte", ({ tryId }) => whole(tryId, {}, ["cut"])],
  ["that ends before the length it states", ({ tryId }) => whole(tryId, {}, [Buffer.from("wro")])],
  [
    "that is longer than it states",
    ({ tryId }) => whole(tryId, {}, [Buffer.from("wrong"), Buffer.from("more")]),
  ],
  [
    "in chunks that break off",
    ({ tryId }) =>
      whole(tryId, { "content-length": undefined, "transfer-encoding": "chunked" }, [
        Buffer.from("wrong"),
        "cut",
      ]),
  ],
  ["whose end can't be known", ({ tryId }) => whole(tryId, { "content-length": undefined })],
];

const declining: Array<[what: string, reply: (sent: ReceivedRequest) => BackendReply]> = [
  ["503 with Not-Run", ({ tryId }) => declines(tryId)],
  ["429 with Not-Run", ({ tryId }) => declines(tryId, 429)],
  ["421 with Not-Run", ({ tryId }) => declines(tryId, 421)],
  ["421 alone", ({ tryId }) => other(tryId)],
];

const big = Array.from({ length: 12 }, (_, index) => Buffer.alloc(64 * 1024, index + 1));
const bigBytes = big.reduce((sum, { length }) => sum + length, 0);
const length = { "content-length": String(bigBytes) };
const chunked = { "transfer-encoding": "chunked" };
const large = (
  tryId: string,
  headers: Record<string, string>,
  pieces: ReadonlyArray<Uint8Array | "cut"> = big,
): BackendReply => ({
  code: 200,
  headers: { "try-id": tryId, seal: "s-large", ...headers },
  chunks: pieces,
  pieceMs: 20,
});

describe("request to a backend", () => {
  test("it has the method, path, body and end-to-end headers of the client, its id, the remaining deadline and the expected instance", () => {
    const fixture = ProxyFixture.create(1);
    const body = Buffer.from([0, 255, 10, 13, 195, 40]);
    const kept = {
      host: "shop.example",
      "try-id": "9c41d07be2a35f68",
      "content-type": "application/x-any",
      "accept-language": "de;q=0.5",
      cookie: "a=b; c=d",
      "x-own": "kept",
    };
    const hop = {
      connection: "keep-alive, X-Named",
      "keep-alive": "timeout=5",
      te: "trailers",
      trailer: "x-late",
      "transfer-encoding": "chunked",
      upgrade: "websocket",
      expect: "100-continue",
      "proxy-connection": "keep-alive",
      "proxy-authorization": "Basic xyz",
      "x-named": "of this connection",
    };
    const target = "/unsafe/a%2Fb//c/2f?x=1&y=%20&x=2";
    const client = fixture.exchange(
      "PATCH",
      target,
      { ...kept, ...hop, "deadline-ms": "800" },
      body,
    );
    expect(client.code).toBe(200);
    const [sent] = fixture.receivedRequests;
    expect(sent).toMatchObject({ method: "PATCH", path: target, body });
    const { "deadline-ms": left, ...rest } = sent?.headers ?? {};
    expect(rest).toEqual({ ...kept, "want-backend": "i-1" });
    expect(left).toMatch(/^\d+$/);
    expect(Number(left)).toBeGreaterThan(700);
    expect(Number(left)).toBeLessThanOrEqual(800);
  });

  test("the remaining deadline shrinks with each attempt, the route's own applies where it is shorter, and each attempt names its own backend's instance", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }, index) =>
      index === 0
        ? { ...success(tryId, "none"), headers: {}, waitMs: 300 }
        : success(tryId, "fine");
    expect(
      fixture.exchange("GET", "/safe/x", { "try-id": "one", "deadline-ms": "5000" }).code,
    ).toBe(200);
    const [first, second] = fixture.receivedRequests.map(({ headers }) =>
      Number(headers["deadline-ms"]),
    );
    expect(first).toBeGreaterThan(900);
    expect(first).toBeLessThanOrEqual(1000);
    expect(second).toBeLessThanOrEqual(700);
    expect(second).toBeGreaterThan(600);
    expect(fixture.receivedRequests.map(({ headers }) => headers["want-backend"]).sort()).toEqual([
      "i-1",
      "i-2",
    ]);
    for (const { address, headers } of fixture.receivedRequests)
      expect(headers["want-backend"]).toBe(fixture.registered.get(address));
    expect(fixture.receivedRequests.map(({ tryId }) => tryId)).toEqual(["one", "one"]);
  });
});

describe("response of a backend", () => {
  test("it reaches the client with status, body and seal unchanged, also an error of the backend's own", () => {
    const fixture = ProxyFixture.create(1);
    fixture.reply = ({ tryId }) =>
      success(tryId, "made", {
        code: 201,
        headers: {
          "x-own": "kept",
          connection: "close, x-hop",
          "x-hop": "gone",
          "keep-alive": "timeout=5",
        },
      });
    const made = fixture.exchange("POST", "/unsafe/x");
    expect([made.code, made.body.toString(), made.headers["seal"], made.headers["x-own"]]).toEqual([
      201,
      "made",
      "seal-of-made",
      "kept",
    ]);
    for (const name of ["connection", "keep-alive", "x-hop"])
      expect(made.headers).not.toHaveProperty(name);
    for (const code of [302, 400, 404, 500, 504]) {
      fixture.reply = ({ tryId }) => ({
        code,
        headers: { "try-id": tryId, "content-length": "3" },
        chunks: [Buffer.from("own")],
      });
      const client = fixture.exchange("POST", "/unsafe/x");
      expect([client.code, client.body.toString()]).toEqual([code, "own"]);
    }
    expect(fixture.receivedRequests.length).toBe(6);
  });

  test.each(faulty)(
    "one %s never reaches a client: a request that may not be repeated is sent once and ends with 502",
    (_what, reply) => {
      const fixture = ProxyFixture.create(2);
      fixture.reply = reply;
      const client = fixture.exchange("POST", "/unsafe/x");
      expect([
        client.code,
        client.isStreamed,
        client.ending,
        fixture.receivedRequests.length,
      ]).toEqual([502, false, "whole", 1]);
      expect(client.headers).not.toHaveProperty("seal");
      expect(client.body.toString()).not.toContain("wro");
    },
  );

  test.each(faulty)(
    "one %s never reaches a client: a safe request is sent to a second backend",
    (_what, reply) => {
      const fixture = ProxyFixture.create(2);
      fixture.reply = (sent, index) => (index === 0 ? reply(sent) : success(sent.tryId, "right"));
      const client = fixture.exchange("GET", "/safe/x");
      expect([client.code, client.body.toString(), client.headers["seal"]]).toEqual([
        200,
        "right",
        "seal-of-right",
      ]);
      expect(addresses(fixture).sort()).toEqual(["10.9.0.1:80", "10.9.0.2:80"]);
      fixture.reply = reply;
      const failed = fixture.exchange("GET", "/safe/x");
      expect([failed.code, failed.isStreamed, fixture.receivedRequests.length]).toEqual([
        502,
        false,
        4,
      ]);
    },
  );
});

describe("declined request", () => {
  test.each(declining)(
    "declined by %s, it is sent to another backend, also where it is unsafe or keyed",
    (_what, reply) => {
      for (const [method, target] of [
        ["POST", "/unsafe/x"],
        ["GET", "/safe/x"],
        ["POST", "/keyed/x"],
      ] as const) {
        const fixture = ProxyFixture.create(2);
        fixture.reply = (sent, index) => (index === 0 ? reply(sent) : success(sent.tryId, "taken"));
        const client = fixture.exchange(method, target, { "op-key": "k-1" });
        expect([target, client.code, client.body.toString()]).toEqual([target, 200, "taken"]);
        expect(addresses(fixture).sort()).toEqual(["10.9.0.1:80", "10.9.0.2:80"]);
      }
    },
  );

  test.each(declining)(
    "declined by all backends with %s, it ends with 503 and a Retry-After in fractions of a second",
    (_what, reply) => {
      for (const [method, target] of [
        ["POST", "/unsafe/x"],
        ["GET", "/safe/x"],
        ["POST", "/thriceUnsafe/x"],
        ["POST", "/keyed/x"],
      ] as const) {
        const fixture = ProxyFixture.create(2);
        fixture.reply = reply;
        const client = fixture.exchange(method, target, { "op-key": "k-1" });
        expect([target, client.code, fixture.receivedRequests.length]).toEqual([target, 503, 2]);
        expect(client.headers["retry-after"]).toMatch(fraction);
        expect(Number(client.headers["retry-after"])).toBeGreaterThan(0);
        expect(Number(client.headers["retry-after"])).toBeLessThan(0.5);
      }
    },
  );

  test("an unsafe request that one backend declines and another loses ends with 502", () => {
    const fixture = ProxyFixture.create(3);
    fixture.reply = ({ tryId }, index) => (index === 0 ? declines(tryId) : "lost");
    expect([
      fixture.exchange("POST", "/thriceUnsafe/x").code,
      fixture.receivedRequests.length,
    ]).toEqual([502, 2]);
  });

  test("a 421 ends the registration: that instance is not picked again, at once and later", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }, index) => (index === 0 ? other(tryId) : success(tryId, "taken"));
    fixture.exchange("GET", "/safe/x");
    const [endedAddress = ""] = addresses(fixture);
    fixture.registered.delete(endedAddress);
    for (let round = 0; round < 60; round += 1) {
      expect(fixture.exchange("GET", "/safe/x").code).toBe(200);
      fixture.advance(50);
    }
    expect(addresses(fixture).slice(1)).not.toContain(endedAddress);
  });

  test("Not-Run ends no registration: the backend is picked again", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }, index) => (index === 0 ? declines(tryId) : success(tryId, "taken"));
    fixture.exchange("GET", "/safe/x");
    const [full = ""] = addresses(fixture);
    for (let round = 0; round < 60; round += 1) {
      fixture.exchange("GET", "/safe/x");
      fixture.advance(50);
    }
    expect(addresses(fixture).slice(1)).toContain(full);
  });

  test("a 421 with another request's id does not decline this one: an unsafe request is sent once and ends with 502", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }, index) =>
      index === 0 ? other("another") : success(tryId, "run twice");
    const client = fixture.exchange("POST", "/unsafe/x");
    expect([client.code, fixture.receivedRequests.length]).toEqual([502, 1]);
  });
});

describe("failed attempt", () => {
  test("an unsafe request whose connection is lost after sending is sent once and ends with 502, never 503", () => {
    for (const target of ["/unsafe/x", "/thriceUnsafe/x", "/keyed/x"]) {
      const fixture = ProxyFixture.create(3);
      fixture.reply = () => "lost";
      const client = fixture.exchange("POST", target, { "op-key": "k-1" });
      expect([target, client.code, fixture.receivedRequests.length]).toEqual([target, 502, 1]);
    }
  });

  test("an unsafe request without a response in time is sent once and ends with 504, no later than its deadline", () => {
    const fixture = ProxyFixture.create(3);
    fixture.reply = () => "late";
    const client = fixture.exchange("POST", "/unsafe/x", { "deadline-ms": "600" });
    expect([client.code, fixture.receivedRequests.length]).toEqual([504, 1]);
    expect(client.tookMs).toBeLessThanOrEqual(605);
  });

  test("where a backend accepts no connection, an unsafe request is sent to another, and ends with 503 where none does", () => {
    for (const why of ["refused", "foreign", "unreached"] as const) {
      const fixture = ProxyFixture.create(2);
      fixture.connectFailure = (address) => (address === "10.9.0.1:80" ? why : undefined);
      for (let round = 0; round < 5; round += 1)
        expect([why, fixture.exchange("POST", "/unsafe/x").code]).toEqual([why, 200]);
      expect(new Set(addresses(fixture))).toEqual(new Set(["10.9.0.2:80"]));
      fixture.connectFailure = () => why;
      const client = fixture.exchange("POST", "/unsafe/x");
      expect([why, client.code, fixture.receivedRequests.length]).toEqual([why, 503, 5]);
      expect(client.headers["retry-after"]).toMatch(fraction);
    }
  });

  test("no request is sent to more backends than its route's attempts, to each at most once", () => {
    for (const [target, attempts] of [
      ["/once/x", 1],
      ["/safe/x", 2],
      ["/thrice/x", 3],
    ] as const) {
      for (const reply of [
        (): BackendReply => "lost",
        ({ tryId }: ReceivedRequest) => declines(tryId),
        ({ tryId }: ReceivedRequest) => other(tryId),
        ({ tryId }: ReceivedRequest) => plain(tryId, 503),
      ]) {
        const fixture = ProxyFixture.create(5);
        fixture.reply = reply;
        const client = fixture.exchange("GET", target);
        expect([target, fixture.receivedRequests.length, new Set(addresses(fixture)).size]).toEqual(
          [target, attempts, attempts],
        );
        expect([502, 503]).toContain(client.code);
      }
    }
    const fixture = ProxyFixture.create(5);
    fixture.reply = ({ tryId }) => declines(tryId);
    expect([
      fixture.exchange("POST", "/thriceUnsafe/x").code,
      fixture.receivedRequests.length,
    ]).toEqual([503, 3]);
  });
});

describe("idempotency key", () => {
  test("a keyed request runs once: a repeat gets the first one's status, body and seal", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }, index) => success(tryId, `run ${index}`, { code: 201 });
    const ask = (key: string, body = "buy") =>
      fixture.exchange("POST", "/keyed/x", { "op-key": key }, Buffer.from(body));
    const first = ask("k-1");
    expect([first.code, first.body.toString(), first.headers["seal"]]).toEqual([
      201,
      "run 0",
      "seal-of-run 0",
    ]);
    for (let round = 0; round < 3; round += 1) {
      fixture.advance(round * 3000);
      const repeat = ask("k-1");
      expect([repeat.code, repeat.body.toString(), repeat.headers["seal"]]).toEqual([
        201,
        "run 0",
        "seal-of-run 0",
      ]);
    }
    expect(fixture.receivedRequests.length).toBe(1);
    expect(ask("k-1", "buy more").code).toBe(422);
    expect(fixture.receivedRequests.length).toBe(1);
    expect([ask("k-2").body.toString(), fixture.receivedRequests.length]).toEqual(["run 1", 2]);
  });

  test("the first response is repeated also where it was an error of the backend's own that counts as run", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }) => ({
      code: 500,
      headers: { "try-id": tryId, "content-length": "3" },
      chunks: [Buffer.from("own")],
    });
    for (let round = 0; round < 2; round += 1) {
      const client = fixture.exchange("POST", "/keyed/x", { "op-key": "k-1" });
      expect([client.code, client.body.toString(), fixture.receivedRequests.length]).toEqual([
        500,
        "own",
        1,
      ]);
    }
  });

  test("a repeat while the first is in progress gets 409 or, once the first has ended, its response, and never runs", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }) => success(tryId, "run", { waitMs: 3000 });
    const first = fixture.send("POST", "/slow/x", { "op-key": "k-1" });
    fixture.advance(100);
    const early = fixture.exchange("POST", "/slow/x", { "op-key": "k-1", "deadline-ms": "1000" });
    expect([early.code, first.ending]).toEqual([409, "open"]);
    expect(early.headers["retry-after"]).toMatch(fraction);
    expect(early.tookMs).toBeLessThan(1000);
    fixture.advanceUntil(() => fixture.virtualClock.nowMs() - first.startedMs >= 2700, 5000);
    const late = fixture.exchange("POST", "/slow/x", { "op-key": "k-1" });
    expect([first.code, first.ending]).toEqual([200, "whole"]);
    expect([late.code, late.body.toString(), late.headers["seal"]]).toEqual([
      200,
      "run",
      "seal-of-run",
    ]);
    expect(fixture.receivedRequests.length).toBe(1);
  });

  test("of many concurrent requests with one key, one runs", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }) => success(tryId, "run", { waitMs: 200 });
    const all = Array.from({ length: 8 }, () =>
      fixture.send("POST", "/keyed/x", { "op-key": "k-1" }),
    );
    fixture.advanceUntil(() => all.every(({ ending }) => ending !== "open"), 5000);
    expect(fixture.receivedRequests.length).toBe(1);
    for (const { code, body } of all) expect([code, body.toString()]).toEqual([200, "run"]);
  });

  test("a repeat after the first one's response was lost gets 502 and does not run", () => {
    for (const reply of [
      (): BackendReply => "lost",
      (): BackendReply => "late",
      (): BackendReply => whole("another", {}),
      ({ tryId }: ReceivedRequest) => plain(tryId, 503),
    ]) {
      const fixture = ProxyFixture.create(2);
      fixture.reply = reply;
      expect([502, 504]).toContain(fixture.exchange("POST", "/keyed/x", { "op-key": "k-1" }).code);
      fixture.reply = ({ tryId }) => success(tryId, "run twice");
      for (let round = 0; round < 2; round += 1) {
        fixture.advance(500);
        expect([
          fixture.exchange("POST", "/keyed/x", { "op-key": "k-1" }).code,
          fixture.receivedRequests.length,
        ]).toEqual([502, 1]);
      }
    }
  });

  test("a key whose first request was declined by all backends is free: a repeat runs", () => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }) => declines(tryId);
    expect([
      fixture.exchange("POST", "/keyed/x", { "op-key": "k-1" }).code,
      fixture.receivedRequests.length,
    ]).toEqual([503, 2]);
    fixture.reply = ({ tryId }) => success(tryId, "run");
    fixture.advance(100);
    expect([
      fixture.exchange("POST", "/keyed/x", { "op-key": "k-1" }).code,
      fixture.receivedRequests.length,
    ]).toEqual([200, 3]);
  });

  test("while the log is unavailable, a first attempt's claim is refused within a quarter of the latency goal, with a Retry-After", () => {
    const fixture = ProxyFixture.create(2);
    fixture.disk.stall(900);
    fixture.advance(5);
    const client = fixture.exchange("POST", "/keyed/x", { "op-key": "k-1", "deadline-ms": "1000" });
    expect([client.code, fixture.receivedRequests.length]).toEqual([503, 0]);
    expect(client.tookMs).toBeLessThanOrEqual(100);
    expect(client.headers["retry-after"]).toMatch(fraction);
    expect(Number(client.headers["retry-after"])).toBeLessThan(1);
    fixture.advance(3000);
    expect([
      fixture.exchange("POST", "/keyed/x", { "op-key": "k-1" }).code,
      fixture.receivedRequests.length,
    ]).toEqual([200, 1]);
  });

  test("a claim with little of its time left waits for the log", () => {
    const fixture = ProxyFixture.create(2);
    fixture.disk.stall(200);
    fixture.advance(5);
    const client = fixture.exchange("POST", "/keyed/x", { "op-key": "k-1", "deadline-ms": "700" });
    expect([client.code, fixture.receivedRequests.length]).toEqual([200, 1]);
    expect(client.tookMs).toBeGreaterThan(150);
    expect(client.tookMs).toBeLessThan(700);
  });
});

describe("request that is not forwarded", () => {
  test("one without an id is refused with 400, one on a keyed route also without a key", () => {
    const fixture = ProxyFixture.create(1);
    expect(fixture.exchange("GET", "/safe/x", { "try-id": undefined }).code).toBe(400);
    expect(fixture.exchange("POST", "/unsafe/x", { "try-id": undefined }).code).toBe(400);
    expect(fixture.exchange("POST", "/keyed/x").code).toBe(400);
    expect(fixture.receivedRequests).toEqual([]);
  });

  test("one that no route takes is answered with 404", () => {
    const fixture = ProxyFixture.create(1);
    expect(fixture.exchange("GET", "/nowhere/x").code).toBe(404);
    expect(fixture.exchange("GET", "/saf").code).toBe(404);
    expect(fixture.exchange("GET", "/safe/x", { host: "other.example" }).code).toBe(404);
    expect(fixture.exchange("GET", "/safe/x", { host: "SHOP.example:8080" }).code).toBe(200);
    expect(fixture.receivedRequests.length).toBe(1);
  });

  test("before the first configuration each request gets 503 and a Retry-After", () => {
    const fixture = new ProxyFixture();
    const client = fixture.exchange("GET", "/safe/x");
    expect(client.code).toBe(503);
    expect(client.headers["retry-after"]).toMatch(fraction);
    expect(fixture.receivedRequests).toEqual([]);
  });
});

describe("daemon that has just started", () => {
  test("it lets a request wait for the first view for a third of its time, then refuses it", () => {
    const fixture = new ProxyFixture();
    const client = fixture.send("GET", "/safe/x", { "deadline-ms": "900" });
    fixture.advance(280);
    expect(client.ending).toBe("open");
    fixture.advance(60);
    expect([client.ending, client.code]).toEqual(["whole", 503]);
    expect(client.headers["retry-after"]).toMatch(fraction);
    const long = fixture.send("GET", "/safe/x", { "deadline-ms": "60000" });
    fixture.advance(1020);
    expect([long.ending, long.code]).toEqual(["whole", 503]);
  });

  test("requests that wait for the first view are served as soon as it has come", () => {
    const fixture = new ProxyFixture();
    fixture.registered.set("10.9.0.1:80", "i-1");
    fixture.advance(3000);
    const client = fixture.send("GET", "/safe/x", { "deadline-ms": "3000" });
    fixture.advance(30);
    expect([client.ending, fixture.receivedRequests.length]).toEqual(["open", 0]);
    fixture.sendAdminRequest("PUT", "/config", {
      services: { shop: {} },
      routes: { safe: { match: { path: "/safe/*" }, service: "shop", kind: "safe" } },
    });
    fixture.advanceUntil(() => client.ending !== "open", 1000);
    expect([client.code, fixture.receivedRequests.length]).toEqual([200, 1]);
    expect(client.tookMs).toBeLessThan(1000);
  });
});

describe("large response", () => {
  test.each([
    ["with a length", length],
    ["in chunks", chunked],
  ] as const)("%s, it is streamed to its end", (_what, headers) => {
    const fixture = ProxyFixture.create(2);
    fixture.reply = ({ tryId }) => large(tryId, headers);
    const client = fixture.exchange("GET", "/download/x");
    expect([client.isStreamed, client.code, client.ending, client.headers["seal"]]).toEqual([
      true,
      200,
      "whole",
      "s-large",
    ]);
    expect(client.body.equals(Buffer.concat(big))).toBe(true);
    expect(client.headMs).toBeLessThan(client.endMs - 100);
    expect(client.headers["content-length"]).toBe(
      headers === length ? String(bigBytes) : undefined,
    );
    expect(fixture.receivedRequests.length).toBe(1);
  });

  test.each([
    ["breaks off", length, [...big.slice(0, 8), "cut" as const]],
    ["ends before its length", length, big.slice(0, 8)],
    ["is longer than it states", length, [...big, Buffer.from("more")]],
    ["breaks off in chunks", chunked, [...big.slice(0, 8), "cut" as const]],
  ] as const)(
    "one that %s while it is streamed cuts the client's connection, and the request is not sent again",
    (_what, headers, pieces) => {
      const fixture = ProxyFixture.create(2);
      fixture.reply = ({ tryId }) => large(tryId, headers, pieces);
      const client = fixture.exchange("GET", "/download/x");
      expect([
        client.isStreamed,
        client.code,
        client.ending,
        fixture.receivedRequests.length,
      ]).toEqual([true, 200, "cut", 1]);
      expect(client.body.length).toBeLessThanOrEqual(bigBytes);
    },
  );
});
