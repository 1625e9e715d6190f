/** Claims of idempotency keys in the replicated log, and the answers to requests whose key another request claimed. */
import { createHash } from "node:crypto";
import type { CommandForwarder } from "../../cluster-view/command-forwarder.js";
import { normalizeHost } from "../../cluster-view/route-table.js";
import { type ClaimResponse, readClaimResponse } from "../../control-protocol/claim-response.js";
import { overloadedResponse } from "../../control-protocol/command-response.js";
import type { Command } from "../../control-protocol/command.js";
import { sleep } from "../../runtime/clock.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";
import type { Task } from "../../runtime/task.js";
import { type ProxyRequest, requestPath } from "../proxy-request.js";
import {
  type RequestOutcome,
  forwardedOutcome,
  failedOutcome,
  unavailableOutcome,
  rejectedOutcome,
} from "../request-outcome.js";
import type { KeyedOutcome, KeyedRequest } from "./keyed-outcome.js";
import type { OutcomeReplicator } from "./outcome-replicator.js";

/** A claim that this daemon acquired: its request may be sent until a moment of the daemon's own clock. */
export interface HeldClaim extends KeyedRequest {
  readonly sendDeadlineMs: number;
  /** The daemons that store the request's outcome, this one first. */
  readonly holders: readonly string[];
}

/** The claim was acquired, or the request gets an answer without being sent. */
export type ClaimResult =
  | { readonly kind: "claimed"; readonly claim: HeldClaim }
  | { readonly kind: "answered"; readonly outcome: RequestOutcome };

/** A request whose key is to be claimed. */
export interface ClaimRequest {
  readonly clientRequest: ProxyRequest;
  readonly key: string;
  readonly deadlineMs: number;
  /** How long one command to the leader may take; by default `CLAIM_TIMEOUT_MS`. */
  readonly timeoutMs?: number | undefined;
}

/** What claims depend on. */
export interface IdempotencyClaimsOptions {
  readonly runtime: Runtime;
  readonly forwarder: CommandForwarder;
  readonly outcomes: OutcomeReplicator;
  /** Distinguishes the claims of this start of the daemon. */
  readonly incarnation: string;
  /** When clients had better retry after a claim that failed; by default `DEFAULT_RETRY_AFTER_MS`. */
  readonly retryAfterMs?: number | undefined;
}

/** A claim that another request holds. */
type ExistingClaim = Extract<ClaimResponse, { held: unknown }>["held"];

/** A claim in progress. */
interface PendingClaim {
  readonly request: KeyedRequest;
  readonly bodyHash: string;
  readonly holders: string[];
  readonly startedMs: number;
  readonly deadlineMs: number;
}

const CLAIM_TIMEOUT_MS = 2500;
/** Which part of the time that is left a claim may take. */
const CLAIM_TIME_FRACTION = 0.5;
/** How long after its claim a request may be sent. */
const SEND_WINDOW_MS = 3000;
/** How long a repeat waits for the outcome of a request that is in progress, and how often it asks. */
const OUTCOME_WAIT_MS = 1500;
const OUTCOME_POLL_INTERVAL_MS = 100;
const RELEASE_TIMEOUT_MS = 8000;
/** The largest response body that is stored for repeats. */
const MAX_STORED_BODY_BYTES = 64 * 1024;
const DEFAULT_RETRY_AFTER_MS = 2000;
/** When clients had better retry where the key table is full. */
const TABLE_FULL_RETRY_AFTER_MS = 30_000;
/** When clients had better retry a key whose response is lost: once the key is free again. */
const LOST_RESPONSE_RETRY_AFTER_MS = 120_000;

const computeHash = (...parts: Array<string | Uint8Array>): string => {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part).update("\0");
  return hash.digest("hex");
};

/** The scope within which a key is unique: a host, method and path. */
const computeScope = (clientRequest: ProxyRequest, key: string): string =>
  computeHash(
    normalizeHost(clientRequest.headers["host"] ?? ""),
    clientRequest.method,
    requestPath(clientRequest),
    key,
  );

