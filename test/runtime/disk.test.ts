import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { openDisk, DiskError } from "../../src/runtime/disk.js";
import { type Task, runTask } from "../../src/runtime/task.js";

let folder = "";

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "disk-test-"));
});

afterEach(async () => {
  await rm(folder, { recursive: true, force: true });
});

const run = <T>(task: Task<T>): Promise<T> =>
  new Promise((resolve, reject) => runTask(task, reject, resolve));

const bytes = (text: string): Uint8Array => Buffer.from(text);

test("a file is replaced, appended to, truncated and removed", async () => {
  const disk = await run(openDisk(join(folder, "data")));
  const text = async (): Promise<string> =>
    Buffer.from((await run(disk.read("a"))) ?? bytes("none")).toString();
  expect(await text()).toBe("none");
  await run(disk.append("a", bytes("one")));
  await run(disk.append("a", bytes("two")));
  expect(await text()).toBe("onetwo");
  await run(disk.truncate("a", 4));
  await run(disk.append("a", bytes("!")));
  expect(await text()).toBe("onet!");
  await run(disk.write("a", bytes("new")));
  expect(await text()).toBe("new");
  expect(await run(disk.list())).toEqual(["a"]);
  await run(disk.remove("a"));
  expect(await run(disk.list())).toEqual([]);
});

test("a failed file system operation throws a disk error with its cause", async () => {
  const disk = await run(openDisk(folder));
  const failure: unknown = await run(disk.remove("absent")).catch((error: unknown) => error);
  expect(failure).toBeInstanceOf(DiskError);
  expect(failure).toMatchObject({ cause: { code: "ENOENT" } });
});
