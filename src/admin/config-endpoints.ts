/** The configuration endpoints: reading the active and earlier configs, and submitting changes. */
import {
  boolean,
  create,
  define,
  nullable,
  number,
  object,
  optional,
  string,
  type,
  union,
  type Infer,
} from "superstruct";
import { checkConfig, type ValidationFault } from "../configuration/config-validation.js";
import type { Command, ConfigCommand } from "../control-protocol/command.js";
import { readCompressedText } from "../control-protocol/compressed-text.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import { type ClientResponse, jsonResponse } from "../proxy/request-outcome.js";
import { type Runtime, randomNonce } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { COMMAND_TIMEOUT_MS, type AdminDependencies } from "./admin-dependencies.js";
import {
  errorResponse,
  forwardedResponse,
  noLeaderResponse,
  RETRY_AFTER_HEADER,
  unknownOutcomeResponse,
} from "./admin-response.js";
import { readConfigChange } from "./config-change-request.js";

/** A response that would wait longer than this for the link is redirected to a daemon with a faster one. */
const REDIRECT_AFTER_MS = 200;
/** The rate at which a slow link takes a body, in bytes per millisecond; a large change is waited for longer. */
const SLOW_LINK_BYTES_PER_MS = 100;

const changeResultShape = union([
  object({ accepted: number() }),
  object({ lost: number() }),
  /** Possibly accepted, but so long ago that the change's outcome is no longer retained. */
  object({ forgottenUpTo: number() }),
  object({ faults: define<ValidationFault[]>("faults", Array.isArray) }),
]);

const configResultShape = type({
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

type ConfigResult = Infer<typeof configResultShape>;

/** The response for a config that the leader doesn't have; a missing active config may still come, so it isn't final. */
const missingConfigResponse = (
  version: number | undefined,
  { noLongerKept }: ConfigResult,
): ClientResponse => {
  if (version === undefined)
    return jsonResponse(503, { error: "No config was accepted yet." }, RETRY_AFTER_HEADER);
  if (noLongerKept === true)
    return errorResponse(
      410,
      `Config ${version} is no longer kept: the oldest go first when the disk's share for them is full.`,
    );
  return errorResponse(404, `No config ${version} is kept.`);
};

const changeResultResponse = (
  changeId: string,
  result: Infer<typeof changeResultShape>,
): ClientResponse => {
  if ("forgottenUpTo" in result) return unknownOutcomeResponse(changeId);
  if ("accepted" in result)
    return jsonResponse(
      200,
      { sequence: result.accepted, version: result.accepted },
      { etag: `"${result.accepted}"` },
    );
  if ("lost" in result)
    return errorResponse(412, `Another change came first; config ${result.lost} is in force.`, {
      sequence: result.lost,
      version: result.lost,
    });
  return errorResponse(400, "The config is refused whole.", { faults: result.faults });
};

/** Serves `/config` and the paths below it. */
export class ConfigEndpoints {
  private readonly runtime: Runtime;
  private readonly dependencies: AdminDependencies;

  constructor(runtime: Runtime, dependencies: AdminDependencies) {
    this.runtime = runtime;
    this.dependencies = dependencies;
  }

  /** Forwards a command to the leader and passes its response on unchanged. */
  *forward(command: Command): Task<ClientResponse> {
    const text = yield* this.command(command);
    return text === undefined ? noLeaderResponse() : forwardedResponse(text);
  }

  /** The active config, or the one of a version. */
  *read(version?: number): Task<ClientResponse> {
    const text = yield* this.command({
      kind: "get",
      ...(version === undefined ? {} : { version }),
    });
    if (text === undefined) return noLeaderResponse();
    const result = create(JSON.parse(text), configResultShape);
    const { found } = result;
    if (!found) return missingConfigResponse(version, result);
    const configText = readCompressedText(found);
    const redirectAddress = this.redirectAddress(configText);
    if (redirectAddress !== undefined)
      return jsonResponse(
        307,
        { error: "This daemon's link is too slow for it; a member of the log has it." },
        {
          location: `http://${redirectAddress}/config${version === undefined ? "" : `/${version}`}`,
        },
      );
    const config: unknown = JSON.parse(configText);
    return jsonResponse(
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

  /** Submits the change that a request states. */
  *change(clientRequest: ProxyRequest): Task<ClientResponse> {
    const read = readConfigChange(this.runtime, clientRequest);
    if ("refusal" in read) return read.refusal;
    return yield* this.submit(read.command, clientRequest.body.length);
  }

  /** Applies a merge patch on behalf of a query about a route, which must be part of the leader's active config. */
  *patchRoute(route: string, value: unknown): Task<ClientResponse> {
    // This daemon's view may be stale, so the leader's config decides whether the route exists.
    const text = yield* this.command({ kind: "get" });
    if (text === undefined) return noLeaderResponse();
    const { found } = create(JSON.parse(text), configResultShape);
    const checked = found ? checkConfig(JSON.parse(readCompressedText(found))) : undefined;
    if (!checked || "faults" in checked || !Object.hasOwn(checked.config.routes, route))
      return errorResponse(404, `No route "${route}" is in force.`);
    return yield* this.submit({ kind: "patch", changeId: randomNonce(this.runtime), value });
  }

  /** Proposes a change; the timeout grows with the body, as that of its sender does. */
  private *submit(command: ConfigCommand, bodyBytes = 0): Task<ClientResponse> {
    const { forwarder, changeTimeoutMs } = this.dependencies;
    const timeoutMs = Math.min(
      changeTimeoutMs,
      COMMAND_TIMEOUT_MS + bodyBytes / SLOW_LINK_BYTES_PER_MS,
    );
    const text = yield* forwarder.command(command, timeoutMs);
    if (text === undefined) return unknownOutcomeResponse(command.changeId);
    return changeResultResponse(command.changeId, create(JSON.parse(text), changeResultShape));
  }

  private command(command: Command): Task<string | undefined> {
    return this.dependencies.forwarder.command(command, COMMAND_TIMEOUT_MS);
  }

  /** Another member to read a text from that this daemon's own link would take too long for: members' machines are the stronger ones. */
  private redirectAddress(text: string): string | undefined {
    const { egress, clusterView, ownAddress } = this.dependencies;
    if (egress.estimateWaitMs(text.length) <= REDIRECT_AFTER_MS) return undefined;
    const others = clusterView.memberAdminAddresses.filter((address) => address !== ownAddress);
    return others[Math.floor(this.runtime.random() * others.length)];
  }
}
