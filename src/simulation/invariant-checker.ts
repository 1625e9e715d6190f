import { parseConfig } from "../configuration/config-validation.js";
import { safeMethods } from "../configuration/config-shape.js";
import { RouteTable } from "../cluster-view/route-table.js";
import { configHistoryViolations } from "./config-history-check.js";
import { EventRecorder, type ClientRecord, type RunRecord } from "./event-recorder.js";

/** A violated rule, and the records that violate it. */
export interface RuleViolation {
  rule: string;
  detail: string;
}

type Rule = (recorder: EventRecorder) => Iterable<string>;

/** How long an idempotency key keeps a request from running again. */
const KEY_WINDOW_MS = 60_000;
/** The time after which a deregistered backend gets no more requests. */
const DEREGISTRATION_MS = 2000;
/** The time after which every daemon uses an accepted config. */
const MAX_CONFIG_AGE_MS = 2000;
/** Requests this close to one another may still be routed by the older config. */
const CONFIG_SWITCH_MS = 250;
const RETRY_WINDOW_MS = 10_000;
/** The time that a stopping daemon has to finish its requests. */
const DRAIN_MS = 6000;
/** The time after the last fault by which requests are served again. */
const RECOVERY_MS = 15_000;
const PROBE_PATH = /^\/probe\/(\d+)$/;

const groupBy = <T>(
  items: Iterable<T>,
  getKey: (item: T) => string | undefined,
): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = getKey(item);
    if (key === undefined) continue;
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
};

const isSuccess = (record: ClientRecord): boolean => record.code >= 200 && record.code < 300;

const keyRanOnce: Rule = function* (recorder) {
  const byKey = groupBy(recorder.runs, (run) =>
    run.key === undefined ? undefined : `${run.method} ${run.path} ${run.key}`,
  );
  for (const [key, runs] of byKey) {
    const times = runs.map(({ atMs }) => atMs).sort((a, b) => a - b);
    for (let index = 1; index < times.length; index += 1) {
      const gapMs = (times[index] ?? 0) - (times[index - 1] ?? 0);
      if (gapMs < KEY_WINDOW_MS)
        yield `the request "${key}" ran twice within ${Math.round(gapMs)} ms`;
    }
  }
};

const responsesAreCorrect: Rule = function* (recorder) {
  const keysById = new Map(recorder.clientRecords.map(({ id, key }) => [id, key]));
  for (const record of recorder.clientRecords.filter(isSuccess)) {
    if (record.isGarbage) yield `${record.id} got a successful response with a garbage body`;
    else if (!record.isComplete)
      yield `${record.id} got a successful response with an incomplete body`;
    else {
      const sameKey = record.key !== undefined && keysById.get(record.echoedId) === record.key;
      if (record.echoedId !== record.id && !sameKey && record.method !== "HEAD")
        yield `${record.id} got the response to ${record.echoedId || "no known request"}`;
    }
  }
};

const rejectedNeverRan: Rule = function* (recorder) {
  const executedIds = new Set(recorder.runs.map(({ requestId }) => requestId));
  for (const record of recorder.clientRecords)
    if (record.code === 503 && executedIds.has(record.id))
      yield `${record.id} got status 503, but ran`;
};

const unsafeRanOnce: Rule = function* (recorder) {
  for (const [requestId, runs] of groupBy(recorder.runs, (run) =>
    safeMethods.has(run.method) ? undefined : run.requestId,
  ))
    if (runs.length > 1) yield `${requestId} ran ${runs.length} times`;
};

/** Finds, for each service, the 10 s window with the most retries in proportion to the retries allowed in it. */
export const findPeakRetries = (
  recorder: EventRecorder,
): Map<string, { retries: number; requests: number; allowed: number }> => {
  const peaks = new Map<string, { retries: number; requests: number; allowed: number }>();
  const seenIds = new Set<string>();
  const retries: RunRecord[] = [];
  for (const run of [...recorder.runs].sort((a, b) => a.atMs - b.atMs)) {
    if (seenIds.has(run.requestId)) retries.push(run);
    seenIds.add(run.requestId);
  }
  const requests = groupBy(recorder.clientRecords, ({ service }) => service);
  for (const [service, runs] of groupBy(retries, ({ intendedService }) => intendedService)) {
    const sent = (requests.get(service) ?? []).map(({ sentMs }) => sentMs).sort((a, b) => a - b);
    for (const { atMs } of runs) {
      const inWindow = (time: number): boolean => time >= atMs && time < atMs + RETRY_WINDOW_MS;
      const retryCount = runs.filter((run) => inWindow(run.atMs)).length;
      const requestCount = sent.filter(inWindow).length;
      const allowed = requestCount / 5 + 70;
      const peak = peaks.get(service);
      if (!peak || retryCount / allowed > peak.retries / peak.allowed)
        peaks.set(service, { retries: retryCount, requests: requestCount, allowed });
    }
  }
  return peaks;
};

