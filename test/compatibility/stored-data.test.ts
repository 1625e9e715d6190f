import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { create, record, string, unknown } from "superstruct";
import { describe, expect, test } from "vitest";
import {
  entryKinds,
  loadAfterInterruptedClear,
  SingleMemberCluster,
  readConfiguration,
  readStored,
  recordTexts,
  reencodeEntries,
  reencodeSnapshot,
  encodeRecord,
  writeSampleStorage,
  type Files,
} from "./stored-data.js";

const folder = import.meta.dirname;

/** The files of a stored data folder; the member works on a copy in memory. */
const readFolder = (folder: string): Files => {
  const path = join(folder, "data-1dcfb69", folder);
  return new Map(readdirSync(path).map((name) => [name, readFileSync(join(path, name))]));
};

const readJson = (name: string): Record<string, unknown> =>
  create(JSON.parse(readFileSync(join(folder, name), "utf8")), record(string(), unknown()));

const changeIds = ["c1", "c2", "c3", "c4", "c5", "c5b", "c6", "c7", "nobody's"];
const expected = readJson("expected-state.json");

describe("a data folder that a member wrote before", () => {
  const files = readFolder("member");

  test("gives the same state: snapshot, log entries, history and partial snapshot", () => {
    expect(readStored(files, changeIds)).toEqual(expected["member"]);
  });

  test("holds a log entry of every kind after its snapshot", () => {
    expect(entryKinds(files)).toEqual(expected["entryKinds"]);
  });

  test("has a snapshot that is written again byte for byte", () => {
    const { stored, rewritten } = reencodeSnapshot(files);
    expect(rewritten).toBe(stored);
  });

  test("has log entries that are written again byte for byte", () => {
    for (const { stored, rewritten } of reencodeEntries(files)) expect(rewritten).toBe(stored);
  });

  test("has a configuration with every field, which is read as it is stored", () => {
    const text = new SingleMemberCluster(files).configurationText(2) ?? "";
    expect(text).toBe(expected["secondText"]);
    expect(readConfiguration(text)).toEqual(JSON.parse(text));
  });

  test("is gone on from: a new command is taken, and a second restart finds it", () => {
    const member = new SingleMemberCluster(files);
    expect(member.receivedSnapshotBytes).toBe(512 * 1024);
    const before = readStored(member.files).state.version;
    const text = `{"services":{},"routes":{}}`;
    const outcome = member.commitEntry(
      `{"kind":"config","expected":8,"changeId":"after","acceptedAt":"later","text":${JSON.stringify(text)},"services":[],"routes":[]}`,
    );
    expect(outcome).toBe(`{"accepted":${before + 1}}`);
    const claim = `{"kind":"claim","scope":"kept","bodyHash":"h","job":"another"}`;
    expect(member.commitEntry(claim)).toBe(expected["claimAnswer"]);
    member.restart();
    const { version, configurations } = readStored(member.files).state;
    expect(version).toBe(before + 1);
    expect(configurations.at(-1)?.changeId).toBe("after");
    expect(member.configurationText(9)).toBe(text);
    expect(member.commitEntry(claim)).toBe(expected["claimAnswer"]);
  });
});

describe("the storage of a member", () => {
  const files = readFolder("storage");

  test("reads every form of slot, log record, history file and partial snapshot", () => {
    expect(readStored(files)).toEqual(expected["storage"]);
  });

  test("writes slots and log records byte for byte as before", () => {
    const written = writeSampleStorage();
    expect([...written.keys()].sort()).toEqual([...files.keys()].sort());
    for (const name of ["slot-a", "slot-b", "log-2"])
      expect(written.get(name)?.toString("hex")).toBe(files.get(name)?.toString("hex"));
  });

  test("writes the records of history files as before", () => {
    const written = writeSampleStorage();
    for (const name of ["history-0", "configs-3"])
      expect(recordTexts(written.get(name) ?? Buffer.alloc(0))).toEqual(
        recordTexts(files.get(name) ?? Buffer.alloc(0)),
      );
  });

  test("seals a record by its length and checksum as before", () => {
    expect(Buffer.from(encodeRecord("a record")).toString("hex")).toBe(expected["sealed"]);
  });

  test("takes a folder whose clearing was interrupted for damaged, by the mark's name", () => {
    expect(loadAfterInterruptedClear()).toEqual({
      found: "damaged",
      names: ["clearing", "snapshot-part"],
    });
  });
});
