/** A node of the replicated log: creates its components, serves its requests and runs its event loop. */
import { onAcknowledgment, onOwnEntriesSynced } from "../consensus/commit.js";
import type { MemberRights } from "../consensus/member-rights.js";
import type { Members } from "../consensus/members.js";
import { stateAfterRejoin } from "../consensus/rejoin.js";
import { safetyRules } from "../consensus/safety-rules.js";
import { initialState, stateAfterRestart, type DecisionContext } from "../consensus/state.js";
import type { RpcEndpoint } from "../rpc/rpc-endpoint.js";
import type { Logger } from "../runtime/logger.js";
import { Queue } from "../runtime/queue.js";
import { type Runtime, startTask } from "../runtime/runtime.js";
import { StepTimer } from "../runtime/step-timer.js";
import { type Task, waitFor } from "../runtime/task.js";
import type { StateMachine } from "../state/state-machine.js";
import { encodePeerState, type BootstrapStatus } from "./bootstrap/bootstrap-status.js";
import { ClusterBootstrap } from "./bootstrap/cluster-bootstrap.js";
import { NodeFormation } from "./bootstrap/node-formation.js";
import type { NodeLocation } from "./bootstrap/node-location.js";
import { ConsensusOwner } from "./consensus-owner.js";
import { HistoryService, type ConfigRead } from "./history/history-service.js";
import { ElectionDriver } from "./leadership/election-driver.js";
import { LeaderDriver } from "./leadership/leader-driver.js";
import { LeaderLog } from "./leadership/leader-log.js";
import { LeaderReplication } from "./leadership/leader-replication.js";
import { FollowerLog } from "./log/follower-log.js";
import { LogApplier } from "./log/log-applier.js";
import type { LogStore } from "./log/log-store.js";
import { LogWriter } from "./log/log-writer.js";
import type { LeaveStatus } from "./membership/membership-leave.js";
import { MembershipManager } from "./membership/membership-manager.js";
import { OwnMembership } from "./membership/own-membership.js";
import type { LifecycleEvent, NodeEvent } from "./node-event.js";
import { PendingProposals } from "./proposals/pending-proposals.js";
import type { ProposalResult } from "./proposals/proposal.js";
import { ProposalQueue } from "./proposals/proposal-queue.js";
import { serveReplicationRpc } from "./replication-rpc.js";
import { measureRetainedLog, type RetainedLog } from "./retained-log.js";
import type { ReplicationTimeouts } from "./replication-timeouts.js";
import { SnapshotInstaller } from "./snapshot/snapshot-installer.js";
import { SnapshotWriter } from "./snapshot/snapshot-writer.js";

/** The dependencies of a replication node. */
export interface ReplicationNodeOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly location: NodeLocation;
  readonly timeouts: ReplicationTimeouts;
  readonly stateMachine: StateMachine;
  readonly store: LogStore;
  /** The bootstrap that the node registers with; a new one by default. */
  readonly bootstrap?: ClusterBootstrap;
}

/** A node that replicates the log under an elected leader and applies it to its state machine. */
export class ReplicationNode {
  readonly self: string;
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly timeouts: ReplicationTimeouts;
  private readonly log: Logger;
  private readonly stateMachine: StateMachine;
  private readonly store: LogStore;
  private readonly writer: LogWriter;
  private readonly events = new Queue<NodeEvent>();
  private readonly consensus: ConsensusOwner;
  private readonly bootstrap: ClusterBootstrap;
  private readonly formation: NodeFormation;
  private readonly applier: LogApplier;
  private readonly followerLog: FollowerLog;
  private readonly installer: SnapshotInstaller;
  private readonly proposals: ProposalQueue;
  private readonly membership: MembershipManager;
  private readonly ownMembership: OwnMembership;
  private readonly electionDriver: ElectionDriver;
  private readonly leaderDriver: LeaderDriver;
  private readonly history: HistoryService;
  /** Set right before the process ends: the node's acknowledgments don't count for commits from then on. */
  private isRetired = false;

