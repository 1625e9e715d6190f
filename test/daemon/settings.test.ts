import { expect, test } from "vitest";
import { checkSettings, settingsDifference } from "../../src/daemon/settings.js";

const good = {
  machine: "m1",
  zone: "a",
  callers: "127.0.0.1:1",
  operators: "127.0.0.1:2",
  peers: "127.0.0.1:3",
  seeds: ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"],
};
test("reports every fault of the settings at once, with its path", () => {
  expect(checkSettings(good)).toEqual({ settings: good });
  const bad = checkSettings({
    ...good,
    machine: "",
    operators: "localhost:9",
    seeds: [],
    colour: "red",
  });
  expect("faults" in bad && bad.faults.map(({ path }) => path)).toEqual([
    "machine",
    "operators",
    "seeds",
    "colour",
  ]);
  const roles = checkSettings({ ...good, callers: undefined, roles: ["edge", "recorder"] });
  expect("faults" in roles && roles.faults.map(({ path }) => path)).toEqual([
    "dataFolder",
    "callers",
  ]);
});
test("separates changes that apply at run time from those that need a restart", () => {
  expect(
    settingsDifference(good, { ...good, zone: "b", logLevel: "warn", seeds: ["127.0.0.1:4"] }),
  ).toEqual({ applied: ["logLevel", "seeds"], needRestart: ["zone"] });
});
