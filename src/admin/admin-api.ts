import {
  boolean,
  create,
  define,
  integer,
  is,
  literal,
  max,
  min,
  nullable,
  number,
  object,
  optional,
  partial,
  string,
  type,
  union,
  unknown,
  validate,
} from "superstruct";
import {
  Config,
  validationFaults,
  itemsShape,
  namesShape,
  nameShape,
  type ValidationFault,
} from "../configuration/config.js";
import type { ForwardAttempt, CommandForwarder } from "../cluster-view/command-forwarder.js";
import type { ConfigCommand, Command } from "../control-protocol/command.js";
import { CompressedText } from "../control-protocol/compressed-text.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { ProxyRequest as Jobs } from "../proxy/proxy-request.js";
import { ClientResponse } from "../proxy/request-outcome.js";
import type { LinkPacer } from "../runtime/link-pacer.js";
import type { Task } from "../runtime/task.js";
import type { Logger } from "../runtime/logger.js";
import { Runtime } from "../runtime/runtime.js";
import type { RetryRules } from "../retry-budget/retry-rules.js";
import type { RequestCounts } from "../retry-budget/request-counts.js";
import type { LoadBalancer } from "../load-balancing/load-balancer.js";
import { defaultRetryRules } from "../retry-budget/retry-budget.js";
import { Query } from "./query-parser.js";

/**
 * Within how long a call is answered: whoever calls turns to another daemon after a second of silence, so an answer
 * that would come later is given as "not known" in time; the same call sent again, to any daemon, tells more.
 */
const answerMs = 800;
/** Answers that would take longer to leave the link are given by a daemon with a faster one. */
const slowAnswerMs = 200;
/** How many bytes of an order a slow link takes in a millisecond; callers wait longer for large bodies. */
const slowBytesMs = 100;
/** When to come back, in seconds: an election is over by then. */
const retryAfter = { "retry-after": "1" };
const heavyPhi = 0.1;
/** From which time on an acknowledged leave is logged as late. */
const slowLeaveMs = 400;

const address = define<string>(
  "address",
  (value) =>
    (typeof value === "string" && /^[0-9a-fA-F.:[\]]+:\d{1,5}$/.test(value)) ||
    "Expected an address of the form IP:port",
);
const serviceName = nameShape;
const instanceName = define<string>(
  "instance",
  (value) =>
    (typeof value === "string" && /^[\x21-\x7e]{1,100}$/.test(value)) ||
    "Expected an instance of 1 to 100 visible characters",
);
const announcement = object({
  service: serviceName,
  address,
  zone: serviceName,
  warmth: optional(max(min(number(), 0), 1)),
  instance: optional(instanceName),
  capacity: optional(max(min(integer(), 0), 1_000_000)),
  order: optional(max(min(integer(), 0), Number.MAX_SAFE_INTEGER)),
  draining: optional(boolean()),
  warmMs: optional(max(min(number(), 0), 3_600_000)),
});
const amendment = object({ put: optional(itemsShape), remove: optional(partial(namesShape)) });
const leaving = object({ service: serviceName, address });
const leavingInstance = object({ instance: instanceName });

const outcomeShape = union([
  object({ accepted: number() }),
  object({ lost: number() }),
  /** It may have been taken, so long ago that nobody keeps which change it was. */
  object({ forgottenUpTo: number() }),
  object({ faults: define<ValidationFault[]>("faults", Array.isArray) }),
]);
const foundShape = type({
  found: nullable(
    type({
      sequence: number(),
      version: number(),
      changeId: string(),
      acceptedAt: string(),
      text: optional(string()),
      packedText: optional(string()),
    }),
  ),
  noLongerKept: optional(boolean()),
});
const historyShape = type({
  journal: define<Array<{ index: number; text: string }>>("journal", Array.isArray),
});
const behindShape = type({ state: literal("behind") });
const readyShape = object({ ready: literal(true) });

/** What the operators' port needs of its daemon. */
export interface DaemonStatusSource {
  status(): Record<string, unknown>;
  /** Why the daemon is not ready, or an empty word. */
  notReady(): string;
  counts():
    | { counts: RequestCounts; ageMs: number; coverage: { edges: number; oldestMs: number } }
    | undefined;
}

