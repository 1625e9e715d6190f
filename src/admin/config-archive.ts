import { existsSync, promises as files } from "node:fs";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { AcceptedConfig } from "../state/state-machine.js";
import type { Logger } from "../runtime/logger.js";
import { Queue } from "../runtime/queue.js";
import { Task } from "../runtime/task.js";

/** Loaded only where configs are kept. */
const loadGit = async () => (await import("isomorphic-git")).default;

const author = { name: "daledoor", email: "record@daledoor.invalid" };
const fileName = "config.json";
const messageOf = (config: AcceptedConfig): string =>
  `Config ${config.sequence}\n\nChange: ${config.changeId}\nAccepted: ${config.acceptedAt}\n`;

/** A Git repository in which accepted configs are also kept, one commit each; never on the path of acceptance. */
export class ConfigArchive {
  private readonly folder: string;
  private readonly log: Logger;
  private readonly queue = new Queue<AcceptedConfig>();
  private newest = 0;

  constructor(folder: string, log: Logger) {
    this.folder = join(folder, "configs");
    this.log = log;
  }

  /** Takes note of an accepted config; it is kept when there is time. */
  keep(config: AcceptedConfig): void {
    this.queue.put(config);
  }

  /** Keeps configs one after another; what can't be kept is told and left out. */
  *run(): Task {
    const begun = yield* Task.fromPromise(this.begin());
    if ("error" in begun)
      return this.log.warn("The archive of configs can't be opened; none are kept in it.", {
        why: String(begun.error),
      });
    for (;;) {
      const config = yield* this.queue.take();
      if (config.sequence <= this.newest) continue;
      const kept = yield* Task.fromPromise(this.commit(config));
      if ("error" in kept)
        this.log.warn("A config could not be kept in the archive.", {
          sequence: config.sequence,
          why: String(kept.error),
        });
      else this.newest = config.sequence;
    }
  }

  private async begin(): Promise<void> {
    await mkdir(this.folder, { recursive: true });
    const git = await loadGit();
    if (!existsSync(join(this.folder, ".git")))
      await git.init({ fs: { promises: files }, dir: this.folder, defaultBranch: "main" });
    const [last] = await git
      .log({ fs: { promises: files }, dir: this.folder, depth: 1 })
      .catch(() => []);
    this.newest = Number(/^Config (\d+)/.exec(last?.commit.message ?? "")?.[1] ?? 0);
  }

  private async commit(config: AcceptedConfig): Promise<void> {
    const git = await loadGit();
    const parsed: unknown = JSON.parse(config.text);
    await writeFile(join(this.folder, fileName), `${JSON.stringify(parsed, null, 2)}\n`);
    await git.add({ fs: { promises: files }, dir: this.folder, filepath: fileName });
    await git.commit({
      fs: { promises: files },
      dir: this.folder,
      message: messageOf(config),
      author,
    });
  }
}
