import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { SettingsError } from "../../src/daemon/settings-error.js";
import { SettingsFile } from "../../src/daemon/settings-file.js";

const validSettings = {
  machine: "m1",
  zone: "a",
  callers: "127.0.0.1:1",
  operators: "127.0.0.1:2",
  peers: "127.0.0.1:3",
  seeds: ["127.0.0.1:3"],
};

test("reads a settings file whose fields flags override, and detects a changed text", () => {
  const folder = mkdtempSync(join(tmpdir(), "daledoor-settings-"));
  try {
    const path = join(folder, "settings.json");
    writeFileSync(path, JSON.stringify(validSettings));
    const file = SettingsFile.withOverrides(path, { zone: "b" });
    expect(file.read()).toEqual({ ...validSettings, zone: "b" });
    expect(file.hasChanged).toBe(false);
    writeFileSync(
      path,
      JSON.stringify({ ...validSettings, seeds: ["127.0.0.1:4", "127.0.0.1:5"] }),
    );
    expect(file.hasChanged).toBe(true);
    expect(file.read().seeds).toEqual(["127.0.0.1:4", "127.0.0.1:5"]);
    writeFileSync(path, "{");
    expect(file.hasChanged).toBe(true);
    expect(() => file.read()).toThrow(SettingsError);
    expect(file.hasChanged).toBe(false);
    rmSync(path);
    expect(file.hasChanged).toBe(false);
    expect(() => file.read()).toThrow(SettingsError);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
});

test("uses the flags alone as settings without a file", () => {
  expect(SettingsFile.withOverrides(undefined, validSettings).read()).toEqual(validSettings);
  expect(() => SettingsFile.withOverrides(undefined, {}).read()).toThrow(SettingsError);
});
