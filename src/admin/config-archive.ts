/** Archives accepted configs in a Git repository that only operators read; the daemon does not depend on it. */
import { existsSync, promises as files } from "node:fs";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { AcceptedConfig } from "../state/accepted-config.js";
import type { Logger } from "../runtime/logger.js";
import { Queue } from "../runtime/queue.js";
import { type Task, fromPromise } from "../runtime/task.js";

/** Loads the Git library on first use, since most daemons have no archive. */
const loadGit = async () => (await import("isomorphic-git")).default;

const AUTHOR = { name: "daledoor", email: "record@daledoor.invalid" };
const CONFIG_FILE_NAME = "config.json";
const GIT_FILE_SYSTEM = { promises: files };

const commitMessage = (config: AcceptedConfig): string =>
  `Config ${config.sequence}\n\nChange: ${config.changeId}\nAccepted: ${config.acceptedAt}\n`;

/** Commits accepted configs to a Git repository, one commit each, in the background. */
export class ConfigArchive {
  private readonly folder: string;
  private readonly log: Logger;
  private readonly queue = new Queue<AcceptedConfig>();
  /** The sequence of the last config that was committed. */
  private archivedSequence = 0;

  /** The repository is the folder `configs` in the data folder. */
  constructor(dataFolder: string, log: Logger) {
    this.folder = join(dataFolder, "configs");
    this.log = log;
  }

  /** Queues an accepted config for `run` to commit. */
  enqueue(config: AcceptedConfig): void {
    this.queue.put(config);
  }

  /** Commits queued configs in order; logs and skips a config that can't be committed. */
  *run(): Task {
    const opened = yield* fromPromise(this.open());
    if ("error" in opened)
      return this.log.warn("config archive unavailable", { why: String(opened.error) });
    for (;;) {
      const config = yield* this.queue.take();
      if (config.sequence <= this.archivedSequence) continue;
      const committed = yield* fromPromise(this.commit(config));
      if ("error" in committed)
        this.log.warn("config not archived", {
          sequence: config.sequence,
          why: String(committed.error),
        });
      else this.archivedSequence = config.sequence;
    }
  }

  private async open(): Promise<void> {
    await mkdir(this.folder, { recursive: true });
    const git = await loadGit();
    if (!existsSync(join(this.folder, ".git")))
      await git.init({ fs: GIT_FILE_SYSTEM, dir: this.folder, defaultBranch: "main" });
    const [lastCommit] = await git
      .log({ fs: GIT_FILE_SYSTEM, dir: this.folder, depth: 1 })
      .catch(() => []);
    const sequence = /^Config (\d+)/.exec(lastCommit?.commit.message ?? "")?.[1];
    this.archivedSequence = Number(sequence ?? 0);
  }

  private async commit(config: AcceptedConfig): Promise<void> {
    const git = await loadGit();
    const parsed: unknown = JSON.parse(config.text);
    await writeFile(join(this.folder, CONFIG_FILE_NAME), `${JSON.stringify(parsed, null, 2)}\n`);
    await git.add({ fs: GIT_FILE_SYSTEM, dir: this.folder, filepath: CONFIG_FILE_NAME });
    await git.commit({
      fs: GIT_FILE_SYSTEM,
      dir: this.folder,
      message: commitMessage(config),
      author: AUTHOR,
    });
  }
}
