/** A run of a deployment: changes and stops drawn from a seed, then the judgment. */
import { RandomDraw } from "../../simulation/random-draw.js";
import { printLine } from "../report.js";
import { Deployment } from "./deployment.js";
import { DeploymentJudge, type RuleResult } from "./deployment-judge.js";
import { DeploymentLosses } from "./deployment-losses.js";
import { DeploymentOperator } from "./deployment-operator.js";
import type { DeploymentProfile } from "./deployment-profile.js";
import { type DeploymentEvent, epochMs, readEvents } from "./event-log.js";

/** What happens to a deployment while its clients send requests. */
export type DeploymentPlan = "calm" | "changes" | "stops" | "both" | "losses" | "closing";

/** The options of a run. */
export interface DeploymentRunOptions {
  readonly root: string;
  readonly seed: number;
  readonly rate: number;
  readonly seconds: number;
  readonly plan: DeploymentPlan;
  /** Routes that one change adds at a third of the run. */
  readonly routes: number;
  /** Longest pause between two changes, in ms. */
  readonly changeGap: number;
}

const READY_TIMEOUT_MS = 60_000;
const SETTLE_MS = 5000;
const STOP_INTERVAL_MS = 900;
const STOPPED_TOGETHER = 4;
/** Machines that are stopped one at a time first. */
const STOPPED_SINGLY = 8;
const LEAVING_FRACTION = 0.1;
/** A run in whose harness a process was delayed for longer than this is invalid. */
const MAX_HARNESS_DELAY_MS = 500;
const PRINTED_VIOLATIONS = 6;

const sleep = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Draws changes and sends them in a row until the time is over. */
const runChanges = async (
  operator: DeploymentOperator,
  deployment: Deployment,
  options: DeploymentRunOptions & { readonly random: () => number; readonly untilMs: number },
): Promise<void> => {
  const { random, untilMs, routes, seconds, changeGap } = options;
  const startedMs = epochMs();
  const backends = deployment.profile.services.reduce((sum, service) => sum + service.backends, 0);
  let hasAddedRoutes = false;
  let leaveRounds = 0;
  while (epochMs() < untilMs) {
    const elapsed = (epochMs() - startedMs) / (seconds * 1000);
    if (elapsed > 0.25 + leaveRounds * 0.3) {
      deployment.leave(backends * LEAVING_FRACTION, leaveRounds % 2 === 0 ? "drain" : "deregister");
      leaveRounds += 1;
    }
    if (!hasAddedRoutes && elapsed > 0.3) hasAddedRoutes = await operator.addRoutes(routes);
    const draw = random();
    if (draw < 0.6) await operator.moveMarker();
    else if (draw < 0.75) await operator.putWhole();
    else if (draw < 0.9) await operator.sendInvalid();
    else if ((await operator.race()) > 1)
      printLine("BROKEN CONFIG: both of two racing changes won");
    await sleep(changeGap * random());
  }
};

/** Stops every machine in turn, in an order drawn at random, first singly, then several at a time. */
const runStops = async (
  deployment: Deployment,
  untilMs: number,
  random: () => number,
): Promise<void> => {
  const stops: Array<Promise<void>> = [];
  const drawn = deployment.machines
    .map((machine) => ({ machine, rank: random() }))
    .sort((first, second) => first.rank - second.rank)
    .map(({ machine }) => machine);
  let together = 1;
  let index = 0;
  while (epochMs() < untilMs) {
    for (const machine of drawn.slice(index, index + together))
      stops.push(deployment.stopMachine(machine));
    index += together;
    if (index >= STOPPED_SINGLY) together = STOPPED_TOGETHER;
    if (index >= drawn.length) index = 0;
    await sleep(STOP_INTERVAL_MS);
  }
  await Promise.all(stops);
};

const startDeployment = async (
  deployment: Deployment,
  operator: DeploymentOperator,
): Promise<boolean> => {
  await deployment.start();
  const untilMs = epochMs() + READY_TIMEOUT_MS;
  await sleep(SETTLE_MS);
  if (!(await operator.putFirst())) return false;
  deployment.startBackends();
  while (deployment.readyCount < deployment.machines.length && epochMs() < untilMs)
    await sleep(200);
  await sleep(SETTLE_MS);
  return deployment.readyCount === deployment.machines.length;
};

const printResult = ({ rule, judged, violations }: RuleResult): void => {
  const word = judged === 0 ? "not judged" : violations.length === 0 ? "kept      " : "BROKEN    ";
  printLine(`${word} ${rule}: ${violations.length} of ${judged}`);
  for (const violation of violations.slice(0, PRINTED_VIOLATIONS))
    printLine(`             ${violation}`);
};

/**
 * Prints the longest delays of the harness's processes while clients sent requests; whether they were short enough for the run
 * to count.
 */
