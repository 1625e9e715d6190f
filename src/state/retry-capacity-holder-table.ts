/** The edges that may hold a part of the retry capacity, so that a new leader knows which to wait for. */
import type { LogCommandOf } from "./log-command.js";

/** The edges that may hold retry capacity. */
export class RetryCapacityHolderTable {
  private names = new Set<string>();

  /** The edges, each as its name and incarnation. */
  get edges(): ReadonlySet<string> {
    return this.names;
  }

  /** The stored form of the table. */
  toStored(): string[] {
    return [...this.names];
  }

  /** Takes over stored edges. */
  restore(toStored: readonly string[]): void {
    this.names = new Set(toStored);
  }

  /** Applies a log command. */
  apply(command: LogCommandOf<"holder" | "holdersPast">): Readonly<Record<string, never>> {
    if (command.kind === "holder") this.names.add(command.edge);
    else for (const edge of command.edges) this.names.delete(edge);
    return {};
  }
}
