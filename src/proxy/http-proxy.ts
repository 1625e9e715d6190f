import type { CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { ActiveRoute } from "../cluster-view/active-route.js";
import { connectionPoolKey, type ClusterView } from "../cluster-view/cluster-view.js";
import { Clock } from "../runtime/clock.js";
import type { LinkPacer } from "../runtime/link-pacer.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";
import type { Registration } from "../state/state-machine.js";
import type { RetryBudget } from "../retry-budget/retry-budget.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import type { EdgeCounts } from "../retry-budget/edge-counts.js";
import { safeMethods } from "../configuration/config.js";
import { responseBodyEnd, responseHeadFault } from "./upstream/response-validation.js";
import { BulkAdmission } from "./bulk-admission.js";
import {
  SERVICE_HEADER,
  type BackendClient,
  type BackendResponse,
  type OpenResult,
} from "./upstream/backend-client.js";
import type { HeaderNames } from "./header-names.js";
import { ProxyRequest, type ClientConnection } from "./proxy-request.js";
import { IdempotencyClaims, type HeldClaim } from "./idempotency/idempotency-claims.js";
import type { ExpiredLeasePolicy } from "./expired-lease-policy.js";
import type { OutcomeReplicator } from "./idempotency/outcome-replicator.js";
import { outcomeOfFailure, mayRetry, outcomeRuleOf, type FailureCause } from "./outcome-rules.js";
import { RequestOutcome, ClientResponse, type ExecutionStatus } from "./request-outcome.js";

/** One request on its way through the chain. */
interface Passage {
  readonly job: ProxyRequest;
  readonly caller: ClientConnection;
  readonly arrivedMs: number;
  /** Its name toward back ends, where its caller gave it one. */
  readonly id: string | undefined;
  /** Decides among the services of a route that is split. */
  readonly draw: number;
  mapping: ActiveRoute | undefined;
  service: string;
  /** When its caller or its route gives it up. */
  untilMs: number;
  claim: HeldClaim | undefined;
  /** The rest of its body went to a back end and can't be sent again. */
  isSpent: boolean;
  /** A body is being passed on as it comes. */
  isStreaming: boolean;
  /** It was given its final answer before its tries came to an end. */
  isAbandoned: boolean;
  /** Ends that its response is expected to take its part of the link. */
  bulkOver: () => void;
}

type Filter = (passage: Passage, rest: () => Task<RequestOutcome>) => Task<RequestOutcome>;

/** How one try ended, and whether its back end may have heard of it. */
interface Attempt {
  readonly ending: RequestOutcome;
  readonly isSent: boolean;
}

const wholeBytes = 256 * 1024;
const inHandLimit = 2000;
/** How many back ends are tried for one request at most, most of which took no connection. */
const attemptLimit = 8;
/** How much time must be left for another back end to be tried. */
const leastLeftMs = 15;
/** When callers had better come back: at once to another daemon, soon, once the fleet has settled, or once it has a leader again. */
const after = { elsewhere: 20, soon: 100, settled: 250, led: 400 };
/** How long a request waits for the first lease: a part of what its caller gave, and at most. */
const awaitPart = 1 / 3;
const mostAwaitMs = 1000;
/** A caller that has less than this part of its route's time left has tried before. */
const firstTryPart = 0.8;
/** Which part of a route's goal a first try's claim may take; a refusal later than a quarter of the goal leaves no time for another. */
const claimGoalPart = 0.2;
const leastClaimMs = 40;

/** Headers that belong to one connection and are never passed on. */
const hopHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
  "proxy-connection",
]);

const noCancel = (): void => undefined;

const passedOn = (headers: Record<string, string>): Record<string, string> => {
  const passed: Record<string, string> = {};
  const named = headers["connection"];
  const alsoHop =
    named === undefined
      ? undefined
      : new Set(
          named
            .toLowerCase()
            .split(",")
            .map((name) => name.trim()),
        );
  for (const name in headers) {
    const value = headers[name];
    if (
      value === undefined ||
      hopHeaders.has(name) ||
      name.startsWith("x-daledoor-") ||
      alsoHop?.has(name)
    )
      continue;
    passed[name] = value;
  }
  return passed;
};

