import { isIP } from "node:net";
import { array, define, enums, nonempty, object, optional, size, string, validate, type Infer } from "superstruct";
import { Address } from "../link/wire.js";
import { faultsOf, type Fault } from "../contract/config.js";

const word = define<string>("word", (value) => (typeof value === "string" && /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/.test(value)) || "Expected a name of letters, digits, dots and dashes");
const address = define<string>("address", (value) => {
  if (typeof value !== "string") return "Expected an address of the form IP:port";
  const { host, port } = Address.parts(value);
  return (isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port < 65_536) || "Expected an address of the form IP:port";
});

const shape = object({
  machine: word,
  zone: word,
  callers: optional(address),
  operators: address,
  peers: address,
  seeds: size(array(address), 3),
  roles: optional(nonempty(array(enums(["edge", "recorder", "collector"])))),
  dataFolder: optional(nonempty(string())),
  logLevel: optional(enums(["debug", "info", "warn", "error"])),
});

/** One daemon's place: its name, zone, addresses, seeds and roles. */
export type Settings = Infer<typeof shape>;

/** What a daemon may be. */
export type Role = NonNullable<Settings["roles"]>[number];

/** Settings that can change while a daemon runs. */
const changeable: ReadonlyArray<keyof Settings> = ["logLevel"];

export const Settings = {
  /** Reads and checks settings whole. */
  check(value: unknown): { settings: Settings } | { faults: Fault[] } {
    const [error, settings] = validate(value, shape);
    if (error) return { faults: faultsOf(error.failures()) };
    const faults: Fault[] = [];
    const roles = Settings.roles(settings);
    if (roles.includes("recorder") && settings.dataFolder === undefined) faults.push({ path: "dataFolder", expected: "a folder, since this daemon is a recorder" });
    if (roles.includes("edge") && settings.callers === undefined) faults.push({ path: "callers", expected: "an address of the form IP:port, since this daemon is an edge" });
    if (new Set(settings.seeds).size !== settings.seeds.length) faults.push({ path: "seeds", expected: "three addresses that differ" });
    const own = [settings.callers, settings.operators, settings.peers].filter((one) => one !== undefined);
    if (new Set(own).size !== own.length) faults.push({ path: "peers", expected: "an address of its own for callers, operators and peers" });
    return faults.length > 0 ? { faults } : { settings };
  },

  /** The roles that are set, or those the machine can bear. */
  roles(settings: Settings): Role[] {
    return settings.roles ?? (settings.dataFolder === undefined ? ["edge"] : ["recorder", "collector"]);
  },

  /** What differs, parted into what applies at once and what needs a restart. */
  difference(before: Settings, after: Settings): { applied: string[]; needRestart: string[] } {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
    const pick = (settings: Settings, name: string): string => JSON.stringify(Object.entries(settings).find(([key]) => key === name)?.[1] ?? null);
    const differing = names.filter((name) => pick(before, name) !== pick(after, name));
    const isChangeable = (name: string): boolean => changeable.some((one) => one === name);
    return { applied: differing.filter(isChangeable), needRestart: differing.filter((name) => !isChangeable(name)) };
  },
};

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const good = { machine: "m1", zone: "a", callers: "127.0.0.1:1", operators: "127.0.0.1:2", peers: "127.0.0.1:3", seeds: ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"] };
  test("every fault of the settings is told at once, with its path", () => {
    expect(Settings.check(good)).toEqual({ settings: good });
    const bad = Settings.check({ ...good, machine: "", operators: "localhost:9", seeds: ["127.0.0.1:3"], colour: "red" });
    expect("faults" in bad && bad.faults.map(({ path }) => path)).toEqual(["machine", "operators", "seeds", "colour"]);
    const roles = Settings.check({ ...good, callers: undefined, roles: ["edge", "recorder"] });
    expect("faults" in roles && roles.faults.map(({ path }) => path)).toEqual(["dataFolder", "callers"]);
  });
  test("what can change while running is told from what needs a restart", () => {
    expect(Settings.difference(good, { ...good, zone: "b", logLevel: "warn" })).toEqual({ applied: ["logLevel"], needRestart: ["zone"] });
  });
}
