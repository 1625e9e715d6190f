import { Kind } from "../link/kind.js";
import { Clock } from "../machine/clock.js";
import { Holding } from "../machine/holding.js";
import type { PartLog } from "../machine/logbook.js";
import type { Task } from "../machine/task.js";
import type { World } from "../machine/world.js";
import type { Contract } from "../record/book.js";
import { Config, ConfigReader } from "./config.js";
import type { Ferry } from "./ferry.js";
import { Mappings } from "./mapping.js";
import { Poll, type GrantedView, type Machine } from "./order.js";
import type { Budget } from "../zone/budget.js";
import { retryWindowMs } from "../zone/counts.js";

const pollWaitMs = 450;
/** How long a hurried poll waits after the last one. */
const hurriedPollMs = 40;

/** What a daemon knows of the fleet, and until when it may serve by it. */
export class View {
  private readonly world: World;
  private readonly ferry: Ferry;
  private readonly machine: () => Machine;
  private readonly budget: Budget;
  private readonly log: PartLog;
  private untilMs = -Infinity;
  private heard = false;
  private directoryByService = new Map<string, Contract[]>();
  /** The newest change of the directory that is known here. */
  directorySequence = -1;
  private readonly reader = new ConfigReader();
  private numbers = new Map<string, number>();
  private readonly names = new Map<number, string>();
  mappings = new Mappings(Config.empty);
  configSequence = 0;
  collectors: GrantedView["collectors"] = [];
  private refused: Contract[] = [];
  private grantNumber = "";
  private readonly nudge = new Holding<true>();
  /** How many polls were sent, and how many brought a grant. */
  polls = 0;
  grants = 0;

  constructor(world: World, ferry: Ferry, machine: () => Machine, budget: Budget) {
    this.world = world;
    this.ferry = ferry;
    this.machine = machine;
    this.budget = budget;
    this.log = world.logbook.part("contract");
    budget.onShort = () => {
      this.nudge.putOnce(true);
    };
  }

  /** Whether this daemon may serve now: its view is proven fresh. */
  get isGranted(): boolean {
    return this.world.clock.nowMs() < this.untilMs;
  }

  /** The back ends under contract for a service that aren't leaving. */
  backEnds(service: string): readonly Contract[] {
    const contracts = this.directoryByService.get(service) ?? [];
    return this.refused.length === 0 ? contracts : contracts.filter((contract) => !this.refused.some(({ number }) => number === contract.number));
  }

  /** Whether a contract still stands, as far as is known here. */
  holds(contract: Contract): boolean {
    return this.backEnds(contract.service).some(({ number }) => number === contract.number);
  }

  get services(): string[] {
    return [...this.directoryByService.keys()];
  }

  /** The number that the record gave to a service or a route. */
  numberOf(kind: "service" | "route", name: string): number | undefined {
    return this.numbers.get(`${kind} ${name}`);
  }

  /** The name behind a number, also for a while after it went out of force. */
  nameOf(number: number): string | undefined {
    return this.names.get(number);
  }

  /** Hears that nobody listens at a contract's address; the leader is told with the next poll. */
  noteRefused(contract: Contract): void {
    if (!this.refused.some(({ number }) => number === contract.number)) this.refused.push(contract);
  }

  /** Polls for as long as the daemon runs. */
  *own(pollMs: number): Task {
    for (;;) {
      const sentMs = this.world.clock.nowMs();
      const ret = yield* this.ferry.once(Kind.poll, this.poll(sentMs), pollWaitMs);
      if (ret !== undefined) {
        const view = Poll.readReturn(ret);
        if (view.granted) this.take(view, sentMs);
      }
      if (this.heard && !this.isGranted) {
        this.heard = false;
        this.log.warn("The grant is over; requests are dropped until a new one comes.");
      }
      yield* Clock.rest(this.world.clock, ret === undefined ? 50 : hurriedPollMs);
      if (ret !== undefined) yield* this.nudge.takeUntil(this.world.clock, sentMs + pollMs);
    }
  }

  private poll(nowMs: number): string {
    this.polls += 1;
    if (nowMs > this.untilMs + retryWindowMs / 2) {
      this.budget.setCapacities(new Map(), nowMs);
      this.grantNumber = "";
    }
    const poll: Poll = {
      machine: this.machine(),
      configSequence: this.configSequence,
      directorySequence: this.directorySequence,
      grantNumber: this.grantNumber,
      capacities: [...this.budget.capacities].map(([service, capacity]) => ({ service, capacity })),
      wished: this.services.map((service) => ({ service, count: this.budget.wished(service, nowMs) })),
      refused: this.refused.map(({ address, number }) => ({ address, number })),
    };
    return JSON.stringify(poll);
  }

  private take(view: GrantedView, sentMs: number): void {
    if (view.configSequence < this.configSequence || view.directorySequence < this.directorySequence) {
      this.log.warn("A view older than the one in hand was refused.", { sequence: view.configSequence });
      return;
    }
    if (view.config !== undefined && view.configSequence > this.configSequence) {
      this.mappings = new Mappings(this.reader.read(view.config));
      this.configSequence = view.configSequence;
    }
    if (view.numbers) {
      this.numbers = new Map(Object.entries(view.numbers));
      for (const [name, number] of this.numbers) this.names.set(number, name);
    }
    if (view.directory) {
      this.directorySequence = view.directorySequence;
      this.refused = this.refused.filter(({ number }) => view.directory?.some((contract) => contract.number === number));
      this.directoryByService = new Map();
      for (const contract of view.directory) {
        if (contract.leaving) continue;
        const known = this.directoryByService.get(contract.service);
        if (known) known.push(contract);
        else this.directoryByService.set(contract.service, [contract]);
      }
      this.world.backEnds.keepOnly(new Set(view.directory.map(poolOf)));
    }
    this.collectors = view.collectors;
    this.ferry.know(view.recorders);
    this.budget.setCapacities(new Map(view.capacities.map(({ service, capacity }) => [service, capacity])), this.world.clock.nowMs());
    this.grantNumber = view.grantNumber;
    this.untilMs = sentMs + view.grantMs;
    this.grants += 1;
    if (!this.heard) this.log.say("Granted.", { sequence: view.configSequence });
    this.heard = true;
  }
}

/** The name of the connections under one contract. */
export const poolOf = (contract: Contract): string => `${contract.address} ${contract.number}`;
