import type { View } from "../contract/view.js";
import type { Link } from "../link/link.js";
import { Kind } from "../link/kind.js";
import { Clock } from "../machine/clock.js";
import type { PartLog } from "../machine/logbook.js";
import type { Task } from "../machine/task.js";
import type { World } from "../machine/world.js";
import type { FleetTries } from "./budget.js";
import { Down, type Push } from "./collector.js";
import { Counts, retryWindowMs, type CountsForm } from "./counts.js";

/** An edge's own counts, and the fleet's as they last came down the tree. */
export class EdgeCounts {
  private readonly world: World;
  private readonly link: Link;
  private readonly form: CountsForm;
  private readonly view: View;
  private readonly self: { machine: string; incarnation: string; zone: string };
  private readonly log: PartLog;
  private readonly own: Counts;
  private fleet: { counts: Counts; atMs: number; coverage: Down["coverage"] } | undefined;
  private parent = "";
  private parentSequence = 0;
  private pushes: Array<{ push: number; atMs: number }> = [];
  private lastPush = 0;
  private includedMs = -Infinity;
  private halfTripMs = 0;

  constructor(world: World, link: Link, form: CountsForm, view: View, self: { machine: string; incarnation: string; zone: string }) {
    this.world = world;
    this.link = link;
    this.form = form;
    this.view = view;
    this.self = self;
    this.log = world.logbook.part("zone");
    this.own = new Counts(form);
  }

  /** The fleet's counts as last heard. */
  get latest(): { counts: Counts; ageMs: number; coverage: Down["coverage"] } | undefined {
    return this.fleet && { counts: this.fleet.counts, ageMs: this.world.clock.nowMs() - this.fleet.atMs, coverage: this.fleet.coverage };
  }

  countRoute(route: number): void {
    this.own.countRoute(route, this.world.clock.nowMs());
  }

  countTry(service: string, isFurther: boolean): void {
    const number = this.view.numberOf("service", service);
    if (number !== undefined) this.own.countTry(number, isFurther, this.world.clock.nowMs());
  }

  /** First and further tries of a service across the fleet in the retry window, with this daemon's own since. */
  ofService(service: string): FleetTries | undefined {
    const number = this.view.numberOf("service", service);
    if (number === undefined || !this.fleet) return undefined;
    const nowMs = this.world.clock.nowMs();
    const fleet = this.fleet.counts.ofService(number, nowMs, retryWindowMs);
    const since = this.own.ofService(number, nowMs, Math.min(retryWindowMs, nowMs - this.includedMs));
    return { first: fleet.first + since.first, further: fleet.further + since.further };
  }

  /** Pushes to the zone's collector, or to another where it has none, for as long as the daemon runs. */
  *pushing(pushMs: number): Task {
    for (;;) {
      yield* Clock.rest(this.world.clock, pushMs * (0.9 + this.world.random() * 0.2));
      const nowMs = this.world.clock.nowMs();
      this.own.expire(nowMs);
      const parent = this.chooseParent();
      if (!parent) continue;
      this.lastPush += 1;
      const push: Push = {
        from: this.self.machine,
        incarnation: this.self.incarnation,
        tier: "edge",
        push: this.lastPush,
        parentSequence: this.parentSequence,
        halfTripMs: this.halfTripMs,
        includes: [],
        wants: [],
      };
      this.pushes.push({ push: this.lastPush, atMs: nowMs });
      this.pushes = this.pushes.filter(({ atMs }) => atMs > nowMs - this.form.tries.windowMs);
      const ret = yield* this.link.ask(parent, Kind.push, { text: JSON.stringify(push), sketches: this.own.encode(nowMs) }, pushMs);
      const heardMs = this.world.clock.nowMs();
      if (!ret) {
        this.parent = "";
        continue;
      }
      this.halfTripMs = (heardMs - nowMs) / 2;
      const down = Down.read(ret.text);
      if (down.taken !== "") {
        this.log.warn("The collector refused this daemon's sketch.", { why: down.taken });
        continue;
      }
      if (down.includedPush !== undefined) this.includedMs = this.pushes.find(({ push: number }) => number === down.includedPush)?.atMs ?? -Infinity;
      this.fleet = { counts: Counts.decode(ret.sketches, this.form, heardMs, this.halfTripMs), atMs: heardMs, coverage: down.coverage };
    }
  }

  private chooseParent(): string {
    const near = this.view.collectors.filter(({ zone }) => zone === this.self.zone);
    const choice = near.length > 0 ? near : this.view.collectors;
    if (choice.some(({ peer }) => peer === this.parent)) return this.parent;
    const chosen = choice[Math.floor(this.world.random() * choice.length)]?.peer ?? "";
    if (chosen !== this.parent) this.parentSequence += 1;
    this.parent = chosen;
    return chosen;
  }
}
