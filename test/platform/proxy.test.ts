import { expect, test } from "vitest";
import { DoorStage, success, type Act, type Sent } from "./proxy-stage.js";

const fraction = /^\d+\.\d+$/;
const addresses = (stage: DoorStage): string[] => stage.sent.map(({ address }) => address);
const declines = (tryId: string, code = 503): Act => ({
  code,
  headers: { "try-id": tryId, "not-run": "full", "content-length": "4" },
  pieces: [Buffer.from("full")],
});
const other = (tryId: string): Act => ({
  code: 421,
  headers: { "try-id": tryId, "content-length": "0" },
  pieces: [],
});

test("a back end gets method, path, body and headers as they were sent, the caller's id, what is left of the deadline and the instance expected", () => {
  const stage = DoorStage.ready(1);
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
  const seen = stage.ask("PATCH", target, { ...kept, ...hop, "deadline-ms": "800" }, body);
  expect(seen.code).toBe(200);
  const [sent] = stage.sent;
  expect(sent).toMatchObject({ method: "PATCH", path: target, body });
  const { "deadline-ms": left, ...rest } = sent?.headers ?? {};
  expect(rest).toEqual({ ...kept, "want-backend": "i-1" });
  expect(left).toMatch(/^\d+$/);
  expect(Number(left)).toBeGreaterThan(700);
  expect(Number(left)).toBeLessThanOrEqual(800);
});

test("what is left of the deadline shrinks with each try, the route's own holds where it is shorter, and each try names its own back end's instance", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }, place) =>
    place === 0 ? { ...success(tryId, "none"), headers: {}, waitMs: 300 } : success(tryId, "fine");
  expect(stage.ask("GET", "/safe/x", { "try-id": "one", "deadline-ms": "5000" }).code).toBe(200);
  const [first, second] = stage.sent.map(({ headers }) => Number(headers["deadline-ms"]));
  expect(first).toBeGreaterThan(900);
  expect(first).toBeLessThanOrEqual(1000);
  expect(second).toBeLessThanOrEqual(700);
  expect(second).toBeGreaterThan(600);
  expect(stage.sent.map(({ headers }) => headers["want-backend"]).sort()).toEqual(["i-1", "i-2"]);
  for (const { address, headers } of stage.sent)
    expect(headers["want-backend"]).toBe(stage.announcing.get(address));
  expect(stage.sent.map(({ tryId }) => tryId)).toEqual(["one", "one"]);
});

test("a back end's whole response reaches the caller with status, body and seal unchanged, also a failure of its own", () => {
  const stage = DoorStage.ready(1);
  stage.act = ({ tryId }) =>
    success(tryId, "made", {
      code: 201,
      headers: {
        "x-own": "kept",
        connection: "close, x-hop",
        "x-hop": "gone",
        "keep-alive": "timeout=5",
      },
    });
  const made = stage.ask("POST", "/unsafe/x");
  expect([made.code, made.body.toString(), made.headers["seal"], made.headers["x-own"]]).toEqual([
    201,
    "made",
    "seal-of-made",
    "kept",
  ]);
  for (const name of ["connection", "keep-alive", "x-hop"])
    expect(made.headers).not.toHaveProperty(name);
  for (const code of [302, 400, 404, 500, 504]) {
    stage.act = ({ tryId }) => ({
      code,
      headers: { "try-id": tryId, "content-length": "3" },
      pieces: [Buffer.from("own")],
    });
    const seen = stage.ask("POST", "/unsafe/x");
    expect([seen.code, seen.body.toString()]).toEqual([code, "own"]);
  }
  expect(stage.sent.length).toBe(6);
});

