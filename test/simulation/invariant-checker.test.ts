import { expect, test } from "vitest";
import { checkRules, rules } from "../../src/simulation/invariant-checker.js";
import {
  type ClientRecord,
  EventRecorder,
  type RunRecord,
} from "../../src/simulation/event-recorder.js";

const createClientRecord = (record: Partial<ClientRecord>): ClientRecord => ({
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
const createRunRecord = (record: Partial<RunRecord>): RunRecord => ({
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
const createCorrectRecords = (): EventRecorder => {
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
  recorder.clientRecords.push(createClientRecord({}));
  recorder.runs.push(createRunRecord({}));
  recorder.endMs = 60_000;
  return recorder;
};
const injectViolation: Record<string, (recorder: EventRecorder) => void> = {
  "an idempotency key runs at most once per minute": (recorder) =>
    recorder.runs.push(
      createRunRecord({ requestId: "a", method: "POST", key: "k" }),
      createRunRecord({ requestId: "b", method: "POST", key: "k", atMs: 60_000 }),
    ),
  "a client gets a complete response to its own request": (recorder) =>
    recorder.clientRecords.push(createClientRecord({ id: "c2", echoedId: "c1" })),
  "a request answered with 503 never runs": (recorder) =>
    recorder.clientRecords.push(createClientRecord({ code: 503 })),
  "a request with an unsafe method runs at most once": (recorder) =>
    recorder.runs.push(
      createRunRecord({ requestId: "c3", method: "POST" }),
      createRunRecord({ requestId: "c3", method: "POST", atMs: 9000 }),
    ),
  "retries stay within 70 plus a fifth of the requests in 10 s": (recorder) => {
    for (let count = 0; count < 72; count += 1)
      recorder.runs.push(createRunRecord({ atMs: 5021 + count }));
  },
  "a deregistered backend gets no requests after 2 s": (recorder) =>
    recorder.environmentRecords.push({
      kind: "left",
      atMs: 3000,
      address: "b1",
      service: "s",
      incarnation: 1,
    }),
  "an accepted config is in use after 2 s": (recorder) =>
    recorder.clientRecords.push(createClientRecord({ path: "/probe/1" })),
  "a daemon never goes back to an older config": (recorder) =>
    recorder.clientRecords.push(
      createClientRecord({ path: "/probe/2", sentMs: 1500, endedMs: 1600 }),
      createClientRecord({ path: "/probe/1", sentMs: 1900 }),
    ),
  "no request reaches a service to which no config routes it": (recorder) =>
    recorder.runs.push(createRunRecord({ service: "other" })),
  "only accepted configs take effect, and none is lost": (recorder) =>
    recorder.environmentRecords.push({
      kind: "readBack",
      atMs: 9000,
      sequence: 2,
      text: undefined,
    }),
  "config changes and reads are linearizable": (recorder) =>
    recorder.configReads.push({ startMs: 2000, endMs: 2010, version: 1 }),
  "a stopping daemon finishes its requests in progress": (recorder) => {
    recorder.environmentRecords.push({ kind: "stopped", atMs: 5010, daemon: "e1", endedMs: 5200 });
    recorder.clientRecords.push(createClientRecord({ code: 0, failure: "broken" }));
  },
  "90% of requests are served from 15 s after the last fault": (recorder) => {
    recorder.environmentRecords.push({ kind: "recovered", atMs: 10_000 });
    recorder.clientRecords.push(createClientRecord({ sentMs: 30_000, code: 503, id: "c9" }));
  },
};
test.each(Object.keys(rules))(
  "the check of '%s' finds an injected violation and accepts correct records",
  (rule) => {
    expect(checkRules(createCorrectRecords())).toEqual([]);
    const recorder = createCorrectRecords();
    injectViolation[rule]?.(recorder);
    expect(checkRules(recorder).map((violation) => violation.rule)).toEqual([rule]);
  },
);
