/**
 * Claims of idempotency keys in the replicated log, and responses to requests whose key another request has claimed.
 */
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

/** A claim that this daemon has acquired. */
export interface HeldClaim extends KeyedRequest {
  /** Until when the request may be sent, by this daemon's clock. */
  readonly sendDeadlineMs: number;
  /** The daemons that store the request's outcome, this one first. */
  readonly holders: readonly string[];
}

/** The result of a claim: it was acquired, or the request gets a response without being sent. */
export type ClaimResult =
  | { readonly kind: "claimed"; readonly claim: HeldClaim }
  | { readonly kind: "answered"; readonly outcome: RequestOutcome };

/** A request and its idempotency key. */
export interface ClaimRequest {
  readonly clientRequest: ProxyRequest;
  readonly key: string;
  readonly deadlineMs: number;
  /** Timeout of one command to the leader; by default `CLAIM_TIMEOUT_MS`. */
  readonly timeoutMs?: number | undefined;
}

/** What the claims depend on. */
export interface IdempotencyClaimsOptions {
  readonly runtime: Runtime;
  readonly forwarder: CommandForwarder;
  readonly outcomes: OutcomeReplicator;
  /** Makes claim ids unique across restarts of the daemon. */
  readonly incarnation: string;
  /** Retry delay after a failed claim; by default `DEFAULT_RETRY_AFTER_MS`. */
  readonly retryAfterMs?: number | undefined;
}

/** A claim of the same key by another request. */
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
/** Fraction of the remaining time that a claim may take. */
const CLAIM_TIME_FRACTION = 0.5;
/** A request may be sent for this long after its claim was submitted. */
const SEND_WINDOW_MS = 3000;
/** How long a repeat waits for the outcome of a request in progress, and the interval at which it polls the outcome. */
const OUTCOME_WAIT_MS = 1500;
const OUTCOME_POLL_INTERVAL_MS = 100;
const RELEASE_TIMEOUT_MS = 8000;
/** Maximum size of a response body that is stored for repeats. */
const MAX_STORED_BODY_BYTES = 64 * 1024;
const DEFAULT_RETRY_AFTER_MS = 2000;
/** Retry delay if the key table is full. */
const TABLE_FULL_RETRY_AFTER_MS = 30_000;
/** Retry delay for a key whose response is lost, until the key is free again. */
const LOST_RESPONSE_RETRY_AFTER_MS = 120_000;

const computeHash = (...parts: Array<string | Uint8Array>): string => {
  const hash = createHash("sha256");
  for (const part of parts) hash.update(part).update("\0");
  return hash.digest("hex");
};

/** Hashes a key together with what it is unique within: host, method and path. */
const computeScope = (clientRequest: ProxyRequest, key: string): string =>
  computeHash(
    normalizeHost(clientRequest.headers["host"] ?? ""),
    clientRequest.method,
    requestPath(clientRequest),
    key,
  );

const answered = (outcome: RequestOutcome): ClaimResult => ({ kind: "answered", outcome });

/**
 * The response to a repeat, by the outcome of the first request; undefined if that outcome is not final or the request
 * never ran.
 */
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
        "The first request with this key ran; its response was not stored.",
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

/** Claims keys in the replicated log before their requests are sent, and stores the outcomes of the requests. */
export class IdempotencyClaims {
  private readonly runtime: Runtime;
  private readonly forwarder: CommandForwarder;
  private readonly outcomes: OutcomeReplicator;
  private readonly incarnation: string;
  private readonly retryAfterMs: number;
  private claimCount = 0;
  private activeTasks = 0;

  constructor(options: IdempotencyClaimsOptions) {
    this.runtime = options.runtime;
    this.forwarder = options.forwarder;
    this.outcomes = options.outcomes;
    this.incarnation = options.incarnation;
    this.retryAfterMs = options.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
  }

  /** The number of outcomes being replicated and claims being released. */
  get pendingTasks(): number {
    return this.activeTasks;
  }

