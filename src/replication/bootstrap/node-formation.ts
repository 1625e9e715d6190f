/** How a node's storage becomes part of a fleet's replicated log: it is loaded, formed anew, or rejoined. */
import type { Members } from "../../consensus/members.js";
import type { MemberStage } from "../../consensus/member-rights.js";
import { restoredState } from "../../consensus/state.js";
import type { Logger } from "../../runtime/logger.js";
import { Queue } from "../../runtime/queue.js";
import { type Runtime, randomNonce } from "../../runtime/runtime.js";
import { type Task, waitFor } from "../../runtime/task.js";
import type { StateMachine } from "../../state/state-machine.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { DurableState } from "../log/durable-state.js";
import type { LoadResult, LogStore } from "../log/log-store.js";
import type { LogWriter } from "../log/log-writer.js";
import type { BootstrapMember, BootstrapStatus } from "./bootstrap-status.js";

/** What a node's formation works with. */
export interface NodeFormationOptions {
  readonly runtime: Runtime;
  readonly log: Logger;
  readonly consensus: ConsensusOwner;
  readonly stateMachine: StateMachine;
  readonly store: LogStore;
  readonly writer: LogWriter;
  /** Called once the state machine was restored from a snapshot that ends at an index. */
  readonly onRestored: (lastIndex: number) => void;
}

/** The owner of a node's stage: which fleet's log it has, and how far it is formed. */
export class NodeFormation implements BootstrapMember {
  private readonly options: NodeFormationOptions;
  private storedStage: Exclude<MemberStage, "forming"> = "loading";
  private fleetId = "";
  /** Whether all voters are known to have formed the log. */
  private isOpen = false;
  /** Set while the disk writes what is formed or rejoined. */
  private isWriting = false;
  private readonly opened = new Queue<true>();

  constructor(options: NodeFormationOptions) {
    this.options = options;
  }

  /** The id of the fleet whose log this node has, or an empty text. */
  get fleet(): string {
    return this.fleetId;
  }

  /** Whether the disk holds a fleet's log. */
  get isFormed(): boolean {
    return this.storedStage === "formed";
  }

  get stage(): MemberStage {
    return this.isForming ? "forming" : this.storedStage;
  }

  /** The status that other nodes receive during bootstrap. */
  get bootstrapStatus(): BootstrapStatus {
    const { baseMembers } = this.options.consensus.current;
    return { state: this.stage, fleet: this.fleetId, ...baseMembers };
  }

  /** Restores what was loaded from the disk; clears the disk where it is damaged. */
  *restore(loaded: LoadResult): Task {
    const { log, store, writer } = this.options;
    if (loaded.kind === "loaded") return this.adopt(loaded.state);
    if (loaded.kind === "damaged") {
      log.warn("disk damaged, rejoining with an empty disk", { why: loaded.why });
      yield* writer.persist(() => store.clear());
    }
    this.storedStage = loaded.kind;
  }

  /** Waits until this node's log is formed and, as far as it was formed anew, all voters have formed it. */
  *waitUntilOpen(): Task {
    if (!this.isFormed || this.isForming) yield* this.opened.take();
  }

  *form(fleet: string, { voters, learners }: Members): Task {
    const { log, consensus } = this.options;
    if (!consensus.rights.form || this.isWriting) return;
    const durableState = this.emptyState(fleet, "", { voters, learners });
    yield* this.write(durableState);
    log.info("log formed", { fleet, voters, learners });
    this.adopt(durableState);
  }

  open(fleet: string): void {
    if (!this.isForming || this.isWriting || fleet !== this.fleetId) return;
    this.isOpen = true;
    this.opened.putIfEmpty(true);
  }

  *rejoin(fleet: string, { voters, learners }: Members): Task {
    const { runtime, log } = this.options;
    if (this.isWriting || (this.isFormed && !this.isForming)) return;
    const durableState = this.emptyState(fleet, randomNonce(runtime), { voters, learners });
    yield* this.write(durableState);
    log.warn("rejoin started", { fleet });
    this.adopt(durableState);
    this.opened.putIfEmpty(true);
  }

  /** Whether the log was formed here, but not yet by all of its voters as far as is known. */
  private get isForming(): boolean {
    const { term, log, rejoinNonce } = this.options.consensus.current;
    return this.isFormed && !this.isOpen && term === 0 && log.lastIndex === 0 && rejoinNonce === "";
  }

  private emptyState(fleet: string, rejoinNonce: string, members: Members): DurableState {
    return {
      fleet,
      rejoinNonce,
      term: 0,
      votedFor: "",
      lastIndex: 0,
      lastTerm: 0,
      snapshot: this.options.stateMachine.snapshot(members),
      entries: [],
    };
  }

  private *write(durableState: DurableState): Task {
    const { writer } = this.options;
    this.isWriting = true;
    yield* waitFor<boolean>((done) => writer.writeSnapshot(durableState, () => done(true)));
    this.isWriting = false;
  }

  private adopt(durableState: DurableState): void {
    const { consensus, stateMachine, onRestored } = this.options;
    const { fleet, rejoinNonce, term, votedFor, lastIndex, lastTerm, entries, snapshot } =
      durableState;
    this.fleetId = fleet;
    consensus.update(
      restoredState(consensus.current, {
        term,
        votedFor,
        rejoinNonce,
        lastIndex,
        lastTerm,
        members: stateMachine.restore(snapshot),
        entries,
      }),
    );
    onRestored(lastIndex);
    this.storedStage = "formed";
  }
}
