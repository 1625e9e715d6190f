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
  readonly clientRequest: ProxyRequest;
  readonly client: ClientConnection;
  readonly arrivedMs: number;
  /** Its name toward back ends, where its caller gave it one. */
  readonly id: string | undefined;
  /** Decides among the services of a route that is split. */
  readonly draw: number;
  route: ActiveRoute | undefined;
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
  readonly outcome: RequestOutcome;
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
  readonly clusterView: ClusterView;
  readonly backendClient: BackendClient;
  readonly forwarder: CommandForwarder;
  readonly budget: RetryBudget;
  readonly counts: EdgeCounts;
  readonly loadBalancer: LoadBalancer;
  readonly incarnation: string;
  readonly headerNames: HeaderNames;
  /** Whether requests that may be repeated are still served by a view whose lease is over. */
  readonly lapsedLease: ExpiredLeasePolicy;
  /** Where it is kept what became of keyed requests. */
  readonly outcomes: OutcomeReplicator;
  /** The link by which requests leave. */
  readonly egress: LinkPacer;
}

/** Takes callers' requests through a chain of filters, each of which may answer. */
export class HttpProxy {
  private readonly runtime: Runtime;
  private readonly clusterView: ClusterView;
  private readonly backendClient: BackendClient;
  private readonly budget: RetryBudget;
  private readonly counts: EdgeCounts;
  private readonly loadBalancer: LoadBalancer;
  private readonly keys: IdempotencyClaims;
  private readonly incarnation: string;
  private readonly headerNames: HeaderNames;
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