const answered = (outcome: RequestOutcome): ClaimResult => ({ kind: "answered", outcome });

/** The answer to a repeat by what became of the first request; undefined where nothing final did. */
const repeatedOutcome = (outcome: KeyedOutcome): RequestOutcome | undefined => {
  switch (outcome.kind) {
    case "ran": {
      const { code, headers, body } = outcome.response;
      return forwardedOutcome({
        code,
        headers: { ...headers, "x-daledoor-repeated": "true" },
        body,
      });
    }
    case "ranNotKept":
      return failedOutcome(
        502,
        "The first request with this key ran; its response is not kept.",
        "ran",
        LOST_RESPONSE_RETRY_AFTER_MS,
      );
    case "mayHaveRun":
      return failedOutcome(
        502,
        "The first request with this key may have run; its response was lost.",
        "mayHaveRun",
        LOST_RESPONSE_RETRY_AFTER_MS,
      );
    case "inHand":
    case "neverRan":
      return undefined;
  }
};

/** Claims keys in the replicated log before their requests are sent, and records the requests' outcomes. */
export class IdempotencyClaims {
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly outcomes: OutcomeReplicator;
  private readonly incarnation: string;
  private readonly retryAfterMs: number;
  private claims = 0;
  private activeTasks = 0;

  constructor(options: IdempotencyClaimsOptions) {
    this.runtime = options.runtime;
    this.forwarder = options.forwarder;
    this.outcomes = options.outcomes;
    this.incarnation = options.incarnation;
    this.retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  }

  /** How many outcomes are being replicated, and claims released. */
  get pendingTasks(): number {
    return this.activeTasks;
  }

  /** Claims a request's key; answers the request where another holds the key, or the claim's fate is unknown. */
  *claim({
    clientRequest,
    key,
    deadlineMs,
    timeoutMs = CLAIM_TIMEOUT_MS,
  }: ClaimRequest): Task<ClaimResult> {
    const { clock } = this.runtime;
    const startedMs = clock.nowMs();
    this.claims += 1;
    const scope = computeScope(clientRequest, key);
    const bodyHash = computeHash(clientRequest.target, clientRequest.body);
    const request: KeyedRequest = { scope, requestId: `${this.incarnation}/${this.claims}` };
    const holders = this.outcomes.holdersFor(scope);
    const pending: PendingClaim = { request, bodyHash, holders, startedMs, deadlineMs };
    this.outcomes.storeLocally(request, { kind: "inHand" });
    let replacedId: string | undefined;
    for (;;) {
      const sentMs = clock.nowMs();
      const response = yield* this.submitClaim(
        pending,
        Math.min(timeoutMs, (deadlineMs - sentMs) * CLAIM_TIME_FRACTION),
        replacedId,
      );
      if (response === undefined) return answered(this.giveUp(request));
      if ("claimed" in response) {
        const claim = { ...request, holders, sendUntilMs: sentMs + SEND_WINDOW_MS };
        return { kind: "claimed", claim };
      }
      if ("full" in response)
        return answered(unavailableOutcome("Too many keys are held.", TABLE_FULL_RETRY_AFTER_MS));
      const outcome = yield* this.answerRepeat(pending, response.held);
      if (outcome) return answered(outcome);
      replacedId = response.held.job;
    }
  }

  /** Records how a claimed request ended, and has its response stored for repeats. */
  recordOutcome(claim: HeldClaim, { execution, response }: RequestOutcome): void {
    if (execution === "neverRan") {
      this.outcomes.storeLocally(claim, { kind: "neverRan" });
      this.start(this.release(claim));
      return;
    }
    if (
      execution === "ran" &&
      typeof response !== "string" &&
      response.body.length <= MAX_STORED_BODY_BYTES
    ) {
      const outcome: KeyedOutcome = { kind: "ran", response };
      this.outcomes.storeLocally(claim, outcome);
      this.start(this.outcomes.replicate(claim, outcome, claim.holders));
      return;
    }
    this.outcomes.storeLocally(claim, { kind: execution === "ran" ? "ranNotKept" : "mayHaveRun" });
  }

