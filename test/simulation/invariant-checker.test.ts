import { expect, test } from "vitest";
import { checkRules, rules } from "../../src/simulation/invariant-checker.js";
import {
  type ClientRecord,
  EventRecorder,
  type RunRecord,
} from "../../src/simulation/event-recorder.js";

const call = (record: Partial<ClientRecord>): ClientRecord => ({
  id: "c1",
  daemon: "e1",
  service: "s",
  method: "GET",
  path: "/x/1",
  key: undefined,
  sentMs: 5000,
  endedMs: 5050,
  code: 200,
  failure: "",
  echoedId: record.id ?? "c1",
  isComplete: true,
  isGarbage: false,
  retryAfterS: undefined,
  executionStatus: "",
  ...record,
});
const ran = (record: Partial<RunRecord>): RunRecord => ({
  atMs: 5020,
  delayedMs: 0,
  address: "b1",
  service: "s",
  incarnation: 1,
  requestId: "c1",
  path: "/x/1",
  method: "GET",
  key: undefined,
  intendedService: "s",
  ...record,
});
const configText = (number: number): string =>
  JSON.stringify({
    services: { s: {} },
    routes: {
      x: { match: { path: "/x/*" }, service: "s" },
      [`probe-${number}`]: { match: { path: `/probe/${number}` }, service: "s" },
    },
  });
const clean = (): EventRecorder => {
  const recorder = new EventRecorder();
  for (const number of [1, 2]) {
    const [atMs, text] = [(number - 1) * 1000, configText(number)];
    recorder.environmentRecords.push(
      { kind: "sent", atMs, probe: number, text },
      { kind: "accepted", atMs, sequence: number, probe: number, text },
    );
  }
  for (const base of [0, 1])
    Object.assign(recorder.addCommand({ startMs: base * 1000, base, probe: base + 1 }), {
      outcome: "accepted",
      version: base + 1,
      endMs: base * 1000 + 50,
    });
  recorder.clientRecords.push(call({}));
  recorder.runs.push(ran({}));
  recorder.endMs = 60_000;
  return recorder;
};
const planted: Record<string, (recorder: EventRecorder) => void> = {
  "a key runs once in a minute": (recorder) =>
    recorder.runs.push(
      ran({ requestId: "a", method: "POST", key: "k" }),
      ran({ requestId: "b", method: "POST", key: "k", atMs: 60_000 }),
    ),
  "a return is the caller's own, whole and stamped": (recorder) =>
    recorder.clientRecords.push(call({ id: "c2", echoedId: "c1" })),
  "what is told to try later never runs": (recorder) =>
    recorder.clientRecords.push(call({ code: 503 })),
  "what may not be repeated runs once": (recorder) =>
    recorder.runs.push(
      ran({ requestId: "c3", method: "POST" }),
      ran({ requestId: "c3", method: "POST", atMs: 9000 }),
    ),
  "repeats stay under a fifth plus seventy in ten seconds": (recorder) => {
    for (let at = 0; at < 72; at += 1) recorder.runs.push(ran({ atMs: 5021 + at }));
  },
  "a leaving back end gets no work two seconds on": (recorder) =>
    recorder.environmentRecords.push({
      kind: "left",
      atMs: 3000,
      address: "b1",
      service: "s",
      incarnation: 1,
    }),
  "no request meets a config older than two seconds": (recorder) =>
    recorder.clientRecords.push(call({ path: "/probe/1" })),
  "a daemon never slips back to an older config": (recorder) =>
    recorder.clientRecords.push(
      call({ path: "/probe/2", sentMs: 1500, endedMs: 1600 }),
      call({ path: "/probe/1", sentMs: 1900 }),
    ),
  "no request reaches a service that was never allowed": (recorder) =>
    recorder.runs.push(ran({ service: "other" })),
  "only accepted configs are in force, and none is lost": (recorder) =>
    recorder.environmentRecords.push({
      kind: "readBack",
      atMs: 9000,
      sequence: 2,
      text: undefined,
    }),
  "operators see one register of configs": (recorder) =>
    recorder.configReads.push({ startMs: 2000, endMs: 2010, version: 1 }),
  "a stop finishes the work in hand": (recorder) => {
    recorder.environmentRecords.push({ kind: "stopped", atMs: 5010, daemon: "e1", endedMs: 5200 });
    recorder.clientRecords.push(call({ code: 0, failure: "broken" }));
  },
  "most requests are served 15 s after a fault": (recorder) => {
    recorder.environmentRecords.push({ kind: "recovered", atMs: 10_000 });
    recorder.clientRecords.push(call({ sentMs: 30_000, code: 503, id: "c9" }));
  },
};
test.each(Object.keys(rules))(
  "the judge of '%s' catches a planted breach and passes a clean run",
  (rule) => {
    expect(checkRules(clean())).toEqual([]);
    const recorder = clean();
    planted[rule]?.(recorder);
    expect(checkRules(recorder).map((breach) => breach.rule)).toEqual([rule]);
  },
);