const printHarness = (events: readonly DeploymentEvent[]): boolean => {
  let fromMs = Infinity;
  let toMs = -Infinity;
  for (const event of events)
    if (event.kind === "try") {
      fromMs = Math.min(fromMs, event.sentMs);
      toMs = Math.max(toMs, event.sentMs);
    }
  const longest = new Map<string, number>();
  for (const event of events)
    if (event.kind === "delay" && event.atMs >= fromMs && event.atMs <= toMs)
      longest.set(event.process, Math.max(longest.get(event.process) ?? 0, event.delayMs));
  const text = [...longest]
    .map(([name, delayMs]) => `${name} ${Math.round(delayMs)} ms`)
    .join(", ");
  const isValid = [...longest.values()].every((delayMs) => delayMs <= MAX_HARNESS_DELAY_MS);
  printLine(`harness${isValid ? "" : " INVALID"}: longest delays ${text}`);
  return isValid;
};

/** Prints the largest resident memory of each member, and of all machines without disks. */
const printMemory = (
  { machines, profile }: Deployment,
  events: readonly DeploymentEvent[],
): void => {
  const largest = new Map<string, number>();
  for (const event of events)
    if (event.kind === "memory")
      largest.set(event.machine, Math.max(largest.get(event.machine) ?? 0, event.residentMb));
  const ofMachine = ({ ip }: { readonly ip: string }): number => Math.round(largest.get(ip) ?? 0);
  const members = machines.filter(({ isMember }) => isMember);
  const edges = machines.filter(({ isMember }) => !isMember);
  const text = members.map((machine) => `${machine.name} ${ofMachine(machine)} MB`).join(", ");
  const edgeMb = Math.max(0, ...edges.map(ofMachine));
  printLine(`memory, at most: ${text}, edges ${edgeMb} MB; the limit is ${profile.memoryMb} MB`);
};

/** Runs a deployment; resolves to the number of violations, or undefined if the run isn't valid. */
export const runDeployment = async (
  profile: DeploymentProfile,
  options: DeploymentRunOptions,
): Promise<number | undefined> => {
  const random = RandomDraw.of(options.seed);
  const deployment = await Deployment.create(profile, { ...options, random });
  const operator = new DeploymentOperator(deployment, random);
  const end = (): void => void deployment.end().then(() => process.exit(130));
  for (const name of ["SIGINT", "SIGTERM"] as const) process.once(name, end);
  const { machines, folder } = deployment;
  printLine(
    `${profile.name}: ${machines.length} machines, plan ${options.plan}, seed ${options.seed}, rate ${options.rate}; logs under ${folder}`,
  );
  if (!(await startDeployment(deployment, operator))) {
    printLine(`${deployment.readyCount} of ${machines.length} machines are ready`);
    await deployment.end();
    return undefined;
  }
  await deployment.endFirstStart();
  deployment.startClients();
  const untilMs = epochMs() + options.seconds * 1000;
  const { plan } = options;
  const losses = new DeploymentLosses(deployment, random);
  await Promise.all([
    sleep(options.seconds * 1000),
    plan === "changes" || plan === "both" || plan === "losses" || plan === "closing"
      ? runChanges(operator, deployment, { ...options, random, untilMs })
      : undefined,
    plan === "stops" || plan === "both" ? runStops(deployment, untilMs, random) : undefined,
    plan === "losses" ? losses.run(untilMs) : undefined,
  ]);
  if (plan === "closing") await losses.loseAllMembersAndOneDisk();
  await sleep(deployment.profile.bounds.contactMs);
  await operator.finish();
  const readBack = await operator.readBack();
  await deployment.stopWorkers();
  await deployment.end();
  const events = await readEvents(deployment.eventsFiles);
  return printRun(deployment, operator, { events, readBack });
};

const printRun = (
  deployment: Deployment,
  operator: DeploymentOperator,
  { events, readBack }: { events: readonly DeploymentEvent[]; readBack: readonly string[] },
): number | undefined => {
  const members = deployment.machines.filter(({ isMember }) => isMember).map(({ ip }) => ip);
  const judge = new DeploymentJudge(events, new Set(members), deployment.profile.bounds);
  const counts = [...judge.resultCounts()].map(([name, count]) => `${name}: ${count}`).join(", ");
  printLine(`tries: ${counts}; served ${(judge.servedFraction() * 100).toFixed(1)}%`);
  const results = [
    ...judge.results(),
    {
      rule: `CONFIG (read back r${operator.acknowledgedVersion})`,
      judged: deployment.machines.length,
      violations: readBack,
    },
    {
      rule: "processes that end by themselves",
      judged: deployment.machines.length,
      violations: deployment.machines
        .filter(({ unorderedEnds }) => unorderedEnds > 0)
        .map(({ name, unorderedEnds }) => `${name}: ${unorderedEnds}`),
    },
  ];
  for (const result of results) printResult(result);
  printMemory(deployment, events);
  if (!printHarness(events)) return undefined;
  return results.reduce((sum, { violations }) => sum + violations.length, 0);
};