const unknownFate = (changeId: string): ClientResponse =>
  ClientResponse.json(
    504,
    {
      error:
        "Nobody could say whether this took effect. Repeat it with the same Change-Id, or read back.",
      changeId,
      verdict: "mayHaveRun",
    },
    retryAfter,
  );

/** What the leader said, as it said it. */
const asSent = (text: string): ClientResponse => ({
  code: 200,
  headers: { "content-type": "application/json" },
  body: Buffer.from(`${text}\n`),
});

/** Nobody who may answer for the whole system was reached, so nothing is known: never a refusal. */
const noLeader = (): ClientResponse =>
  ClientResponse.json(503, { error: "No leader could be asked." }, retryAfter);

const fault = (code: number, error: string, more: Record<string, unknown> = {}): ClientResponse =>
  ClientResponse.json(code, { error, ...more });

const parse = (body: Uint8Array): { value: unknown } | undefined => {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString("utf8"));
    return { value };
  } catch {
    return undefined;
  }
};

/** Answers operators, back ends and the platform over HTTP. */
export class AdminApi {
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly clusterView: ClusterView;
  private readonly loadBalancer: LoadBalancer;
  private readonly egress: LinkPacer;
  /** Where this daemon serves operators. */
  private readonly ownAddress: string;
  private readonly desk: DaemonStatusSource;
  private readonly orderMs: number;
  private readonly rules: RetryRules;
  private readonly log: Logger;

  constructor(
    runtime: Runtime,
    forwarder: CommandForwarder,
    clusterView: ClusterView,
    loadBalancer: LoadBalancer,
    egress: LinkPacer,
    ownAddress: string,
    desk: DaemonStatusSource,
    bounds: { readonly orderMs: number; readonly budget: RetryRules } = {
      orderMs: 4000,
      budget: defaultRetryRules,
    },
  ) {
    this.runtime = runtime;
    this.forwarder = forwarder;
    this.clusterView = clusterView;
    this.loadBalancer = loadBalancer;
    this.egress = egress;
    this.ownAddress = ownAddress;
    this.desk = desk;
    this.orderMs = bounds.orderMs;
    this.rules = bounds.budget;
    this.log = runtime.loggers.component("operator");
  }

  *handle(clientRequest: ProxyRequest): Task<ClientResponse> {
    const path = Jobs.path(clientRequest);
    const at = `${clientRequest.method} ${path}`;
    const version = /^\/config\/(\d{1,15})$/.exec(path)?.[1];
    if (clientRequest.method === "GET" && version !== undefined)
      return yield* this.readConfig(Number(version));
    switch (at) {
      case "GET /ready": {
        const why = this.desk.notReady();
        return why === ""
          ? ClientResponse.json(200, create({ ready: true }, readyShape))
          : ClientResponse.json(503, { ready: false, why });
      }
      case "GET /status":
        return ClientResponse.json(200, this.desk.status());
      case "GET /config":
        return yield* this.readConfig(undefined);
      case "GET /config/history":
        return yield* this.read({ kind: "history" });
      case "PUT /config":
      case "PATCH /config":
      case "POST /config/items":
        return yield* this.change(clientRequest);
      case "POST /backends/announce":
        return yield* this.announced(clientRequest);
      case "POST /backends/leave":
        return yield* this.left(clientRequest);
      case "POST /ask":
        return yield* this.ask(Buffer.from(clientRequest.body).toString("utf8"));
      default:
        return fault(404, "Nothing is served at this path.", {
          served: [
            "GET /ready",
            "GET /status",
            "GET|PUT|PATCH /config",
            "GET /config/VERSION",
            "POST /config/items",
            "GET /config/history",
            "POST /backends/announce",
            "POST /backends/leave",
            "POST /ask",
          ],
        });
    }
  }

  private *read(command: Command): Task<ClientResponse> {
    const text = yield* this.forwarder.command(command, answerMs);
    return text === undefined ? noLeader() : asSent(text);
  }

