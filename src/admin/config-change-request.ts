/** Reads a configuration change from an HTTP request: its headers, and the items of `POST /config/items`. */
import { object, optional, partial, validate } from "superstruct";
import { itemsShape, namesShape } from "../configuration/config-changes.js";
import { validationFaults } from "../configuration/config-validation.js";
import type { ConfigCommand } from "../control-protocol/command.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { type Runtime, randomNonce } from "../runtime/runtime.js";
import { errorResponse, parseJsonBody } from "./admin-response.js";

const MAX_CHANGE_ID_LENGTH = 100;
/** An entity tag that holds a version, weak or strong; the quotes may be missing. */
const IF_MATCH = /^(?:W\/)?"?(\d{1,15})"?$/;
const CONFIG_VERSION = /^(\d{1,15})$/;

const itemsChangeShape = object({
  put: optional(itemsShape),
  remove: optional(partial(namesShape)),
});

/** What a change's headers state: its identity and the versions it refers to. */
interface ChangeHeaders {
  readonly changeId: string;
  /** The version that must be active for the change to be accepted. */
  readonly base?: number;
  /** The version that the changed config shall have. */
  readonly version?: number;
}

/** A change read from a request, or the response that refuses it. */
export type ConfigChangeRequest = { command: ConfigCommand } | { refusal: ClientResponse };

const refuse = (error: string, path: string, expected: string): { refusal: ClientResponse } => ({
  refusal: errorResponse(400, error, { faults: [{ path, expected }] }),
});

/** The version that a header names; undefined without the header. */
const versionIn = (
  header: string | undefined,
  pattern: RegExp,
): { isValid: boolean; version?: number } => {
  if (header === undefined) return { isValid: true };
  const digits = pattern.exec(header)?.[1];
  return digits === undefined ? { isValid: false } : { isValid: true, version: Number(digits) };
};

const readHeaders = (
  runtime: Runtime,
  headers: ProxyRequest["headers"],
): { change: ChangeHeaders } | { refusal: ClientResponse } => {
  const base = versionIn(headers["if-match"], IF_MATCH);
  if (!base.isValid)
    return refuse(
      "If-Match names no version.",
      "If-Match",
      'the version of a config, such as "12"',
    );
  const chosen = versionIn(headers["config-version"], CONFIG_VERSION);
  if (!chosen.isValid)
    return refuse("Config-Version names no version.", "Config-Version", "a number, such as 12");
  const changeId = headers["change-id"] ?? randomNonce(runtime);
  if (changeId.length === 0 || changeId.length > MAX_CHANGE_ID_LENGTH)
    return { refusal: errorResponse(400, "A Change-Id has 1 to 100 characters.") };
  return {
    change: {
      changeId,
      ...(base.version === undefined ? {} : { base: base.version }),
      ...(chosen.version === undefined ? {} : { version: chosen.version }),
    },
  };
};

const readItems = (value: unknown, change: ChangeHeaders): ConfigChangeRequest => {
  const [failure, items] = validate(value, itemsChangeShape);
  if (failure)
    return {
      refusal: errorResponse(400, "The change is refused whole.", {
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

/** Reads `PUT /config`, `PATCH /config` or `POST /config/items`; a change without a Change-Id is given a random one. */
export const readConfigChange = (
  runtime: Runtime,
  { method, headers, body }: ProxyRequest,
): ConfigChangeRequest => {
  const parsed = parseJsonBody(body);
  if (!parsed) return refuse("The body is not JSON.", "(whole)", "JSON");
  const read = readHeaders(runtime, headers);
  if ("refusal" in read) return read;
  if (method === "POST") return readItems(parsed.value, read.change);
  const kind = method === "PUT" ? "put" : "patch";
  return { command: { kind, ...read.change, value: parsed.value } };
};
