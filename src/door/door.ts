import type { Ferry } from "../contract/ferry.js";
import type { Mapping } from "../contract/mapping.js";
import { poolOf, type View } from "../contract/view.js";
import type { PartLog } from "../machine/logbook.js";
import type { Task } from "../machine/task.js";
import { World } from "../machine/world.js";
import type { Contract } from "../record/book.js";
import type { Budget } from "../zone/budget.js";
import type { Shares } from "../zone/shares.js";
import type { EdgeCounts } from "../zone/edgeCounts.js";
import { safeMethods } from "../contract/config.js";
import { serviceHeader, type BackReturn, type Opened } from "./backEnds.js";
import { Job, type Caller } from "./job.js";
import { Keys, type Claim } from "./keys.js";
import { Ending, Return, type Verdict } from "./verdict.js";

/** One request on its way through the chain. */
interface Passage {
  readonly job: Job;
  readonly caller: Caller;
  readonly arrivedMs: number;
  mapping: Mapping | undefined;
  claim: Claim | undefined;
  /** A body is being passed on as it comes. */
  isStreaming: boolean;
  /** It was given its final answer before its tries came to an end. */
  isAbandoned: boolean;
}

type Filter = (passage: Passage, rest: () => Task<Ending>) => Task<Ending>;

const wholeBytes = 256 * 1024;
const inHandLimit = 2000;
/** How many back ends are tried for one request at most, most of which took no connection. */
const attemptLimit = 8;

/** Headers that belong to one connection and are never passed on. */
const hopHeaders = new Set(["connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect"]);

const passedOn = (headers: Record<string, string>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => !hopHeaders.has(name) && !name.startsWith("x-daledoor-")));

/** What the door has done, by ending. */
export interface Tally {
  taken: number;
  byCode: Record<string, number>;
  byVerdict: Record<Verdict, number>;
  firstTries: number;
  furtherTries: number;
  furtherRefused: { sketch: number; guard: number };
  cut: number;
}

/** Takes callers' requests through a chain of filters, each of which may answer. */
export class Door {
  private readonly world: World;
  private readonly view: View;
  private readonly budget: Budget;
  private readonly counts: EdgeCounts;
  private readonly shares: Shares;
  private readonly keys: Keys;
  private readonly incarnation: string;
  private readonly log: PartLog;
  private tries = 0;
  private closed = false;
  private readonly passages = new Set<Passage>();
  /** Requests in hand now. */
  inHand = 0;
  readonly tally: Tally = { taken: 0, byCode: {}, byVerdict: { neverRan: 0, mayHaveRun: 0, ran: 0 }, firstTries: 0, furtherTries: 0, furtherRefused: { sketch: 0, guard: 0 }, cut: 0 };

  constructor(world: World, view: View, ferry: Ferry, budget: Budget, counts: EdgeCounts, shares: Shares, incarnation: string) {
    this.world = world;
    this.view = view;
    this.budget = budget;
    this.counts = counts;
    this.shares = shares;
    this.incarnation = incarnation;
    this.keys = new Keys(world, ferry, incarnation);
    this.log = world.logbook.part("door");
  }

  /** All that must end before the daemon may stop. */
  get unfinished(): number {
    return this.inHand + this.keys.inHand;
  }

  /** Takes no new requests from now on. */
  close(): void {
    this.closed = true;
  }

  /** Takes one request to its end. */
  *handle(job: Job, caller: Caller): Task {
    const passage: Passage = { job, caller, arrivedMs: this.world.clock.nowMs(), mapping: undefined, claim: undefined, isStreaming: false, isAbandoned: false };
    this.tally.taken += 1;
    this.inHand += 1;
    this.passages.add(passage);
    try {
      const ending = yield* this.pass(passage, [this.limits, this.grant, this.mapped, this.keyed]);
      if (passage.isAbandoned) return;
      this.tally.byVerdict[ending.verdict] += 1;
      if (ending.ret === "cut") this.tally.cut += 1;
      if (typeof ending.ret === "string") return;
      this.tally.byCode[ending.ret.code] = (this.tally.byCode[ending.ret.code] ?? 0) + 1;
      caller.whole(ending.ret);
    } catch (error) {
      this.log.fault("A request met what nobody foresaw.", error);
      caller.whole(Return.json(500, { error: "The daemon broke down over this request.", verdict: "mayHaveRun" }));
    } finally {
      this.inHand -= 1;
      this.passages.delete(passage);
    }
  }

  /** Gives what is still in hand its final answer: the process ends before its tries do. */
  abandon(): void {
    for (const passage of this.passages) {
      passage.isAbandoned = true;
      if (passage.isStreaming) passage.caller.cut();
      else passage.caller.whole(Return.json(504, { error: "This daemon stops before the back end returned.", verdict: "mayHaveRun", retryAfterS: 1 }, { "retry-after": "1" }));
    }
  }

