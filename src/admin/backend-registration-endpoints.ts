/** The endpoints with which backends register themselves, send heartbeats and deregister. */
import {
  boolean,
  define,
  integer,
  is,
  literal,
  max,
  min,
  number,
  object,
  optional,
  type,
  validate,
} from "superstruct";
import type { ForwardAttempt } from "../cluster-view/command-forwarder.js";
import { nameShape } from "../configuration/config-shape.js";
import { validationFaults } from "../configuration/config-validation.js";
import type { Command } from "../control-protocol/command.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";
import type { Logger } from "../runtime/logger.js";
import type { Runtime } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { COMMAND_TIMEOUT_MS, type AdminDependencies } from "./admin-dependencies.js";
import {
  errorResponse,
  forwardedResponse,
  noLeaderResponse,
  parseJsonBody,
  RETRY_AFTER_HEADER,
} from "./admin-response.js";

/** Time after which the acknowledgment of a deregistration is logged as late. */
const SLOW_DEREGISTRATION_MS = 400;
const MAX_CAPACITY = 1_000_000;
const MAX_WARM_UP_MS = 3_600_000;

const addressShape = define<string>(
  "address",
  (value) =>
    (typeof value === "string" && /^[0-9a-fA-F.:[\]]+:\d{1,5}$/.test(value)) ||
    "Expected an address of the form IP:port",
);
const instanceShape = define<string>(
  "instance",
  (value) =>
    (typeof value === "string" && /^[\x21-\x7e]{1,100}$/.test(value)) ||
    "Expected an instance of 1 to 100 visible characters",
);
const registrationShape = object({
  service: nameShape,
  address: addressShape,
  zone: nameShape,
  warmth: optional(max(min(number(), 0), 1)),
  instance: optional(instanceShape),
  capacity: optional(max(min(integer(), 0), MAX_CAPACITY)),
  order: optional(max(min(integer(), 0), Number.MAX_SAFE_INTEGER)),
  draining: optional(boolean()),
  warmMs: optional(max(min(number(), 0), MAX_WARM_UP_MS)),
});
const addressDeregistrationShape = object({ service: nameShape, address: addressShape });
const instanceDeregistrationShape = object({ instance: instanceShape });
/** The leader's response if the daemon's directory is too old to forward the registration. */
const staleDirectoryShape = type({ state: literal("behind") });

/** Serves the paths below `/backends`. */
export class BackendRegistrationEndpoints {
  private readonly runtime: Runtime;
  private readonly dependencies: AdminDependencies;
  private readonly log: Logger;

  constructor(runtime: Runtime, dependencies: AdminDependencies, log: Logger) {
    this.runtime = runtime;
    this.dependencies = dependencies;
    this.log = log;
  }

  /** Registers a backend or renews its registration. This daemon acknowledges a heartbeat without changes by itself. */
  *register(clientRequest: ProxyRequest): Task<ClientResponse> {
    const { clusterView, forwarder } = this.dependencies;
    const [failure, body] = validate(parseJsonBody(clientRequest.body)?.value, registrationShape);
    if (failure)
      return errorResponse(400, "Invalid registration.", {
        faults: validationFaults(failure.failures()),
      });
    const registration = { ...body, warmth: body.warmth ?? 1 };
    const accepted = clusterView.acceptHeartbeat(registration);
    if (accepted) return jsonResponse(200, { ...accepted });
    const command: Command = {
      kind: "announce",
      ...registration,
      seen: Math.max(0, clusterView.endpointsSequence),
    };
    const text = registration.draining
      ? yield* this.forwardDeregistration(command)
      : yield* forwarder.command(command, COMMAND_TIMEOUT_MS);
    if (text === undefined) return noLeaderResponse();
    return is(JSON.parse(text), staleDirectoryShape)
      ? jsonResponse(
          503,
          { error: "The directory of this daemon is stale; retry at another daemon." },
          RETRY_AFTER_HEADER,
        )
      : forwardedResponse(text);
  }

  /** Deregisters a backend by its instance, or by its service and address. */
  *deregister(clientRequest: ProxyRequest): Task<ClientResponse> {
    const value = parseJsonBody(clientRequest.body)?.value;
    const [failure, body] =
      typeof value === "object" && value !== null && "instance" in value
        ? validate(value, instanceDeregistrationShape)
        : validate(value, addressDeregistrationShape);
    if (failure)
      return errorResponse(400, "Invalid deregistration.", {
        faults: validationFaults(failure.failures()),
      });
    const text = yield* this.forwardDeregistration({ kind: "leave", ...body });
    return text === undefined ? noLeaderResponse() : forwardedResponse(text);
  }

  /** Forwards a deregistration to the leader; logs a late or missing acknowledgment with all attempts. */
  private *forwardDeregistration(command: Command): Task<string | undefined> {
    const startedMs = this.runtime.clock.nowMs();
    const attempts: ForwardAttempt[] = [];
    const text = yield* this.dependencies.forwarder.command(
      command,
      COMMAND_TIMEOUT_MS,
      (attempt) => attempts.push(attempt),
    );
    const tookMs = Math.round(this.runtime.clock.nowMs() - startedMs);
    if (text === undefined || tookMs > SLOW_DEREGISTRATION_MS)
      this.log.warn(
        text === undefined
          ? "backend deregistration unacknowledged"
          : "backend deregistration acknowledged late",
        {
          instance: "instance" in command ? command.instance : undefined,
          tookMs,
          attempts,
        },
      );
    return text;
  }
}
