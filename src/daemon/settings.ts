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
import { validationFaults, type ValidationFault } from "../configuration/config.js";
import { Bounds } from "./bounds.js";
import { boundsShape } from "./bound-settings.js";

const word = define<string>(
  "word",
  (value) =>
    (typeof value === "string" && /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/.test(value)) ||
    "Expected a name of letters, digits, dots and dashes",
);
const address = define<string>("address", (value) => {
  if (typeof value !== "string") return "Expected an address of the form IP:port";
  const { host, port } = Address.parts(value);
  return (
    (isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536) ||
    "Expected an address of the form IP:port"
  );
});
const ms = max(min(number(), 0), 86_400_000);
const amount = min(number(), 0);

const shape = object({
  machine: word,
  zone: word,
  region: optional(word),
  zones: optional(record(word, word)),
  callers: optional(address),
  operators: address,
  peers: address,
  ready: optional(address),
  seeds: size(array(address), 1, 9),
  roles: optional(nonempty(array(enums(["edge", "recorder", "collector"])))),
  dataFolder: optional(nonempty(string())),
  logLevel: optional(enums(["debug", "info", "warn", "error"])),
  /** Whether the whole fleet starts for the first time, so that a record may be formed. */
  bootstrap: optional(boolean()),
  /** What may be lost at the same moment while all bounds hold. */
  tolerate: optional(object({ machines: min(integer(), 0), zones: min(integer(), 0) })),
  /** How often back ends announce themselves. */
  heartbeatMs: optional(ms),
  /** What this machine can bear. */
  limits: optional(
    object({
      memoryMb: optional(amount),
      descriptors: optional(amount),
      diskMb: optional(amount),
      cpu: optional(amount),
      linkMbps: optional(amount),
    }),
  ),
  bounds: optional(boundsShape),
});

/** One daemon's place: its name, zone, addresses, seeds and roles, and the bounds it is held to. */
export type Settings = Infer<typeof shape>;

/** What a daemon may be. */
export type Role = NonNullable<Settings["roles"]>[number];

/** Settings that can change while a daemon runs. */
const changeable: ReadonlyArray<keyof Settings> = ["logLevel", "seeds"];

export const Settings = {
  /** Reads and checks settings whole. */
  check(value: unknown): { settings: Settings } | { faults: ValidationFault[] } {
    const [error, settings] = validate(value, shape);
    if (error) return { faults: validationFaults(error.failures()) };
    const faults: ValidationFault[] = [];
    const roles = Settings.roles(settings);
    if (roles.includes("recorder") && settings.dataFolder === undefined)
      faults.push({ path: "dataFolder", expected: "a folder, since this daemon is a recorder" });
    if (roles.includes("edge") && settings.callers === undefined)
      faults.push({
        path: "callers",
        expected: "an address of the form IP:port, since this daemon is an edge",
      });
    if (new Set(settings.seeds).size !== settings.seeds.length)
      faults.push({ path: "seeds", expected: "addresses that differ" });
    const own = [settings.callers, settings.operators, settings.peers, settings.ready].filter(
      (one) => one !== undefined,
    );
    if (new Set(own).size !== own.length)
      faults.push({
        path: "peers",
        expected: "an address of its own for callers, operators, peers and readiness",
      });
    faults.push(...Bounds.faults(settings));
    return faults.length > 0 ? { faults } : { settings };
  },

  /** The roles that are set, or those the machine can bear. */
  roles(settings: Settings): Role[] {
    return (
      settings.roles ?? (settings.dataFolder === undefined ? ["edge"] : ["recorder", "collector"])
    );
  },

  /** What differs, parted into what applies at once and what needs a restart. */
  difference(before: Settings, after: Settings): { applied: string[]; needRestart: string[] } {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    const pick = (settings: Settings, name: string): string =>
      JSON.stringify(Object.entries(settings).find(([key]) => key === name)?.[1] ?? null);
    const differing = names.filter((name) => pick(before, name) !== pick(after, name));
    const isChangeable = (name: string): boolean => changeable.some((one) => one === name);
    return {
      applied: differing.filter(isChangeable),
      needRestart: differing.filter((name) => !isChangeable(name)),
    };
  },
};
