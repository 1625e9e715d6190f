import { describe, expect, test } from "vitest";
import { DeploymentJudge } from "../../src/fleet/deployment/deployment-judge.js";
import type {
  ChangeEvent,
  DeploymentEvent,
  TryEvent,
} from "../../src/fleet/deployment/event-log.js";

const bounds = {
  ackMs: 4000,
  applyMs: 2000,
  drainMs: 2000,
  graceMs: 6000,
  contactMs: 3000,
  lossSlackMs: 200,
  catchUpMs: 6000,
  skewMs: 5000,
};
const MEMBER = "127.0.0.1";
const EDGE = "127.0.0.2";

const change = (fields: Partial<ChangeEvent>): ChangeEvent => ({
  kind: "change",
  version: 3,
  isValid: true,
  routes: 10,
  sentMs: 0,
  status: 200,
  calls: [],
  ...fields,
});

const clientTry = (fields: Partial<TryEvent>): TryEvent => ({
  kind: "try",
  id: "a",
  traffic: "read",
  machine: EDGE,
  sentMs: 0,
  endedMs: 100,
  result: "200",
  isBehindClose: false,
  ...fields,
});

const run = (atMs: number, backend = "i-1"): DeploymentEvent => ({
  kind: "run",
  id: "a",
  backend,
  service: "s",
  path: "/read/1",
  atMs,
});

const probe = (expects: string, status: number): DeploymentEvent => ({
  kind: "probe",
  machine: EDGE,
  version: 3,
  expects,
  status,
  sentMs: 0,
  endedMs: 10,
});

const stop = (machine: string, atMs: number): DeploymentEvent => ({
  kind: "stop",
  machine,
  atMs,
  endedMs: atMs + 3000,
});

/** The rules that the events break. */
const broken = (...events: DeploymentEvent[]): string[] =>
  new DeploymentJudge(events, new Set([MEMBER]), bounds)
    .results()
    .filter(({ violations }) => violations.length > 0)
    .map(({ rule }) => rule);

const leave = (ackMs?: number): DeploymentEvent => ({
  kind: "leave",
  backend: "i-1",
  saidMs: 0,
  calls: 1,
  ...(ackMs === undefined ? {} : { ackMs }),
});

const repeated = (count: number, event: DeploymentEvent): DeploymentEvent[] =>
  Array.from({ length: count }, () => event);

describe("the judge of a deployment run", () => {
  test.each<[string, string[], DeploymentEvent[]]>([
    ["an order acknowledged in time", [], [change({ ackMs: 4000 })]],
    ["an order acknowledged late", ["ACKS (orders)"], [change({ ackMs: 4040 })]],
    ["an order without an answer", ["ACKS (orders)"], [change({ status: 0 })]],
    ["an order that lost its race", [], [change({ status: 412 })]],
    ["an order while a member is stopped", [], [change({ status: 0 }), stop(MEMBER, 2000)]],
    ["three of three leaves without an answer", ["ACKS (leaves)"], [leave(), leave(), leave()]],
    ["three of fifteen late", [], [...repeated(12, leave(9)), leave(), leave(), leave()]],
    ["an invalid change taken", ["CONFIG (invalid)"], [change({ isValid: false, ackMs: 9 })]],
    ["an added route refused", ["CONFIG (in force)"], [probe("present", 404)]],
    ["an added route that is busy", [], [probe("present", 503)]],
    ["a removed route served", ["CONFIG (in force)"], [probe("absent", 200)]],
    [
      "added routes that aren't served",
      ["CONFIG (added routes)"],
      [...repeated(20, probe("present", 503)), clientTry({})],
    ],
    ["a request in time to drain", [], [leave(100), run(2100)]],
    ["a request after the time to drain", ["DRAIN"], [leave(100), run(2101)]],
    [
      "one passed on by a machine that is being stopped",
      [],
      [leave(100), run(2101), stop(EDGE, 1000), clientTry({})],
    ],
    ["a cut request that ran", ["LOST"], [clientTry({ result: "cut" }), run(10)]],
    ["a cut request that didn't run, in time", [], [clientTry({ result: "cut", endedMs: 200 })]],
    ["one that didn't run, later", ["LOST"], [clientTry({ result: "reset", endedMs: 201 })]],
    [
      "one behind a response that closes its connection",
      [],
      [clientTry({ result: "cut", endedMs: 900, isBehindClose: true }), run(10)],
    ],
    [
      "one whose backend is at work at the end of grace",
      [],
      [stop(EDGE, 0), clientTry({ result: "cut", endedMs: 5900 }), run(10)],
    ],
    [
      "one whose backend had answered before",
      ["LOST"],
      [
        stop(EDGE, 0),
        clientTry({ result: "cut", endedMs: 5900 }),
        run(10),
        { kind: "runEnd", id: "a", atMs: 4000 },
      ],
    ],
  ])("%s: broken %j", (_name, rules, events) => {
    expect(broken(...events)).toEqual(rules);
  });

  test("rules without events have nothing to judge", () => {
    const results = new DeploymentJudge([], new Set(), bounds).results();
    expect(results.filter(({ judged }) => judged > 0)).toEqual([]);
  });
});
