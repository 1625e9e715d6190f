/** Judges the events of a deployment run by the platform's rules. */
import type { DeploymentBounds } from "./deployment-profile.js";
import type {
  ChangeEvent,
  DeploymentEvent,
  LeaveEvent,
  ProbeEvent,
  TryEvent,
} from "./event-log.js";

/** The result of one rule: what broke it, and how much there was to judge. */
export interface RuleResult {
  readonly rule: string;
  readonly judged: number;
  readonly violations: readonly string[];
}

/** The start and the end of a span of time, in ms since the epoch. */
interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

const ACK_PER_ROUTE_MS = 3;
/** A machine's process starts again within this time after its end. */
const RESTART_MS = 2000;
/** Of the backends that leave, more than this fraction, and this number, must lack an acknowledgment. */
const MAX_UNACKNOWLEDGED_FRACTION = 0.2;
const MIN_UNACKNOWLEDGED = 3;
/** A request that used this fraction of its time may be cut beside a planned stop. */
const LAST_SIXTH_OF_GRACE = 5 / 6;
const LATE_REQUEST_MS = 3000;
/** Added routes are served less often than the others if their served fraction is below this part of the others'. */
const ADDED_ROUTES_FACTOR = 0.25;
const MIN_ADDED_ROUTES = 20;

const overlaps = (spans: readonly Span[], fromMs: number, toMs: number): boolean =>
  spans.some((span) => span.fromMs <= toMs && span.toMs >= fromMs);

/** All events of a run, sorted out by kind. */
export class DeploymentJudge {
  private readonly bounds: DeploymentBounds;
  private readonly changes: ChangeEvent[] = [];
  private readonly leaves: LeaveEvent[] = [];
  private readonly probes: ProbeEvent[] = [];
  private readonly tries: TryEvent[] = [];
  private readonly runs = new Map<string, { backend: string; atMs: number; endMs: number }>();
  private readonly stops = new Map<string, Span[]>();
  private readonly memberStops: Span[] = [];
  /** Spans around unplanned losses of any machine. */
  private readonly losses: Span[] = [];

  constructor(
    events: readonly DeploymentEvent[],
    members: ReadonlySet<string>,
    bounds: DeploymentBounds,
  ) {
    this.bounds = bounds;
    for (const event of events) this.add(event, members);
    for (const event of events)
      if (event.kind === "runEnd") {
        const run = this.runs.get(event.id);
        if (run) run.endMs = event.atMs;
      }
  }

  /** The results of all rules. */
  results(): RuleResult[] {
    return [
      this.judgeOrders(),
      this.judgeLeaves(),
      this.judgeProbes(),
      this.judgeAddedRoutes(),
      this.judgeInvalid(),
      this.judgeDrain(),
      this.judgeLost(),
    ];
  }

  /** The fraction of first tries and later ones that were answered with success. */
  servedFraction(): number {
    const served = this.tries.filter(({ result }) => result === "200").length;
    return this.tries.length === 0 ? 0 : served / this.tries.length;
  }