const whole = (
  tryId: string,
  headers: Record<string, string | undefined>,
  pieces: ReadonlyArray<Uint8Array | "cut"> = [Buffer.from("wrong")],
): Act => {
  const held: Record<string, string> = {};
  for (const [name, value] of Object.entries({
    "try-id": tryId,
    seal: "s",
    "content-length": "5",
    ...headers,
  }))
    if (value !== undefined) held[name] = value;
  return { code: 200, headers: held, pieces };
};
const plain = (tryId: string, code: number): Act => ({
  code,
  headers: { "try-id": tryId, "retry-after": "0.1", "content-length": "0" },
  pieces: [],
});
const faulty: Array<[what: string, act: (sent: Sent) => Act]> = [
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

test.each(faulty)(
  "a response %s never reaches a caller: what may not be repeated is sent once and ends 502",
  (_what, act) => {
    const stage = DoorStage.ready(2);
    stage.act = act;
    const seen = stage.ask("POST", "/unsafe/x");
    expect([seen.code, seen.begun, seen.ending, stage.sent.length]).toEqual([
      502,
      false,
      "whole",
      1,
    ]);
    expect(seen.headers).not.toHaveProperty("seal");
    expect(seen.body.toString()).not.toContain("wro");
  },
);

test.each(faulty)(
  "a response %s never reaches a caller: what is safe goes to a second back end",
  (_what, act) => {
    const stage = DoorStage.ready(2);
    stage.act = (sent, place) => (place === 0 ? act(sent) : success(sent.tryId, "right"));
    const seen = stage.ask("GET", "/safe/x");
    expect([seen.code, seen.body.toString(), seen.headers["seal"]]).toEqual([
      200,
      "right",
      "seal-of-right",
    ]);
    expect(addresses(stage).sort()).toEqual(["10.9.0.1:80", "10.9.0.2:80"]);
    stage.act = act;
    const failed = stage.ask("GET", "/safe/x");
    expect([failed.code, failed.begun, stage.sent.length]).toEqual([502, false, 4]);
  },
);

const declining: Array<[what: string, act: (sent: Sent) => Act]> = [
  ["503 with Not-Run", ({ tryId }) => declines(tryId)],
  ["429 with Not-Run", ({ tryId }) => declines(tryId, 429)],
  ["421 with Not-Run", ({ tryId }) => declines(tryId, 421)],
  ["421 alone", ({ tryId }) => other(tryId)],
];

test.each(declining)(
  "a request that a back end declines (%s) goes to another one, also an unsafe or keyed one",
  (_what, act) => {
    for (const [method, target] of [
      ["POST", "/unsafe/x"],
      ["GET", "/safe/x"],
      ["POST", "/keyed/x"],
    ] as const) {
      const stage = DoorStage.ready(2);
      stage.act = (sent, place) => (place === 0 ? act(sent) : success(sent.tryId, "taken"));
      const seen = stage.ask(method, target, { "op-key": "k-1" });
      expect([target, seen.code, seen.body.toString()]).toEqual([target, 200, "taken"]);
      expect(addresses(stage).sort()).toEqual(["10.9.0.1:80", "10.9.0.2:80"]);
    }
  },
);

test.each(declining)(
  "where all back ends decline (%s), the caller is told 503 and when to come back, in fractions of a second",
  (_what, act) => {
    for (const [method, target] of [
      ["POST", "/unsafe/x"],
      ["GET", "/safe/x"],
      ["POST", "/thriceUnsafe/x"],
      ["POST", "/keyed/x"],
    ] as const) {
      const stage = DoorStage.ready(2);
      stage.act = act;
      const seen = stage.ask(method, target, { "op-key": "k-1" });
      expect([target, seen.code, stage.sent.length]).toEqual([target, 503, 2]);
      expect(seen.headers["retry-after"]).toMatch(fraction);
      expect(Number(seen.headers["retry-after"])).toBeGreaterThan(0);
      expect(Number(seen.headers["retry-after"])).toBeLessThan(0.5);
    }
  },
);

test("an unsafe request that one back end declines and another loses ends 502", () => {
  const stage = DoorStage.ready(3);
  stage.act = ({ tryId }, place) => (place === 0 ? declines(tryId) : "lost");
  expect([stage.ask("POST", "/thriceUnsafe/x").code, stage.sent.length]).toEqual([502, 2]);
});

test("a 421 ends the contract: that instance is not picked again, at once and later", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }, place) => (place === 0 ? other(tryId) : success(tryId, "taken"));
  stage.ask("GET", "/safe/x");
  const [gone = ""] = addresses(stage);
  stage.announcing.delete(gone);
  for (let round = 0; round < 60; round += 1) {
    expect(stage.ask("GET", "/safe/x").code).toBe(200);
    stage.wait(50);
  }
  expect(addresses(stage).slice(1)).not.toContain(gone);
});

test("Not-Run ends no contract: the back end is picked again", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }, place) => (place === 0 ? declines(tryId) : success(tryId, "taken"));
  stage.ask("GET", "/safe/x");
  const [full = ""] = addresses(stage);
  for (let round = 0; round < 60; round += 1) {
    stage.ask("GET", "/safe/x");
    stage.wait(50);
  }
  expect(addresses(stage).slice(1)).toContain(full);
});

