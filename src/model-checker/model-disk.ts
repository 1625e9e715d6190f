/** The disk of a model-checked member, whose writes become durable only when they are synced. */
import type { PersistedConsensusState } from "../consensus/state.js";
import type { LogRecord } from "../consensus/log-record.js";

/** The durable content of a disk: the consensus state, and the register's value as of its snapshot. */
export interface DiskContent extends PersistedConsensusState {
  readonly value: number;
}

/** A pending write, and the effect that its member executes once it is on disk. */
export interface PendingWrite<Effect> {
  readonly content:
    { readonly records: readonly LogRecord[] } | { readonly fullContent: DiskContent };
  readonly effect: Effect;
}

/** Applies one log record to the content, as the log store does when it replays its log. */
const applyRecord = (content: DiskContent, record: LogRecord): DiskContent => {
  switch (record.kind) {
    case "vote":
      return { ...content, term: record.term, votedFor: record.text };
    case "truncate":
      return { ...content, entries: content.entries.filter(({ index }) => index < record.index) };
    case "entry": {
      const term = Math.max(content.term, record.term);
      if (record.index <= content.lastIndex) return { ...content, term };
      const precedingEntries = content.entries.slice(0, record.index - content.lastIndex - 1);
      const { index, text } = record;
      return {
        ...content,
        term,
        entries: [...precedingEntries, { index, term: record.term, text }],
      };
    }
  }
};

/** A disk on which writes become durable only when they are synced, in order. */
export class ModelDisk<Effect> {
  content: DiskContent | undefined;
  pending: Array<PendingWrite<Effect>> = [];

  /** Makes the oldest pending write durable; returns its effect. */
  sync(): Effect | undefined {
    const write = this.pending.shift();
    if (write === undefined) return undefined;
    this.applyWrite(write);
    return write.effect;
  }

  /** Stops the machine: the oldest `keptWrites` pending writes are durable without their effects, the others are lost. */
  crash(keptWrites: number): void {
    for (const write of this.pending.slice(0, keptWrites)) this.applyWrite(write);
    this.pending = [];
  }

  wipe(): void {
    this.pending = [];
    this.content = undefined;
  }

  clone(): ModelDisk<Effect> {
    const copy = new ModelDisk<Effect>();
    copy.content = this.content;
    copy.pending = [...this.pending];
    return copy;
  }

  private applyWrite({ content }: PendingWrite<Effect>): void {
    if ("fullContent" in content) this.content = content.fullContent;
    else if (this.content !== undefined)
      this.content = content.records.reduce(applyRecord, this.content);
  }
}
