import { Ferry } from "../contract/ferry.js";
import type { Machine } from "../contract/order.js";
import { Registry, Terms } from "../contract/registry.js";
import { View } from "../contract/view.js";
import { Door } from "../door/door.js";
import type { Caller, Job } from "../door/job.js";
import type { Return } from "../door/verdict.js";
import { Kind } from "../link/kind.js";
import { Link } from "../link/link.js";
import { Operators } from "../operator/operators.js";
import { Book } from "../record/book.js";
import { Recorder, Waits } from "../record/recorder.js";
import { Store } from "../record/store.js";
import { Budget } from "../zone/budget.js";
import { Collector } from "../zone/collector.js";
import { CountsForm } from "../zone/counts.js";
import { EdgeCounts } from "../zone/edgeCounts.js";
import { Shares } from "../zone/shares.js";
import { Clock } from "./clock.js";
import type { PartLog } from "./logbook.js";
import { Settings, type Role } from "./settings.js";
import { Source } from "./source.js";
import type { Task } from "./task.js";
import { World } from "./world.js";

/** A caller's request as it arrives. */
export interface Arrival {
  readonly job: Job;
  readonly caller: Caller;
}

/** An operator's or back end's request as it arrives. */
export interface DeskArrival {
  readonly job: Job;
  readonly give: (ret: Return) => void;
}

const pollMs = 200;
const pushMs = 2000;
const drainMs = 6000;
/** How long a stopping daemon still serves what comes: callers sent it before they could know. */
const onTheWayMs = 300;

/** One machine's daemon: its roles, the links to its peers, and what it serves. */
export class Daemon {
  readonly callers = new Source<Arrival>();
  readonly operators = new Source<DeskArrival>();
  private readonly world: World;
  private readonly settings: Settings;
  private readonly roles: Role[];
  private readonly log: PartLog;
  private readonly incarnation: string;
  private readonly link: Link;
  private readonly ferry: Ferry;
  private readonly budget = new Budget();
  private readonly view: View;
  private readonly shares: Shares;
  private readonly edgeCounts: EdgeCounts;
  private readonly desk: Operators;
  readonly door: Door;
  readonly recorder: Recorder | undefined;
  private readonly registry: Registry | undefined;
  private readonly collector: Collector | undefined;
  private draining = false;

  constructor(world: World, settings: Settings, waits: Waits = Waits.usual, terms: Terms = Terms.usual) {
    this.world = world;
    this.settings = settings;
    this.roles = Settings.roles(settings);
    this.log = world.logbook.part("machine");
    this.incarnation = World.nonce(world);
    this.link = new Link(world, settings.peers);
    this.ferry = new Ferry(world, this.link, settings.seeds);
    this.view = new View(world, this.ferry, () => this.machine(), this.budget);
    this.shares = new Shares(settings.zone, () => world.random());
    const self = { machine: settings.machine, incarnation: this.incarnation, zone: settings.zone };
    this.edgeCounts = new EdgeCounts(world, this.link, CountsForm.usual, this.view, self);
    this.door = new Door(world, this.view, this.ferry, this.budget, this.edgeCounts, this.shares, this.incarnation);
    if (this.roles.includes("recorder") && world.disk) {
      const book = new Book();
      this.recorder = new Recorder(world, this.link, settings.peers, settings.seeds, waits, book, new Store(world.disk));
      this.registry = new Registry(world, this.recorder, book, terms);
      book.onApplied((deed) => {
        if (deed.kind === "config" && book.inForce) world.archive?.keep(book.inForce);
      });
    }
    if (this.roles.includes("collector")) this.collector = new Collector(world, this.link, CountsForm.usual, settings.peers, this.incarnation, () => this.recorder?.leader || this.ferry.leader);
    this.desk = new Operators(world, this.ferry, this.view, this.shares, {
      status: () => this.status(),
      notReady: () => this.notReady(),
      counts: () => this.collector?.latest ?? this.edgeCounts.latest,
    });
  }

  /** Starts all tasks; ends once the daemon listens for its peers. */
  *start(): Task {
    const { world, registry, recorder, collector } = this;
    this.callers.each(world.clock.scheduler, ({ job, caller }) => World.start(world, "door", this.door.handle(job, caller)));
    this.operators.each(world.clock.scheduler, ({ job, give }) => World.start(world, "operator", this.desk.handle(job), give));
    if (recorder && registry) {
      const leadership = {
        get leads() {
          return recorder.status.role === "leader";
        },
        get leader() {
          return recorder.leader;
        },
      };
      this.ferry.serve(Kind.command, leadership, (text) => registry.command(text));
      this.ferry.serve(Kind.poll, leadership, (text) => registry.poll(text));
    }
    yield* this.link.listen();
    if (recorder && registry) {
      World.start(world, "record", recorder.own());
      if (world.archive) World.start(world, "operator", world.archive.own());
      World.start(world, "contract", registry.ownConfigs());
      World.start(world, "contract", registry.ownTime());
    }
    World.start(world, "contract", this.view.own(pollMs));
    if (collector) World.start(world, "zone", collector.own(pushMs));
    if (this.roles.includes("edge")) World.start(world, "zone", this.edgeCounts.pushing(pushMs));
    this.log.say("Runs.", { roles: this.roles, zone: this.settings.zone });
  }