  private *readConfig(version: number | undefined): Task<ClientResponse> {
    const text = yield* this.forwarder.command(
      { kind: "get", ...(version === undefined ? {} : { version }) },
      answerMs,
    );
    if (text === undefined) return noLeader();
    const { found, noLongerKept } = create(JSON.parse(text), foundShape);
    // A first config is still to come: whoever waits for it asks again, so this is no refusal for good.
    if (!found && version === undefined)
      return ClientResponse.json(503, { error: "No config was accepted yet." }, retryAfter);
    if (!found && noLongerKept === true)
      return fault(
        410,
        `Config ${version} is no longer kept: the oldest go first when the disk's share for them is full.`,
      );
    if (!found) return fault(404, `No config ${version} is kept.`);
    const configText = CompressedText.read(found);
    const elsewhere = this.elsewhereFor(configText);
    if (elsewhere !== undefined)
      return ClientResponse.json(
        307,
        { error: "This daemon's link is too slow for it; a member of the log has it." },
        { location: `http://${elsewhere}/config${version === undefined ? "" : `/${version}`}` },
      );
    const config: unknown = JSON.parse(configText);
    return ClientResponse.json(
      200,
      {
        sequence: found.version,
        version: found.version,
        changeId: found.changeId,
        acceptedAt: found.acceptedAt,
        config,
      },
      { etag: `"${found.version}"` },
    );
  }

  /** Where a text is better read that this daemon's own link would take too long for: the machines of members are the stronger ones. */
  private elsewhereFor(text: string): string | undefined {
    if (this.egress.waitMs(text.length) <= slowAnswerMs) return undefined;
    const others = this.clusterView.memberOperators.filter(
      (address) => address !== this.ownAddress,
    );
    return others[Math.floor(this.runtime.random() * others.length)];
  }

  private *change(clientRequest: ProxyRequest): Task<ClientResponse> {
    const parsed = parse(clientRequest.body);
    if (!parsed)
      return fault(400, "The body is not JSON.", {
        faults: [{ path: "(whole)", expected: "JSON" }],
      });
    const match = clientRequest.headers["if-match"];
    const base = match === undefined ? undefined : /^(?:W\/)?"?(\d{1,15})"?$/.exec(match)?.[1];
    if (match !== undefined && base === undefined)
      return fault(400, "If-Match names no version.", {
        faults: [{ path: "If-Match", expected: 'the version of a config, such as "12"' }],
      });
    const chosen = clientRequest.headers["config-version"];
    const version = chosen === undefined ? undefined : /^\d{1,15}$/.exec(chosen)?.[0];
    if (chosen !== undefined && version === undefined)
      return fault(400, "Config-Version names no version.", {
        faults: [{ path: "Config-Version", expected: "a number, such as 12" }],
      });
    const changeId = clientRequest.headers["change-id"] ?? Runtime.nonce(this.runtime);
    if (changeId.length === 0 || changeId.length > 100)
      return fault(400, "A Change-Id has 1 to 100 characters.");
    const change = {
      changeId,
      ...(base === undefined ? {} : { base: Number(base) }),
      ...(version === undefined ? {} : { version: Number(version) }),
    };
    if (clientRequest.method !== "POST")
      return yield* this.enter(
        { kind: clientRequest.method === "PUT" ? "put" : "patch", ...change, value: parsed.value },
        clientRequest.body.length,
      );
    const [failure, items] = validate(parsed.value, amendment);
    if (failure)
      return fault(400, "The change is refused whole.", {
        faults: validationFaults(failure.failures()),
      });
    return yield* this.enter(
      {
        kind: "amend",
        ...change,
        put: items.put ?? {},
        remove: {
          services: items.remove?.services ?? [],
          routes: items.remove?.routes ?? [],
          goals: items.remove?.goals ?? [],
        },
      },
      clientRequest.body.length,
    );
  }

  /** Has a change taken; a large one is waited for longer, as its sender does. */
  private *enter(command: ConfigCommand, bodyBytes = 0): Task<ClientResponse> {
    const waitMs = Math.min(this.orderMs, answerMs + bodyBytes / slowBytesMs);
    const text = yield* this.forwarder.command(command, waitMs);
    if (text === undefined) return unknownFate(command.changeId);
    const outcome = create(JSON.parse(text), outcomeShape);
    if ("forgottenUpTo" in outcome) return unknownFate(command.changeId);
    if ("accepted" in outcome)
      return ClientResponse.json(
        200,
        { sequence: outcome.accepted, version: outcome.accepted },
        { etag: `"${outcome.accepted}"` },
      );
    if ("lost" in outcome)
      return fault(412, `Another change came first; config ${outcome.lost} is in force.`, {
        sequence: outcome.lost,
        version: outcome.lost,
      });
    return fault(400, "The config is refused whole.", { faults: outcome.faults });
  }

