import { createHash } from "node:crypto";
import { hostName } from "../../cluster-view/route-table.js";
import { ClaimResponse, overloadedResponse, type Command } from "../../control-protocol/command.js";
import type { CommandForwarder } from "../../cluster-view/command-forwarder.js";
import { Clock } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import { Runtime } from "../../runtime/runtime.js";
import { ProxyRequest } from "../proxy-request.js";
import type { KeyedOutcome, KeyedRequest } from "./keyed-outcome.js";
import type { OutcomeReplicator } from "./outcome-replicator.js";
import { RequestOutcome } from "../request-outcome.js";

/** A key that this daemon holds: it may send until a moment of its own clock. */
export interface HeldClaim extends KeyedRequest {
  readonly sendUntilMs: number;
  /** Who is to know what becomes of it. */
  readonly holders: readonly string[];
}

/** A key that another request claimed before. */
type Held = Extract<ClaimResponse, { held: unknown }>["held"];

const claimWaitMs = 2500;
/** Which part of the time that is left a claim may take. */
const claimPart = 0.5;
const sendMs = 3000;
const inHandWaitMs = 1500;
/** How often a request that is in hand is asked after. */
const askAgainMs = 100;
const releaseMs = 8000;
const keptBodyBytes = 64 * 1024;
/** When callers had better come back to a key whose first response is lost: once the key is free again. */
const lostAfterMs = 120_000;

const hash = (...parts: Array<string | Uint8Array>): string => {
  const sum = createHash("sha256");
  for (const part of parts) sum.update(part).update("\0");
  return sum.digest("hex");
};

const noClaim = (afterMs: number): RequestOutcome =>
  RequestOutcome.drop("The key could not be claimed in the record.", afterMs);

/** What a repeat is answered with once it is known what became of the first request. */
const repeated = (outcome: KeyedOutcome): RequestOutcome | undefined => {
  switch (outcome.kind) {
    case "ran": {
      const { code, headers, body } = outcome.response;
      return RequestOutcome.returned({
        code,
        headers: { ...headers, "x-daledoor-repeated": "true" },
        body,
      });
    }
    case "ranNotKept":
      return RequestOutcome.breakdown(
        502,
        "The first request with this key ran; its response is not kept.",
        "ran",
        lostAfterMs,
      );
    case "mayHaveRun":
      return RequestOutcome.breakdown(
        502,
        "The first request with this key may have run; its response was lost.",
        "mayHaveRun",
        lostAfterMs,
      );
    case "inHand":
    case "neverRan":
      return undefined;
  }
};

/** Claims keys in the record before the first send, and keeps what becomes of their requests. */
export class IdempotencyClaims {
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly outcomes: OutcomeReplicator;
  private readonly incarnation: string;
  private readonly afterMs: number;
  private claims = 0;
  /** Outcomes that are being shared, and releases under way. */
  inHand = 0;

  constructor(
    runtime: Runtime,
    forwarder: CommandForwarder,
    outcomes: OutcomeReplicator,
    incarnation: string,
    afterMs = 2000,
  ) {
    this.runtime = runtime;
    this.forwarder = forwarder;
    this.outcomes = outcomes;
    this.incarnation = incarnation;
    this.afterMs = afterMs;
  }