  /** Finishes the work in hand and takes no more; ends when all is done or the time for it is over. */
  *drain(closeToCallers: () => void = () => undefined): Task {
    const startedMs = this.world.clock.nowMs();
    this.draining = true;
    this.log.say("Draining.", { inHand: this.door.unfinished });
    if (this.recorder) yield* this.recorder.yieldLeadership();
    yield* Clock.rest(this.world.clock, onTheWayMs);
    this.door.close();
    closeToCallers();
    while (this.door.unfinished > 0 && this.world.clock.nowMs() - startedMs < drainMs) yield* Clock.rest(this.world.clock, 20);
    if (this.door.unfinished > 0) this.log.warn("Stops with work unfinished; it is given up on.", { inHand: this.door.unfinished });
    this.door.abandon();
    if (this.door.unfinished > 0) return;
    this.log.say("Drained.");
  }

  /** The config this daemon serves by, and whether it may serve now. */
  get standing(): { configSequence: number; isGranted: boolean } {
    return { configSequence: this.view.configSequence, isGranted: this.view.isGranted };
  }

  /** The name of this process, which no other ever has. */
  get name(): string {
    return this.incarnation;
  }

  /** What the fleet's sketch tells this edge of a service's tries in the window, with its own since. */
  toldTries(service: string): ReturnType<EdgeCounts["ofService"]> {
    return this.edgeCounts.ofService(service);
  }

  private machine(): Machine {
    const { machine, zone, peers } = this.settings;
    return { name: machine, zone, roles: this.roles, peer: peers, incarnation: this.incarnation, draining: this.draining };
  }

  private notReady(): string {
    if (this.draining) return "draining";
    if (!this.view.isGranted) return "no fresh grant";
    return "";
  }

  private status(): Record<string, unknown> {
    return {
      ...this.machine(),
      ready: this.notReady() === "",
      granted: this.view.isGranted,
      configSequence: this.view.configSequence,
      polls: this.view.polls,
      grants: this.view.grants,
      droppedFrames: this.link.droppedFrames,
      record: this.recorder?.status ?? null,
      door: this.roles.includes("edge") ? { inHand: this.door.inHand, ...this.door.tally, capacities: Object.fromEntries(this.budget.capacities) } : null,
      collector: this.collector ? { refused: this.collector.refused, coverage: this.collector.latest?.coverage ?? null } : null,
    };
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { Simulation } = await import("../rehearsal/simulation.js");
  const { Profile } = await import("../rehearsal/profile.js");
  const { Task: Tasks } = await import("./task.js");

  test("a stop finishes what can be finished, and gives the rest a final answer before the process ends", () => {
    const simulation = new Simulation(Profile.all.rastro, 5, 0.0001);
    const fail = (error: unknown): void => {
      throw error;
    };
    const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
    simulation.begin();
    simulation.start(simulation.day.putConfig());
    wait(6000);
    const patch = Buffer.from(JSON.stringify({ routes: { issues: { giveUpMs: 30_000 }, crashes: { giveUpMs: 30_000 } } }));
    simulation.machines[0]?.daemon?.operators.put({ job: { method: "PATCH", target: "/config", headers: {}, body: patch }, give: () => undefined });
    wait(2000);
    const edge = simulation.machines.find(({ settings }) => settings.callers !== undefined);
    if (!edge) throw new Error("There is no edge.");
    for (const standIn of simulation.standIns) standIn.behave({ slowFactor: standIn.service === "issues" ? 4000 : 150 });
    const codes: string[] = [];
    const call = (path: string): void =>
      Tasks.start(simulation.call(edge.settings.machine, { method: "GET", target: path, headers: { "x-caller": path }, body: Buffer.alloc(0) }, 20_000), fail, ({ code, broke }) => codes.push(`${path} ${code} ${broke}`));
    call("/issues/1");
    call("/crashes/1");
    wait(100);
    simulation.start(simulation.stop(edge));
    wait(9000);
    expect(codes).toEqual(["/crashes/1 200 ", "/issues/1 504 "]);
    expect(simulation.ledger.of("stopped").map(({ atMs, endedMs }) => endedMs - atMs < 7000)).toEqual([true]);
  });
}