  private *announced(clientRequest: ProxyRequest): Task<ClientResponse> {
    const [failure, told] = validate(parse(clientRequest.body)?.value, announcement);
    if (failure)
      return fault(400, "The announcement is refused.", {
        faults: validationFaults(failure.failures()),
      });
    const announced = { ...told, warmth: told.warmth ?? 1 };
    const heard = this.clusterView.acceptHeartbeat(announced);
    if (heard) return ClientResponse.json(200, { ...heard });
    const command: Command = {
      kind: "announce",
      ...announced,
      seen: Math.max(0, this.clusterView.directorySequence),
    };
    const text = announced.draining
      ? yield* this.leaving(command)
      : yield* this.forwarder.command(command, answerMs);
    if (text === undefined) return noLeader();
    return is(JSON.parse(text), behindShape)
      ? ClientResponse.json(503, { error: "This daemon is behind; ask another." }, retryAfter)
      : asSent(text);
  }

  private *left(clientRequest: ProxyRequest): Task<ClientResponse> {
    const value = parse(clientRequest.body)?.value;
    const [failure, told] =
      typeof value === "object" && value !== null && "instance" in value
        ? validate(value, leavingInstance)
        : validate(value, leaving);
    if (failure)
      return fault(400, "The notice is refused.", { faults: validationFaults(failure.failures()) });
    const text = yield* this.leaving({ kind: "leave", ...told });
    return text === undefined ? noLeader() : asSent(text);
  }

  /** Has the leader told that a backend leaves; one that it doesn't acknowledge in time is logged with every ask that was made. */
  private *leaving(command: Command): Task<string | undefined> {
    const startedMs = this.runtime.clock.nowMs();
    const attempts: ForwardAttempt[] = [];
    const text = yield* this.forwarder.command(command, answerMs, (attempt) =>
      attempts.push(attempt),
    );
    const tookMs = Math.round(this.runtime.clock.nowMs() - startedMs);
    if (text === undefined || tookMs > slowLeaveMs)
      this.log.warn(
        text === undefined
          ? "A backend's leave is not acknowledged."
          : "A backend's leave is acknowledged late.",
        {
          instance: "instance" in command ? command.instance : undefined,
          tookMs,
          attempts,
        },
      );
    return text;
  }

  private *ask(line: string): Task<ClientResponse> {
    const read = Query.read(line);
    if ("fault" in read)
      return fault(
        400,
        `"${read.fault.word}" is not understood; expected ${read.fault.expected}.`,
        { ...read.fault, forms: Query.forms },
      );
    const { query } = read;
    switch (query.kind) {
      case "showMachines":
      case "showBackEnds":
        return yield* this.showFleet(query.kind);
      case "explain":
        return yield* this.explain();
      case "showService":
        return this.showService(query.service);
      case "showRoutes":
        return ClientResponse.json(200, {
          sequence: this.clusterView.configSequence,
          routes: this.clusterView.routeTable.all.map(
            ({ name, service, goalMs, furtherTries, repeatable }) => ({
              route: name,
              service,
              goalMs,
              furtherTries,
              repeatable,
            }),
          ),
        });
      case "showHeavyRoutes":
        return this.showHeavy();
      case "showShares":
        return ClientResponse.json(200, { shares: this.allShares() });
      case "whyShare": {
        const found = this.allShares().find((share) => share.address === query.address);
        return found
          ? ClientResponse.json(200, { ...found })
          : fault(404, `No back end at ${query.address} is known here.`);
      }
      case "whyRoute": {
        const route = this.clusterView.routeTable.all.find(({ name }) => name === query.route);
        if (!route) return fault(404, `No route "${query.route}" is in force.`);
        return ClientResponse.json(200, {
          route: route.name,
          service: route.service,
          why: `config ${this.clusterView.configSequence} says so`,
          backEnds: this.loadBalancer.explain(
            this.clusterView.backendsOf(route.service),
            this.runtime.clock.nowMs(),
          ),
        });
      }
      case "moveRoute":
        return yield* this.patch(
          { routes: { [query.route]: { service: query.service, split: null, origin: null } } },
          query.route,
        );
      case "setGoal": {
        const goal = {
          latencyMs: query.latencyMs,
          ...(query.furtherTries === undefined ? {} : { furtherTries: query.furtherTries }),
        };
        const route = {
          origin: null,
          ...(query.furtherTries === undefined ? {} : { attempts: null }),
        };
        return yield* this.patch(
          { routes: { [query.route]: route }, goals: { [query.route]: goal } },
          query.route,
        );
      }
      case "drainBackEnd":
        return yield* this.read({ kind: "drainBackEnd", address: query.address });
    }
  }