test("a 421 with another request's id is no word about this one: what is unsafe is sent once and ends 502", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }, place) => (place === 0 ? other("another") : success(tryId, "run twice"));
  const seen = stage.ask("POST", "/unsafe/x");
  expect([seen.code, stage.sent.length]).toEqual([502, 1]);
});

test("an unsafe request whose connection is lost after sending is sent once and ends 502, never 503", () => {
  for (const target of ["/unsafe/x", "/thriceUnsafe/x", "/keyed/x"]) {
    const stage = DoorStage.ready(3);
    stage.act = () => "lost";
    const seen = stage.ask("POST", target, { "op-key": "k-1" });
    expect([target, seen.code, stage.sent.length]).toEqual([target, 502, 1]);
  }
});

test("an unsafe request that isn't answered in time is sent once and ends 504, no later than its deadline", () => {
  const stage = DoorStage.ready(3);
  stage.act = () => "late";
  const seen = stage.ask("POST", "/unsafe/x", { "deadline-ms": "600" });
  expect([seen.code, stage.sent.length]).toEqual([504, 1]);
  expect(seen.tookMs).toBeLessThanOrEqual(605);
});

test("a back end that takes no connection was sent nothing: an unsafe request goes to another, and ends 503 where none takes one", () => {
  for (const why of ["refused", "foreign", "unreached"] as const) {
    const stage = DoorStage.ready(2);
    stage.before = (address) => (address === "10.9.0.1:80" ? why : undefined);
    for (let round = 0; round < 5; round += 1)
      expect([why, stage.ask("POST", "/unsafe/x").code]).toEqual([why, 200]);
    expect(new Set(addresses(stage))).toEqual(new Set(["10.9.0.2:80"]));
    stage.before = () => why;
    const seen = stage.ask("POST", "/unsafe/x");
    expect([why, seen.code, stage.sent.length]).toEqual([why, 503, 5]);
    expect(seen.headers["retry-after"]).toMatch(fraction);
  }
});

test("no request is sent to more back ends than its route's attempts, each at most once", () => {
  for (const [target, attempts] of [
    ["/once/x", 1],
    ["/safe/x", 2],
    ["/thrice/x", 3],
  ] as const) {
    for (const act of [
      (): Act => "lost",
      ({ tryId }: Sent) => declines(tryId),
      ({ tryId }: Sent) => other(tryId),
      ({ tryId }: Sent) => plain(tryId, 503),
    ]) {
      const stage = DoorStage.ready(5);
      stage.act = act;
      const seen = stage.ask("GET", target);
      expect([target, stage.sent.length, new Set(addresses(stage)).size]).toEqual([
        target,
        attempts,
        attempts,
      ]);
      expect([502, 503]).toContain(seen.code);
    }
  }
  const stage = DoorStage.ready(5);
  stage.act = ({ tryId }) => declines(tryId);
  expect([stage.ask("POST", "/thriceUnsafe/x").code, stage.sent.length]).toEqual([503, 3]);
});

test("a keyed request is run once: a repeat gets the first's status, body and seal", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }, place) => success(tryId, `run ${place}`, { code: 201 });
  const ask = (key: string, body = "buy") =>
    stage.ask("POST", "/keyed/x", { "op-key": key }, Buffer.from(body));
  const first = ask("k-1");
  expect([first.code, first.body.toString(), first.headers["seal"]]).toEqual([
    201,
    "run 0",
    "seal-of-run 0",
  ]);
  for (let round = 0; round < 3; round += 1) {
    stage.wait(round * 3000);
    const repeat = ask("k-1");
    expect([repeat.code, repeat.body.toString(), repeat.headers["seal"]]).toEqual([
      201,
      "run 0",
      "seal-of-run 0",
    ]);
  }
  expect(stage.sent.length).toBe(1);
  expect(ask("k-1", "buy more").code).toBe(422);
  expect(stage.sent.length).toBe(1);
  expect([ask("k-2").body.toString(), stage.sent.length]).toEqual(["run 1", 2]);
});

test("the first's answer is repeated also where it was a failure of the back end's own that counts as run", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }) => ({
    code: 500,
    headers: { "try-id": tryId, "content-length": "3" },
    pieces: [Buffer.from("own")],
  });
  for (let round = 0; round < 2; round += 1) {
    const seen = stage.ask("POST", "/keyed/x", { "op-key": "k-1" });
    expect([seen.code, seen.body.toString(), stage.sent.length]).toEqual([500, "own", 1]);
  }
});

