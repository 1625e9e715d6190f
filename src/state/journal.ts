/** The replicated journal of cluster events, for operators. */
import { array, number, object, string } from "superstruct";
import type { LogCommandOf } from "./log-command.js";

/** Maximum number of entries. */
const MAX_JOURNAL_ENTRIES = 1000;

/** A line of the journal, with the index of its log entry. */
export interface JournalEntry {
  index: number;
  text: string;
}

/** The stored shape of the journal. */
export const journalShape = array(object({ index: number(), text: string() }));

/** The newest entries of the journal. */
export class Journal {
  private retained: JournalEntry[] = [];

  /** The entries, oldest first; also the stored form of the journal. */
  get entries(): JournalEntry[] {
    return this.retained;
  }

  /** Loads stored entries. */
  restore(entries: JournalEntry[]): void {
    this.retained = entries;
  }

  /** Adds a line, and drops the oldest beyond the limit. */
  add(index: number, text: string): void {
    this.retained.push({ index, text });
    if (this.retained.length > MAX_JOURNAL_ENTRIES)
      this.retained.splice(0, this.retained.length - MAX_JOURNAL_ENTRIES);
  }

  /** Applies a log command that only adds a line. */
  apply(
    index: number,
    command: LogCommandOf<"leads" | "members" | "rejoined" | "note">,
  ): Readonly<Record<string, never>> {
    this.add(index, Journal.formatLine(command));
    return {};
  }

  private static formatLine(
    command: LogCommandOf<"leads" | "members" | "rejoined" | "note">,
  ): string {
    switch (command.kind) {
      case "leads":
        return `${command.machine} leads the record in term ${command.term}.`;
      case "members":
        return `Voters: ${command.voters.join(", ")}; learners: ${command.learners.join(", ") || "none"}.`;
      case "rejoined":
        return `${command.machine} rejoined the record.`;
      case "note":
        return command.text;
    }
  }
}
