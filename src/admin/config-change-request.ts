/** Parses a configuration change from an HTTP request: its headers, and the items of `POST /config/items`. */
import { object, optional, partial, validate } from "superstruct";
import { itemsShape, namesShape } from "../configuration/config-changes.js";
import { validationFaults } from "../configuration/config-validation.js";
import type { ConfigCommand } from "../control-protocol/command.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { type Runtime, randomNonce } from "../runtime/runtime.js";
import { errorResponse, parseJsonBody } from "./admin-response.js";

const MAX_CHANGE_ID_LENGTH = 100;
/** An entity tag that holds a version: weak or strong, with optional quotes. */
const IF_MATCH_PATTERN = /^(?:W\/)?"?(\d{1,15})"?$/;
const CONFIG_VERSION_PATTERN = /^(\d{1,15})$/;

const itemsChangeShape = object({
  put: optional(itemsShape),
  remove: optional(partial(namesShape)),
});

/** The headers of a change: its id and the versions that it refers to. */
interface ChangeHeaders {
  readonly changeId: string;
  /** The version that must be active for the change to be accepted; any version if undefined. */
  readonly base?: number;
  /** The version of the changed config; by default one above the latest version. */
  readonly version?: number;
}

/** A parsed change, or the response that refuses the request. */
export type ConfigChangeRequest = { command: ConfigCommand } | { refusal: ClientResponse };

const refuse = (error: string, path: string, expected: string): { refusal: ClientResponse } => ({
  refusal: errorResponse(400, error, { faults: [{ path, expected }] }),
});

/** Parses the version in a header; undefined without the header. */
const parseVersionHeader = (
  header: string | undefined,
  pattern: RegExp,
): { isValid: boolean; version?: number } => {
  if (header === undefined) return { isValid: true };
  const digits = pattern.exec(header)?.[1];
  return digits === undefined ? { isValid: false } : { isValid: true, version: Number(digits) };
};

const parseChangeHeaders = (
  runtime: Runtime,
  headers: ProxyRequest["headers"],
): { change: ChangeHeaders } | { refusal: ClientResponse } => {
  const base = parseVersionHeader(headers["if-match"], IF_MATCH_PATTERN);
  if (!base.isValid)
    return refuse(
      "If-Match is not a version.",
      "If-Match",
      'the version of a config, such as "12"',
    );
  const version = parseVersionHeader(headers["config-version"], CONFIG_VERSION_PATTERN);
  if (!version.isValid)
    return refuse("Config-Version is not a version.", "Config-Version", "a number, such as 12");
  const changeId = headers["change-id"] ?? randomNonce(runtime);
  if (changeId.length === 0 || changeId.length > MAX_CHANGE_ID_LENGTH)
    return {
      refusal: errorResponse(
        400,
        `Change-Id must have 1 to ${MAX_CHANGE_ID_LENGTH} characters, but has ${changeId.length}.`,
      ),
    };
  return {
    change: {
      changeId,
      ...(base.version === undefined ? {} : { base: base.version }),
      ...(version.version === undefined ? {} : { version: version.version }),
    },
  };
};

const parseItems = (value: unknown, change: ChangeHeaders): ConfigChangeRequest => {
  const [failure, items] = validate(value, itemsChangeShape);
  if (failure)
    return {
      refusal: errorResponse(400, "Invalid change; no part of it was applied.", {
        faults: validationFaults(failure.failures()),
      }),
    };
  return {
    command: {
      kind: "amend",
      ...change,
      put: items.put ?? {},
      remove: {
        services: items.remove?.services ?? [],
        routes: items.remove?.routes ?? [],
        goals: items.remove?.goals ?? [],
      },
    },
  };
};

/** Parses `PUT /config`, `PATCH /config` or `POST /config/items`; a change without a Change-Id gets a random one. */
export const readConfigChange = (
  runtime: Runtime,
  { method, headers, body }: ProxyRequest,
): ConfigChangeRequest => {
  const parsed = parseJsonBody(body);
  if (!parsed) return refuse("The body is not JSON.", "(whole)", "JSON");
  const parsedHeaders = parseChangeHeaders(runtime, headers);
  if ("refusal" in parsedHeaders) return parsedHeaders;
  if (method === "POST") return parseItems(parsed.value, parsedHeaders.change);
  const kind = method === "PUT" ? "put" : "patch";
  return { command: { kind, ...parsedHeaders.change, value: parsed.value } };
};
