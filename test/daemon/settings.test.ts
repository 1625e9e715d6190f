import { expect, test } from "vitest";
import { checkSettings, settingsDifference } from "../../src/daemon/settings.js";

const validSettings = {
  machine: "m1",
  zone: "a",
  callers: "127.0.0.1:1",
  operators: "127.0.0.1:2",
  peers: "127.0.0.1:3",
  seeds: ["127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"],
};
test("reports every fault of the settings at once, with its path", () => {
  expect(checkSettings(validSettings)).toEqual({ settings: validSettings });
  const invalid = checkSettings({
    ...validSettings,
    machine: "",
    operators: "localhost:9",
    seeds: [],
    colour: "red",
  });
  expect("faults" in invalid && invalid.faults.map(({ path }) => path)).toEqual([
    "machine",
    "operators",
    "seeds",
    "colour",
  ]);
  const roles = checkSettings({
    ...validSettings,
    callers: undefined,
    roles: ["edge", "recorder"],
  });
  expect("faults" in roles && roles.faults.map(({ path }) => path)).toEqual([
    "dataFolder",
    "callers",
  ]);
});
test("separates changes that take effect at run time from those that need a restart", () => {
  expect(
    settingsDifference(validSettings, {
      ...validSettings,
      zone: "b",
      logLevel: "warn",
      seeds: ["127.0.0.1:4"],
    }),
  ).toEqual({ applied: ["logLevel", "seeds"], needRestart: ["zone"] });
});
