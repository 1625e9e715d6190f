/** The worker process that runs a share of a deployment's clients. */
import { RandomDraw } from "../../simulation/random-draw.js";
import { DeploymentClientConnection } from "./client-connection.js";
import { type DeploymentTraffic, deploymentProfiles, withMachines } from "./deployment-profile.js";
import { EventLog, epochMs, watchEventLoop } from "./event-log.js";
import { onCommand, readWorkerOptions, type WorkerCommand } from "./worker-protocol.js";

/** Statuses after which a client may try again. */
const RETRIED = new Set(["429", "500", "502", "503", "504", "408", "refused", "cut", "reset"]);
const MAX_TRIES = 2;
const RETRY_PAUSE_MS = 100;
/** Requests on a connection without a response, at most, for clients that pipeline. */
const PIPELINE_DEPTH = 3;
/** Connections that are kept to one daemon. */
const KEPT_CONNECTIONS = 2;

const options = readWorkerOptions();
const baseProfile = deploymentProfiles.get(options.profile);
if (!baseProfile) throw new Error(`unknown profile "${options.profile}"`);
const profile = withMachines(baseProfile, options.machineCount);
const log = new EventLog(options.eventsFile);
const random = RandomDraw.of(options.seed + options.index + 1);
let readyMachines: Readonly<Record<string, readonly string[]>> = {};
let isRunning = false;
/** Kept connections by daemon and use. */
const kept = new Map<string, DeploymentClientConnection[]>();

const newId = (): string =>
  Array.from({ length: 4 }, () =>
    Math.floor(random() * 0x10000)
      .toString(16)
      .padStart(4, "0"),
  ).join("");

const pick = <T>(items: readonly T[]): T | undefined => items[Math.floor(random() * items.length)];

const connectionTo = (machine: string, traffic: DeploymentTraffic): DeploymentClientConnection => {
  if (traffic.connections === "new")
    return new DeploymentClientConnection(machine, options.httpPort);
  const key = `${machine} ${traffic.connections}`;
  const open = (kept.get(key) ?? []).filter(({ isOver }) => !isOver);
  kept.set(key, open);
  const depth = traffic.connections === "pipelined" ? PIPELINE_DEPTH : 1;
  const free = open.find(({ pendingCount }) => pendingCount < depth);
  if (free) return free;
  const connection = new DeploymentClientConnection(machine, options.httpPort);
  if (open.length < KEPT_CONNECTIONS) open.push(connection);
  return connection;
};

const requestBytes = (
  traffic: DeploymentTraffic,
  id: string,
  key: string,
  leftMs: number,
): Buffer => {
  const method = traffic.kind === "idempotent" ? "POST" : "GET";
  const lines = [
    `${method} /${traffic.name}/${Math.floor(random() * 400)} HTTP/1.1`,
    "Host: gateway.example",
    `Try-Id: ${id}`,
    `Deadline-Ms: ${Math.round(leftMs)}`,
  ];
  if (traffic.kind === "idempotent") lines.push(`Op-Key: ${key}`);
  if (traffic.requestBytes > 0) lines.push(`Content-Length: ${traffic.requestBytes}`);
  return Buffer.from(`${lines.join("\r\n")}\r\n\r\n${"b".repeat(traffic.requestBytes)}`);
};

/** Sends one request, and tries again after a failure while there is time. */
const runRequest = (traffic: DeploymentTraffic): void => {
  const zone = pick(profile.zones) ?? "";
  const key = newId();
  const deadlineMs = epochMs() + traffic.deadlineMs;
  const runTry = (tries: number): void => {
    const machine = pick(readyMachines[zone] ?? []);
    const sentMs = epochMs();
    const leftMs = deadlineMs - sentMs;
    if (machine === undefined || leftMs < 1) return;
    const id = newId();
    const connection = connectionTo(machine, traffic);
    connection.send({
      id,
      bytes: requestBytes(traffic, id, key, leftMs),
      timeoutMs: leftMs,
      onEnd: (result, isBehindClose) => {
        const endedMs = epochMs();
        log.add({
          kind: "try",
          id,
          traffic: traffic.name,
          machine,
          sentMs,
          endedMs,
          result,
          isBehindClose,
        });
        if (traffic.connections === "new") connection.closeIfIdle();
        if (RETRIED.has(result) && tries < MAX_TRIES)
          setTimeout(() => runTry(tries + 1), RETRY_PAUSE_MS);
      },
    });
  };
  runTry(1);
};

const runTraffic = (traffic: DeploymentTraffic): void => {
  const perMs = (traffic.perSecond * options.rate) / options.count / 1000;
  const next = (): void => {
    if (!isRunning) return;
    runRequest(traffic);
    setTimeout(next, -Math.log(1 - random()) / perMs);
  };
  setTimeout(next, random() / perMs);
};

const handle = (command: WorkerCommand): void => {
  if (command.kind === "ready") readyMachines = command.machines;
  else if (command.kind === "start") {
    isRunning = true;
    for (const traffic of profile.traffic) runTraffic(traffic);
  } else if (command.kind === "stop") {
    isRunning = false;
    const lastMs = Math.max(...profile.traffic.map(({ deadlineMs }) => deadlineMs));
    setTimeout(() => void log.close().then(() => process.exit(0)), lastMs + 1000);
  }
};

watchEventLoop(options.name, log);
onCommand(handle);