  private pass(passage: Passage, chain: readonly Filter[]): Task<Ending> {
    const [filter, ...rest] = chain;
    return filter ? filter.call(this, passage, () => this.pass(passage, rest)) : this.ferry(passage);
  }

  private *limits(_passage: Passage, rest: () => Task<Ending>): Task<Ending> {
    if (this.closed) return Ending.drop("This daemon is stopping.");
    if (this.inHand > inHandLimit) return Ending.drop("This daemon has too much in hand.");
    return yield* rest();
  }

  private *grant(_passage: Passage, rest: () => Task<Ending>): Task<Ending> {
    if (!this.view.isGranted) return Ending.drop("This daemon's view is not proven fresh.");
    if (this.view.configSequence === 0) return Ending.drop("No config is in force yet.");
    return yield* rest();
  }

  private *mapped(passage: Passage, rest: () => Task<Ending>): Task<Ending> {
    const mapping = this.view.mappings.find(passage.job.method, Job.path(passage.job));
    if (!mapping) return Ending.refusal(404, "No route takes this request.");
    passage.mapping = mapping;
    this.budget.countFirst(mapping.service, passage.arrivedMs);
    const number = this.view.numberOf("route", mapping.name);
    if (number !== undefined) this.counts.countRoute(number);
    return yield* rest();
  }

  private *keyed(passage: Passage, rest: () => Task<Ending>): Task<Ending> {
    const { job } = passage;
    const key = job.headers["idempotency-key"];
    if (safeMethods.has(job.method)) return yield* rest();
    if (key === undefined) return passage.mapping?.keyed ? Ending.refusal(400, "This route wants an Idempotency-Key.") : yield* rest();
    if (key.length === 0 || key.length > 200) return Ending.refusal(400, "An Idempotency-Key has 1 to 200 characters.");
    const claim = yield* this.keys.claim(job, key);
    if ("verdict" in claim) return claim;
    passage.claim = claim;
    const ending = yield* rest();
    this.keys.conclude(claim, ending);
    return ending;
  }

  private *ferry(passage: Passage): Task<Ending> {
    const tried = new Set<string>();
    let worst: Ending | undefined;
    const giveUp = (why: string): Ending => worst ?? Ending.drop(why);
    let further = 0;
    for (let attempts = 0; attempts < attemptLimit; attempts += 1) {
      const nowMs = this.world.clock.nowMs();
      if (!this.view.isGranted) return giveUp("This daemon's view is not proven fresh.");
      const mapping = this.view.mappings.find(passage.job.method, Job.path(passage.job));
      if (!mapping) return worst ?? Ending.refusal(404, "No route takes this request.");
      if (passage.claim && nowMs >= passage.claim.sendUntilMs) return giveUp("The key's claim is too old to send under.");
      if (nowMs >= passage.arrivedMs + mapping.giveUpMs * 2) return giveUp(`No back end of ${mapping.service} took this in time.`);
      const contract = this.shares.pick(this.view.backEnds(mapping.service), tried, mapping.inHandLimit, nowMs);
      if (!contract) return giveUp(`No back end of ${mapping.service} can take this now.`);
      const isFurther = worst !== undefined;
      if (isFurther) {
        further += 1;
        const mayRepeat = mapping.repeatable && safeMethods.has(passage.job.method);
        if (!mayRepeat || further > mapping.furtherTries || passage.caller.isGone) return giveUp("No further try is allowed.");
        this.counts.hurry();
        const leave = this.budget.take(mapping.service, this.counts.leave(mapping.service), nowMs);
        if (leave !== "granted") {
          this.tally.furtherRefused[leave] += 1;
          return giveUp("The budget of further tries is spent.");
        }
      }
      tried.add(contract.address);
      const ending = yield* this.attempt(passage, mapping, contract, isFurther);
      if (ending.why === "") return ending;
      if (ending.verdict !== "neverRan") worst = ending;
      else if (isFurther) {
        further -= 1;
        this.budget.giveBack(mapping.service, nowMs);
      }
    }
    return giveUp("Too many back ends took no connection.");
  }

  /** Asked once the connection stands: whether all that allowed the try still does. What is sent is counted. */
  private mayStill(passage: Passage, mapping: Mapping, contract: Contract, isFurther: boolean): boolean {
    const claimEnds = passage.claim?.sendUntilMs ?? Infinity;
    const isMapped = this.view.mappings.find(passage.job.method, Job.path(passage.job))?.service === mapping.service;
    const may = this.view.isGranted && this.view.holds(contract) && isMapped && this.world.clock.nowMs() < claimEnds;
    if (!may) return false;
    if (isFurther) this.tally.furtherTries += 1;
    else this.tally.firstTries += 1;
    this.counts.countTry(mapping.service, isFurther);
    return true;
  }

