import { connectMs, type BackEnds, type BackTry, type Opened } from "../door/backEnds.js";
import type { Clock } from "../machine/clock.js";
import { Task } from "../machine/task.js";
import { Gate } from "./gate.js";
import type { Reply, StandIn } from "./standIn.js";
import type { VirtualNetwork } from "./virtualNetwork.js";

/** One connection of a daemon to the process that a stand-in was when it opened. */
interface Line {
  readonly standIn: StandIn;
  readonly incarnation: number;
  /** Whether the daemon has heard that it broke. */
  isOver: boolean;
}

/** What the virtual back ends of one machine are made of. */
export interface BackEndParts {
  readonly place: string;
  readonly gate: Gate;
  /** The machine's clock, by which a try's time is over. */
  readonly own: Clock;
  readonly clock: Clock;
  readonly network: VirtualNetwork;
  readonly random: () => number;
  readonly standInAt: (address: string) => StandIn | undefined;
}

const outside = new Gate();

/** The back ends as one machine of a simulated fleet reaches them: over connections that are slow, cut and broken like real ones. */
export const virtualBackEnds = ({ place, gate, own, clock, network, random, standInAt }: BackEndParts): BackEnds => {
  const idle = new Map<string, Line[]>();

  const isWhole = ({ standIn, incarnation }: Line): boolean => standIn.isUp && standIn.incarnation === incarnation;
  const lineTo = (standIn: StandIn): Line => {
    const line: Line = { standIn, incarnation: standIn.incarnation, isOver: false };
    standIn.onEnd(() =>
      network.deliver(standIn.address, place, gate, () => {
        line.isOver = true;
      }, () => undefined),
    );
    return line;
  };

  const proven = function* ({ address, service }: BackTry): Task<Line | "refused" | "foreign" | "unreached"> {
    return yield* Task.wait<Line | "refused" | "foreign" | "unreached">((done) => {
      let isOver = false;
      const give = (outcome: Line | "refused" | "foreign" | "unreached"): void => {
        if (isOver) return;
        isOver = true;
        cancel();
        gate.pass(() => done(outcome));
      };
      const cancel = clock.after(connectMs, () => give("unreached"));
      const back = (outcome: Line | "refused" | "foreign" | "unreached"): void => network.deliver(address, place, gate, () => give(outcome), () => undefined);
      const arrive = (): void => {
        const standIn = standInAt(address);
        if (!standIn?.isUp) return back("refused");
        const line = lineTo(standIn);
        const prove = (): void => (isWhole(line) ? back(standIn.service === service ? line : "foreign") : back("unreached"));
        network.deliver(address, place, gate, () => network.deliver(place, address, outside, prove, () => undefined), () => undefined);
      };
      clock.after(network.connectMs(), () => network.deliver(place, address, outside, arrive, () => undefined));
    });
  };

  const sent = function* (line: Line, { job, untilMs, pool }: BackTry): Task<Opened> {
    const { standIn } = line;
    const { address } = standIn;
    return yield* Task.wait<Opened>((done) => {
      let isOver = false;
      const give = (opened: Opened): void => {
        if (isOver) return;
        isOver = true;
        cancel();
        gate.pass(() => done(opened));
      };
      const cancel = clock.after(untilMs - own.nowMs(), () => give("late"));
      const back = (opened: Opened): void => network.deliver(address, place, gate, () => give(opened), () => give("lost"));
      const sentMs = clock.nowMs();
      const tripMs = network.tripMs();
      network.deliver(
        place,
        address,
        outside,
        () => {
          if (!isWhole(line)) return back("lost");
          const reply = standIn.run(job, clock.nowMs(), Math.max(0, clock.nowMs() - sentMs - tripMs));
          clock.after(reply.waitMs, () => back(reply.isLost || !isWhole(line) ? "lost" : replied(line, reply, pool)));
        },
        () => give("lost"),
        tripMs,
      );
    });
  };

  const replied = (line: Line, reply: Reply, pool: string): Opened => {
    const { address } = line.standIn;
    const body = reply.body.subarray(0, reply.cutAt ?? reply.body.length);
    let at = 0;
    return {
      code: reply.code,
      headers: reply.headers,
      *next() {
        if (at >= body.length) {
          if (reply.cutAt !== undefined) return "cut";
          rest(line, pool);
          return "end";
        }
        const came = yield* Task.wait<boolean>((done) => network.deliver(address, place, gate, () => done(isWhole(line)), () => gate.pass(() => done(false)), network.tripMs() / 10));
        if (!came) return "cut";
        const piece = body.subarray(at, at + 65_536);
        at += piece.length;
        return piece;
      },
      cancel: () => undefined,
    };
  };

  const rest = (line: Line, pool: string): void => {
    if (line.isOver || random() < 0.02) return;
    const known = idle.get(pool);
    if (known) known.push(line);
    else idle.set(pool, [line]);
  };

  return {
    *send(one) {
      const resting = idle.get(one.pool) ?? [];
      let line = resting.pop();
      while (line?.isOver) line = resting.pop();
      const ready = line ?? (yield* proven(one));
      if (typeof ready === "string") return ready;
      if (!one.mayStill()) {
        rest(ready, one.pool);
        return "withdrawn";
      }
      return yield* sent(ready, one);
    },
    keepOnly(pools) {
      for (const pool of idle.keys()) if (!pools.has(pool)) idle.delete(pool);
    },
    close: () => idle.clear(),
  };
};

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Simulation } = await import("./simulation.js");
  const { Profile } = await import("./profile.js");
  const { judge } = await import("./judge.js");
  const { Draw } = await import("./draw.js");
  const { VirtualClock } = await import("./virtualClock.js");
  const { VirtualNetwork: Networks } = await import("./virtualNetwork.js");
  const { StandIn: StandIns } = await import("./standIn.js");
  const { Ledger } = await import("./ledger.js");

  test("connections that take their time don't carry work to a back end past its leave, though the edge is cut off", () => {
    let withdrawn = 0;
    for (let seed = 1; seed <= 3; seed += 1) {
      const simulation = new Simulation(Profile.all.rastro, seed, 0.001);
      const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
      simulation.begin();
      simulation.start(simulation.day.putConfig());
      wait(6000);
      const edge = simulation.machines.find(({ settings }) => settings.callers !== undefined)?.settings.machine ?? "";
      const leavers = simulation.standIns.filter(({ service }) => service === "issues");
      for (const leaver of leavers) simulation.start(simulation.day.leave(leaver));
      for (const { settings } of simulation.machines) {
        simulation.network.cut(settings.machine, edge);
        simulation.network.cut(edge, settings.machine);
      }
      simulation.network.weather = { ...simulation.network.weather, slowConnectMs: 1000 };
      for (let count = 0; count < 200; count += 1) {
        simulation.start(simulation.call(edge, { method: "GET", target: `/issues/${count}`, headers: { "x-caller": `late-${count}` }, body: Buffer.alloc(0) }, 9000));
        wait(10);
      }
      wait(4000);
      expect(simulation.ledger.of("left")).toHaveLength(leavers.length);
      expect(simulation.ledger.runs.filter(({ caller }) => caller.startsWith("late-")).length).toBeGreaterThan(50);
      expect(judge(simulation.ledger)).toEqual([]);
      withdrawn += simulation.machines.find(({ settings }) => settings.machine === edge)?.daemon?.door.tally.byCode[503] ?? 0;
    }
    expect(withdrawn).toBeGreaterThan(10);
  });

  test("a request sent before a cut may arrive late, and is marked as kept back; its return may be lost though it ran", () => {
    const time = new VirtualClock();
    const clock = time.clock();
    const network = new Networks(clock, Draw.of(1));
    const ledger = new Ledger();
    const standIn = new StandIns("b:1", "a", "s", ledger, Draw.of(2), new Map());
    const backEnds = virtualBackEnds({ place: "edge", gate: new Gate(), own: clock, clock, network, random: Draw.of(3), standInAt: () => standIn });
    const ends: string[] = [];
    const send = (untilMs: number): void =>
      Task.start(
        (function* () {
          const opened = yield* backEnds.send({ address: "b:1", service: "s", pool: "p", job: { method: "GET", path: "/x", headers: {}, body: new Uint8Array() }, untilMs, mayStill: () => true });
          if (typeof opened === "string") return opened;
          while (typeof (yield* opened.next()) !== "string");
          return "returned";
        })(),
        (error) => {
          throw error;
        },
        (end) => ends.push(end),
      );
    send(1000);
    time.runUntil(500);
    network.cut("b:1", "edge");
    send(1500);
    time.runUntil(2000);
    expect([ends, ledger.runs.length]).toEqual([["returned", "late"], 2]);
    network.heal();
    send(2600);
    time.runUntil(2500);
    network.cut("edge", "b:1");
    send(3000);
    time.runUntil(4000);
    expect([ends.at(-1), ledger.runs.length]).toEqual(["late", 3]);
    network.heal();
    time.runUntil(6000);
    expect(ledger.runs.at(-1)?.heldMs).toBeGreaterThan(1000);
    expect(ledger.runs.length).toBe(4);
  });
}
