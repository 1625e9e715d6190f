/** What the programs with real processes share: the start of a fleet, the end of a run, and its report. */
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

/** Timeout for all machines to become ready, and for all backends to register. */
const readyTimeoutMs = 30_000;
/** Time for the last requests to end after clients stop sending new ones. */
const drainMs = 3500;

/** Prints one line to standard output. */
export const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const quantile = (sorted: number[], fraction: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0);

/**
 * Prints what clients, backends and operators recorded, and the result of each invariant.
 *
 * Returns the number of violations and of the harness's own errors.
 */
export const printReport = (fleet: Fleet, fromMs: number): number => {
  const { recorder } = fleet;
  const formatCounts = (keyOf: (record: ClientRecord) => string): string => {
    const counts = new Map<string, number>();
    for (const record of recorder.clientRecords)
      counts.set(keyOf(record), (counts.get(keyOf(record)) ?? 0) + 1);
    return [...counts]
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([name, count]) => `${name}: ${count}`)
      .join(", ");
  };
  printLine(
    `Requests: ${recorder.clientRecords.length}, ${(servedFraction(recorder, fromMs, Infinity) * 100).toFixed(2)}% served`,
  );
  printLine(
    `  by response: ${formatCounts(({ code, failure }) => (code === 0 ? failure : String(code)))}`,
  );
  printLine(
    `  by execution status: ${formatCounts(({ code, executionStatus }) => (code === 0 ? "no response" : executionStatus || "ran"))}`,
  );
  for (const { route, method } of fleet.profile.traffic) {
    const firstSegment = fleet.profile.traffic
      .find((traffic) => traffic.route === route)
      ?.path(0)
      .split("/")[1];
    const durationsMs = recorder.clientRecords
      .filter(
        (record) =>
          record.method === method &&
          record.path.split("/")[1] === firstSegment &&
          record.code >= 200 &&
          record.code < 300,
      )
      .map((record) => record.endedMs - record.sentMs)
      .sort((a, b) => a - b);
    printLine(
      `  ${route}: ${durationsMs.length} served, median ${quantile(durationsMs, 0.5)} ms, 99th percentile ${quantile(durationsMs, 0.99)} ms`,
    );
  }
  printLine(
    `Attempts that reached backends: ${recorder.runs.length}; configs accepted: ${recorder.ofKind("accepted").length}`,
  );
  for (const [service, { retries, requests, allowed }] of findPeakRetries(recorder))
    printLine(
      `  ${service}: worst 10 s window had ${retries} retries for ${requests} requests, ${Math.floor(allowed)} allowed`,
    );
  const violations = checkRules(recorder);
  for (const rule of Object.keys(rules)) {
    const ruleViolations = violations.filter((violation) => violation.rule === rule);
    printLine(
      `${ruleViolations.length === 0 ? "kept  " : "BROKEN"} ${rule}${ruleViolations.length > 0 ? ` (${ruleViolations.length} times)` : ""}`,
    );
    for (const { detail } of ruleViolations.slice(0, 5)) printLine(`         ${detail}`);
  }
  if (fleet.harnessErrors.length > 0)
    printLine(
      `BROKEN the harness itself failed ${fleet.harnessErrors.length} times; the results of this run are invalid`,
    );
  return violations.length + fleet.harnessErrors.length;
};

/** Starts a fleet and applies a first config. On failure it prints the reason to standard error and returns false. */
export const startFleet = async (fleet: Fleet): Promise<boolean> => {
  await fleet.startProcesses();
  const areReady = await fleet.run(
    fleet.waitUntil(() => fleet.machines.every(({ isReady }) => isReady), readyTimeoutMs),
  );
  const hasConfig = areReady && (await fleet.run(fleet.workload.putConfig()));
  if (hasConfig) {
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
  const unreadyMachines = fleet.machines
    .filter(({ isReady }) => !isReady)
    .map(({ settings }) => settings.machine);
  process.stderr.write(
    `${areReady ? "The first config was not accepted" : `Machines not ready after ${readyTimeoutMs} ms: ${unreadyMachines.join(", ")}`}; logs under ${fleet.folder}\n`,
  );
  await fleet.shutDown(true);
  return false;
};

/** Stops the requests, waits for the last responses, reads every config back, and prints the report. */
export const stopFleet = async (fleet: Fleet, fromMs: number): Promise<number> => {
  fleet.recorder.endMs = fleet.clock.nowMs();
  fleet.workload.isOver = true;
  await fleet.run(sleep(fleet.clock, drainMs));
  fleet.workload.isOver = false;
  await fleet.run(fleet.workload.readBack());
  return printReport(fleet, fromMs);
};

/** Applies a new config every 3 s until the workload stops. */
export const applyConfigsPeriodically = function* (fleet: Fleet): Task {
  while (!fleet.workload.isOver) {
    yield* fleet.workload.putConfig();
    yield* sleep(fleet.clock, 3000);
  }
};

/** Finds a profile by its name. If there is none, it prints the known names to standard error and returns undefined. */
export const findProfile = (name: string): Profile | undefined => {
  const profile = Object.values(shippedProfiles).find((candidate) => candidate.name === name);
  if (!profile)
    process.stderr.write(
      `unknown profile "${name}"; known profiles: ${Object.keys(shippedProfiles).join(", ")}\n`,
    );
  return profile;
};
