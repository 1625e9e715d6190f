import { sleep } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import type { Fleet } from "./fleet.js";
import type { ClientRecord } from "../simulation/event-recorder.js";
import {
  checkRules,
  rules,
  servedFraction,
  findPeakRetries,
} from "../simulation/invariant-checker.js";
import { type Profile, shippedProfiles } from "../simulation/profile.js";

const readyTimeoutMs = 30_000;
const drainMs = 3500;

/** Prints one line for a person to read. */
export const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const quantile = (sorted: number[], part: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0);

/** Prints what callers, back ends and operators recorded, rule by rule; tells how often a rule was broken. */
export const printReport = (fleet: Fleet, fromMs: number): number => {
  const { recorder } = fleet;
  const tallied = (nameOf: (record: ClientRecord) => string): string => {
    const counts = new Map<string, number>();
    for (const record of recorder.clientRecords)
      counts.set(nameOf(record), (counts.get(nameOf(record)) ?? 0) + 1);
    return [...counts]
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([name, count]) => `${name}: ${count}`)
      .join(", ");
  };
  printLine(
    `Requests: ${recorder.clientRecords.length}, ${(servedFraction(recorder, fromMs, Infinity) * 100).toFixed(2)}% served`,
  );
  printLine(
    `  by return: ${tallied(({ code, failure: broke }) => (code === 0 ? broke : String(code)))}`,
  );
  printLine(
    `  by verdict: ${tallied(({ code, executionStatus: verdict }) => (code === 0 ? "none heard" : verdict || "ran"))}`,
  );
  for (const { route, method } of fleet.profile.traffic) {
    const sample = fleet.profile.traffic
      .find((one) => one.route === route)
      ?.path(0)
      .split("/")[1];
    const took = recorder.clientRecords
      .filter(
        (one) =>
          one.method === method &&
          one.path.split("/")[1] === sample &&
          one.code >= 200 &&
          one.code < 300,
      )
      .map((one) => one.endedMs - one.sentMs)
      .sort((a, b) => a - b);
    printLine(
      `  ${route}: ${took.length} served, half within ${quantile(took, 0.5)} ms, 99 of 100 within ${quantile(took, 0.99)} ms`,
    );
  }
  printLine(
    `Tries that reached back ends: ${recorder.runs.length}; configs accepted: ${recorder.ofKind("accepted").length}`,
  );
  for (const [service, { retries: further, requests, allowed }] of findPeakRetries(recorder))
    printLine(
      `  ${service}: worst ten seconds had ${further} repeats with ${requests} requests, ${Math.floor(allowed)} allowed`,
    );
  const breaches = checkRules(recorder);
  for (const rule of Object.keys(rules)) {
    const own = breaches.filter((breach) => breach.rule === rule);
    printLine(
      `${own.length === 0 ? "kept  " : "BROKEN"} ${rule}${own.length > 0 ? ` (${own.length} times)` : ""}`,
    );
    for (const { detail: what } of own.slice(0, 5)) printLine(`         ${what}`);
  }
  if (fleet.harnessErrors.length > 0)
    printLine(
      `BROKEN the rehearsal itself broke down ${fleet.harnessErrors.length} times; it proves nothing`,
    );
  return breaches.length + fleet.harnessErrors.length;
};

/** Starts a fleet and puts a first config in force; false, and why on the error stream, when that fails. */
export const startFleet = async (fleet: Fleet): Promise<boolean> => {
  await fleet.startProcesses();
  const up = await fleet.run(
    fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), readyTimeoutMs),
  );
  const configured = up && (await fleet.run(fleet.workload.putConfig()));
  if (configured) {
    await fleet.run(
      fleet.waitUntil(
        () =>
          new Set(fleet.recorder.ofKind("announced").map(({ address }) => address)).size >=
          fleet.testBackends.length,
        readyTimeoutMs,
      ),
    );
    return true;
  }
  const late = fleet.machines
    .filter(({ isReady }) => !isReady)
    .map(({ settings }) => settings.machine);
  process.stderr.write(
    `${up ? "The first config was not accepted" : `Not ready: ${late.join(", ")}`}; logs under ${fleet.folder}\n`,
  );
  await fleet.shutDown(true);
  return false;
};

/** Lets callers come to their end, reads every config back, and reports. */
export const stopFleet = async (fleet: Fleet, fromMs: number): Promise<number> => {
  fleet.recorder.endMs = fleet.clock.nowMs();
  fleet.workload.isOver = true;
  await fleet.run(sleep(fleet.clock, drainMs));
  fleet.workload.isOver = false;
  await fleet.run(fleet.workload.readBack());
  return printReport(fleet, fromMs);
};

/** Puts a new config in force every few seconds. */
export const applyConfigsPeriodically = function* (fleet: Fleet): Task {
  while (!fleet.workload.isOver) {
    yield* fleet.workload.putConfig();
    yield* sleep(fleet.clock, 3000);
  }
};

/** The profile of a name; undefined, and the names there are on the error stream, when there is none. */
export const findProfile = (name: string): Profile | undefined => {
  const profile = Object.values(shippedProfiles).find((one) => one.name === name);
  if (!profile)
    process.stderr.write(
      `There is no profile "${name}"; there are ${Object.keys(shippedProfiles).join(" and ")}.\n`,
    );
  return profile;
};
