import type { PersistedConsensusState } from "../consensus/state.js";
import type { LogRecord } from "../consensus/log-record.js";

/** What a member's disk holds: the agreement's state, and the register's value as of its snapshot. */
export interface DiskContent extends PersistedConsensusState {
  readonly value: number;
}

/** A write under way, and what its member does once it is on disk. */
export interface PendingWrite<Then> {
  readonly content:
    { readonly records: readonly LogRecord[] } | { readonly fullContent: DiskContent };
  readonly effect: Then;
}

/** Adds one record to what the disk holds, as the store replays its log. */
const applyRecord = (content: DiskContent, record: LogRecord): DiskContent => {
  switch (record.kind) {
    case "vote":
      return { ...content, term: record.term, votedFor: record.text };
    case "truncate":
      return { ...content, entries: content.entries.filter(({ index }) => index < record.index) };
    case "entry": {
      const term = Math.max(content.term, record.term);
      if (record.index <= content.lastIndex) return { ...content, term };
      const before = content.entries.slice(0, record.index - content.lastIndex - 1);
      const { index, text } = record;
      return { ...content, term, entries: [...before, { index, term: record.term, text }] };
    }
  }
};

/** A disk on which writes last only once they are synced, in order. */
export class ModelDisk<Then> {
  content: DiskContent | undefined;
  pending: Array<PendingWrite<Then>> = [];

  /** The oldest write reaches the disk; tells what its member does now. */
  sync(): Then | undefined {
    const write = this.pending.shift();
    if (write === undefined) return undefined;
    this.put(write);
    return write.effect;
  }

  /** The machine stops: some of the oldest writes are on disk though nobody was told, the others are lost. */
  crash(keptWrites: number): void {
    for (const write of this.pending.slice(0, keptWrites)) this.put(write);
    this.pending = [];
  }

  wipe(): void {
    this.pending = [];
    this.content = undefined;
  }

  clone(): ModelDisk<Then> {
    const copy = new ModelDisk<Then>();
    copy.content = this.content;
    copy.pending = [...this.pending];
    return copy;
  }

  private put({ content }: PendingWrite<Then>): void {
    if ("whole" in content) this.content = content.fullContent;
    else if (this.content !== undefined)
      this.content = content.records.reduce(applyRecord, this.content);
  }
}