  /** Sends the claim to the leader; undefined where its fate is unknown or the leader is overloaded. */
  private *submitClaim(
    { request, bodyHash, holders }: PendingClaim,
    timeoutMs: number,
    replacedId: string | undefined,
  ): Task<ClaimResponse | undefined> {
    const command: Command = {
      kind: "claim",
      scope: request.scope,
      job: request.requestId,
      bodyHash,
      holders,
      ...(replacedId === undefined ? {} : { replaces: replacedId }),
    };
    const text = yield* this.forwarder.command(command, timeoutMs);
    if (text === undefined || text === overloadedResponse) return undefined;
    return readClaimResponse(text);
  }

  /** The answer to a request whose key is claimed already; undefined where the existing claim may be replaced. */
  private *answerRepeat(
    { request, bodyHash, startedMs, deadlineMs }: PendingClaim,
    existing: ExistingClaim,
  ): Task<RequestOutcome | undefined> {
    if (existing.bodyHash !== bodyHash) {
      this.outcomes.storeLocally(request, { kind: "neverRan" });
      return rejectedOutcome(422, "This key came before with another body.");
    }
    const waitMs = Math.min(OUTCOME_WAIT_MS, (deadlineMs - startedMs) / 2);
    const outcome = yield* this.awaitOutcome(request.scope, existing, startedMs + waitMs);
    if (outcome !== "unreachable" && outcome.kind === "neverRan") return undefined;
    this.outcomes.storeLocally(request, { kind: "neverRan" });
    if (outcome === "unreachable") return this.unreachableOutcome();
    return repeatedOutcome(outcome) ?? this.inProgressOutcome();
  }

  /** Ends a claim whose fate is unknown: its request is never sent, so that a repeat may replace the claim. */
  private giveUp(request: KeyedRequest): RequestOutcome {
    this.outcomes.storeLocally(request, { kind: "neverRan" });
    return unavailableOutcome("The key could not be claimed in the record.", this.retryAfterMs);
  }

  private inProgressOutcome(): RequestOutcome {
    return failedOutcome(
      409,
      "The first request with this key is still in hand.",
      "mayHaveRun",
      this.retryAfterMs,
    );
  }

  /** The daemon that the first request went through can't be reached now. */
  private unreachableOutcome(): RequestOutcome {
    return failedOutcome(
      502,
      "Nobody who was reached can tell whether the first request with this key ran.",
      "mayHaveRun",
      this.retryAfterMs,
    );
  }

  /** The outcome of the request that holds a key; waits while it is in progress or its holders are unreachable. */
  private *awaitOutcome(
    scope: string,
    existing: ExistingClaim,
    untilMs: number,
  ): Task<KeyedOutcome | "unreachable"> {
    if (existing.verdict === "mayHaveRun") return { kind: "mayHaveRun" };
    if (existing.verdict === "ran") return { kind: "ranNotKept" };
    const { clock } = this.runtime;
    for (;;) {
      const request = { scope, requestId: existing.job };
      const outcome = yield* this.outcomes.find(request, existing.holders ?? []);
      if (outcome === "unknown") return { kind: "mayHaveRun" };
      if (outcome !== "unreachable" && outcome.kind !== "inHand") return outcome;
      if (clock.nowMs() + OUTCOME_POLL_INTERVAL_MS > untilMs) return outcome;
      yield* sleep(clock, OUTCOME_POLL_INTERVAL_MS);
    }
  }

  private *release({ scope, requestId }: KeyedRequest): Task {
    yield* this.forwarder.command({ kind: "release", scope, job: requestId }, RELEASE_TIMEOUT_MS);
  }

  private start(task: Task): void {
    this.activeTasks += 1;
    startTask(this.runtime, "proxy", task, () => {
      this.activeTasks -= 1;
    });
  }
}