  constructor(options: ReplicationNodeOptions) {
    const { runtime, rpc, location, timeouts, stateMachine, store } = options;
    const { events } = this;
    const { clock } = runtime;
    const bootstrap = options.bootstrap ?? new ClusterBootstrap(runtime, rpc, location);
    const log = runtime.loggers.component("replication");
    const writer = new LogWriter(clock, store, log);
    const consensus = new ConsensusOwner(
      initialState(location.self, clock.nowMs()),
      () => this.decisionContext,
    );
    const steps = new StepTimer(clock, log);
    const pending = new PendingProposals();
    const handle = (event: NodeEvent): void => this.handle(event);
    const shared = { ...options, clock, events, log, writer, consensus, steps, pending, handle };
    const onRestored = (lastIndex: number): void => this.applier.onRestored(lastIndex);
    const formation = new NodeFormation({ ...shared, onRestored });
    const appliedIndex = (): number => this.applier.appliedIndex;
    const replication = new LeaderReplication({ ...shared, appliedIndex });
    const snapshots = new SnapshotWriter({
      ...shared,
      formation,
      snapshotBytes: timeouts.snapshotBytes,
      retainedIndex: (nowMs) => replication.retainedIndex(nowMs),
      onQueued: (lastIndex) => this.onSnapshotQueued(lastIndex),
    });
    const applier = new LogApplier({ ...shared, snapshots });
    const installer = new SnapshotInstaller({ ...shared, applier, formation });
    const leaderLog = new LeaderLog({ ...shared, replicate: () => replication.wakeAll() });
    const proposals = new ProposalQueue({ ...shared, leaderLog });
    const membership = new MembershipManager({ ...shared, leaderLog });
    this.self = location.self;
    this.runtime = runtime;
    this.rpc = rpc;
    this.timeouts = timeouts;
    this.log = log;
    this.stateMachine = stateMachine;
    this.store = store;
    this.writer = writer;
    this.consensus = consensus;
    this.bootstrap = bootstrap;
    this.formation = formation;
    this.applier = applier;
    this.followerLog = new FollowerLog({ ...shared, applier });
    this.installer = installer;
    this.proposals = proposals;
    this.membership = membership;
    this.ownMembership = new OwnMembership({
      ...shared,
      formation,
      snapshots: installer,
      replaceAfterMs: timeouts.replaceAfterMs,
      contacts: () => [...bootstrap.knownNodes, ...location.seeds()],
    });
    this.electionDriver = new ElectionDriver(shared);
    const leaderParts = { leaderLog, replication, proposals, membership };
    this.leaderDriver = new LeaderDriver({ ...shared, ...leaderParts });
    this.history = this.createHistory();
    bootstrap.register(formation);
  }

  /** The known leader's address, or an empty string. */
  get leader(): string {
    return this.ownMembership.leader;
  }

  /** Whether this node leads under a lease and has applied all entries committed before its election. */
  get holdsLease(): boolean {
    return this.applier.appliedIndex >= this.state.leadingSinceIndex && this.rights.serve;
  }

  /** What this node may currently do. */
  get rights(): MemberRights {
    return this.consensus.rights;
  }

  /** The node's status, for operators and tests. */
  get status() {
    const { role, term, committedIndex, log, members } = this.state;
    return {
      state: this.rejoinNonce !== "" ? "rejoining" : encodePeerState(this.formation.stage),
      role,
      term,
      leader: this.leader,
      committed: committedIndex,
      applied: this.applier.appliedIndex,
      lastIndex: log.lastIndex,
      voters: members.voters,
      learners: members.learners,
      disk: this.writer.failure ?? "well",
      syncs: this.writer.completedSyncs,
      written: this.writer.writtenRecords,
    };
  }

  /** What this node retains in memory. */
  get retained(): RetainedLog {
    const { stateMachine, writer, events } = this;
    return measureRetainedLog({ log: this.state.log, stateMachine, writer, events });
  }