  /**
   * Claims a request's key. The request gets a response instead if another holds the key or the result of the claim is
   * unknown.
   */
  *claim({
    clientRequest,
    key,
    deadlineMs,
    timeoutMs = CLAIM_TIMEOUT_MS,
  }: ClaimRequest): Task<ClaimResult> {
    const { clock } = this.runtime;
    const startedMs = clock.nowMs();
    this.claimCount += 1;
    const scope = computeScope(clientRequest, key);
    const bodyHash = computeHash(clientRequest.target, clientRequest.body);
    const request: KeyedRequest = { scope, requestId: `${this.incarnation}/${this.claimCount}` };
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
      if (response === undefined) return answered(this.abandonClaim(request));
      if ("claimed" in response) {
        const claim = { ...request, holders, sendDeadlineMs: sentMs + SEND_WINDOW_MS };
        return { kind: "claimed", claim };
      }
      if ("full" in response)
        return answered(
          unavailableOutcome("The table of idempotency keys is full.", TABLE_FULL_RETRY_AFTER_MS),
        );
      const outcome = yield* this.answerRepeat(pending, response.held);
      if (outcome) return answered(outcome);
      replacedId = response.held.job;
    }
  }

  /** Stores the outcome of a claimed request, and replicates its response for repeats. */
  recordOutcome(claim: HeldClaim, { execution, response }: RequestOutcome): void {
    if (execution === "neverRan") {
      this.outcomes.storeLocally(claim, { kind: "neverRan" });
      this.startBackgroundTask(this.release(claim));
      return;
    }
    if (
      execution === "ran" &&
      typeof response !== "string" &&
      response.body.length <= MAX_STORED_BODY_BYTES
    ) {
      const outcome: KeyedOutcome = { kind: "ran", response };
      this.outcomes.storeLocally(claim, outcome);
      this.startBackgroundTask(this.outcomes.replicate(claim, outcome, claim.holders));
      return;
    }
    this.outcomes.storeLocally(claim, { kind: execution === "ran" ? "ranNotKept" : "mayHaveRun" });
  }

  /** Submits the claim to the leader; undefined if its result is unknown or the leader is overloaded. */
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

  /** The response to a request whose key is already claimed; undefined if the existing claim may be replaced. */
  private *answerRepeat(
    { request, bodyHash, startedMs, deadlineMs }: PendingClaim,
    existing: ExistingClaim,
  ): Task<RequestOutcome | undefined> {
    if (existing.bodyHash !== bodyHash) {
      this.outcomes.storeLocally(request, { kind: "neverRan" });
      return rejectedOutcome(422, "This key was already used with another query or body.");
    }
    const waitMs = Math.min(OUTCOME_WAIT_MS, (deadlineMs - startedMs) / 2);
    const outcome = yield* this.awaitOutcome(request.scope, existing, startedMs + waitMs);
    if (outcome !== "unreachable" && outcome.kind === "neverRan") return undefined;
    this.outcomes.storeLocally(request, { kind: "neverRan" });
    if (outcome === "unreachable") return this.unreachableOutcome();
    return repeatedOutcome(outcome) ?? this.inProgressOutcome();
  }

  /** Abandons a claim whose result is unknown: its request is never sent, so that a repeat may replace the claim. */
  private abandonClaim(request: KeyedRequest): RequestOutcome {
    this.outcomes.storeLocally(request, { kind: "neverRan" });
    return unavailableOutcome(
      "The idempotency key could not be claimed: the leader is overloaded or did not respond.",
      this.retryAfterMs,
    );
  }

  private inProgressOutcome(): RequestOutcome {
    return failedOutcome(
      409,
      "The first request with this key is still in progress.",
      "mayHaveRun",
      this.retryAfterMs,
    );
  }

  /** The outcome while the daemon that handled the first request is unreachable. */
  private unreachableOutcome(): RequestOutcome {
    return failedOutcome(
      502,
      "No reachable daemon knows whether the first request with this key ran.",
      "mayHaveRun",
      this.retryAfterMs,
    );
  }

  /**
   * The outcome of the request that claimed a key. Waits while that request is in progress or the holders of its outcome
   * are unreachable.
   */
  private *awaitOutcome(
    scope: string,
    existing: ExistingClaim,
    waitDeadlineMs: number,
  ): Task<KeyedOutcome | "unreachable"> {
    if (existing.verdict === "mayHaveRun") return { kind: "mayHaveRun" };
    if (existing.verdict === "ran") return { kind: "ranNotKept" };
    const { clock } = this.runtime;
    for (;;) {
      const request = { scope, requestId: existing.job };
      const outcome = yield* this.outcomes.find(request, existing.holders ?? []);
      if (outcome === "unknown") return { kind: "mayHaveRun" };
      if (outcome !== "unreachable" && outcome.kind !== "inHand") return outcome;
      if (clock.nowMs() + OUTCOME_POLL_INTERVAL_MS > waitDeadlineMs) return outcome;
      yield* sleep(clock, OUTCOME_POLL_INTERVAL_MS);
    }
  }

  private *release({ scope, requestId }: KeyedRequest): Task {
    yield* this.forwarder.command({ kind: "release", scope, job: requestId }, RELEASE_TIMEOUT_MS);
  }

  private startBackgroundTask(task: Task): void {
    this.activeTasks += 1;
    startTask(this.runtime, "proxy", task, () => {
      this.activeTasks -= 1;
    });
  }
}
