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
    "Expected a name of 1 to 63 letters, digits, dots, dashes and underscores",
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
  /** Whether this is the first start of the fleet, so that a new replicated log may be created. */
  bootstrap: optional(boolean()),
  /** Numbers of machines and zones that may fail at the same time without exceeding a bound. */
  tolerate: optional(object({ machines: min(integer(), 0), zones: min(integer(), 0) })),
  /** Interval between the heartbeats of a backend. */
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

/** The settings whose changes take effect at run time; all others need a restart. */
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
    faults.push({ path: "seeds", expected: "addresses without duplicates" });
  const ownAddresses = [
    settings.callers,
    settings.operators,
    settings.peers,
    settings.ready,
  ].filter((ownAddress) => ownAddress !== undefined);
  if (new Set(ownAddresses).size !== ownAddresses.length)
    faults.push({
      path: "peers",
      expected: "different addresses for callers, operators, peers and ready",
    });
  faults.push(...boundFaults(settings));
  return faults.length > 0 ? { faults } : { settings };
}

/** The configured roles; by default recorder and collector on a machine with a data folder, else edge. */
export function rolesOf(settings: Settings): Role[] {
  return (
    settings.roles ?? (settings.dataFolder === undefined ? ["edge"] : ["recorder", "collector"])
  );
}

/** The names of the settings that differ: those that take effect at run time and those that need a restart. */
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