const retriesAreBounded: Rule = function* (recorder) {
  for (const [service, { retries, requests, allowed }] of findPeakRetries(recorder))
    if (retries > allowed)
      yield `${service} got ${retries} retries in 10 s with ${requests} requests; ${Math.floor(allowed)} were allowed`;
};

const deregisteredGetNoRequests: Rule = function* (recorder) {
  for (const left of recorder.ofKind("left"))
    for (const run of recorder.runs)
      if (
        run.address === left.address &&
        run.incarnation === left.incarnation &&
        run.atMs - run.delayedMs > left.atMs + DEREGISTRATION_MS
      )
        yield `${left.address} got a request ${Math.round(run.atMs - left.atMs)} ms after its deregistration was acknowledged`;
};

const probeNumber = (record: ClientRecord): number | undefined => {
  const number = PROBE_PATH.exec(record.path)?.[1];
  return number === undefined ? undefined : Number(number);
};

const configsAreFresh: Rule = function* (recorder) {
  const accepted = recorder.ofKind("accepted");
  const rejected = new Set(recorder.ofKind("rejected").map((record) => record.probe));
  const sent = recorder.ofKind("sent").filter((record) => !rejected.has(record.probe));
  for (const record of recorder.clientRecords) {
    const number = probeNumber(record);
    if (number === undefined) continue;
    const newest = accepted
      .filter(({ atMs }) => atMs <= record.sentMs - MAX_CONFIG_AGE_MS)
      .reduce((newestProbe, { probe }) => Math.max(newestProbe, probe), 0);
    if (record.code === 200 && newest > number)
      yield `${record.daemon} routed a request by config ${number}, though config ${newest} was accepted 2 s before it was sent`;
    const mayHaveNewer = sent.some(({ probe, atMs }) => probe > number && atMs <= record.endedMs);
    if (newest === number && record.code === 404 && !mayHaveNewer)
      yield `${record.daemon} did not use config ${number} 2 s after it was accepted`;
  }
};

const configsNeverGoBack: Rule = function* (recorder) {
  for (const [daemon, records] of groupBy(recorder.clientRecords, (record) =>
    probeNumber(record) !== undefined && record.code === 200 ? record.daemon : undefined,
  )) {
    const ended = [...records].sort((a, b) => a.endedMs - b.endedMs);
    const sent = [...records].sort((a, b) => a.sentMs - b.sentMs);
    let endedCount = 0;
    let newest = 0;
    for (const record of sent) {
      for (
        let earlier = ended[endedCount];
        earlier && earlier.endedMs <= record.sentMs - CONFIG_SWITCH_MS;
        earlier = ended[endedCount]
      ) {
        newest = Math.max(newest, probeNumber(earlier) ?? 0);
        endedCount += 1;
      }
      const number = probeNumber(record) ?? 0;
      if (number < newest) yield `${daemon} went back from config ${newest} to ${number}`;
    }
  }
};

const servicesWereAllowed: Rule = function* (recorder) {
  const rejected = new Set(recorder.ofKind("rejected").map((record) => record.probe));
  const configs = recorder
    .ofKind("sent")
    .filter((record) => !rejected.has(record.probe))
    .map(({ text }) => new RouteTable(parseConfig(text)));
  const allowedByRequest = new Map<string, Set<string>>();
  for (const run of recorder.runs) {
    const name = `${run.method} ${run.path}`;
    let allowed = allowedByRequest.get(name);
    if (!allowed) {
      allowed = new Set(
        configs
          .map((routeTable) => routeTable.find(run.method, run.path)?.service)
          .filter((service) => service !== undefined),
      );
      allowedByRequest.set(name, allowed);
    }
    if (!allowed.has(run.service))
      yield `${run.requestId} (${name}) reached service ${run.service}, to which no config routes it`;
  }
};