  private *attempt(passage: Passage, mapping: Mapping, contract: Contract, isFurther: boolean): Task<Ending> {
    const { clock } = this.world;
    const startedMs = clock.nowMs();
    this.tries += 1;
    const stamp = `${mapping.service}/${this.incarnation}-${this.tries}`;
    const untilMs = startedMs + mapping.giveUpMs;
    const { method, target, headers, body } = passage.job;
    this.shares.began(contract, startedMs);
    const opened = yield* this.world.backEnds.send({
      address: contract.address,
      service: mapping.service,
      pool: poolOf(contract),
      job: { method, path: target, headers: { ...passedOn(headers), "x-daledoor-job": stamp, [serviceHeader]: mapping.service }, body },
      untilMs,
      mayStill: () => this.mayStill(passage, mapping, contract, isFurther),
    });
    if (opened === "refused" || opened === "foreign") this.view.noteRefused(contract);
    if (opened === "withdrawn") {
      this.shares.withdrew(contract, clock.nowMs());
      return Ending.drop("This daemon's view changed before the request could be sent.");
    }
    const ending = yield* this.receive(passage, mapping, opened, stamp);
    const nowMs = clock.nowMs();
    const whole = typeof ending.ret === "string" ? ending.ret === "streamed" : ending.why === "" && ending.ret.code < 500;
    this.shares.ended(contract, nowMs - startedMs, whole, mapping.goalMs, nowMs);
    return ending;
  }

  private *receive(passage: Passage, mapping: Mapping, opened: Opened, stamp: string): Task<Ending> {
    if (opened === "refused" || opened === "foreign" || opened === "unreached" || opened === "withdrawn") return Ending.drop("The back end took no connection.");
    if (opened === "late") return this.mayHaveRun(504, "The back end did not return in time.");
    if (opened === "lost") return this.mayHaveRun(502, "The connection to the back end broke.");
    const { code, headers } = opened;
    const bodiless = passage.job.method === "HEAD" || code === 204 || code === 304;
    const stated = headers["content-length"];
    if (headers[mapping.stampHeader] !== stamp) return this.discard(opened, "The return carries no stamp of this request.");
    if (code === 503) return this.discard(opened, "The back end itself says try later.");
    if (!bodiless && (stated === undefined || !/^\d{1,15}$/.test(stated))) return this.discard(opened, "The return states no length.");
    const ret = { ...passedOn(headers) };
    delete ret[mapping.stampHeader];
    const lengthBytes = bodiless ? 0 : Number(stated);
    if (lengthBytes > wholeBytes) return yield* this.stream(passage, opened, ret, lengthBytes);
    const pieces: Uint8Array[] = [];
    let heldBytes = 0;
    for (;;) {
      const piece = yield* opened.next();
      if (piece === "cut" || (piece === "end" && heldBytes !== lengthBytes)) return this.mayHaveRun(502, "The back end's body was cut short.");
      if (piece === "end") break;
      heldBytes += piece.length;
      if (heldBytes > lengthBytes) return this.discard(opened, "The back end's body is longer than stated.");
      pieces.push(piece);
    }
    if (bodiless && stated !== undefined && code !== 204) ret["content-length"] = stated;
    return Ending.returned({ code, headers: ret, body: Buffer.concat(pieces) });
  }

  private *stream(passage: Passage, opened: BackReturn, headers: Record<string, string>, lengthBytes: number): Task<Ending> {
    const { caller } = passage;
    if (passage.isAbandoned) return this.discard(opened, "The caller has its answer already.");
    passage.isStreaming = true;
    caller.begin(opened.code, { ...headers, "content-length": String(lengthBytes) });
    for (let sentBytes = 0; ; ) {
      const piece = yield* opened.next();
      if (piece === "end" && sentBytes === lengthBytes) {
        caller.end();
        return { verdict: "ran", ret: "streamed", why: "" };
      }
      if (piece !== "cut" && piece !== "end" && sentBytes + piece.length <= lengthBytes && (yield* caller.piece(piece))) {
        sentBytes += piece.length;
        continue;
      }
      opened.cancel();
      caller.cut();
      this.log.warn("A return was cut short, and the caller's connection with it.", { route: passage.mapping?.name });
      return { verdict: "mayHaveRun", ret: "cut", why: "" };
    }
  }

  private discard(opened: BackReturn, why: string): Ending {
    opened.cancel();
    return this.mayHaveRun(502, why);
  }

  private mayHaveRun(code: 502 | 504, why: string): Ending {
    return Ending.breakdown(code, why, "mayHaveRun");
  }
}