  private *patch(value: unknown, route: string): Task<ClientResponse> {
    // This daemon may be behind, so the leader is asked, not the view in hand.
    const text = yield* this.forwarder.command({ kind: "get" }, answerMs);
    if (text === undefined) return noLeader();
    const { found } = create(JSON.parse(text), foundShape);
    const config = found ? Config.check(JSON.parse(CompressedText.read(found))) : undefined;
    if (!config || "faults" in config || !Object.hasOwn(config.config.routes, route))
      return fault(404, `No route "${route}" is in force.`);
    return yield* this.enter({ kind: "patch", changeId: Runtime.nonce(this.runtime), value });
  }

  private *showFleet(kind: "showMachines" | "showBackEnds"): Task<ClientResponse> {
    const text = yield* this.forwarder.command({ kind: "fleet" }, answerMs);
    if (text === undefined) return noLeader();
    const fleet = create(
      JSON.parse(text),
      type({
        leader: string(),
        voters: unknown(),
        learners: unknown(),
        machines: unknown(),
        backEnds: unknown(),
      }),
    );
    const { leader, voters, learners, machines, backEnds } = fleet;
    return kind === "showMachines"
      ? ClientResponse.json(200, { leader, voters, learners, machines })
      : ClientResponse.json(200, { backEnds });
  }

  private *explain(): Task<ClientResponse> {
    const text = yield* this.forwarder.command({ kind: "history" }, answerMs);
    if (text === undefined) return noLeader();
    return ClientResponse.json(200, {
      journal: create(JSON.parse(text), historyShape).journal.slice(-100),
    });
  }

  private showService(service: string): ClientResponse {
    const number = this.clusterView.idOf("service", service);
    if (number === undefined) return fault(404, `No service "${service}" is in force.`);
    const { sketch, windowMs } = this.rules;
    const latest = this.desk.counts();
    const tries = latest?.counts.ofService(number, this.runtime.clock.nowMs(), windowMs);
    return ClientResponse.json(200, {
      service,
      windowMs,
      firstTries: tries ? Math.round(tries.first) : null,
      furtherTries: tries ? Math.round(tries.further) : null,
      furtherTriesAllowed: tries ? Math.floor(sketch.earned * tries.first + sketch.pool) : null,
      coverage: latest ? { ...latest.coverage, ageMs: Math.round(latest.ageMs) } : null,
      backEnds: this.loadBalancer.explain(
        this.clusterView.backendsOf(service),
        this.runtime.clock.nowMs(),
      ),
    });
  }

  private showHeavy(): ClientResponse {
    const latest = this.desk.counts();
    if (!latest) return fault(503, "The fleet's counts have not come yet.");
    const { windowMs } = this.rules;
    const heavy = latest.counts.heavyRoutes(heavyPhi, this.runtime.clock.nowMs(), windowMs);
    const routes = heavy.map(({ item, estimate }) => ({
      route: this.clusterView.nameOf(item)?.replace(/^route /, "") ?? `number ${item}`,
      requests: Math.round(estimate),
    }));
    return ClientResponse.json(200, {
      atLeastPartOfAll: heavyPhi,
      windowMs,
      routes,
      coverage: { ...latest.coverage, ageMs: Math.round(latest.ageMs) },
    });
  }

  private allShares() {
    const nowMs = this.runtime.clock.nowMs();
    return this.clusterView.services.flatMap((service) =>
      this.loadBalancer
        .explain(this.clusterView.backendsOf(service), nowMs)
        .map((share) => ({ service, ...share })),
    );
  }
}
