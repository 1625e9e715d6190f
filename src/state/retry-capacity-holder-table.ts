/** The edges that may hold a part of the retry capacity, whose reports a new leader waits for. */
import type { LogCommandOf } from "./log-command.js";

/** The edges that may hold retry capacity. */
export class RetryCapacityHolderTable {
  private holders = new Set<string>();

  /** The edges, each identified by its name and incarnation. */
  get edges(): ReadonlySet<string> {
    return this.holders;
  }

  /** The stored form of the table. */
  toStored(): string[] {
    return [...this.holders];
  }

  /** Loads stored edges. */
  restore(stored: readonly string[]): void {
    this.holders = new Set(stored);
  }

  /** Applies a log command. */
  apply(command: LogCommandOf<"holder" | "holdersPast">): Readonly<Record<string, never>> {
    if (command.kind === "holder") this.holders.add(command.edge);
    else for (const edge of command.edges) this.holders.delete(edge);
    return {};
  }
}
