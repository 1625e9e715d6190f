import { parseConfig } from "../configuration/config-validation.js";
import { safeMethods } from "../configuration/config-shape.js";
import { RouteTable } from "../cluster-view/route-table.js";
import { configHistoryViolations } from "./config-history-check.js";
import { EventRecorder, type ClientRecord, type RunRecord } from "./event-recorder.js";

/** A rule that was broken, and by what. */
export interface RuleViolation {
  rule: string;
  detail: string;
}

type Rule = (recorder: EventRecorder) => Iterable<string>;

const keyMs = 60_000;
const leftMs = 2000;
const staleMs = 2000;
const slipMs = 250;
const windowMs = 10_000;
const drainMs = 6000;
const recoverMs = 15_000;
const probe = /^\/probe\/(\d+)$/;

const groupBy = <T>(
  items: Iterable<T>,
  keyOf: (item: T) => string | undefined,
): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    if (key === undefined) continue;
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
};

const succeeded = (record: ClientRecord): boolean => record.code >= 200 && record.code < 300;

const keyRanOnce: Rule = function* (recorder) {
  const byKey = groupBy(recorder.runs, (run) =>
    run.key === undefined ? undefined : `${run.method} ${run.path} ${run.key}`,
  );
  for (const [key, runs] of byKey) {
    const times = runs.map(({ atMs }) => atMs).sort((a, b) => a - b);
    for (let at = 1; at < times.length; at += 1) {
      const gapMs = (times[at] ?? 0) - (times[at - 1] ?? 0);
      if (gapMs < keyMs) yield `${key} ran twice within ${Math.round(gapMs)} ms`;
    }
  }
};

const returnsAreTrue: Rule = function* (recorder) {
  const keys = new Map(recorder.clientRecords.map(({ id, key }) => [id, key]));
  for (const record of recorder.clientRecords.filter(succeeded)) {
    if (record.isGarbage) yield `${record.id} got garbage as a success`;
    else if (!record.isComplete) yield `${record.id} got a body that is cut short as a success`;
    else {
      const sameKey = record.key !== undefined && keys.get(record.echoedId) === record.key;
      if (record.echoedId !== record.id && !sameKey && record.method !== "HEAD")
        yield `${record.id} got the return of ${record.echoedId || "nobody"}`;
    }
  }
};

const droppedNeverRan: Rule = function* (recorder) {
  const ran = new Set(recorder.runs.map(({ requestId: caller }) => caller));
  for (const record of recorder.clientRecords)
    if (record.code === 503 && ran.has(record.id))
      yield `${record.id} was told to try later, but ran`;
};

const unrepeatableRanOnce: Rule = function* (recorder) {
  for (const [caller, runs] of groupBy(recorder.runs, (run) =>
    safeMethods.has(run.method) ? undefined : run.requestId,
  ))
    if (runs.length > 1) yield `${caller} ran ${runs.length} times`;
};

/** The most further tries that any window held, against what it might. */
export const findPeakRetries = (
  recorder: EventRecorder,
): Map<string, { retries: number; requests: number; allowed: number }> => {
  const worst = new Map<string, { retries: number; requests: number; allowed: number }>();
  const seen = new Set<string>();
  const retries: RunRecord[] = [];
  for (const run of [...recorder.runs].sort((a, b) => a.atMs - b.atMs)) {
    if (seen.has(run.requestId)) retries.push(run);
    seen.add(run.requestId);
  }
  const requests = groupBy(recorder.clientRecords, ({ service }) => service);
  for (const [service, runs] of groupBy(retries, ({ intendedService: meant }) => meant)) {
    const sent = (requests.get(service) ?? []).map(({ sentMs }) => sentMs).sort((a, b) => a - b);
    for (const { atMs } of runs) {
      const inWindow = (time: number): boolean => time >= atMs && time < atMs + windowMs;
      const count = runs.filter((run) => inWindow(run.atMs)).length;
      const base = sent.filter(inWindow).length;
      const allowed = base / 5 + 70;
      const known = worst.get(service);
      if (!known || count / allowed > known.retries / known.allowed)
        worst.set(service, { retries: count, requests: base, allowed });
    }
  }
  return worst;
};