test("a repeat while the first is in hand gets 409 or, once the first has ended, its answer, and never runs", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }) => success(tryId, "run", { waitMs: 3000 });
  const first = stage.send("POST", "/slow/x", { "op-key": "k-1" });
  stage.wait(100);
  const early = stage.ask("POST", "/slow/x", { "op-key": "k-1", "deadline-ms": "1000" });
  expect([early.code, first.ending]).toEqual([409, "open"]);
  expect(early.headers["retry-after"]).toMatch(fraction);
  expect(early.tookMs).toBeLessThan(1000);
  stage.until(() => stage.time.nowMs() - first.sinceMs >= 2700, 5000);
  const late = stage.ask("POST", "/slow/x", { "op-key": "k-1" });
  expect([first.code, first.ending]).toEqual([200, "whole"]);
  expect([late.code, late.body.toString(), late.headers["seal"]]).toEqual([
    200,
    "run",
    "seal-of-run",
  ]);
  expect(stage.sent.length).toBe(1);
});

test("of many with one key that come together, one runs", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }) => success(tryId, "run", { waitMs: 200 });
  const all = Array.from({ length: 8 }, () => stage.send("POST", "/keyed/x", { "op-key": "k-1" }));
  stage.until(() => all.every(({ ending }) => ending !== "open"), 5000);
  expect(stage.sent.length).toBe(1);
  for (const { code, body } of all) expect([code, body.toString()]).toEqual([200, "run"]);
});

test("a repeat after the first's response was lost gets 502 and does not run", () => {
  for (const act of [
    (): Act => "lost",
    (): Act => "late",
    (): Act => whole("another", {}),
    ({ tryId }: Sent) => plain(tryId, 503),
  ]) {
    const stage = DoorStage.ready(2);
    stage.act = act;
    expect([502, 504]).toContain(stage.ask("POST", "/keyed/x", { "op-key": "k-1" }).code);
    stage.act = ({ tryId }) => success(tryId, "run twice");
    for (let round = 0; round < 2; round += 1) {
      stage.wait(500);
      expect([stage.ask("POST", "/keyed/x", { "op-key": "k-1" }).code, stage.sent.length]).toEqual([
        502, 1,
      ]);
    }
  }
});

test("a key whose first request was declined by all is free: a repeat runs", () => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }) => declines(tryId);
  expect([stage.ask("POST", "/keyed/x", { "op-key": "k-1" }).code, stage.sent.length]).toEqual([
    503, 2,
  ]);
  stage.act = ({ tryId }) => success(tryId, "run");
  stage.wait(100);
  expect([stage.ask("POST", "/keyed/x", { "op-key": "k-1" }).code, stage.sent.length]).toEqual([
    200, 3,
  ]);
});

test("while the record can't be reached, a first try's claim is refused within a quarter of the goal, and told when to come back", () => {
  const stage = DoorStage.ready(2);
  stage.disk.stall(900);
  stage.wait(5);
  const seen = stage.ask("POST", "/keyed/x", { "op-key": "k-1", "deadline-ms": "1000" });
  expect([seen.code, stage.sent.length]).toEqual([503, 0]);
  expect(seen.tookMs).toBeLessThanOrEqual(100);
  expect(seen.headers["retry-after"]).toMatch(fraction);
  expect(Number(seen.headers["retry-after"])).toBeLessThan(1);
  stage.wait(3000);
  expect([stage.ask("POST", "/keyed/x", { "op-key": "k-1" }).code, stage.sent.length]).toEqual([
    200, 1,
  ]);
});

test("a claim with little of its time left waits for the record", () => {
  const stage = DoorStage.ready(2);
  stage.disk.stall(200);
  stage.wait(5);
  const seen = stage.ask("POST", "/keyed/x", { "op-key": "k-1", "deadline-ms": "700" });
  expect([seen.code, stage.sent.length]).toEqual([200, 1]);
  expect(seen.tookMs).toBeGreaterThan(150);
  expect(seen.tookMs).toBeLessThan(700);
});

test("a request without an id is refused with 400, one on a keyed route also without a key", () => {
  const stage = DoorStage.ready(1);
  expect(stage.ask("GET", "/safe/x", { "try-id": undefined }).code).toBe(400);
  expect(stage.ask("POST", "/unsafe/x", { "try-id": undefined }).code).toBe(400);
  expect(stage.ask("POST", "/keyed/x").code).toBe(400);
  expect(stage.sent).toEqual([]);
});

