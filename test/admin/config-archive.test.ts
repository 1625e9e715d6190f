import { promises as files } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import git from "isomorphic-git";
import { expect, test } from "vitest";
import { createLineLoggers } from "../../src/runtime/logger.js";
import { runTask } from "../../src/runtime/task.js";
import { ConfigArchive } from "../../src/admin/config-archive.js";
import type { AcceptedConfig } from "../../src/state/accepted-config.js";

test("commits each config once, also across a restart", async () => {
  const folder = await mkdtemp(join(tmpdir(), "daledoor-archive-"));
  const log = createLineLoggers(() => undefined).component("operator");
  const config = (sequence: number): AcceptedConfig => ({
    sequence,
    index: sequence,
    changeId: `c${sequence}`,
    acceptedAt: "",
    text: `{"n":${sequence}}`,
  });
  const messages = async (): Promise<string[]> =>
    (await git.log({ fs: { promises: files }, dir: join(folder, "configs") }).catch(() => [])).map(
      ({ commit }) => commit.message.split("\n")[0] ?? "",
    );
  const run = async (sequences: number[], expected: number): Promise<void> => {
    const archive = new ConfigArchive(folder, log);
    for (const sequence of sequences) archive.enqueue(config(sequence));
    runTask(archive.run(), (error) => {
      throw error;
    });
    await expect.poll(async () => (await messages()).length, { timeout: 20_000 }).toBe(expected);
  };
  try {
    await run([1, 2], 2);
    await run([1, 2, 3], 3);
    expect(await messages()).toEqual(["Config 3", "Config 2", "Config 1"]);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
});