const repeatsAreBounded: Rule = function* (recorder) {
  for (const [service, { retries: further, requests, allowed }] of findPeakRetries(recorder))
    if (further > allowed)
      yield `${service} got ${further} repeats in ten seconds with ${requests} requests; ${Math.floor(allowed)} were allowed`;
};

const leaversGetNothing: Rule = function* (recorder) {
  for (const left of recorder.ofKind("left"))
    for (const run of recorder.runs)
      if (
        run.address === left.address &&
        run.incarnation === left.incarnation &&
        run.atMs - run.delayedMs > left.atMs + leftMs
      )
        yield `${left.address} got work ${Math.round(run.atMs - left.atMs)} ms after its leave was heard`;
};

const probed = (record: ClientRecord): number | undefined => {
  const number = probe.exec(record.path)?.[1];
  return number === undefined ? undefined : Number(number);
};

const configsAreFresh: Rule = function* (recorder) {
  const accepted = recorder.ofKind("accepted");
  const rejected = new Set(recorder.ofKind("rejected").map((record) => record.probe));
  const sent = recorder.ofKind("sent").filter((record) => !rejected.has(record.probe));
  for (const record of recorder.clientRecords) {
    const number = probed(record);
    if (number === undefined) continue;
    const newest = accepted
      .filter(({ atMs }) => atMs <= record.sentMs - staleMs)
      .reduce((most, one) => Math.max(most, one.probe), 0);
    if (record.code === 200 && newest > number)
      yield `${record.daemon} handled a request by config ${number} though ${newest} was accepted 2 s before it was sent`;
    const mayBeNewer = sent.some((one) => one.probe > number && one.atMs <= record.endedMs);
    if (newest === number && record.code === 404 && !mayBeNewer)
      yield `${record.daemon} did not yet know config ${number}, accepted 2 s before`;
  }
};

const configsNeverSlipBack: Rule = function* (recorder) {
  for (const [daemon, records] of groupBy(recorder.clientRecords, (record) =>
    probed(record) !== undefined && record.code === 200 ? record.daemon : undefined,
  )) {
    const ended = [...records].sort((a, b) => a.endedMs - b.endedMs);
    const sent = [...records].sort((a, b) => a.sentMs - b.sentMs);
    let at = 0;
    let newest = 0;
    for (const record of sent) {
      for (
        let earlier = ended[at];
        earlier && earlier.endedMs <= record.sentMs - slipMs;
        earlier = ended[at]
      ) {
        newest = Math.max(newest, probed(earlier) ?? 0);
        at += 1;
      }
      const number = probed(record) ?? 0;
      if (number < newest) yield `${daemon} slipped back from config ${newest} to ${number}`;
    }
  }
};

const servicesWereAllowed: Rule = function* (recorder) {
  const rejected = new Set(recorder.ofKind("rejected").map((record) => record.probe));
  const configs = recorder
    .ofKind("sent")
    .filter((record) => !rejected.has(record.probe))
    .map(({ text }) => new RouteTable(parseConfig(text)));
  const known = new Map<string, Set<string>>();
  for (const run of recorder.runs) {
    const name = `${run.method} ${run.path}`;
    let allowed = known.get(name);
    if (!allowed) {
      allowed = new Set(
        configs
          .map((routeTable) => routeTable.find(run.method, run.path)?.service)
          .filter((service) => service !== undefined),
      );
      known.set(name, allowed);
    }
    if (!allowed.has(run.service)) yield `${run.requestId} (${name}) reached ${run.service}`;
  }
};

