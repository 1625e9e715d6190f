/** The settings of one daemon: their shape, validation, and which of them can change at run time. */
import { isIP } from "node:net";
import {
  array,
  define,
  enums,
  integer,
  max,
  min,
  nonempty,
  number,
  object,
  optional,
  boolean,
  record,
  size,
  string,
  validate,
  type Infer,
} from "superstruct";
import { Address } from "../runtime/network.js";
import { validationFaults, type ValidationFault } from "../configuration/config-validation.js";
import { boundFaults } from "./bounds.js";
import { boundsShape } from "./bound-settings.js";

const nameShape = define<string>(
  "word",
  (value) =>
    (typeof value === "string" && /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/.test(value)) ||
    "Expected a name of letters, digits, dots and dashes",
);
const addressShape = define<string>("address", (value) => {
  if (typeof value !== "string") return "Expected an address of the form IP:port";
  const { host, port } = Address.parse(value);
  return (
    (isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port <= MAX_PORT) ||
    "Expected an address of the form IP:port"
  );
});
const MAX_DURATION_MS = 86_400_000;
const MAX_PORT = 65_535;
const durationMs = max(min(number(), 0), MAX_DURATION_MS);
const quantity = min(number(), 0);

const settingsShape = object({
  machine: nameShape,
  zone: nameShape,
  region: optional(nameShape),
  zones: optional(record(nameShape, nameShape)),
  callers: optional(addressShape),
  operators: addressShape,
  peers: addressShape,
  ready: optional(addressShape),
  seeds: size(array(addressShape), 1, 9),
  roles: optional(nonempty(array(enums(["edge", "recorder", "collector"])))),
  dataFolder: optional(nonempty(string())),
  logLevel: optional(enums(["debug", "info", "warn", "error"])),
  /** Whether the fleet starts for the first time, so that a replicated log may be formed. */
  bootstrap: optional(boolean()),
  /** How many machines and zones may fail at the same time without a bound being exceeded. */
  tolerate: optional(object({ machines: min(integer(), 0), zones: min(integer(), 0) })),
  /** How often backends send heartbeats. */
  heartbeatMs: optional(durationMs),
  /** The resources of this machine. */
  limits: optional(
    object({
      memoryMb: optional(quantity),
      descriptors: optional(quantity),
      diskMb: optional(quantity),
      cpu: optional(quantity),
      linkMbps: optional(quantity),
    }),
  ),
  bounds: optional(boundsShape),
});

/** The settings of one daemon: its name, zone, addresses, seeds, roles and bounds. */
export type Settings = Infer<typeof settingsShape>;

/** A role of a daemon: it proxies requests, replicates the log, or aggregates request counts. */
export type Role = NonNullable<Settings["roles"]>[number];

/** The settings that apply at once when they change; all others need a restart. */
const RELOADABLE_NAMES: ReadonlyArray<keyof Settings> = ["logLevel", "seeds"];

/** Validates settings and reports all faults at once. */
export function checkSettings(
  value: unknown,
): { settings: Settings } | { faults: ValidationFault[] } {
  const [error, settings] = validate(value, settingsShape);
  if (error) return { faults: validationFaults(error.failures()) };
  const faults: ValidationFault[] = [];
  const roles = rolesOf(settings);
  if (roles.includes("recorder") && settings.dataFolder === undefined)
    faults.push({ path: "dataFolder", expected: "a folder, since this daemon is a recorder" });
  if (roles.includes("edge") && settings.callers === undefined)
    faults.push({
      path: "callers",
      expected: "an address of the form IP:port, since this daemon is an edge",
    });
  if (new Set(settings.seeds).size !== settings.seeds.length)
    faults.push({ path: "seeds", expected: "addresses that differ" });
  const ownAddresses = [
    settings.callers,
    settings.operators,
    settings.peers,
    settings.ready,
  ].filter((ownAddress) => ownAddress !== undefined);
  if (new Set(ownAddresses).size !== ownAddresses.length)
    faults.push({
      path: "peers",
      expected: "an address of its own for callers, operators, peers and readiness",
    });
  faults.push(...boundFaults(settings));
  return faults.length > 0 ? { faults } : { settings };
}

/** The roles that are set, by default those that the machine's disk allows. */
export function rolesOf(settings: Settings): Role[] {
  return (
    settings.roles ?? (settings.dataFolder === undefined ? ["edge"] : ["recorder", "collector"])
  );
}

/** The names of the settings that differ: those that apply at once and those that need a restart. */
export function settingsDifference(
  before: Settings,
  after: Settings,
): { applied: string[]; needRestart: string[] } {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  const valueOf = (settings: Settings, name: string): string =>
    JSON.stringify(Object.entries(settings).find(([key]) => key === name)?.[1] ?? null);
  const changedNames = names.filter((name) => valueOf(before, name) !== valueOf(after, name));
  const isReloadable = (name: string): boolean =>
    RELOADABLE_NAMES.some((reloadable) => reloadable === name);
  return {
    applied: changedNames.filter(isReloadable),
    needRestart: changedNames.filter((name) => !isReloadable(name)),
  };
}