  constructor(runtime: Runtime, parts: HttpProxyOptions) {
    const {
      clusterView,
      backendClient,
      forwarder,
      budget,
      counts,
      loadBalancer,
      incarnation,
      headerNames,
    } = parts;
    this.runtime = runtime;
    this.clusterView = clusterView;
    this.backendClient = backendClient;
    this.budget = budget;
    this.counts = counts;
    this.loadBalancer = loadBalancer;
    this.incarnation = incarnation;
    this.headerNames = headerNames;
    this.lapsedLease = parts.lapsedLease;
    this.egress = parts.egress;
    this.bulk = new BulkAdmission(parts.egress, wholeBytes);
    this.keys = new IdempotencyClaims(
      runtime,
      forwarder,
      parts.outcomes,
      incarnation,
      headerNames.tellsParts ? after.led : undefined,
    );
    this.log = runtime.loggers.component("door");
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
  *handle(clientRequest: ProxyRequest, client: ClientConnection): Task {
    const { callerId } = this.headerNames;
    const passage: Passage = {
      clientRequest,
      client,
      arrivedMs: this.runtime.clock.nowMs(),
      id: callerId === undefined ? undefined : clientRequest.headers[callerId],
      draw: this.runtime.random(),
      route: undefined,
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
      const outcome = yield* this.pass(passage, [
        this.limits,
        this.mapped,
        this.ordered,
        this.keyed,
      ]);
      if (passage.isAbandoned) return;
      this.tally.byVerdict[outcome.execution] += 1;
      if (outcome.response === "cut") this.tally.cut += 1;
      if (typeof outcome.response === "string") return;
      this.tally.byCode[outcome.response.code] =
        (this.tally.byCode[outcome.response.code] ?? 0) + 1;
      client.respond(this.spoken(outcome, outcome.response));
    } catch (error) {
      this.log.error("A request met what nobody foresaw.", error);
      client.respond(
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
      if (passage.isStreaming) passage.client.abort();
      else
        passage.client.respond(
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
  private spoken({ afterMs }: RequestOutcome, response: ClientResponse): ClientResponse {
    if (afterMs === undefined || !this.headerNames.tellsParts) return response;
    const spreadMs = afterMs * (0.75 + 0.5 * this.runtime.random());
    return {
      ...response,
      headers: { ...response.headers, "retry-after": (spreadMs / 1000).toFixed(3) },
    };
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
    if (this.clusterView.configSequence === 0)
      return RequestOutcome.drop("No config is in force yet.", after.settled);
    if (!this.hasView)
      return RequestOutcome.drop("This daemon's view is not proven fresh.", after.settled);
    if (this.headerNames.callerId !== undefined && passage.id === undefined)
      return RequestOutcome.refusal(400, "The request names no try.");
    return yield* rest();
  }

  /** Whether there is a view by which requests may be looked at, if only those that may be repeated. */
  private get hasView(): boolean {
    return (
      this.clusterView.configSequence > 0 &&
      (this.clusterView.holdsLease || this.lapsedLease.allows(this.clusterView.expiredForMs))
    );
  }

  /** A daemon that has just started holds requests for its first lease, for a bounded part of the time that their callers gave. */
  private *awaitView({ clientRequest }: Passage): Task {
    const { deadline } = this.headerNames;
    const toldMs = deadline === undefined ? Number.NaN : Number(clientRequest.headers[deadline]);
    if (!(toldMs > 0) || this.awaiting.length >= inHandLimit) return;
    yield* Clock.withTimeout<true>(
      this.runtime.clock,
      Math.min(toldMs * awaitPart, mostAwaitMs),
      (done) => this.awaiting.push(() => done(true)),
    );
  }

  private *mapped(passage: Passage, rest: () => Task<RequestOutcome>): Task<RequestOutcome> {
    const route = this.find(passage);
    if (!route)
      return this.clusterView.holdsLease
        ? RequestOutcome.refusal(404, "No route takes this request.")
        : RequestOutcome.drop("This daemon's view is not proven fresh.", after.settled);
    passage.route = route;
    passage.service = route.choose(passage.draw);
    passage.untilMs = passage.arrivedMs + this.givenMs(passage, route);
    passage.client.dueMs = passage.arrivedMs + route.goalMs;
    if (!this.canBear(passage, route))
      return RequestOutcome.drop(
        "This daemon's link is full for as long as there is time.",
        after.elsewhere,
      );
    this.budget.countFirst(passage.service, passage.arrivedMs);
    const number = this.clusterView.idOf("route", route.name);
    if (number !== undefined) this.counts.countRoute(number);
    passage.bulkOver = this.bulk.expect(route.name);
    return yield* rest();
  }

  /** Holds what may run once until it is sure that its caller won't count it as not read and send it again. */
  private *ordered(
    { route, client }: Passage,
    rest: () => Task<RequestOutcome>,
  ): Task<RequestOutcome> {
    const isRepeatable = route?.repeatable === true;
    if (!isRepeatable && client.awaitTurn && !(yield* client.awaitTurn()))
      return RequestOutcome.drop(
        "The answer before this one closed the connection.",
        after.elsewhere,
      );
    return yield* rest();
  }

  private *keyed(passage: Passage, rest: () => Task<RequestOutcome>): Task<RequestOutcome> {
    const { clientRequest, route } = passage;
    const { key: header } = this.headerNames;
    const key = clientRequest.headers[header];
    const isKeyed = route?.keyed === true;
    if (!isKeyed && (route?.repeatable === true || safeMethods.has(clientRequest.method)))
      return yield* rest();
    if (key === undefined)
      return isKeyed
        ? RequestOutcome.refusal(400, `This route wants the header ${header}.`)
        : yield* rest();
    if (key.length === 0 || key.length > 200)
      return RequestOutcome.refusal(400, "A key has 1 to 200 characters.");
    if (!this.clusterView.holdsLease)
      return RequestOutcome.drop("This daemon's view is not proven fresh.", after.settled);
    const claim = yield* this.keys.claim(
      clientRequest,
      key,
      passage.untilMs,
      route && this.claimMs(passage, route),
    );
    if ("execution" in claim) return claim;
    passage.claim = claim;
    const outcome = yield* rest();
    this.keys.conclude(claim, outcome);
    return outcome;
  }

  private find({ clientRequest }: Passage): ActiveRoute | undefined {
    return this.clusterView.routeTable.find(
      clientRequest.method,
      ProxyRequest.path(clientRequest),
      clientRequest.headers["host"] ?? "",
    );
  }

  /** How long a request may be in hand: what its caller says is left, and what its route allows. */
  private givenMs({ clientRequest }: Passage, route: ActiveRoute): number {
    const { deadline } = this.headerNames;
    if (deadline === undefined) return route.giveUpMs * 2;
    const told = Number(clientRequest.headers[deadline]);
    return Number.isFinite(told) && told > 0 ? Math.min(told, route.giveUpMs) : route.giveUpMs;
  }

  /** How long a claim may take. A first try is refused early, so that its caller still has time to come back; one that came back waits. */
  private claimMs(
    { arrivedMs, untilMs }: Passage,
    { giveUpMs, goalMs }: ActiveRoute,
  ): number | undefined {
    if (this.headerNames.deadline === undefined) return undefined;
    const givenMs = untilMs - arrivedMs;
    return givenMs < giveUpMs * firstTryPart
      ? givenMs
      : Math.max(leastClaimMs, goalMs * claimGoalPart);
  }

  /** How long it takes until a request that is sent now has left the link. */
  private leavesInMs({ clientRequest }: Passage): number {
    return this.egress.queueMs + this.egress.transferMs(clientRequest.body.length);
  }

  /** Whether this daemon's view lets a request be sent on: it must hold until the request can have left the link. */
  private mayServe(passage: Passage, route: ActiveRoute): boolean {
    const leftMs = this.clusterView.leaseLeftMs - this.leavesInMs(passage);
    return leftMs > 0 || (route.repeatable && this.lapsedLease.allows(-leftMs));
  }

  /** Whether a response of the route's usual size can still leave in time. A first try is refused while its caller can have another. */
  private canBear(
    { arrivedMs, untilMs }: Passage,
    { name, goalMs, giveUpMs }: ActiveRoute,
  ): boolean {
    const isFirst = untilMs - arrivedMs >= giveUpMs * firstTryPart;
    const dueMs = isFirst ? Math.min(untilMs, arrivedMs + goalMs) : untilMs;
    return this.bulk.admits(name, dueMs - this.runtime.clock.nowMs());
  }

  private *forward(passage: Passage): Task<RequestOutcome> {
    const tried = new Set<string>();
    let worst: RequestOutcome | undefined;
    let further = 0;
    let sends = 0;
    const giveUp = (why: string, afterMs = after.soon): RequestOutcome =>
      worst ?? RequestOutcome.drop(why, afterMs);
    for (let attempts = 0; attempts < attemptLimit; attempts += 1) {
      const nowMs = this.runtime.clock.nowMs();
      const route = this.find(passage);
      if (!route) return worst ?? RequestOutcome.refusal(404, "No route takes this request.");
      if (!this.mayServe(passage, route))
        return giveUp("This daemon's view is not proven fresh.", after.settled);
      if (!route.takes(passage.service)) passage.service = route.choose(passage.draw);
      const { service } = passage;
      if (passage.claim && nowMs + this.leavesInMs(passage) >= passage.claim.sendUntilMs)
        return giveUp("The key's claim is too old to send under.");
      if (nowMs + (attempts > 0 ? leastLeftMs : 0) >= passage.untilMs)
        return giveUp(`No back end of ${service} took this in time.`);
      const registration = this.loadBalancer.pick(
        this.clusterView.backendsOf(service),
        {
          tried,
          inHandLimit: route.inHandLimit,
          maxConnections: this.clusterView.routeTable.service(service)?.maxConnections,
          route: route.name,
        },
        nowMs,
      );
      if (!registration) return giveUp(`No back end of ${service} can take this now.`);
      const isFurther = sends > 0;
      if (isFurther) {
        further += 1;
        const mayRepeat = mayRetry(worst?.execution ?? "neverRan", route);
        if (
          !mayRepeat ||
          passage.isSpent ||
          further > route.furtherTries ||
          passage.client.isClosed
        )
          return giveUp("No further try is allowed.");
        const left = this.counts.remainingQuota(service);
        if (left === undefined || left.taken + 2 > left.part) this.counts.expedite();
        const leave = this.budget.take(service, left, nowMs);
        if (leave !== "granted") {
          this.tally.furtherRefused[leave] += 1;
          return giveUp("The budget of further tries is spent.");
        }
      }
      tried.add(registration.address);
      const { outcome, isSent } = yield* this.attempt(passage, route, registration, isFurther);
      const isFailure = typeof outcome.response !== "string" && outcome.response.code >= 500;
      if (
        outcome.why === "" &&
        !(isFailure && route.repeatable && this.loadBalancer.isFailing(registration))
      )
        return outcome;
      if (isSent) sends += 1;
      if (outcome.execution !== "neverRan") worst = outcome;
      if (!isSent && isFurther) {
        further -= 1;
        this.budget.refund(service, nowMs);
      }
    }
    return giveUp("Too many back ends took no connection.");
  }

  /** Asked once the connection stands: whether all that allowed the try still does. What is sent is counted. */
  private mayStill(
    passage: Passage,
    service: string,
    registration: Registration,
    isFurther: boolean,
  ): boolean {
    const claimEnds = passage.claim?.sendUntilMs ?? Infinity;
    const route = this.find(passage);
    const may =
      !passage.client.isClosed &&
      route !== undefined &&
      route.takes(service) &&
      this.mayServe(passage, route) &&
      this.clusterView.isRegistered(registration) &&
      this.runtime.clock.nowMs() + this.leavesInMs(passage) < claimEnds;
    if (!may) return false;
    if (isFurther) this.tally.furtherTries += 1;
    else this.tally.firstTries += 1;
    if (passage.clientRequest.rest) passage.isSpent = true;
    this.counts.countAttempt(service, isFurther);
    return true;
  }

  /** What a back end is sent beside what the caller sent. */
  private headersFor(
    { clientRequest }: Passage,
    service: string,
    registration: Registration,
    id: string,
    untilMs: number,
  ): Record<string, string> {
    const { requestId, deadline, expected, proof } = this.headerNames;
    const headers = passedOn(clientRequest.headers);
    const stated = clientRequest.headers["content-length"];
    if (clientRequest.rest && stated !== undefined) headers["content-length"] = stated;
    if (proof === "connection") {
      delete headers["host"];
      headers[SERVICE_HEADER] = service;
    }
    headers[requestId] = id;
    if (deadline !== undefined)
      headers[deadline] = String(Math.max(1, Math.floor(untilMs - this.runtime.clock.nowMs())));
    if (expected !== undefined && registration.instance !== "")
      headers[expected] = registration.instance;
    return headers;
  }

  private *attempt(
    passage: Passage,
    route: ActiveRoute,
    registration: Registration,
    isFurther: boolean,
  ): Task<Attempt> {
    const { clock } = this.runtime;
    const { service } = passage;
    const startedMs = clock.nowMs();
    this.tries += 1;
    const id = passage.id ?? `${service}/${this.incarnation}-${this.tries}`;
    const untilMs =
      this.headerNames.deadline === undefined ? startedMs + route.giveUpMs : passage.untilMs;
    const { client } = passage;
    const { method, target, body, rest } = passage.clientRequest;
    this.loadBalancer.began(registration, startedMs, route.name);
    const opened = yield* this.backendClient.send({
      address: registration.address,
      service,
      pool: connectionPoolKey(registration),
      request: {
        method,
        path: target,
        headers: this.headersFor(passage, service, registration, id, untilMs),
        body,
        rest,
      },
      untilMs,
      dueMs: passage.client.dueMs,
      isOnce: !route.repeatable,
      ...(route.repeatable && client.onClosed
        ? { onUnwanted: (run) => client.onClosed?.(run) ?? noCancel }
        : {}),
      maySend: () => this.mayStill(passage, service, registration, isFurther),
    });
    if (opened === "refused" || opened === "foreign") this.clusterView.noteRefused(registration);
    if (opened === "withdrawn") {
      this.loadBalancer.withdrew(registration, clock.nowMs());
      return { outcome: outcomeOfFailure("withdrawn", after.soon), isSent: false };
    }
    const isSent = typeof opened !== "string" || outcomeRuleOf(opened).isSent;
    const outcome = yield* this.receive(passage, route, registration, opened, id);
    const nowMs = clock.nowMs();
    // What a caller broke off by leaving tells nothing of the backend.
    if (outcome.why !== "" && client.isClosed && route.repeatable) {
      this.loadBalancer.withdrew(registration, nowMs);
      return { outcome, isSent };
    }
    const whole =
      typeof outcome.response === "string"
        ? outcome.response === "streamed"
        : outcome.why === "" && outcome.response.code < 500;
    const bytes = typeof outcome.response === "string" ? undefined : outcome.response.body.length;
    if (whole && bytes !== undefined) this.bulk.learn(route.name, bytes);
    this.loadBalancer.ended(
      registration,
      {
        tookMs: nowMs - startedMs,
        isWhole: whole,
        goalMs: route.goalMs,
        route: route.name,
        bytes: whole ? bytes : undefined,
      },
      nowMs,
    );
    return { outcome, isSent };
  }

  private *receive(
    passage: Passage,
    route: ActiveRoute,
    registration: Registration,
    opened: OpenResult,
    id: string,
  ): Task<RequestOutcome> {
    if (typeof opened === "string") return outcomeOfFailure(opened, after.soon);
    const { code, headers } = opened;
    const { headerNames } = this;
    const { echo, proof } = headerNames;
    const echoHeader = proof === "connection" ? route.stampHeader : echo;
    const fault = responseHeadFault(opened, { headerNames, id, echoHeader });
    if (headers[echoHeader] === undefined) opened.noteUnnamed?.();
    if (fault !== undefined) return yield* this.refuse(registration, opened, fault);
    const end = responseBodyEnd(passage.clientRequest.method, opened);
    if (end === "unknown") return yield* this.refuse(registration, opened, "noLength");
    const bodiless = end === "bodiless";
    const stated = headers["content-length"];
    const ret = passedOn(headers);
    if (proof === "connection") delete ret[route.stampHeader];
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
    registration: Registration,
    opened: BackendResponse,
    cause: FailureCause,
  ): Task<RequestOutcome> {
    if (cause === "otherInstance") this.clusterView.noteRefused(registration);
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
    const { client } = passage;
    if (passage.isAbandoned) return this.discard(opened, "answered");
    passage.isStreaming = true;
    passage.bulkOver();
    client.writeHead(
      opened.code,
      lengthBytes === undefined ? headers : { ...headers, "content-length": String(lengthBytes) },
    );
    let sentBytes = 0;
    const early = [...held];
    for (;;) {
      const piece = early.shift() ?? (yield* opened.next());
      if (piece === "end" && (lengthBytes === undefined || sentBytes === lengthBytes)) {
        client.end();
        this.bulk.learn(passage.route?.name ?? "", sentBytes);
        return { execution: outcomeRuleOf("streamed").execution, response: "streamed", why: "" };
      }
      if (
        piece !== "cut" &&
        piece !== "end" &&
        (lengthBytes === undefined || sentBytes + piece.length <= lengthBytes) &&
        (yield* client.writeChunk(piece))
      ) {
        sentBytes += piece.length;
        continue;
      }
      opened.cancel();
      client.abort();
      this.log.warn("A return was cut short, and the caller's connection with it.", {
        route: passage.route?.name,
      });
      return { execution: outcomeRuleOf("streamCut").execution, response: "cut", why: "" };
    }
  }

  private discard(opened: BackendResponse, cause: FailureCause): RequestOutcome {
    opened.cancel();
    return outcomeOfFailure(cause, after.soon);
  }
}
