import { Bounds } from "../machine/bounds.js";
import { Clock } from "../runtime/clock.js";
import { Logbook } from "../runtime/logbook.js";
import { Task } from "../runtime/task.js";
import { Wire } from "../runtime/wire.js";
import type { World } from "../runtime/world.js";
import { HollowDaemon, type ScaleBackEnd } from "./scaleHollow.js";
import { ScaleOrder, type ScaleReturn } from "./scaleOrder.js";
import { sharedMs } from "./scaleProcess.js";
import { ScaleSpec } from "./scaleSpec.js";
import { ScaleWire } from "./scaleWire.js";

type Outcome = Omit<ScaleReturn, "id">;

const lookMs = 10;
const nothing: Outcome = { figures: {}, times: [] };
const clock = Clock.real();
const tcp = Wire.tcp();
const daemons: HollowDaemon[] = [];
const wires: ScaleWire[] = [];
const announcing = new Set<string>();

const fail = (error: unknown): void => {
  process.stderr.write(
    `hollow: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`,
  );
  process.exit(1);
};

const start = (task: Task<unknown>): void => Task.start(task, fail);

const worldOf = (wire: ScaleWire): World => ({
  clock,
  wire,
  disk: undefined,
  logbook: Logbook.into(() => undefined),
  broken: (_part, error) => fail(error),
  random: Math.random,
  wallTime: () => new Date(),
});

const open = ({
  from,
  count,
  seeds,
  zones,
  spread,
  bounds,
  heartbeatMs,
}: Extract<ScaleOrder, { kind: "open" }>): void => {
  for (let at = from; at < from + count; at += 1) {
    const zone = ScaleSpec.zone(at, spread);
    const wire = new ScaleWire(tcp, clock, (address) =>
      ScaleSpec.oneWayMs(zone, zones[address] ?? zone, spread),
    );
    const place = {
      machine: `hollow-${at}`,
      zone,
      peer: `127.1.${Math.floor(at / 250)}.${(at % 250) + 1}:7000`,
    };
    const daemon = new HollowDaemon(
      worldOf(wire),
      place,
      seeds,
      Bounds.of({ bounds, heartbeatMs }),
    );
    wires.push(wire);
    daemons.push(daemon);
    clock.after(Math.random() * 200, () => daemon.start());
  }
};

const announce = function* (backEnd: ScaleBackEnd, everyMs: number): Task {
  announcing.add(backEnd.address);
  yield* Clock.rest(clock, Math.random() * everyMs);
  while (announcing.has(backEnd.address)) {
    const daemon = daemons[Math.floor(Math.random() * daemons.length)];
    if (daemon) yield* daemon.hear(backEnd);
    yield* Clock.rest(clock, everyMs * (0.9 + Math.random() * 0.2));
  }
};

/** When each daemon first held a condition. */
const awaitAll = function* (holds: (daemon: HollowDaemon) => boolean): Task<number[]> {
  const times: number[] = [];
  let waiting = [...daemons];
  while (waiting.length > 0) {
    const nowMs = sharedMs();
    waiting = waiting.filter((daemon) => {
      if (!holds(daemon)) return true;
      times.push(nowMs);
      return false;
    });
    yield* Clock.rest(clock, lookMs);
  }
  return times;
};

const report = (collect: boolean): Outcome => {
  if (collect) globalThis.gc?.();
  const sum = (of: (wire: ScaleWire) => number): number =>
    wires.reduce((total, wire) => total + of(wire), 0);
  const every = (of: (daemon: HollowDaemon) => number): number =>
    daemons.reduce((total, daemon) => total + of(daemon), 0);
  return {
    figures: {
      bytesIn: sum(({ tally }) => tally.bytesIn),
      bytesOut: sum(({ tally }) => tally.bytesOut),
      messagesIn: sum(({ tally }) => tally.messagesIn),
      messagesOut: sum(({ tally }) => tally.messagesOut),
      granted: every(({ view }) => Number(view.isGranted)),
      polls: every(({ view }) => view.polls),
      grants: every(({ view }) => view.grants),
      settled: every(({ keyed }) => keyed.settled),
      failed: every(({ keyed }) => keyed.failed),
      covered: Math.max(0, ...daemons.map(({ coverage }) => coverage)),
      directory: Math.min(
        ...daemons.map(({ view }) =>
          view.services.reduce((total, service) => total + view.backEnds(service).length, 0),
        ),
      ),
      heapBytes: process.memoryUsage().heapUsed,
    },
    times: [],
  };
};

const rounds = { count: 0, write: 0 };

const obey = function* (order: ScaleOrder): Task<Outcome> {
  switch (order.kind) {
    case "open":
      open(order);
      return nothing;
    case "announce":
      for (const backEnd of order.backEnds) start(announce(backEnd, order.everyMs));
      return nothing;
    case "silence":
      for (const address of order.addresses) announcing.delete(address);
      return nothing;
    case "count":
    case "write": {
      rounds[order.kind] += 1;
      const mine = rounds[order.kind];
      const isOn = (): boolean => rounds[order.kind] === mine;
      const share = order.perSecond / Math.max(1, daemons.length);
      if (share <= 0) return nothing;
      for (const daemon of daemons)
        start(
          order.kind === "write"
            ? daemon.writing(share, isOn)
            : daemon.counting(share, order.services, order.routes, isOn),
        );
      return nothing;
    }
    case "awaitConfig":
      return {
        figures: {},
        times: yield* awaitAll(
          ({ view }) => view.configSequence >= order.sequence && view.isGranted,
        ),
      };
    case "awaitGone": {
      const gone = new Set(order.addresses);
      return {
        figures: {},
        times: yield* awaitAll(({ view }) =>
          order.services.every(
            (service) => !view.backEnds(service).some(({ address }) => gone.has(address)),
          ),
        ),
      };
    }
    case "report":
      return report(order.collect > 0);
  }
};

process.on("disconnect", () => process.exit(0));
process.on("message", (value) => {
  const { id, order } = ScaleOrder.read(value);
  Task.start(obey(order), fail, (outcome) => process.send?.({ id, ...outcome }));
});