const acceptedConfigsAreKept: Rule = function* (recorder) {
  const accepted = recorder.ofKind("accepted");
  const rejected = new Set(recorder.ofKind("rejected").map((record) => record.probe));
  for (const [sequence, records] of groupBy(accepted, ({ sequence }) => String(sequence)))
    if (new Set(records.map(({ text }) => text)).size > 1)
      yield `two configs were accepted as version ${sequence}`;
  for (const { text } of recorder.ofKind("malformedAccepted"))
    yield `a malformed config was accepted: ${text.slice(0, 80)}`;
  for (const read of recorder.ofKind("readBack")) {
    const original = accepted.find(({ sequence }) => sequence === read.sequence);
    if (original && read.text !== original.text)
      yield `config ${read.sequence} is ${read.text === undefined ? "missing" : "changed"} when read back`;
    const newest = accepted
      .filter(({ atMs }) => atMs <= read.atMs)
      .reduce((highestSequence, { sequence }) => Math.max(highestSequence, sequence), 0);
    const mayHaveNewer = recorder
      .ofKind("sent")
      .some(
        ({ probe: number, atMs }) =>
          atMs <= read.atMs &&
          !rejected.has(number) &&
          !accepted.some(
            ({ probe, atMs: acceptedMs }) => probe === number && acceptedMs <= read.atMs,
          ),
      );
    if (read.text !== undefined && read.sequence > newest && !mayHaveNewer)
      yield `config ${read.sequence} is readable, though it was never accepted`;
  }
  for (const record of recorder.clientRecords) {
    const number = probeNumber(record);
    if (number !== undefined && record.code === 200 && rejected.has(number))
      yield `${record.daemon} routes requests by the rejected config ${number}`;
  }
};

const stopsFinishRequests: Rule = function* (recorder) {
  for (const { daemon, atMs, endedMs } of recorder.ofKind("stopped")) {
    for (const record of recorder.clientRecords)
      if (
        record.daemon === daemon &&
        record.sentMs < atMs &&
        record.endedMs >= atMs &&
        record.failure === "broken"
      )
        yield `${daemon} dropped ${record.id}, which was in progress when it was stopped`;
    if (endedMs > atMs + DRAIN_MS + 1500)
      yield `${daemon} took ${Math.round(endedMs - atMs)} ms to stop`;
  }
};

/** The fraction of requests sent in a period that were served, without probes of configs. */
export const servedFraction = (
  recorder: EventRecorder,
  fromMs: number,
  untilMs: number,
): number => {
  const sent = recorder.clientRecords.filter(
    ({ sentMs, path }) => sentMs >= fromMs && sentMs < untilMs && !PROBE_PATH.test(path),
  );
  return sent.length === 0 ? 0 : sent.filter(isSuccess).length / sent.length;
};

const recoversInTime: Rule = function* (recorder) {
  for (const { atMs } of recorder.ofKind("recovered")) {
    if (recorder.endMs < atMs + RECOVERY_MS + 2000) {
      yield `the run ended ${Math.round(recorder.endMs - atMs)} ms after the last fault, too early to check recovery`;
      continue;
    }
    const fraction = servedFraction(recorder, atMs + RECOVERY_MS, recorder.endMs - 1000);
    if (fraction < 0.9)
      yield `${Math.round(fraction * 100)}% of requests were served from 15 s after the last fault`;
  }
};

const configAccessIsLinearizable: Rule = (recorder) =>
  configHistoryViolations(recorder.configCommands, recorder.configReads);

/** The rules that a run has to keep, each checked against the records of clients, backends and operators. */
export const rules: Record<string, Rule> = {
  "an idempotency key runs at most once per minute": keyRanOnce,
  "a client gets a complete response to its own request": responsesAreCorrect,
  "a request answered with 503 never runs": rejectedNeverRan,
  "a request with an unsafe method runs at most once": unsafeRanOnce,
  "retries stay within 70 plus a fifth of the requests in 10 s": retriesAreBounded,
  "a deregistered backend gets no requests after 2 s": deregisteredGetNoRequests,
  "an accepted config is in use after 2 s": configsAreFresh,
  "a daemon never goes back to an older config": configsNeverGoBack,
  "no request reaches a service to which no config routes it": servicesWereAllowed,
  "only accepted configs take effect, and none is lost": acceptedConfigsAreKept,
  "config changes and reads are linearizable": configAccessIsLinearizable,
  "a stopping daemon finishes its requests in progress": stopsFinishRequests,
  "90% of requests are served from 15 s after the last fault": recoversInTime,
};

/** Checks the records of a run against all rules. */
export const checkRules = (recorder: EventRecorder): RuleViolation[] =>
  Object.entries(rules).flatMap(([rule, findViolations]) =>
    [...findViolations(recorder)].map((detail) => ({ rule, detail })),
  );