  /** Claims a request's key; an ending where another holds it or nobody can tell. */
  *claim(
    clientRequest: ProxyRequest,
    key: string,
    untilMs = Infinity,
    mostMs = claimWaitMs,
  ): Task<HeldClaim | RequestOutcome> {
    const { clock } = this.runtime;
    const startedMs = clock.nowMs();
    this.claims += 1;
    const scope = hash(
      hostName(clientRequest.headers["host"] ?? ""),
      clientRequest.method,
      ProxyRequest.path(clientRequest),
      key,
    );
    const bodyHash = hash(clientRequest.target, clientRequest.body);
    const request: KeyedRequest = { scope, job: `${this.incarnation}/${this.claims}` };
    const holders = this.outcomes.holdersFor(scope);
    this.outcomes.note(request, { kind: "inHand" });
    let replaces: string | undefined;
    for (;;) {
      const askedMs = clock.nowMs();
      const waitMs = Math.min(mostMs, (untilMs - askedMs) * claimPart);
      const command: Command = {
        kind: "claim",
        ...request,
        bodyHash,
        holders,
        ...(replaces === undefined ? {} : { replaces }),
      };
      const text = yield* this.forwarder.command(command, waitMs);
      if (text === undefined || text === overloadedResponse) return this.giveUp(request);
      const ret = ClaimResponse.read(text);
      if ("claimed" in ret) return { ...request, holders, sendUntilMs: askedMs + sendMs };
      if ("full" in ret) return RequestOutcome.drop("Too many keys are held.", 30_000);
      const { held } = ret;
      if (held.bodyHash !== bodyHash) {
        this.outcomes.note(request, { kind: "neverRan" });
        return RequestOutcome.refusal(422, "This key came before with another body.");
      }
      const givenMs = Math.min(inHandWaitMs, (untilMs - startedMs) / 2);
      const outcome = yield* this.outcomeOf(scope, held, startedMs + givenMs);
      if (outcome === "unreachable" || outcome.kind !== "neverRan") {
        this.outcomes.note(request, { kind: "neverRan" });
        if (outcome === "unreachable") return this.outOfReach();
        return repeated(outcome) ?? this.stillInHand();
      }
      replaces = held.job;
    }
  }

  /** Notes how a claimed request ended, and has the response kept. */
  conclude(claim: HeldClaim, outcome: RequestOutcome): void {
    const { execution, response } = outcome;
    if (execution === "neverRan") {
      this.outcomes.note(claim, { kind: "neverRan" });
      this.start(this.release(claim));
      return;
    }
    if (
      execution === "ran" &&
      typeof response !== "string" &&
      response.body.length <= keptBodyBytes
    ) {
      const outcome: KeyedOutcome = { kind: "ran", response: response };
      this.outcomes.note(claim, outcome);
      this.start(this.outcomes.share(claim, outcome, claim.holders));
      return;
    }
    this.outcomes.note(claim, { kind: execution === "ran" ? "ranNotKept" : "mayHaveRun" });
  }

  /** A request whose claim came to nothing in time is never sent: whoever asks after it may take its claim over. */
  private giveUp(request: KeyedRequest): RequestOutcome {
    this.outcomes.note(request, { kind: "neverRan" });
    return noClaim(this.afterMs);
  }

  private stillInHand(): RequestOutcome {
    return RequestOutcome.breakdown(
      409,
      "The first request with this key is still in hand.",
      "mayHaveRun",
      this.afterMs,
    );
  }

  /** The daemon that the first request went through can't be asked now; it may be soon. */
  private outOfReach(): RequestOutcome {
    return RequestOutcome.breakdown(
      502,
      "Nobody who was reached can tell whether the first request with this key ran.",
      "mayHaveRun",
      this.afterMs,
    );
  }

  /** What became of the request that holds a key, which is waited for while it is in hand or nobody can tell. */
  private *outcomeOf(
    scope: string,
    held: Held,
    untilMs: number,
  ): Task<KeyedOutcome | "unreachable"> {
    if (held.verdict === "mayHaveRun") return { kind: "mayHaveRun" };
    if (held.verdict === "ran") return { kind: "ranNotKept" };
    const { clock } = this.runtime;
    for (;;) {
      const request = { scope, job: held.job };
      const outcome = yield* this.outcomes.find(request, held.holders ?? []);
      if (outcome === "unknown") return { kind: "mayHaveRun" };
      if (outcome !== "unreachable" && outcome.kind !== "inHand") return outcome;
      if (clock.nowMs() + askAgainMs > untilMs) return outcome;
      yield* Clock.sleep(clock, askAgainMs);
    }
  }

  private *release({ scope, job }: KeyedRequest): Task {
    yield* this.forwarder.command({ kind: "release", scope, job }, releaseMs);
  }

  private start(task: Task): void {
    this.inHand += 1;
    Runtime.start(this.runtime, "door", task, () => {
      this.inHand -= 1;
    });
  }
}
