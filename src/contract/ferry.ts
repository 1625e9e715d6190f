import { Kind } from "../link/kind.js";
import type { Held, Link } from "../link/link.js";
import { Clock } from "../machine/clock.js";
import { Task } from "../machine/task.js";
import type { World } from "../machine/world.js";
import { breakdownReturn, isBreakdown, Order } from "./order.js";

type Asked = Held<typeof Kind.command.ask>;
type Returned = Held<typeof Kind.command.return>;

/** What a recorder offers a ferry: itself as the leader, or the way to it. */
export interface Leadership {
  readonly leads: boolean;
  readonly leader: string;
}

const oneAskMs = 700;
const notLeader = breakdownReturn("notLeader");

/** Brings commands and polls to whoever leads, through any recorder. */
export class Ferry {
  private readonly world: World;
  private readonly link: Link;
  private recorders: string[];
  private readonly seeds: string[];
  /** Who led when last heard. */
  leader = "";

  constructor(world: World, link: Link, seeds: string[]) {
    this.world = world;
    this.link = link;
    this.seeds = seeds;
    this.recorders = seeds;
  }

  /** Learns which recorders there are. */
  know(recorders: readonly string[]): void {
    this.recorders = [...new Set([...recorders, ...this.seeds])];
  }

  /** Serves a kind at a recorder: here if it leads, else ferried on once. */
  serve(kind: typeof Kind.command | typeof Kind.poll, leadership: Leadership, handle: (text: string) => Task<string>): void {
    const { link } = this;
    link.serve(kind, function* (ask: Asked): Task<Returned> {
      const { leader } = leadership;
      if (leadership.leads) return { leader, text: yield* handle(ask.text) };
      if (!ask.ferried && leader && leader !== link.self) {
        const ret = yield* link.ask(leader, kind, { ferried: true, text: ask.text }, oneAskMs);
        return ret ?? { leader, text: breakdownReturn("unknown") };
      }
      return { leader, text: notLeader };
    });
  }

  /** Asks the leader once, by the way that last worked or the next one. */
  *once(kind: typeof Kind.command | typeof Kind.poll, text: string, waitMs: number): Task<string | undefined> {
    const target = this.leader || this.recorders[Math.floor(this.world.random() * this.recorders.length)] || "";
    const ret = yield* this.link.ask(target, kind, { ferried: false, text }, waitMs);
    if (ret && !isBreakdown(ret.text)) {
      this.leader = ret.leader;
      return ret.text;
    }
    const namesAnother = ret !== undefined && ret.leader !== target && ret.text === notLeader;
    this.leader = namesAnother ? ret.leader : "";
    return undefined;
  }

  /** Has a command carried out. Each is safe to repeat, so it is, until `waitMs` are over: then its fate is unknown. */
  *command(order: Order, waitMs: number): Task<string | undefined> {
    const untilMs = this.world.clock.nowMs() + waitMs;
    const text = Order.text(order);
    for (;;) {
      const leftMs = untilMs - this.world.clock.nowMs();
      if (leftMs <= 0) return undefined;
      const ret = yield* this.once(Kind.command, text, Math.min(oneAskMs, leftMs));
      if (ret !== undefined) return ret;
      yield* Clock.rest(this.world.clock, Math.min(40, Math.max(0, untilMs - this.world.clock.nowMs())));
    }
  }
}