  /** The received bytes of an incomplete snapshot from the leader. */
  get receivedSnapshotBytes(): number {
    return this.installer.receivedBytes;
  }

  /** The nonce whose marker must be committed before this node votes and acknowledges again, or an empty string. */
  get rejoinNonce(): string {
    return this.state.rejoinNonce;
  }

  get currentMembers(): Members {
    return this.state.members;
  }

  /** The status that other nodes receive during bootstrap. */
  get bootstrapStatus(): BootstrapStatus {
    return this.formation.bootstrapStatus;
  }

  /** Registers a listener that is called whenever this node becomes the leader or stops leading. */
  onLeadershipChange(listener: (isLeader: boolean) => void): void {
    this.leaderDriver.onChange(listener);
  }

  /** Proposes an entry and returns its result, which may be unknown. */
  *propose(text: string): Task<ProposalResult> {
    return yield* waitFor<ProposalResult>((respond) =>
      this.events.put({ kind: "proposed", proposal: { text, respond } }),
    );
  }

  /** Adds a machine as a learner unless it is a member; returns false if this node isn't the leader. */
  *addLearner(machine: string): Task<boolean> {
    return yield* waitFor<boolean>((respond) =>
      this.events.put({ kind: "learnerRequested", learner: { machine, respond } }),
    );
  }

  /** Transfers the leadership to another voter, if this node leads; doesn't wait for the other voter's election. */
  *yieldLeadership(): Task {
    if (this.state.role === "leader")
      yield* waitFor<true>((respond) => this.events.put({ kind: "leadershipYielded", respond }));
  }

  /** Marks a member as stopping; returns its status, or `undefined` if this node isn't the leader. */
  *onMemberStopping(machine: string, lastIndex: number): Task<LeaveStatus | undefined> {
    return yield* waitFor<LeaveStatus | undefined>((respond) =>
      this.events.put({ kind: "memberStopping", machine, lastIndex, respond }),
    );
  }

  /** Waits until a learner has replaced this node as a voter, or until the deadline. */
  *leave(deadlineMs: number): Task {
    const isReplaced = yield* this.ownMembership
      .createLeave()
      .reportUntil(({ isVoter }) => !isVoter, deadlineMs);
    if (isReplaced) this.log.info("replaced as a voter");
  }

  /**
   * The last step before the process ends: makes no more acknowledgments that count, and waits until a majority without this
   * node has all entries that it acknowledged, or until the deadline.
   */
  *retire(deadlineMs: number): Task {
    if (!this.formation.isFormed) return;
    yield* this.yieldLeadership();
    this.isRetired = true;
    const { voters } = this.state.members;
    if (!voters.includes(this.self) || voters.length === 1) return;
    const isReplicated = yield* this.ownMembership
      .createLeave()
      .reportUntil(({ isHeld }) => isHeld, deadlineMs);
    if (!isReplicated) this.log.warn("stopping before all acknowledged entries are replicated");
  }

  /** Reads one accepted config, from this member or another one. */
  *readConfig(sequence: number): Task<ConfigRead> {
    return yield* this.history.read(sequence);
  }

  /** Runs the node: loads, forms or rejoins the log, then runs the roles of follower, candidate and leader. */
  *run(): Task {
    const { runtime, consensus, formation, electionDriver, leaderDriver } = this;
    this.serve();
    startTask(runtime, "replication", this.writer.run());
    const loaded = yield* this.store.load();
    this.installer.resume(this.store.snapshotPart.takeLoaded());
    yield* formation.restore(loaded);
    startTask(runtime, "replication", this.bootstrap.run());
    yield* formation.waitUntilOpen();
    consensus.update(stateAfterRestart(consensus.current, consensus.context));
    startTask(runtime, "replication", this.ownMembership.createJoin().run());
    startTask(runtime, "replication", this.history.run());
    for (;;) {
      switch (this.state.role) {
        case "follower":
          yield* electionDriver.runFollower();
          break;
        case "preCandidate":
          yield* electionDriver.runCandidate(true);
          break;
        case "candidate":
          yield* electionDriver.runCandidate(false);
          break;
        case "leader":
          yield* leaderDriver.run();
          break;
      }
    }
  }

