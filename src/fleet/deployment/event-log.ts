/** The events of a deployment run, written by several processes of the harness, one JSON line each. */
import { createWriteStream, type WriteStream } from "node:fs";
import { readFile } from "node:fs/promises";
import {
  array,
  boolean,
  create,
  type Infer,
  literal,
  number,
  optional,
  string,
  type,
  union,
} from "superstruct";

/** One try of a client, recorded when it ended. */
const tryShape = type({
  kind: literal("try"),
  id: string(),
  traffic: string(),
  machine: string(),
  sentMs: number(),
  endedMs: number(),
  /** The status, or how the connection ended: refused, cut, reset or timeout. */
  result: string(),
  /** Whether an earlier response closed its connection, so that it counts as not read. */
  isBehindClose: boolean(),
});

/** A request that a backend began to work on. */
const runShape = type({
  kind: literal("run"),
  id: string(),
  backend: string(),
  service: string(),
  path: string(),
  atMs: number(),
});

/** The end of a backend's work: its response is handed to the operating system. */
const runEndShape = type({ kind: literal("runEnd"), id: string(), atMs: number() });

/** A backend that said it is leaving; `ackMs` is undefined if no daemon acknowledged that. */
const leaveShape = type({
  kind: literal("leave"),
  backend: string(),
  saidMs: number(),
  ackMs: optional(number()),
  calls: number(),
});

/** A configuration change; `ackMs` is undefined if it wasn't acknowledged, `status` the last response. */
const changeShape = type({
  kind: literal("change"),
  version: number(),
  isValid: boolean(),
  routes: number(),
  sentMs: number(),
  ackMs: optional(number()),
  status: number(),
  calls: array(string()),
});

/** A request at one daemon that shows whether a route is in force there. */
const probeShape = type({
  kind: literal("probe"),
  machine: string(),
  version: number(),
  expects: string(),
  status: number(),
  sentMs: number(),
  endedMs: number(),
});

/** A process of the system that was stopped, with the time of its end. */
const stopShape = type({
  kind: literal("stop"),
  machine: string(),
  atMs: number(),
  endedMs: number(),
});

/** A process of the system that was killed; `endedMs` is the time at which it is started again. */
const lossShape = type({
  kind: literal("loss"),
  machine: string(),
  atMs: number(),
  endedMs: number(),
  losesDisk: boolean(),
});

/** The resident memory of a process of the system. */
const memoryShape = type({
  kind: literal("memory"),
  machine: string(),
  processId: number(),
  atMs: number(),
  residentMb: number(),
});

/** The longest time for which a process of the harness didn't get to its events, over one second. */
const delayShape = type({
  kind: literal("delay"),
  process: string(),
  atMs: number(),
  delayMs: number(),
});

const eventShape = union([
  tryShape,
  runShape,
  runEndShape,
  leaveShape,
  changeShape,
  probeShape,
  stopShape,
  lossShape,
  memoryShape,
  delayShape,
]);

/** An event of a deployment run. */
export type DeploymentEvent = Infer<typeof eventShape>;
/** One try of a client. */
export type TryEvent = Infer<typeof tryShape>;
/** A backend's leave. */
export type LeaveEvent = Infer<typeof leaveShape>;
/** A configuration change. */
export type ChangeEvent = Infer<typeof changeShape>;
/** A request that shows whether a route is in force. */
export type ProbeEvent = Infer<typeof probeShape>;

/** The time in ms since the epoch, with fractions; the same in all processes of a machine. */
export const epochMs = (): number => performance.timeOrigin + performance.now();

/** Appends events to a file. */
export class EventLog {
  private readonly stream: WriteStream;

  constructor(path: string) {
    this.stream = createWriteStream(path, { flags: "a" });
  }

  /** Adds an event. */
  add(event: DeploymentEvent): void {
    this.stream.write(`${JSON.stringify(event)}\n`);
  }

  /** Writes out what is buffered and closes the file. */
  async close(): Promise<void> {
    await new Promise<void>((resolve) => this.stream.end(() => resolve()));
  }
}

/** Reads the events of several files, in no particular order. */
export const readEvents = async (paths: readonly string[]): Promise<DeploymentEvent[]> => {
  const events: DeploymentEvent[] = [];
  for (const path of paths)
    for (const line of (await readFile(path, "utf8")).split("\n"))
      if (line !== "") events.push(create(JSON.parse(line), eventShape));
  return events;
};

/** Records once a second the longest delay of this process's event loop. */
export const watchEventLoop = (name: string, log: EventLog): NodeJS.Timeout => {
  const INTERVAL_MS = 100;
  const ROUNDS = 10;
  let lastMs = epochMs();
  let longestMs = 0;
  let rounds = 0;
  return setInterval(() => {
    const nowMs = epochMs();
    longestMs = Math.max(longestMs, nowMs - lastMs - INTERVAL_MS);
    lastMs = nowMs;
    rounds += 1;
    if (rounds < ROUNDS) return;
    log.add({ kind: "delay", process: name, atMs: nowMs, delayMs: longestMs });
    rounds = 0;
    longestMs = 0;
  }, INTERVAL_MS);
};
