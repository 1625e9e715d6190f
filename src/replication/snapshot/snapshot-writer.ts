/** Writes this node's own snapshots, and compacts its log behind them. */
import { countWithinLimit, type BatchLimit } from "../../consensus/replication.js";
import { compactLog } from "../../consensus/snapshot.js";
import { membersAt } from "../../consensus/state.js";
import type { Entry } from "../../rpc/rpc-method.js";
import type { Logger } from "../../runtime/logger.js";
import type { Runtime } from "../../runtime/runtime.js";
import type { StepTimer } from "../../runtime/step-timer.js";
import type { StateMachine } from "../../state/state-machine.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { DurableState } from "../log/durable-state.js";
import type { LogStore } from "../log/log-store.js";
import type { LogWriter } from "../log/log-writer.js";
import type { NodeEventSink } from "../node-event.js";

/** By which part of the snapshot size the sizes of members differ, so that not all write at once. */
const SNAPSHOT_SIZE_SPREAD = 0.4;
/** What stays of the log behind a snapshot, for followers that lag a little. */
const RETAINED_LOG_LIMIT: BatchLimit = { entries: 2000, bytes: 16 * 1024 * 1024 };
/** What stays of it at most during transfers of a snapshot, so that entries can follow it. */
const RETAINED_LOG_LIMIT_DURING_TRANSFER: BatchLimit = {
  entries: 20_000,
  bytes: 32 * 1024 * 1024,
};

/** What a snapshot writer works with. */
export interface SnapshotWriterOptions {
  readonly runtime: Runtime;
  readonly log: Logger;
  readonly steps: StepTimer;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly stateMachine: StateMachine;
  readonly store: LogStore;
  readonly writer: LogWriter;
  /** The size of the log after the last snapshot at which the next is due. */
  readonly snapshotBytes: number;
  /** Which fleet's log this node has, once it is formed. */
  readonly formation: { readonly isFormed: boolean; readonly fleet: string };
  /** The index after which the log must be retained for transfers under way. */
  readonly retainedIndex: (nowMs: number) => number | undefined;
  /** Called once the snapshot's write is queued. */
  readonly onQueued: (lastIndex: number) => void;
}

/** The number of entries at the end of a list that stay within a limit. */
const countRetained = (newestFirst: readonly Entry[], limit: BatchLimit): number =>
  newestFirst.length > 0 ? countWithinLimit(newestFirst, limit) : 0;

/** Decides when a snapshot is due and writes it. */
export class SnapshotWriter {
  private readonly options: SnapshotWriterOptions;
  private readonly dueBytes: number;
  private isWriting = false;

  constructor(options: SnapshotWriterOptions) {
    this.options = options;
    const part = 1 - SNAPSHOT_SIZE_SPREAD * options.runtime.random();
    this.dueBytes = options.snapshotBytes * part;
  }

  /** Writes a snapshot up to the applied index, where the log is large and none is being written. */
  writeIfDue(appliedIndex: number): void {
    const { writer, formation } = this.options;
    if (this.isWriting || writer.logBytes <= this.dueBytes || !formation.isFormed) return;
    this.write(appliedIndex, { completesRejoin: false });
  }

  /** Writes a snapshot up to an index; one that completes the rejoin makes this member count again once it is on disk. */
  write(lastIndex: number, { completesRejoin }: { readonly completesRejoin: boolean }): void {
    const { runtime, log, consensus, events, writer, onQueued } = this.options;
    this.isWriting = true;
    const startedMs = runtime.clock.nowMs();
    const durableState = this.durableState(lastIndex, completesRejoin);
    consensus.update(compactLog(consensus.current, this.compactionIndex(lastIndex)));
    const madeMs = runtime.clock.nowMs();
    writer.writeSnapshot(durableState, () => {
      this.isWriting = false;
      log.info("snapshot written", {
        bytes: durableState.snapshot.length,
        madeInMs: Math.round(madeMs - startedMs),
        writtenInMs: Math.round(runtime.clock.nowMs() - madeMs),
      });
      if (completesRejoin) events.put({ kind: "rejoinPersisted" });
    });
    onQueued(lastIndex);
  }

  private durableState(lastIndex: number, completesRejoin: boolean): DurableState {
    const { steps, consensus, stateMachine, store, formation } = this.options;
    const { term, votedFor, rejoinNonce, log } = consensus.current;
    const members = membersAt(consensus.current, lastIndex);
    return {
      fleet: formation.fleet,
      rejoinNonce: completesRejoin ? "" : rejoinNonce,
      term,
      votedFor,
      lastIndex,
      lastTerm: log.termAt(lastIndex) ?? 0,
      snapshot: steps.run("makeSnapshot", () =>
        stateMachine.snapshot(members, store.history.newestSequence),
      ),
      entries: log.entriesFrom(lastIndex + 1),
    };
  }

  /** The index up to which the log is dropped: some of it stays, and more while a snapshot is being transferred. */
  private compactionIndex(lastIndex: number): number {
    const { runtime, consensus, retainedIndex } = this.options;
    const { log } = consensus.current;
    const newestFirst = log.entriesFrom(log.baseIndex + 1, lastIndex - log.baseIndex).reverse();
    const retainedCount = countRetained(newestFirst, RETAINED_LOG_LIMIT);
    const transferredIndex = retainedIndex(runtime.clock.nowMs()) ?? lastIndex;
    const transferCount = Math.min(
      lastIndex - transferredIndex,
      countRetained(newestFirst, RETAINED_LOG_LIMIT_DURING_TRANSFER),
    );
    return lastIndex - Math.max(retainedCount, transferCount);
  }
}