  private get state() {
    return this.consensus.current;
  }

  private get decisionContext(): DecisionContext {
    const { runtime, timeouts, formation, writer, isRetired } = this;
    return {
      nowMs: runtime.clock.nowMs(),
      timeouts,
      rules: safetyRules,
      stage: formation.stage,
      isRetired,
      isDiskHealthy: writer.failure === undefined && writer.waitingMs <= timeouts.stallMs,
    };
  }

  private createHistory(): HistoryService {
    const { runtime, rpc, stateMachine, store, writer, timeouts, bootstrap, events } = this;
    const history = new HistoryService({
      runtime,
      rpc,
      stateMachine,
      history: store.history,
      writer,
      isFormed: () => this.formation.isFormed,
      voters: () => this.state.members.voters,
      otherPeers: () => [
        this.state.knownLeader,
        ...this.state.members.learners,
        ...bootstrap.knownNodes,
      ],
      maxPendingBytes: timeouts.snapshotBytes,
      onReleased: (upToSequence) => events.put({ kind: "configsReleased", upToSequence }),
    });
    stateMachine.onApplied(({ kind }) => {
      if (kind === "config") history.persistWhenLarge();
    });
    return history;
  }

  private onSnapshotQueued(lastIndex: number): void {
    this.history.persist();
    this.installer.dropUpTo(lastIndex);
  }

  private serve(): void {
    this.bootstrap.serve();
    serveReplicationRpc(this.rpc, this.events, () => this.rights.participate);
    this.history.serve();
  }

  /** Processes one event; events change the node nowhere else. */
  private handle(event: NodeEvent): void {
    const { consensus, applier, electionDriver, installer } = this;
    switch (event.kind) {
      case "voteRequested":
        return electionDriver.onVoteRequest(event.request, event.respond);
      case "voteReceived":
        return electionDriver.onVote(event.received);
      case "appendRequested":
        return this.followerLog.onAppend(event.request, event.respond);
      case "snapshotReceived":
        return installer.onSnapshot(event.request, event.respond);
      case "snapshotPieceReceived":
        return installer.onPiece(event.request, event.respond);
      case "acknowledged":
        return applier.advance(
          onAcknowledgment(consensus.current, event.acknowledgment, consensus.context),
        );
      case "ownEntriesSynced":
        return applier.advance(
          onOwnEntriesSynced(consensus.current, event.term, event.index, consensus.context),
        );
      case "proposed":
        return this.proposals.add(event.proposal);
      case "proposalBatchDue":
        return this.proposals.appendBatch();
      case "learnerRequested":
        return this.membership.requestLearner(event.learner);
      default:
        return this.handleLifecycle(event);
    }
  }
  private handleLifecycle(event: LifecycleEvent): void {
    const { consensus, leaderDriver } = this;
    switch (event.kind) {
      case "newerTermSeen":
        if (event.term > consensus.current.term) consensus.follow(event.term, "");
        return;
      case "leadershipOffered":
        return event.respond(this.electionDriver.acceptLeadership(event.term));
      case "leadershipYielded":
        if (this.state.role === "leader") leaderDriver.transferLeadership("stop requested");
        return event.respond(true);
      case "memberStopping":
        return event.respond(this.membership.markStopping(event.machine, event.lastIndex));
      case "rejoinPersisted":
        consensus.update(stateAfterRejoin(consensus.current));
        this.log.info("rejoin completed");
        return;
      case "configsReleased":
        this.stateMachine.releaseConfigs(event.upToSequence);
        this.history.persistWhenLarge();
        return;
    }
  }
}