const configsAreKept: Rule = function* (recorder) {
  const accepted = recorder.ofKind("accepted");
  const rejected = new Set(recorder.ofKind("rejected").map((record) => record.probe));
  for (const [sequence, records] of groupBy(accepted, ({ sequence }) => String(sequence)))
    if (new Set(records.map(({ text }) => text)).size > 1)
      yield `two configs were accepted as ${sequence}`;
  for (const { text } of recorder.ofKind("tookMalformed"))
    yield `a malformed config was accepted: ${text.slice(0, 80)}`;
  for (const read of recorder.ofKind("readBack")) {
    const own = accepted.find(({ sequence }) => sequence === read.sequence);
    if (own && read.text !== own.text)
      yield `config ${read.sequence} reads back ${read.text === undefined ? "as missing" : "changed"}`;
    const newest = accepted
      .filter(({ atMs }) => atMs <= read.atMs)
      .reduce((most, { sequence }) => Math.max(most, sequence), 0);
    const mayBeNewer = recorder
      .ofKind("sent")
      .some(
        ({ probe: number, atMs }) =>
          atMs <= read.atMs &&
          !rejected.has(number) &&
          !accepted.some((one) => one.probe === number && one.atMs <= read.atMs),
      );
    if (read.text !== undefined && read.sequence > newest && !mayBeNewer)
      yield `config ${read.sequence} is in force though none accepted it`;
  }
  for (const record of recorder.clientRecords) {
    const number = probed(record);
    if (number !== undefined && record.code === 200 && rejected.has(number))
      yield `${record.daemon} serves by the rejected config ${number}`;
  }
};

const stopsFinishWork: Rule = function* (recorder) {
  for (const { daemon, atMs, endedMs } of recorder.ofKind("stopped")) {
    for (const record of recorder.clientRecords)
      if (
        record.daemon === daemon &&
        record.sentMs < atMs &&
        record.endedMs >= atMs &&
        record.failure === "broken"
      )
        yield `${daemon} dropped ${record.id} in hand when it was stopped`;
    if (endedMs > atMs + drainMs + 1500)
      yield `${daemon} took ${Math.round(endedMs - atMs)} ms to stop`;
  }
};

/** The part of requests sent in a time that were served. */
export const servedFraction = (
  recorder: EventRecorder,
  fromMs: number,
  untilMs: number,
): number => {
  const sent = recorder.clientRecords.filter(
    ({ sentMs, path }) => sentMs >= fromMs && sentMs < untilMs && !probe.test(path),
  );
  return sent.length === 0 ? 0 : sent.filter(succeeded).length / sent.length;
};

const recoversInTime: Rule = function* (recorder) {
  for (const { atMs } of recorder.ofKind("recovered")) {
    if (recorder.endMs < atMs + recoverMs + 2000) {
      yield "the run ended too soon after the fault to tell";
      continue;
    }
    const part = servedFraction(recorder, atMs + recoverMs, recorder.endMs - 1000);
    if (part < 0.9)
      yield `${Math.round(part * 100)}% of requests were served 15 s after the fault's end`;
  }
};

const operatorsSeeOneRegister: Rule = (recorder) =>
  configHistoryViolations(recorder.configCommands, recorder.configReads);

/** The brief's rules, each judged by what callers, back ends and operators recorded. */
export const rules: Record<string, Rule> = {
  "a key runs once in a minute": keyRanOnce,
  "a return is the caller's own, whole and stamped": returnsAreTrue,
  "what is told to try later never runs": droppedNeverRan,
  "what may not be repeated runs once": unrepeatableRanOnce,
  "repeats stay under a fifth plus seventy in ten seconds": repeatsAreBounded,
  "a leaving back end gets no work two seconds on": leaversGetNothing,
  "no request meets a config older than two seconds": configsAreFresh,
  "a daemon never slips back to an older config": configsNeverSlipBack,
  "no request reaches a service that was never allowed": servicesWereAllowed,
  "only accepted configs are in force, and none is lost": configsAreKept,
  "operators see one register of configs": operatorsSeeOneRegister,
  "a stop finishes the work in hand": stopsFinishWork,
  "most requests are served 15 s after a fault": recoversInTime,
};

/** Judges a run by all rules. */
export const checkRules = (recorder: EventRecorder): RuleViolation[] =>
  Object.entries(rules).flatMap(([rule, find]) =>
    [...find(recorder)].map((detail) => ({ rule, detail })),
  );