  /** The number of tries by result. */
  resultCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { result, isBehindClose } of this.tries) {
      const name = isBehindClose ? "behind a close" : result;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    return counts;
  }

  private add(event: DeploymentEvent, members: ReadonlySet<string>): void {
    if (event.kind === "change") this.changes.push(event);
    else if (event.kind === "leave") this.leaves.push(event);
    else if (event.kind === "probe") this.probes.push(event);
    else if (event.kind === "try") this.tries.push(event);
    else if (event.kind === "run")
      this.runs.set(event.id, { backend: event.backend, atMs: event.atMs, endMs: Infinity });
    else if (event.kind === "stop" || event.kind === "loss") {
      const span = { fromMs: event.atMs, toMs: event.endedMs + RESTART_MS + this.bounds.contactMs };
      this.stops.set(event.machine, [...(this.stops.get(event.machine) ?? []), span]);
      if (members.has(event.machine)) this.memberStops.push(span);
      if (event.kind === "loss") this.losses.push(span);
    }
  }

  /** Whether neither a machine nor a member was stopped or started within `contact`; only such machines have time bounds. */
  private isInTouch(machine: string, atMs: number): boolean {
    const stops = [...(this.stops.get(machine) ?? []), ...this.memberStops];
    return !overlaps(stops, atMs, atMs);
  }

  private judgeOrders(): RuleResult {
    const { ackMs } = this.bounds;
    const judged = this.changes.filter(
      ({ isValid, sentMs, status }) =>
        isValid && status !== 412 && !overlaps(this.memberStops, sentMs, sentMs + ackMs),
    );
    const late = judged.filter(
      ({ sentMs, routes, ackMs: ackedMs = Infinity }) =>
        ackedMs - sentMs > ackMs + ACK_PER_ROUTE_MS * routes,
    );
    const violations = late.map(
      ({ version, ackMs: ackedMs = Infinity, sentMs, calls }) =>
        `r${version} acknowledged after ${Math.round(ackedMs - sentMs)} ms: ${calls.join(", ")}`,
    );
    return { rule: "ACKS (orders)", judged: judged.length, violations };
  }

  private judgeLeaves(): RuleResult {
    const { ackMs } = this.bounds;
    const judged = this.leaves.filter(
      ({ saidMs }) => !overlaps(this.memberStops, saidMs, saidMs + ackMs),
    );
    const late = judged.filter(({ saidMs, ackMs: ackedMs = Infinity }) => ackedMs - saidMs > ackMs);
    const isBroken =
      late.length >= MIN_UNACKNOWLEDGED &&
      late.length > MAX_UNACKNOWLEDGED_FRACTION * judged.length;
    const violations = isBroken
      ? [`${late.length} of ${judged.length} leaves had no acknowledgment after ${ackMs} ms`]
      : [];
    return { rule: "ACKS (leaves)", judged: judged.length, violations };
  }

  /** The probes at machines that ran undisturbed. */
  private get judgedProbes(): ProbeEvent[] {
    return this.probes.filter(
      ({ machine, sentMs, endedMs, status }) =>
        status !== 0 && this.isInTouch(machine, sentMs) && this.isInTouch(machine, endedMs),
    );
  }

  private judgeProbes(): RuleResult {
    const judged = this.judgedProbes;
    const violations = judged
      .filter(({ expects, status }) =>
        expects === "present" ? status === 404 : status !== 404 && status < 500 && status !== 429,
      )
      .map(
        ({ machine, version, expects, status }) =>
          `r${version} at ${machine}: a route that must be ${expects} got ${status}`,
      );
    return { rule: "CONFIG (in force)", judged: judged.length, violations };
  }

  private judgeAddedRoutes(): RuleResult {
    const added = this.judgedProbes.filter(({ expects }) => expects === "present");
    const served = added.filter(({ status }) => status === 200).length / Math.max(1, added.length);
    const others = this.servedFraction();
    const isBroken = added.length >= MIN_ADDED_ROUTES && served < others * ADDED_ROUTES_FACTOR;
    const violations = isBroken
      ? [`added routes are served ${served.toFixed(2)}, the others ${others.toFixed(2)}`]
      : [];
    return { rule: "CONFIG (added routes)", judged: added.length, violations };
  }

  private judgeInvalid(): RuleResult {
    const judged = this.changes.filter(({ isValid }) => !isValid);
    const violations = judged
      .filter(({ status }) => status === 200)
      .map(({ version }) => `the invalid r${version} was acknowledged`);
    return { rule: "CONFIG (invalid)", judged: judged.length, violations };
  }

  private judgeDrain(): RuleResult {
    const { drainMs } = this.bounds;
    const leftMs = new Map(
      this.leaves.flatMap(({ backend, ackMs: ackedMs }) =>
        ackedMs === undefined ? [] : [[backend, ackedMs]],
      ),
    );
    const violations: string[] = [];
    const machines = new Map(this.tries.map(({ id, machine }) => [id, machine]));
    for (const [id, { backend, atMs }] of this.runs) {
      const lateMs = atMs - (leftMs.get(backend) ?? Infinity) - drainMs;
      if (lateMs > 0 && this.isInTouch(machines.get(id) ?? "", atMs))
        violations.push(
          `${id} reached ${backend} ${Math.round(lateMs)} ms after its time to drain`,
        );
    }
    return { rule: "DRAIN", judged: leftMs.size, violations };
  }

  private judgeLost(): RuleResult {
    const broken = this.tries.filter(
      ({ result, isBehindClose }) => (result === "cut" || result === "reset") && !isBehindClose,
    );
    const violations = broken
      .filter((event) => this.isLost(event))
      .map(({ id, traffic, machine, sentMs, endedMs, result }) => {
        const run = this.runs.get(id);
        const place = run ? `run ${Math.round(run.atMs - sentMs)} ms after it was sent` : "not run";
        return `${traffic} ${id} at ${machine}: ${result} after ${Math.round(endedMs - sentMs)} ms, ${place}`;
      });
    return { rule: "LOST", judged: this.tries.length, violations };
  }

  private isLost({ id, machine, sentMs, endedMs }: TryEvent): boolean {
    const { graceMs, lossSlackMs } = this.bounds;
    if (overlaps(this.losses, sentMs - this.bounds.contactMs, endedMs)) return false;
    const run = this.runs.get(id);
    if (!run) return endedMs - sentMs > lossSlackMs;
    const stop = (this.stops.get(machine) ?? []).find(
      ({ fromMs, toMs }) => fromMs <= endedMs && endedMs <= toMs,
    );
    if (!stop) return true;
    const isEarly = sentMs <= stop.fromMs + LATE_REQUEST_MS;
    const wasAtWork = run.endMs > stop.fromMs + graceMs * LAST_SIXTH_OF_GRACE;
    return !(isEarly && wasAtWork);
  }
}
