/** Finds accepted configurations by version; the history is indexed by sequence. */
import type { LeaderReplica } from "./leader-log.js";
import { versionOf, type AcceptedConfig } from "../state/accepted-config.js";
import type { StateMachine } from "../state/state-machine.js";
import type { Task } from "../runtime/task.js";

/** The result of a lookup. */
export type ConfigLookup =
  | { readonly kind: "found"; readonly config: AcceptedConfig }
  /** No configuration was accepted under this version. */
  | { readonly kind: "missing" }
  /** It may have been accepted and removed since, to free disk space. */
  | { readonly kind: "removed" }
  /** No reachable member has it, and some members were unreachable. */
  | { readonly kind: "unknown" };

type RecentConfig = StateMachine["recentConfigs"][number];

/** Looks up accepted configurations by version. */
export class ConfigVersionLookup {
  private readonly stateMachine: StateMachine;
  private readonly replica: Pick<LeaderReplica, "readConfig">;

  constructor(stateMachine: StateMachine, replica: Pick<LeaderReplica, "readConfig">) {
    this.stateMachine = stateMachine;
    this.replica = replica;
  }

  /** Finds a version below the active one; `newestSequence` is the sequence of the active configuration. */
  *find(version: number, newestSequence: number): Task<ConfigLookup> {
    const recent = this.findRecentFrom(version);
    if (!recent) return yield* this.search(version, newestSequence);
    if (versionOf(recent) !== version) return { kind: "missing" };
    const read = yield* this.replica.readConfig(recent.sequence);
    return read;
  }

  /** The first recent configuration with this version or a higher one; `undefined` where an older one may have the version. */
  private findRecentFrom(version: number): RecentConfig | undefined {
    const { recentConfigs: recent } = this.stateMachine;
    const index = recent.findIndex((config) => versionOf(config) >= version);
    const found = recent[index];
    return found && (index > 0 || versionOf(found) === version) ? found : undefined;
  }

  /** Searches the older configurations by bisection, since versions increase with sequences. */
  private *search(version: number, newestSequence: number): Task<ConfigLookup> {
    let low = 1;
    let high = Math.min(version, this.stateMachine.recentConfigs[0]?.sequence ?? newestSequence);
    let isLowRemoved = false;
    while (low <= high) {
      const middle = version === high ? high : Math.floor((low + high) / 2);
      const read = yield* this.replica.readConfig(middle);
      if (read.kind === "unknown") return read;
      if (read.kind === "found" && versionOf(read.config) === version) return read;
      const isRemoved = read.kind === "removed";
      if (isRemoved || versionOf(read.config) < version) {
        low = middle + 1;
        isLowRemoved = isRemoved;
      } else {
        high = middle - 1;
      }
    }
    return { kind: isLowRemoved ? "removed" : "missing" };
  }
}
