/** Applies committed entries to the state machine. */
import { completesRejoin, parseRejoinMarker } from "../../consensus/rejoin.js";
import type { ConsensusState } from "../../consensus/state.js";
import type { Entry } from "../../rpc/rpc-method.js";
import type { StepTimer } from "../../runtime/step-timer.js";
import type { StateMachine } from "../../state/state-machine.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { PendingProposals } from "../proposals/pending-proposals.js";
import type { SnapshotWriter } from "../snapshot/snapshot-writer.js";

/** Thrown when the replicated log in memory contradicts itself; the daemon must not go on. */
export class LogInvariantError extends Error {
  readonly code = "LOG_INVARIANT";
}

/** What a log applier works with. */
export interface LogApplierOptions {
  readonly steps: StepTimer;
  readonly consensus: ConsensusOwner;
  readonly stateMachine: StateMachine;
  readonly pending: PendingProposals;
  readonly snapshots: SnapshotWriter;
}

/** The owner of the index up to which the state machine has applied the log. */
export class LogApplier {
  private readonly options: LogApplierOptions;
  private index = 0;

  constructor(options: LogApplierOptions) {
    this.options = options;
  }

  /** The index of the last applied entry. */
  get appliedIndex(): number {
    return this.index;
  }

  /** The state machine was restored from a snapshot that ends at an index. */
  onRestored(index: number): void {
    this.index = index;
  }

  /** Sets the consensus state, applies what is committed in it, and writes a snapshot where one is due. */
  advance(state: ConsensusState): void {
    const { consensus, snapshots } = this.options;
    consensus.update(state);
    while (this.index < consensus.current.committedIndex) {
      const entry = consensus.current.log.entryAt(this.index + 1);
      if (entry?.index !== this.index + 1)
        throw new LogInvariantError(`No committed entry at index ${this.index + 1}.`);
      this.apply(entry);
    }
    snapshots.writeIfDue(this.index);
  }

  private apply(entry: Entry): void {
    const { steps, consensus, stateMachine, pending, snapshots } = this.options;
    this.index = entry.index;
    const marker = parseRejoinMarker(entry.text);
    if (marker !== undefined && completesRejoin(consensus.current, marker, consensus.context))
      snapshots.write(this.index, { completesRejoin: true });
    const outcome = steps.run("applyEntry", () => stateMachine.apply(entry.index, entry.text));
    pending.complete(entry, outcome);
  }
}