/** What the door has done, by ending. */
export interface ProxyCounters {
  taken: number;
  byCode: Record<string, number>;
  byVerdict: Record<ExecutionStatus, number>;
  firstTries: number;
  furtherTries: number;
  furtherRefused: { sketch: number; guard: number };
  cut: number;
}

/** What a door depends on beside its world. */
export interface HttpProxyOptions {
  readonly view: ClusterView;
  readonly backEnds: BackendClient;
  readonly forwarder: CommandForwarder;
  readonly budget: RetryBudget;
  readonly counts: EdgeCounts;
  readonly shares: LoadBalancer;
  readonly incarnation: string;
  readonly dialect: HeaderNames;
  /** Whether requests that may be repeated are still served by a view whose lease is over. */
  readonly lapsedLease: ExpiredLeasePolicy;
  /** Where it is kept what became of keyed requests. */
  readonly outcomes: OutcomeReplicator;
  /** The link by which requests leave. */
  readonly egress: LinkPacer;
}

/** Takes callers' requests through a chain of filters, each of which may answer. */
export class HttpProxy {
  private readonly world: Runtime;
  private readonly view: ClusterView;
  private readonly backEnds: BackendClient;
  private readonly budget: RetryBudget;
  private readonly counts: EdgeCounts;
  private readonly shares: LoadBalancer;
  private readonly keys: IdempotencyClaims;
  private readonly incarnation: string;
  private readonly dialect: HeaderNames;
  private readonly lapsedLease: ExpiredLeasePolicy;
  private readonly egress: LinkPacer;
  private readonly bulk: BulkAdmission;
  private readonly log: Logger;
  private tries = 0;
  private closed = false;
  private readonly passages = new Set<Passage>();
  /** Hear of the next lease. */
  private awaiting: Array<() => void> = [];
  /** Requests in hand now. */
  inHand = 0;
  readonly tally: ProxyCounters = {
    taken: 0,
    byCode: {},
    byVerdict: { neverRan: 0, mayHaveRun: 0, ran: 0 },
    firstTries: 0,
    furtherTries: 0,
    furtherRefused: { sketch: 0, guard: 0 },
    cut: 0,
  };