test("a request that no route takes is answered 404", () => {
  const stage = DoorStage.ready(1);
  expect(stage.ask("GET", "/nowhere/x").code).toBe(404);
  expect(stage.ask("GET", "/saf").code).toBe(404);
  expect(stage.ask("GET", "/safe/x", { host: "other.example" }).code).toBe(404);
  expect(stage.ask("GET", "/safe/x", { host: "SHOP.example:8080" }).code).toBe(200);
  expect(stage.sent.length).toBe(1);
});

test("before the first config every request is told 503 and when to come back", () => {
  const stage = new DoorStage();
  const seen = stage.ask("GET", "/safe/x");
  expect(seen.code).toBe(503);
  expect(seen.headers["retry-after"]).toMatch(fraction);
  expect(stage.sent).toEqual([]);
});

test("a daemon that has just started holds a request for its first view for a third of its time, then refuses it", () => {
  const stage = new DoorStage();
  const seen = stage.send("GET", "/safe/x", { "deadline-ms": "900" });
  stage.wait(280);
  expect(seen.ending).toBe("open");
  stage.wait(60);
  expect([seen.ending, seen.code]).toEqual(["whole", 503]);
  expect(seen.headers["retry-after"]).toMatch(fraction);
  const long = stage.send("GET", "/safe/x", { "deadline-ms": "60000" });
  stage.wait(1020);
  expect([long.ending, long.code]).toEqual(["whole", 503]);
});

test("what a daemon holds for its first view is served as soon as that has come", () => {
  const stage = new DoorStage();
  stage.announcing.set("10.9.0.1:80", "i-1");
  stage.wait(3000);
  const seen = stage.send("GET", "/safe/x", { "deadline-ms": "3000" });
  stage.wait(30);
  expect([seen.ending, stage.sent.length]).toEqual(["open", 0]);
  stage.order("PUT", "/config", {
    services: { shop: {} },
    routes: { safe: { match: { path: "/safe/*" }, service: "shop", kind: "safe" } },
  });
  stage.until(() => seen.ending !== "open", 1000);
  expect([seen.code, stage.sent.length]).toEqual([200, 1]);
  expect(seen.tookMs).toBeLessThan(1000);
});

const big = Array.from({ length: 12 }, (_, place) => Buffer.alloc(64 * 1024, place + 1));
const bigBytes = big.reduce((sum, { length }) => sum + length, 0);
const length = { "content-length": String(bigBytes) };
const chunked = { "transfer-encoding": "chunked" };
const large = (
  tryId: string,
  headers: Record<string, string>,
  pieces: ReadonlyArray<Uint8Array | "cut"> = big,
): Act => ({
  code: 200,
  headers: { "try-id": tryId, seal: "s-large", ...headers },
  pieces,
  pieceMs: 20,
});

test.each([
  ["with a length", length],
  ["in chunks", chunked],
] as const)("a large response %s is passed on while it comes, whole", (_what, headers) => {
  const stage = DoorStage.ready(2);
  stage.act = ({ tryId }) => large(tryId, headers);
  const seen = stage.ask("GET", "/download/x");
  expect([seen.begun, seen.code, seen.ending, seen.headers["seal"]]).toEqual([
    true,
    200,
    "whole",
    "s-large",
  ]);
  expect(seen.body.equals(Buffer.concat(big))).toBe(true);
  expect(seen.headMs).toBeLessThan(seen.endMs - 100);
  expect(seen.headers["content-length"]).toBe(headers === length ? String(bigBytes) : undefined);
  expect(stage.sent.length).toBe(1);
});

test.each([
  ["breaks off", length, [...big.slice(0, 8), "cut" as const]],
  ["ends before its length", length, big.slice(0, 8)],
  ["is longer than it states", length, [...big, Buffer.from("more")]],
  ["breaks off in chunks", chunked, [...big.slice(0, 8), "cut" as const]],
] as const)(
  "a large response that %s while it is passed on cuts the caller's connection, and the request is not sent again",
  (_what, headers, pieces) => {
    const stage = DoorStage.ready(2);
    stage.act = ({ tryId }) => large(tryId, headers, pieces);
    const seen = stage.ask("GET", "/download/x");
    expect([seen.begun, seen.code, seen.ending, stage.sent.length]).toEqual([true, 200, "cut", 1]);
    expect(seen.body.length).toBeLessThanOrEqual(bigBytes);
  },
);
