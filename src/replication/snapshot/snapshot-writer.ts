/** Writes this node's own snapshots, and compacts its log up to them. */
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

/** Fraction of the snapshot size by which members' thresholds differ, so that not all write at the same time. */
const SNAPSHOT_SIZE_SPREAD = 0.4;
/** The part of the log before a snapshot that is retained for followers that lag slightly. */
const RETAINED_LOG_LIMIT: BatchLimit = { entries: 2000, bytes: 16 * 1024 * 1024 };
/** The maximum part of the log that is retained during snapshot transfers, for the entries after the snapshot. */
const RETAINED_LOG_LIMIT_DURING_TRANSFER: BatchLimit = {
  entries: 20_000,
  bytes: 32 * 1024 * 1024,
};

/** The dependencies of a snapshot writer. */
export interface SnapshotWriterOptions {
  readonly runtime: Runtime;
  readonly log: Logger;
  readonly steps: StepTimer;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventSink;
  readonly stateMachine: StateMachine;
  readonly store: LogStore;
  readonly writer: LogWriter;
  /** Size of the log after the last snapshot at which the next one is due, in bytes. */
  readonly snapshotBytes: number;
  /** The fleet whose log this node has, and whether the log is formed. */
  readonly formation: { readonly isFormed: boolean; readonly fleet: string };
  /** Returns the index after which the log must be retained for active transfers. */
  readonly retainedIndex: (nowMs: number) => number | undefined;
  /** Called after the snapshot's write is queued. */
  readonly onQueued: (lastIndex: number) => void;
}

/** Counts the newest entries that stay within a limit. */
const countRetained = (newestFirst: readonly Entry[], limit: BatchLimit): number =>
  newestFirst.length > 0 ? countWithinLimit(newestFirst, limit) : 0;

/** Decides when a snapshot is due and writes it. */
export class SnapshotWriter {
  private readonly options: SnapshotWriterOptions;
  private readonly thresholdBytes: number;
  private isWriting = false;

  constructor(options: SnapshotWriterOptions) {
    this.options = options;
    const sizeFactor = 1 - SNAPSHOT_SIZE_SPREAD * options.runtime.random();
    this.thresholdBytes = options.snapshotBytes * sizeFactor;
  }

  /** Writes a snapshot up to the applied index if the log exceeds the threshold and no snapshot is being written. */
  writeIfDue(appliedIndex: number): void {
    const { writer, formation, stateMachine } = this.options;
    if (this.isWriting || writer.logBytes <= this.thresholdBytes || !formation.isFormed) return;
    // The log is the only place of configurations that neither the history nor the snapshot contains.
    if (stateMachine.exceedsSnapshot) return;
    this.write(appliedIndex, { completesRejoin: false });
  }

  /**
   * Writes a snapshot up to an index; one that completes a rejoin makes this member vote and acknowledge once it is on
   * disk.
   */
  write(lastIndex: number, { completesRejoin }: { readonly completesRejoin: boolean }): void {
    const { runtime, log, consensus, events, writer, onQueued } = this.options;
    this.isWriting = true;
    const startedMs = runtime.clock.nowMs();
    const durableState = this.createDurableState(lastIndex, completesRejoin);
    consensus.update(compactLog(consensus.current, this.compactionIndex(lastIndex)));
    const createdMs = runtime.clock.nowMs();
    writer.writeSnapshot(durableState, () => {
      this.isWriting = false;
      log.info("snapshot written", {
        bytes: durableState.snapshot.length,
        madeInMs: Math.round(createdMs - startedMs),
        writtenInMs: Math.round(runtime.clock.nowMs() - createdMs),
      });
      if (completesRejoin) events.put({ kind: "rejoinPersisted" });
    });
    onQueued(lastIndex);
  }

  private createDurableState(lastIndex: number, completesRejoin: boolean): DurableState {
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

  /** Returns the index up to which the log is dropped; more of the log is retained during snapshot transfers. */
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