  constructor(world: Runtime, parts: HttpProxyOptions) {
    const { view, backEnds, forwarder, budget, counts, shares, incarnation, dialect } = parts;
    this.world = world;
    this.view = view;
    this.backEnds = backEnds;
    this.budget = budget;
    this.counts = counts;
    this.shares = shares;
    this.incarnation = incarnation;
    this.dialect = dialect;
    this.lapsedLease = parts.lapsedLease;
    this.egress = parts.egress;
    this.bulk = new BulkAdmission(parts.egress, wholeBytes);
    this.keys = new IdempotencyClaims(
      world,
      forwarder,
      parts.outcomes,
      incarnation,
      dialect.tellsParts ? after.led : undefined,
    );
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

  /** A lease has come: what waited for it goes on. */
  leased(): void {
    for (const go of this.awaiting.splice(0)) go();
  }

  /** Takes one request to its end. */
  *handle(job: ProxyRequest, caller: ClientConnection): Task {
    const { callerId } = this.dialect;
    const passage: Passage = {
      job,
      caller,
      arrivedMs: this.world.clock.nowMs(),
      id: callerId === undefined ? undefined : job.headers[callerId],
      draw: this.world.random(),
      mapping: undefined,
      service: "",
      untilMs: Infinity,
      claim: undefined,
      isSpent: false,
      isStreaming: false,
      isAbandoned: false,
      bulkOver: () => undefined,
    };
    this.tally.taken += 1;
    this.inHand += 1;
    this.passages.add(passage);
    try {
      const ending = yield* this.pass(passage, [
        this.limits,
        this.mapped,
        this.ordered,
        this.keyed,
      ]);
      if (passage.isAbandoned) return;
      this.tally.byVerdict[ending.verdict] += 1;
      if (ending.ret === "cut") this.tally.cut += 1;
      if (typeof ending.ret === "string") return;
      this.tally.byCode[ending.ret.code] = (this.tally.byCode[ending.ret.code] ?? 0) + 1;
      caller.whole(this.spoken(ending, ending.ret));
    } catch (error) {
      this.log.fault("A request met what nobody foresaw.", error);
      caller.whole(
        ClientResponse.json(500, {
          error: "The daemon broke down over this request.",
          verdict: "mayHaveRun",
        }),
      );
    } finally {
      passage.bulkOver();
      this.inHand -= 1;
      this.passages.delete(passage);
    }
  }

  /** Gives what is still in hand its final answer: the process ends before its tries do. */
  abandon(): void {
    for (const passage of this.passages) {
      passage.isAbandoned = true;
      if (passage.isStreaming) passage.caller.cut();
      else
        passage.caller.whole(
          ClientResponse.json(
            504,
            {
              error: "This daemon stops before the back end returned.",
              verdict: "mayHaveRun",
              retryAfterS: 1,
            },
            { "retry-after": "1" },
          ),
        );
    }
  }

  /** A return as callers of this dialect read it. */
  private spoken({ afterMs }: RequestOutcome, ret: ClientResponse): ClientResponse {
    if (afterMs === undefined || !this.dialect.tellsParts) return ret;
    const spreadMs = afterMs * (0.75 + 0.5 * this.world.random());
    return { ...ret, headers: { ...ret.headers, "retry-after": (spreadMs / 1000).toFixed(3) } };
  }

  private pass(passage: Passage, chain: readonly Filter[]): Task<RequestOutcome> {
    const [filter, ...rest] = chain;
    return filter
      ? filter.call(this, passage, () => this.pass(passage, rest))
      : this.forward(passage);
  }

  private *limits(passage: Passage, rest: () => Task<RequestOutcome>): Task<RequestOutcome> {
    if (this.closed) return RequestOutcome.drop("This daemon is stopping.", after.elsewhere);
    if (this.inHand > inHandLimit)
      return RequestOutcome.drop("This daemon has too much in hand.", after.soon);
    if (!this.hasView) yield* this.awaitView(passage);
    if (this.view.configSequence === 0)
      return RequestOutcome.drop("No config is in force yet.", after.settled);
    if (!this.hasView)
      return RequestOutcome.drop("This daemon's view is not proven fresh.", after.settled);
    if (this.dialect.callerId !== undefined && passage.id === undefined)
      return RequestOutcome.refusal(400, "The request names no try.");
    return yield* rest();
  }

  /** Whether there is a view by which requests may be looked at, if only those that may be repeated. */
  private get hasView(): boolean {
    return (
      this.view.configSequence > 0 &&
      (this.view.isGranted || this.lapsedLease.allows(this.view.lapsedMs))
    );
  }

  /** A daemon that has just started holds requests for its first lease, for a bounded part of the time that their callers gave. */
  private *awaitView({ job }: Passage): Task {
    const { deadline } = this.dialect;
    const toldMs = deadline === undefined ? Number.NaN : Number(job.headers[deadline]);
    if (!(toldMs > 0) || this.awaiting.length >= inHandLimit) return;
    yield* Clock.within<true>(this.world.clock, Math.min(toldMs * awaitPart, mostAwaitMs), (done) =>
      this.awaiting.push(() => done(true)),
    );
  }

  private *mapped(passage: Passage, rest: () => Task<RequestOutcome>): Task<RequestOutcome> {
    const mapping = this.find(passage);
    if (!mapping)
      return this.view.isGranted
        ? RequestOutcome.refusal(404, "No route takes this request.")
        : RequestOutcome.drop("This daemon's view is not proven fresh.", after.settled);
    passage.mapping = mapping;
    passage.service = mapping.choose(passage.draw);
    passage.untilMs = passage.arrivedMs + this.givenMs(passage, mapping);
    passage.caller.dueMs = passage.arrivedMs + mapping.goalMs;
    if (!this.canBear(passage, mapping))
      return RequestOutcome.drop(
        "This daemon's link is full for as long as there is time.",
        after.elsewhere,
      );
    this.budget.countFirst(passage.service, passage.arrivedMs);
    const number = this.view.numberOf("route", mapping.name);
    if (number !== undefined) this.counts.countRoute(number);
    passage.bulkOver = this.bulk.expect(mapping.name);
    return yield* rest();
  }

  /** Holds what may run once until it is sure that its caller won't count it as not read and send it again. */
  private *ordered(
    { mapping, caller }: Passage,
    rest: () => Task<RequestOutcome>,
  ): Task<RequestOutcome> {
    const isRepeatable = mapping?.repeatable === true;
    if (!isRepeatable && caller.turn && !(yield* caller.turn()))
      return RequestOutcome.drop(
        "The answer before this one closed the connection.",
        after.elsewhere,
      );
    return yield* rest();
  }

  private *keyed(passage: Passage, rest: () => Task<RequestOutcome>): Task<RequestOutcome> {
    const { job, mapping } = passage;
    const { key: header } = this.dialect;
    const key = job.headers[header];
    const isKeyed = mapping?.keyed === true;
    if (!isKeyed && (mapping?.repeatable === true || safeMethods.has(job.method)))
      return yield* rest();
    if (key === undefined)
      return isKeyed
        ? RequestOutcome.refusal(400, `This route wants the header ${header}.`)
        : yield* rest();
    if (key.length === 0 || key.length > 200)
      return RequestOutcome.refusal(400, "A key has 1 to 200 characters.");
    if (!this.view.isGranted)
      return RequestOutcome.drop("This daemon's view is not proven fresh.", after.settled);
    const claim = yield* this.keys.claim(
      job,
      key,
      passage.untilMs,
      mapping && this.claimMs(passage, mapping),
    );
    if ("verdict" in claim) return claim;
    passage.claim = claim;
    const ending = yield* rest();
    this.keys.conclude(claim, ending);
    return ending;
  }

  private find({ job }: Passage): ActiveRoute | undefined {
    return this.view.mappings.find(job.method, ProxyRequest.path(job), job.headers["host"] ?? "");
  }

  /** How long a request may be in hand: what its caller says is left, and what its route allows. */
  private givenMs({ job }: Passage, mapping: ActiveRoute): number {
    const { deadline } = this.dialect;
    if (deadline === undefined) return mapping.giveUpMs * 2;
    const told = Number(job.headers[deadline]);
    return Number.isFinite(told) && told > 0 ? Math.min(told, mapping.giveUpMs) : mapping.giveUpMs;
  }

  /** How long a claim may take. A first try is refused early, so that its caller still has time to come back; one that came back waits. */
  private claimMs(
    { arrivedMs, untilMs }: Passage,
    { giveUpMs, goalMs }: ActiveRoute,
  ): number | undefined {
    if (this.dialect.deadline === undefined) return undefined;
    const givenMs = untilMs - arrivedMs;
    return givenMs < giveUpMs * firstTryPart
      ? givenMs
      : Math.max(leastClaimMs, goalMs * claimGoalPart);
  }

  /** How long it takes until a request that is sent now has left the link. */
  private leavesInMs({ job }: Passage): number {
    return this.egress.queueMs + this.egress.transferMs(job.body.length);
  }

  /** Whether this daemon's view lets a request be sent on: it must hold until the request can have left the link. */
  private mayServe(passage: Passage, mapping: ActiveRoute): boolean {
    const leftMs = this.view.leaseLeftMs - this.leavesInMs(passage);
    return leftMs > 0 || (mapping.repeatable && this.lapsedLease.allows(-leftMs));
  }

  /** Whether a response of the route's usual size can still leave in time. A first try is refused while its caller can have another. */
  private canBear(
    { arrivedMs, untilMs }: Passage,
    { name, goalMs, giveUpMs }: ActiveRoute,
  ): boolean {
    const isFirst = untilMs - arrivedMs >= giveUpMs * firstTryPart;
    const dueMs = isFirst ? Math.min(untilMs, arrivedMs + goalMs) : untilMs;
    return this.bulk.admits(name, dueMs - this.world.clock.nowMs());
  }

  private *forward(passage: Passage): Task<RequestOutcome> {
    const tried = new Set<string>();
    let worst: RequestOutcome | undefined;
    let further = 0;
    let sends = 0;
    const giveUp = (why: string, afterMs = after.soon): RequestOutcome =>
      worst ?? RequestOutcome.drop(why, afterMs);
    for (let attempts = 0; attempts < attemptLimit; attempts += 1) {
      const nowMs = this.world.clock.nowMs();
      const mapping = this.find(passage);
      if (!mapping) return worst ?? RequestOutcome.refusal(404, "No route takes this request.");
      if (!this.mayServe(passage, mapping))
        return giveUp("This daemon's view is not proven fresh.", after.settled);
      if (!mapping.takes(passage.service)) passage.service = mapping.choose(passage.draw);
      const { service } = passage;
      if (passage.claim && nowMs + this.leavesInMs(passage) >= passage.claim.sendUntilMs)
        return giveUp("The key's claim is too old to send under.");
      if (nowMs + (attempts > 0 ? leastLeftMs : 0) >= passage.untilMs)
        return giveUp(`No back end of ${service} took this in time.`);
      const contract = this.shares.pick(
        this.view.backEnds(service),
        {
          tried,
          inHandLimit: mapping.inHandLimit,
          maxConnections: this.view.mappings.service(service)?.maxConnections,
          route: mapping.name,
        },
        nowMs,
      );
      if (!contract) return giveUp(`No back end of ${service} can take this now.`);
      const isFurther = sends > 0;
      if (isFurther) {
        further += 1;
        const mayRepeat = mayRetry(worst?.verdict ?? "neverRan", mapping);
        if (
          !mayRepeat ||
          passage.isSpent ||
          further > mapping.furtherTries ||
          passage.caller.isGone
        )
          return giveUp("No further try is allowed.");
        const left = this.counts.leave(service);
        if (left === undefined || left.taken + 2 > left.part) this.counts.hurry();
        const leave = this.budget.take(service, left, nowMs);
        if (leave !== "granted") {
          this.tally.furtherRefused[leave] += 1;
          return giveUp("The budget of further tries is spent.");
        }
      }
      tried.add(contract.address);
      const { ending, isSent } = yield* this.attempt(passage, mapping, contract, isFurther);
      const isFailure = typeof ending.ret !== "string" && ending.ret.code >= 500;
      if (
        ending.why === "" &&
        !(isFailure && mapping.repeatable && this.shares.isFailing(contract))
      )
        return ending;
      if (isSent) sends += 1;
      if (ending.verdict !== "neverRan") worst = ending;
      if (!isSent && isFurther) {
        further -= 1;
        this.budget.giveBack(service, nowMs);
      }
    }
    return giveUp("Too many back ends took no connection.");
  }

  /** Asked once the connection stands: whether all that allowed the try still does. What is sent is counted. */
  private mayStill(
    passage: Passage,
    service: string,
    contract: Registration,
    isFurther: boolean,
  ): boolean {
    const claimEnds = passage.claim?.sendUntilMs ?? Infinity;
    const mapping = this.find(passage);
    const may =
      !passage.caller.isGone &&
      mapping !== undefined &&
      mapping.takes(service) &&
      this.mayServe(passage, mapping) &&
      this.view.holds(contract) &&
      this.world.clock.nowMs() + this.leavesInMs(passage) < claimEnds;
    if (!may) return false;
    if (isFurther) this.tally.furtherTries += 1;
    else this.tally.firstTries += 1;
    if (passage.job.rest) passage.isSpent = true;
    this.counts.countTry(service, isFurther);
    return true;
  }

  /** What a back end is sent beside what the caller sent. */
  private headersFor(
    { job }: Passage,
    service: string,
    contract: Registration,
    id: string,
    untilMs: number,
  ): Record<string, string> {
    const { requestId, deadline, expected, proof } = this.dialect;
    const headers = passedOn(job.headers);
    const stated = job.headers["content-length"];
    if (job.rest && stated !== undefined) headers["content-length"] = stated;
    if (proof === "connection") {
      delete headers["host"];
      headers[SERVICE_HEADER] = service;
    }
    headers[requestId] = id;
    if (deadline !== undefined)
      headers[deadline] = String(Math.max(1, Math.floor(untilMs - this.world.clock.nowMs())));
    if (expected !== undefined && contract.instance !== "") headers[expected] = contract.instance;
    return headers;
  }

  private *attempt(
    passage: Passage,
    mapping: ActiveRoute,
    contract: Registration,
    isFurther: boolean,
  ): Task<Attempt> {
    const { clock } = this.world;
    const { service } = passage;
    const startedMs = clock.nowMs();
    this.tries += 1;
    const id = passage.id ?? `${service}/${this.incarnation}-${this.tries}`;
    const untilMs =
      this.dialect.deadline === undefined ? startedMs + mapping.giveUpMs : passage.untilMs;
    const { caller } = passage;
    const { method, target, body, rest } = passage.job;
    this.shares.began(contract, startedMs, mapping.name);
    const opened = yield* this.backEnds.send({
      address: contract.address,
      service,
      pool: connectionPoolKey(contract),
      job: {
        method,
        path: target,
        headers: this.headersFor(passage, service, contract, id, untilMs),
        body,
        rest,
      },
      untilMs,
      dueMs: passage.caller.dueMs,
      isOnce: !mapping.repeatable,
      ...(mapping.repeatable && caller.onGone
        ? { onUnwanted: (run) => caller.onGone?.(run) ?? noCancel }
        : {}),
      mayStill: () => this.mayStill(passage, service, contract, isFurther),
    });
    if (opened === "refused" || opened === "foreign") this.view.noteRefused(contract);
    if (opened === "withdrawn") {
      this.shares.withdrew(contract, clock.nowMs());
      return { ending: outcomeOfFailure("withdrawn", after.soon), isSent: false };
    }
    const isSent = typeof opened !== "string" || outcomeRuleOf(opened).isSent;
    const ending = yield* this.receive(passage, mapping, contract, opened, id);
    const nowMs = clock.nowMs();
    // What a caller broke off by leaving tells nothing of the backend.
    if (ending.why !== "" && caller.isGone && mapping.repeatable) {
      this.shares.withdrew(contract, nowMs);
      return { ending, isSent };
    }
    const whole =
      typeof ending.ret === "string"
        ? ending.ret === "streamed"
        : ending.why === "" && ending.ret.code < 500;
    const bytes = typeof ending.ret === "string" ? undefined : ending.ret.body.length;
    if (whole && bytes !== undefined) this.bulk.learn(mapping.name, bytes);
    this.shares.ended(
      contract,
      {
        tookMs: nowMs - startedMs,
        isWhole: whole,
        goalMs: mapping.goalMs,
        route: mapping.name,
        bytes: whole ? bytes : undefined,
      },
      nowMs,
    );
    return { ending, isSent };
  }

  private *receive(
    passage: Passage,
    mapping: ActiveRoute,
    contract: Registration,
    opened: OpenResult,
    id: string,
  ): Task<RequestOutcome> {
    if (typeof opened === "string") return outcomeOfFailure(opened, after.soon);
    const { code, headers } = opened;
    const { dialect } = this;
    const { echo, proof } = dialect;
    const echoHeader = proof === "connection" ? mapping.stampHeader : echo;
    const fault = responseHeadFault(opened, { dialect, id, echoHeader });
    if (headers[echoHeader] === undefined) opened.noteUnnamed?.();
    if (fault !== undefined) return yield* this.refuse(contract, opened, fault);
    const end = responseBodyEnd(passage.job.method, opened);
    if (end === "unknown") return yield* this.refuse(contract, opened, "noLength");
    const bodiless = end === "bodiless";
    const stated = headers["content-length"];
    const ret = passedOn(headers);
    if (proof === "connection") delete ret[mapping.stampHeader];
    const lengthBytes = bodiless ? 0 : end === "chunked" ? undefined : end.lengthBytes;
    if (lengthBytes !== undefined && lengthBytes > wholeBytes)
      return yield* this.stream(passage, opened, ret, [], lengthBytes);
    const pieces: Uint8Array[] = [];
    let heldBytes = 0;
    for (;;) {
      const piece = yield* opened.next();
      if (typeof piece === "string" && bodiless) break;
      if (
        piece === "cut" ||
        (piece === "end" && lengthBytes !== undefined && heldBytes !== lengthBytes)
      )
        return outcomeOfFailure("bodyCut", after.soon);
      if (piece === "end") break;
      heldBytes += piece.length;
      if (lengthBytes !== undefined && heldBytes > lengthBytes)
        return this.discard(opened, "bodyTooLong");
      pieces.push(piece);
      if (heldBytes > wholeBytes)
        return yield* this.stream(passage, opened, ret, pieces, lengthBytes);
    }
    if (bodiless && stated !== undefined && code !== 204) ret["content-length"] = stated;
    return RequestOutcome.returned({
      code,
      headers: ret,
      body: pieces.length === 1 && pieces[0] ? pieces[0] : Buffer.concat(pieces),
    });
  }

  /** A response that is not passed on. Its connection can be used again once the rest has come, where the outcome lets it. */
  private *refuse(
    contract: Registration,
    opened: BackendResponse,
    cause: FailureCause,
  ): Task<RequestOutcome> {
    if (cause === "otherInstance") this.view.noteRefused(contract);
    if (outcomeRuleOf(cause).connection !== "keep") return this.discard(opened, cause);
    for (let piece = yield* opened.next(); typeof piece !== "string";) piece = yield* opened.next();
    return outcomeOfFailure(cause, after.soon);
  }

  private *stream(
    passage: Passage,
    opened: BackendResponse,
    headers: Record<string, string>,
    held: readonly Uint8Array[],
    lengthBytes: number | undefined,
  ): Task<RequestOutcome> {
    const { caller } = passage;
    if (passage.isAbandoned) return this.discard(opened, "answered");
    passage.isStreaming = true;
    passage.bulkOver();
    caller.begin(
      opened.code,
      lengthBytes === undefined ? headers : { ...headers, "content-length": String(lengthBytes) },
    );
    let sentBytes = 0;
    const early = [...held];
    for (;;) {
      const piece = early.shift() ?? (yield* opened.next());
      if (piece === "end" && (lengthBytes === undefined || sentBytes === lengthBytes)) {
        caller.end();
        this.bulk.learn(passage.mapping?.name ?? "", sentBytes);
        return { verdict: outcomeRuleOf("streamed").verdict, ret: "streamed", why: "" };
      }
      if (
        piece !== "cut" &&
        piece !== "end" &&
        (lengthBytes === undefined || sentBytes + piece.length <= lengthBytes) &&
        (yield* caller.piece(piece))
      ) {
        sentBytes += piece.length;
        continue;
      }
      opened.cancel();
      caller.cut();
      this.log.warn("A return was cut short, and the caller's connection with it.", {
        route: passage.mapping?.name,
      });
      return { verdict: outcomeRuleOf("streamCut").verdict, ret: "cut", why: "" };
    }
  }

  private discard(opened: BackendResponse, cause: FailureCause): RequestOutcome {
    opened.cancel();
    return outcomeOfFailure(cause, after.soon);
  }
}
