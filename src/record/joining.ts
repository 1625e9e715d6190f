import { Kind } from "../link/kind.js";
import type { Link } from "../link/link.js";
import { Clock } from "../runtime/clock.js";
import { Task } from "../runtime/task.js";
import { World } from "../runtime/world.js";

/** How long a contact is waited for that may lead or tell who does; it may have to commit two entries. */
const askMs = 1000;
/** How often the contacts are asked until the leader has taken the member in. */
const retryMs = 200;
/** How long a member that was taken in waits for what it asked for, before it asks again. */
const settleMs = 2000;
/** How often a member looks whether it has to ask. */
const lookMs = 100;

const isTaken = (answer: string): boolean => answer.includes('"taken"');

/** A member of the replicated log that may have to ask the leader to be taken in. */
export interface Applicant {
  readonly self: string;
  /** The command that the leader must carry out for this member, or nothing while the member belongs. */
  readonly request: string | undefined;
  /** Addresses that may lead or know who does, the likeliest first. */
  readonly contacts: readonly string[];
}

/** Asks the leader to take this member in, whenever it has to be, over contacts of which many may be gone. */
export class Joining {
  private readonly world: World;
  private readonly link: Link;
  private readonly applicant: Applicant;

  constructor(world: World, link: Link, applicant: Applicant) {
    this.world = world;
    this.link = link;
    this.applicant = applicant;
  }

  /** Runs for as long as the daemon does. */
  *own(): Task {
    for (;;) {
      const { request } = this.applicant;
      if (request === undefined) yield* Clock.rest(this.world.clock, lookMs);
      else {
        const taken = yield* this.asking(request);
        yield* this.resting(request, taken ? settleMs : retryMs);
      }
    }
  }

  private *resting(request: string, forMs: number): Task {
    const untilMs = this.world.clock.nowMs() + forMs;
    while (this.applicant.request === request && this.world.clock.nowMs() < untilMs)
      yield* Clock.rest(this.world.clock, lookMs);
  }

  /**
   * Asks all contacts at the same moment, so that dead ones cost no time; only the leader does what is asked, the others tell
   * who leads, and it is asked too. Where none of that reaches the leader, one that answered is asked to forward it.
   */
  private *asking(text: string): Task<boolean> {
    const asked = new Set(["", this.applicant.self]);
    const answered: string[] = [];
    let open = 0;
    const taken = yield* Task.wait<boolean>((done) => {
      const ask = (peer: string): void => {
        if (asked.has(peer)) return;
        asked.add(peer);
        open += 1;
        const asking = this.link.ask(peer, Kind.command, { ferried: true, text }, askMs);
        World.start(this.world, "record", asking, (ret) => {
          open -= 1;
          if (ret) answered.push(peer);
          if (ret && isTaken(ret.text)) return done(true);
          if (ret) ask(ret.leader);
          if (open === 0) done(false);
        });
      };
      for (const peer of this.applicant.contacts) ask(peer);
      if (open === 0) done(false);
    });
    const [way] = answered;
    if (taken || way === undefined) return taken;
    const ret = yield* this.link.ask(way, Kind.command, { ferried: false, text }, askMs);
    return ret !== undefined && isTaken(ret.text);
  }
}
