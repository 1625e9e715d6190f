import { Queue } from "../runtime/queue.js";
import type { Logger } from "../runtime/logger.js";
import { StepTimer } from "../runtime/step-timer.js";
import { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";
import { RpcMethod } from "../rpc/rpc-method.js";
import type { DecodedMessage, RpcEndpoint } from "../rpc/rpc-endpoint.js";
import type { StateMachine } from "../state/state-machine.js";
import {
  acknowledgeAppend,
  decideAppend,
  type AppendReply,
  type AppendRequest,
} from "../consensus/append.js";
import { onAcknowledgment, onOwnEntriesSynced, type Acknowledgment } from "../consensus/commit.js";
import {
  abandonElection,
  onElectionTimeout,
  startElection,
  startPreVote,
  isStillCampaigning,
  acceptLeadershipTransfer,
} from "../consensus/election.js";
import { becomeFollower } from "../consensus/follow.js";
import {
  appendAsLeader,
  becomeLeader,
  transferTargetOf,
  isLeading,
  leadershipEntryText,
  stepDownReason,
} from "../consensus/leadership.js";
import { mayChangeMembers, membersEntryText } from "../consensus/membership-change.js";
import { completesRejoin, afterRejoin, rejoinMarkerIn } from "../consensus/rejoin.js";
import {
  appendRequestFor,
  countWithinLimit,
  initialProgress,
  needsSnapshot,
  progressAfter,
  appendTimeoutMs,
} from "../consensus/replication.js";
import { memberRightsOf } from "../consensus/rights.js";
import { safetyRules } from "../consensus/safety-rules.js";
import {
  acknowledgeSnapshot,
  compactLog,
  decideSnapshot,
  installSnapshot,
} from "../consensus/snapshot.js";
import {
  initialState,
  membersAt,
  stateAfterRestart,
  restoredState,
  type ConsensusState,
  type DecisionContext,
} from "../consensus/state.js";
import {
  countVote,
  decideVote,
  type ReceivedVote,
  type VoteReply,
  type VoteRequest,
} from "../consensus/vote.js";
import { HistoryService, type ConfigRead } from "./history/history-service.js";
import { MembershipJoin } from "./membership/membership-join.js";
import { MembershipLeave, type LeaveStatus } from "./membership/membership-leave.js";
import { ClusterBootstrap, type BootstrapStatus } from "./bootstrap/cluster-bootstrap.js";
import type { MemberRights, MemberStage } from "../consensus/member-rights.js";
import type { Members } from "../consensus/members.js";
import { MembershipPolicy, type MembershipView } from "./membership/membership-policy.js";
import { NodeLocation } from "./bootstrap/node-location.js";
import { SnapshotReceiver } from "./snapshot/snapshot-receiver.js";
import {
  SharedSnapshot,
  SnapshotSender,
  type SnapshotMessage,
} from "./snapshot/snapshot-sender.js";
import { LogStore, type DurableState } from "./log/log-store.js";
import { LogWriter } from "./log/log-writer.js";

/** The waits by which recorders elect; each is a duration on a monotonic clock. */
export interface ReplicationTimeouts {
  heartbeatMs: number;
  electionMinMs: number;
  electionMaxMs: number;
  /** How long a majority's acknowledgment lets the leader answer; shorter than the shortest election wait. */
  leaderLeaseMs: number;
  stallMs: number;
  /** How long a voter is silent before a learner takes its place. */
  replaceAfterMs: number;
  /** How long a learner must have answered so that its own loss would count as one more. */
  responsiveAfterMs: number;
  /** How long a learner is silent before it is removed from the members. */
  forgetAfterMs: number;
  /** How long the log grows until a checkpoint is written. */
  snapshotBytes: number;
}

export const ReplicationTimeouts = {
  defaults: {
    heartbeatMs: 60,
    electionMinMs: 300,
    electionMaxMs: 500,
    leaderLeaseMs: 240,
    stallMs: 700,
    replaceAfterMs: 1000,
    responsiveAfterMs: 4000,
    forgetAfterMs: 60_000,
    snapshotBytes: 4 * 1024 * 1024,
  },
};

/** What became of a proposal: committed and applied here, or its fate is unknown. */
export type ProposalResult = { index: number; outcome: string } | "notLeader" | "unknown";

type CheckpointAsk = DecodedMessage<typeof RpcMethod.checkpoint.request>;
type CheckpointReturn = DecodedMessage<typeof RpcMethod.checkpoint.response>;

type PieceAsk = DecodedMessage<typeof RpcMethod.snapshotPiece.request>;
type PieceReturn = DecodedMessage<typeof RpcMethod.snapshotPiece.response>;

type Command =
  | { kind: "vote"; ask: VoteRequest; done: (ret: VoteReply) => void }
  | { kind: "append"; ask: AppendRequest; done: (ret: AppendReply) => void }
  | { kind: "checkpoint"; ask: CheckpointAsk; done: (ret: CheckpointReturn) => void }
  | { kind: "snapshotPiece"; ask: PieceAsk; done: (ret: PieceReturn) => void }
  | { kind: "handOver"; term: number; done: (taken: boolean) => void }
  | { kind: "propose"; text: string; done: (proposed: ProposalResult) => void }
  | { kind: "addProposals" }
  | { kind: "acked"; acknowledgment: Acknowledgment }
  | { kind: "voted"; received: ReceivedVote }
  | { kind: "written"; term: number; index: number }
  | { kind: "outdated"; term: number }
  | { kind: "learn"; machine: string; done: (known: boolean) => void }
  | { kind: "yield"; done: (yielded: true) => void }
  | {
      kind: "stopping";
      machine: string;
      lastIndex: number;
      done: (answer: LeaveStatus | undefined) => void;
    }
  | { kind: "rejoined" }
  | { kind: "kept"; upTo: number };

/** Raised when the record in memory contradicts itself; the daemon must not go on. */
export class LogInvariantError extends Error {}

/** What one frame of entries carries at most, unless a single entry is larger. Exported for its test. */
export const appendBatchLimit = { entries: 1024, bytes: 256 * 1024 };
/** By which part the bytes after which members write their snapshots differ. */
const snapshotSpread = 0.4;
/** For how long proposals are gathered after the last ones were added: one write and one round to the others carry many. */
const gatherProposalsMs = 8;
/** What is kept of the log behind a checkpoint, for followers that lag a little. */
const kept = { entries: 2000, bytes: 16 * 1024 * 1024 };
/** What is kept of it at most while a snapshot is being transferred, so that entries can follow on the snapshot. */
const heldForTransfers = { entries: 20_000, bytes: 32 * 1024 * 1024 };
/** How long an answer to a piece of a snapshot, or to a whole one, is waited for. */
const snapshotWaitMs = 5000;

/** A recorder: it replicates the record under a leader that a majority elected, and applies it to its book. */
export class ReplicationNode {
  readonly self: string;
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly location: NodeLocation;
  private readonly bootstrap: ClusterBootstrap;
  private readonly replicationTimeouts: ReplicationTimeouts;
  private readonly log: Logger;
  private readonly steps: StepTimer;
  private readonly stateMachine: StateMachine;
  private readonly store: LogStore;
  private readonly writer: LogWriter;
  private readonly queue = new Queue<Command>();
  private readonly historyKeeper: HistoryService;
  private readonly snapshotReceiver = new SnapshotReceiver();
  private snapshotSender = new SnapshotSender();

  private state: Exclude<MemberStage, "unborn"> = "loading";
  private fleet = "";
  /** Whether all voters are known to have formed the record. */
  private isOpen = false;
  /** Set while the disk takes what was formed or is to be rejoined. */
  private isTurning = false;
  private readonly opening = new Queue<true>();
  /** What this member knows of the agreement; every decision on it is made in `consensus/`. */
  private agreed: ConsensusState;
  private applied = 0;
  private nudges = new Map<string, Queue<true>>();
  /** Machines that asked to learn, until a change of membership may be made. */
  private readonly newLearners: Array<{ machine: string; done: (known: boolean) => void }> = [];
  private promises = new Map<number, { term: number; done: (proposed: ProposalResult) => void }>();
  /** What was proposed and is yet to be added to the log. */
  private readonly proposals: Array<{ text: string; done: (proposed: ProposalResult) => void }> =
    [];
  private addedProposalsMs = -Infinity;
  private willAddProposals = false;
  /** At which part of the bytes that members may add to the log this one writes its snapshot, so that not all do so at once. */
  private readonly snapshotPart: number;
  private checkpointing = false;
  private snapshotsTaken = 0;
  /** Set right before the process ends: what is acknowledged then can't be counted on. */
  private isRetired = false;
  /** Members that told this leader that they are about to stop, and until when that holds unless they say so again. */
  private readonly leavingUntilMs = new Map<string, number>();
  private leaderHooks: Array<(leads: boolean) => void> = [];

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    location: NodeLocation,
    replicationTimeouts: ReplicationTimeouts,
    stateMachine: StateMachine,
    store: LogStore,
    bootstrap = new ClusterBootstrap(runtime, rpc, location),
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.self = location.self;
    this.location = location;
    this.bootstrap = bootstrap;
    this.replicationTimeouts = replicationTimeouts;
    this.snapshotPart = 1 - snapshotSpread * runtime.random();
    this.stateMachine = stateMachine;
    this.store = store;
    this.log = runtime.loggers.component("record");
    this.steps = new StepTimer(runtime.clock, this.log);
    this.writer = new LogWriter(runtime.clock, store, this.log);
    this.historyKeeper = new HistoryService(
      runtime,
      rpc,
      stateMachine,
      store.history,
      this.writer,
      {
        isFormed: () => this.state === "formed",
        voters: () => this.agreed.members.voters,
        others: () => [
          this.agreed.knownLeader,
          ...this.agreed.members.learners,
          ...bootstrap.recorders,
        ],
        unkeptBytes: replicationTimeouts.snapshotBytes,
        kept: (upTo) => this.queue.put({ kind: "kept", upTo }),
      },
    );
    stateMachine.onApplied(({ kind }) => {
      if (kind === "config") this.historyKeeper.keepWhenMany();
    });
    this.agreed = initialState(this.self, runtime.clock.nowMs());
    bootstrap.attend(this);
  }

  /** The leader as far as this recorder knows, or an empty word. */
  get leader(): string {
    return this.agreed.role === "leader" ? this.self : this.agreed.knownLeader;
  }

  /** Whether this recorder may answer for the fleet now. */
  get holdsLease(): boolean {
    return this.applied >= this.agreed.leadingSinceIndex && this.rights.answer;
  }

  /** What this recorder may do now, by how whole it is. */
  get rights(): MemberRights {
    return memberRightsOf(this.agreed, this.facts);
  }

  /** How this recorder stands, for status and tests. */
  get status() {
    return {
      state: this.nonce !== "" ? "rejoining" : this.bootstrapStatus.state,
      role: this.agreed.role,
      term: this.agreed.term,
      leader: this.leader,
      committed: this.agreed.committedIndex,
      applied: this.applied,
      lastIndex: this.agreed.log.lastIndex,
      voters: this.agreed.members.voters,
      learners: this.agreed.members.learners,
      disk: this.writer.failure ?? "well",
      syncs: this.writer.syncs,
      written: this.writer.written,
    };
  }

  /** How much of a leader's snapshot has been received that is not whole yet. */
  get receivedSnapshotBytes(): number {
    return this.snapshotReceiver.receivedBytes;
  }

  /** The mark that must be committed before this recorder counts again, or an empty word. */
  get nonce(): string {
    return this.agreed.rejoinNonce;
  }

  get currentMembers(): Members {
    return this.agreed.members;
  }

  /** How this recorder stands when others meet it. */
  get bootstrapStatus(): BootstrapStatus {
    return {
      state: this.isUnborn ? "unborn" : this.state,
      fleet: this.fleet,
      ...this.agreed.baseMembers,
    };
  }

  /** Whether the record was formed here, but not yet by all of its voters as far as is known. */
  private get isUnborn(): boolean {
    return (
      this.state === "formed" &&
      !this.isOpen &&
      this.agreed.term === 0 &&
      this.agreed.log.lastIndex === 0 &&
      this.agreed.rejoinNonce === ""
    );
  }

  /** What decisions know beside the state. */
  private get facts(): DecisionContext {
    return {
      nowMs: this.runtime.clock.nowMs(),
      timeouts: this.replicationTimeouts,
      rules: safetyRules,
      stage: this.isUnborn ? "unborn" : this.state,
      isRetired: this.isRetired,
      isDiskWell:
        this.writer.failure === undefined &&
        this.writer.waitingMs <= this.replicationTimeouts.stallMs,
    };
  }

  /** Hears each time this recorder begins or ceases to lead. */
  onLeadershipChange(hook: (leads: boolean) => void): void {
    this.leaderHooks.push(hook);
  }

  /** Asks the record to take an entry; ends once its fate is known, or known to be unknown. */
  *propose(text: string): Task<ProposalResult> {
    return yield* Task.wait<ProposalResult>((done) =>
      this.queue.put({ kind: "propose", text, done }),
    );
  }

  /** Has a recorder learn the record, unless it already does or votes; false where this one ceases to lead. */
  *addLearner(machine: string): Task<boolean> {
    return yield* Task.wait<boolean>((done) => this.queue.put({ kind: "learn", machine, done }));
  }

  /** Steps down in favour of the follower that is furthest. */
  *yieldLeadership(): Task {
    if (this.agreed.role === "leader")
      yield* Task.wait<true>((done) => this.queue.put({ kind: "yield", done }));
  }

  /** Hears, as the leader, that a member is about to stop; tells how it stands, or nothing where this one doesn't lead. */
  *onMemberStopping(machine: string, lastIndex: number): Task<LeaveStatus | undefined> {
    return yield* Task.wait<LeaveStatus | undefined>((done) =>
      this.queue.put({ kind: "stopping", machine, lastIndex, done }),
    );
  }

  /** Leaves the voters where a learner is ready to take the place; ends once that is done, or at a moment of the clock. */
  *leave(untilMs: number): Task {
    const left = yield* this.leaving().until(({ isVoter }) => !isVoter, untilMs);
    if (left) this.log.info("Left the voters: a learner took this one's place.");
  }

  /**
   * The last step before the process ends: acknowledges no more, and waits until a majority without this one holds all that it
   * acknowledged; ends at a moment of the clock at the latest.
   */
  *retire(untilMs: number): Task {
    if (this.state !== "formed") return;
    yield* this.yieldLeadership();
    this.isRetired = true;
    const { voters } = this.agreed.members;
    if (!voters.includes(this.self) || voters.length === 1) return;
    const held = yield* this.leaving().until(({ isHeld }) => isHeld, untilMs);
    if (!held) this.log.warn("Stops though others may not hold all that is acknowledged here.");
  }

  /** The recorder's own task: loads, forms or rejoins, then follows, stands and leads. */
  *run(): Task {
    this.serve();
    Runtime.start(this.runtime, "record", this.writer.run());
    const loaded = yield* this.store.load();
    for (const piece of this.store.snapshotPart.takeLoaded()) this.snapshotReceiver.take(piece);
    if (loaded.kind === "whole") this.adopt(loaded.standing);
    else {
      if (loaded.kind === "damaged") {
        this.log.warn("The disk is damaged; rejoining as if it were lost.", { why: loaded.why });
        yield* this.writer.persist(() => this.store.clear());
      }
      this.state = loaded.kind;
    }
    Runtime.start(this.runtime, "record", this.bootstrap.run());
    if (this.state !== "formed" || this.isUnborn) yield* this.opening.take();
    this.agreed = stateAfterRestart(this.agreed, this.facts);
    Runtime.start(this.runtime, "record", this.joining().run());
    Runtime.start(this.runtime, "record", this.historyKeeper.run());
    for (;;) {
      switch (this.agreed.role) {
        case "follower":
          yield* this.following();
          break;
        case "preCandidate":
          yield* this.standing(true);
          break;
        case "candidate":
          yield* this.standing(false);
          break;
        case "leader":
          yield* this.leading();
          break;
      }
    }
  }

  private serve(): void {
    const { queue } = this;
    this.bootstrap.serve();
    const closed = (): boolean => !this.rights.takePart;
    this.rpc.serve(RpcMethod.vote, function* (ask) {
      if (closed()) return { term: 0, granted: false };
      return yield* Task.wait<VoteReply>((done) => queue.put({ kind: "vote", ask, done }));
    });
    this.rpc.serve(RpcMethod.append, function* (ask) {
      if (closed()) return { term: 0, fits: false, counts: false, matched: 0 };
      return yield* Task.wait<AppendReply>((done) => queue.put({ kind: "append", ask, done }));
    });
    this.rpc.serve(RpcMethod.checkpoint, function* (ask) {
      if (closed()) return { term: 0, counts: false, matched: 0 };
      return yield* Task.wait<CheckpointReturn>((done) =>
        queue.put({ kind: "checkpoint", ask, done }),
      );
    });
    this.rpc.serve(RpcMethod.snapshotPiece, function* (ask) {
      if (closed()) return { term: 0, counts: false, matched: 0, receivedBytes: 0 };
      return yield* Task.wait<PieceReturn>((done) =>
        queue.put({ kind: "snapshotPiece", ask, done }),
      );
    });
    this.rpc.serve(RpcMethod.handOver, function* ({ term }) {
      if (closed()) return { taken: false };
      return {
        taken: yield* Task.wait<boolean>((done) => queue.put({ kind: "handOver", term, done })),
      };
    });
    this.historyKeeper.serve();
  }

  /** Writes on an empty disk which fleet's record this is and who its members are. */
  *form(fleet: string, { voters, learners }: Members): Task {
    if (!this.rights.form || this.isTurning) return;
    this.isTurning = true;
    const durableState: DurableState = {
      fleet,
      rejoining: "",
      term: 0,
      votedFor: "",
      lastIndex: 0,
      lastTerm: 0,
      book: this.stateMachine.snapshot({ voters, learners }),
      entries: [],
    };
    yield* Task.wait<boolean>((done) => this.writer.writeSnapshot(durableState, () => done(true)));
    this.isTurning = false;
    this.log.info("The fleet's record is formed.", { fleet, voters, learners });
    this.adopt(durableState);
  }

  /** All voters of this fleet have formed its record: now this one may stand and vote. */
  open(fleet: string): void {
    if (!this.isUnborn || this.isTurning || fleet !== this.fleet) return;
    this.isOpen = true;
    this.opening.putOnce(true);
  }

  /** One accepted config, from here or from another member. */
  *readConfig(sequence: number): Task<ConfigRead> {
    return yield* this.historyKeeper.read(sequence);
  }

  /** Begins to learn the record of a fleet that was formed by others. */
  *rejoin(fleet: string, { voters, learners }: Members): Task {
    if (this.isTurning || (this.state === "formed" && !this.isUnborn)) return;
    this.isTurning = true;
    const durableState: DurableState = {
      fleet,
      rejoining: Runtime.nonce(this.runtime),
      term: 0,
      votedFor: "",
      lastIndex: 0,
      lastTerm: 0,
      book: this.stateMachine.snapshot({ voters, learners }),
      entries: [],
    };
    yield* Task.wait<boolean>((done) => this.writer.writeSnapshot(durableState, () => done(true)));
    this.isTurning = false;
    this.log.warn("Rejoining: no vote and no acknowledgment until the record is learned again.");
    this.adopt(durableState);
    this.opening.putOnce(true);
  }

  /** What the leader has to do so that this recorder is a member that counts, or nothing. */
  private get membershipRequest(): string | undefined {
    if (this.nonce !== "")
      return JSON.stringify({ kind: "rejoin", machine: this.self, nonce: this.nonce });
    const unheardMs = this.runtime.clock.nowMs() - this.agreed.lastAppendMs;
    const isForgotten =
      this.agreed.role !== "leader" && unheardMs > this.replicationTimeouts.replaceAfterMs;
    if (!isForgotten) return undefined;
    return JSON.stringify({ kind: "join", machine: this.self, fleet: this.fleet });
  }

  private joining(): MembershipJoin {
    const contacts = (): string[] => [
      this.agreed.knownLeader,
      ...this.bootstrap.recorders,
      ...this.location.seeds(),
    ];
    const request = (): string | undefined => this.membershipRequest;
    const snapshots = (): number => this.snapshotsTaken;
    return new MembershipJoin(this.runtime, this.rpc, {
      self: this.self,
      get request() {
        return request();
      },
      get snapshots() {
        return snapshots();
      },
      get contacts() {
        return contacts();
      },
    });
  }

  private leaving(): MembershipLeave {
    const leader = (): string => this.leader;
    const lastIndex = (): number => this.agreed.log.lastIndex;
    return new MembershipLeave(this.runtime, this.rpc, {
      self: this.self,
      get leader() {
        return leader();
      },
      get lastIndex() {
        return lastIndex();
      },
    });
  }

  private adopt(durableState: DurableState): void {
    this.fleet = durableState.fleet;
    const { term, votedFor, lastIndex, lastTerm, entries } = durableState;
    this.agreed = restoredState(this.agreed, {
      term,
      votedFor,
      rejoinNonce: durableState.rejoining,
      lastIndex,
      lastTerm,
      members: this.stateMachine.restore(durableState.book),
      entries,
    });
    this.applied = lastIndex;
    this.state = "formed";
  }

  private electionWaitMs(): number {
    const { electionMinMs, electionMaxMs } = this.replicationTimeouts;
    return electionMinMs + this.runtime.random() * (electionMaxMs - electionMinMs);
  }

  private *following(): Task {
    let untilMs = this.agreed.lastLeaderContactMs + this.electionWaitMs();
    while (this.agreed.role === "follower") {
      const command = yield* this.queue.takeUntil(this.runtime.clock, untilMs);
      const heardMs = this.agreed.lastLeaderContactMs;
      if (command) this.handle(command);
      if (this.agreed.lastLeaderContactMs !== heardMs)
        untilMs = this.agreed.lastLeaderContactMs + this.electionWaitMs();
      else if (this.runtime.clock.nowMs() >= untilMs) {
        const { knownLeader } = this.agreed;
        this.agreed = onElectionTimeout(this.agreed, this.facts);
        if (this.agreed.role === "follower")
          untilMs = this.runtime.clock.nowMs() + this.electionWaitMs();
        else
          this.log.info("The leader was not heard in time.", {
            leader: knownLeader,
            unheardMs: Math.round(this.runtime.clock.nowMs() - heardMs),
          });
      }
    }
  }

  private *standing(isPreVote: boolean): Task {
    const { role } = this.agreed;
    if (isPreVote) this.preVote();
    else this.campaign();
    const untilMs = this.runtime.clock.nowMs() + this.electionWaitMs();
    while (this.agreed.role === role) {
      const command = yield* this.queue.takeUntil(this.runtime.clock, untilMs);
      if (command) this.handle(command);
      if (this.agreed.role === role && this.runtime.clock.nowMs() >= untilMs)
        this.agreed = abandonElection(this.agreed, this.facts);
    }
  }

  private preVote(): void {
    const { state, request } = startPreVote(this.agreed);
    this.agreed = state;
    this.askForVotes(request);
  }

  private campaign(): void {
    const { state, records, request } = startElection(this.agreed);
    this.agreed = state;
    this.writer.append([...records], () => {
      if (isStillCampaigning(this.agreed, request.term)) this.askForVotes(request);
    });
  }

  private askForVotes(request: VoteRequest): void {
    const { isPreVote, term } = request;
    const reply: VoteReply = { term, granted: true };
    this.queue.put({ kind: "voted", received: { peer: this.self, isPreVote, term, reply } });
    for (const peer of this.agreed.members.voters.filter((voter) => voter !== this.self))
      Runtime.start(this.runtime, "record", this.asking(peer, request));
  }

  private *asking(peer: string, ask: VoteRequest): Task {
    const ret = yield* this.rpc.call(
      peer,
      RpcMethod.vote,
      ask,
      this.replicationTimeouts.electionMinMs,
    );
    if (!ret) return;
    const { isPreVote, term } = ask;
    this.queue.put({ kind: "voted", received: { peer, isPreVote, term, reply: ret } });
  }

  /** Adds the machines that asked to learn, each once the change of membership before it is committed. */
  private takeNewLearners(): void {
    for (let next = this.newLearners[0]; next; next = this.newLearners[0]) {
      const { voters, learners } = this.agreed.members;
      const { machine, done } = next;
      if (![...voters, ...learners].includes(machine)) {
        if (!mayChangeMembers(this.agreed, this.facts)) return;
        this.changeMembers({ voters, learners: [...learners, machine] });
      }
      this.newLearners.shift();
      done(true);
    }
  }

  private *leading(): Task {
    this.agreed = becomeLeader(this.agreed);
    const { term } = this.agreed;
    this.nudges = new Map();
    this.promises = new Map();
    this.snapshotSender = new SnapshotSender();
    this.log.info("Leads the record.", { term });
    this.add([leadershipEntryText(this.agreed)]);
    for (const hook of this.leaderHooks) hook(true);
    const startedMs = this.runtime.clock.nowMs();
    while (this.isLeading(term)) {
      this.keepReplicating(term);
      const command = yield* this.queue.takeUntil(
        this.runtime.clock,
        this.runtime.clock.nowMs() + this.replicationTimeouts.heartbeatMs,
      );
      if (command) this.handle(command);
      if (!this.isLeading(term)) break;
      const why = stepDownReason(this.agreed, startedMs, this.facts);
      if (!this.rights.lead) this.handOver("The disk doesn't keep up.");
      else if (why === "notVoter") this.handOver("No longer a voter.");
      else if (why === "noContact") this.follow(term, "");
      else {
        this.takeNewLearners();
        this.reviewMembership(startedMs);
      }
    }
    this.snapshotSender = new SnapshotSender();
    for (const { done } of this.newLearners.splice(0)) done(false);
    for (const promise of this.promises.values()) promise.done("unknown");
    this.promises = new Map();
    for (const { done } of this.proposals.splice(0)) done("notLeader");
    for (const nudge of this.nudges.values()) nudge.put(true);
    for (const hook of this.leaderHooks) hook(false);
    this.log.info("Leads no more.", { term });
  }

  private isLeading(term: number): boolean {
    return isLeading(this.agreed, term);
  }

  private handOver(why: string): void {
    const { term } = this.agreed;
    const heir = transferTargetOf(this.agreed, this.leavingMembers());
    this.log.warn("Hands over the lead.", { why, to: heir ?? "nobody" });
    this.follow(term, "");
    const rpc = this.rpc;
    if (heir !== undefined)
      Runtime.start(
        this.runtime,
        "record",
        (function* () {
          yield* rpc.call(heir, RpcMethod.handOver, { term }, 300);
        })(),
      );
  }

  private leavingMembers(): Set<string> {
    const nowMs = this.runtime.clock.nowMs();
    const still = [...this.leavingUntilMs].filter(([, untilMs]) => untilMs > nowMs);
    return new Set(still.map(([peer]) => peer));
  }

  /** What this leader knows of the members, for a decision about them. */
  private membershipView(startedMs: number): MembershipView {
    const nowMs = this.runtime.clock.nowMs();
    const { voters, learners } = this.agreed.members;
    return {
      self: this.self,
      voters,
      learners,
      leaving: this.leavingMembers(),
      wantedVoters: NodeLocation.voters(this.location),
      committedIndex: this.agreed.committedIndex,
      progressOf: (member) =>
        member === this.self
          ? { silentMs: 0, answered: true, provenMs: 0, matchedIndex: this.agreed.syncedIndex }
          : {
              silentMs:
                nowMs -
                Math.max(startedMs, this.agreed.acknowledgedSentMs.get(member) ?? startedMs),
              answered: this.agreed.acknowledgedSentMs.has(member),
              provenMs: nowMs - (this.agreed.responsiveSinceMs.get(member) ?? nowMs),
              matchedIndex: this.agreed.matched.get(member) ?? 0,
            },
      waits: {
        answersWithinMs: this.replicationTimeouts.electionMaxMs,
        replaceAfterMs: this.replicationTimeouts.replaceAfterMs,
        responsiveAfterMs: this.replicationTimeouts.responsiveAfterMs,
        forgetAfterMs: this.replicationTimeouts.forgetAfterMs,
      },
    };
  }

  /** Makes the next change of membership, once the one before and an entry of this term are committed. */
  private reviewMembership(startedMs: number): void {
    if (!mayChangeMembers(this.agreed, this.facts)) return;
    const change = MembershipPolicy.next(this.membershipView(startedMs));
    if (!change) return;
    const { kind, member, why } = change;
    this.log.warn("Changes the members of the record.", { change: kind, member, why });
    this.changeMembers(MembershipPolicy.after(this.agreed.members, change));
  }

  private changeMembers(members: Members): void {
    this.add([membersEntryText(members)]);
  }

  private keepReplicating(term: number): void {
    for (const peer of [...this.agreed.members.voters, ...this.agreed.members.learners]) {
      if (peer === this.self || this.nudges.has(peer)) continue;
      const nudge = new Queue<true>();
      this.nudges.set(peer, nudge);
      Runtime.start(this.runtime, "record", this.replicating(peer, term, nudge));
    }
  }

  private *replicating(peer: string, term: number, nudge: Queue<true>): Task {
    let progress = initialProgress(this.agreed);
    // A snapshot goes only to a member that answers.
    let answers = false;
    while (this.isLeading(term) && this.isMember(peer)) {
      if (answers && needsSnapshot(this.agreed, progress)) {
        const installedIndex = yield* this.sendSnapshot(peer, term);
        answers = installedIndex !== undefined;
        if (installedIndex !== undefined && installedIndex > 0)
          progress = { ...progress, next: installedIndex + 1 };
        if (answers) continue;
      } else {
        const sentMs = this.runtime.clock.nowMs();
        const { baseIndex } = this.agreed.log;
        const asked = { ...progress, next: Math.max(progress.next, baseIndex + 1) };
        const ask = appendRequestFor(this.agreed, asked, appendBatchLimit);
        const ret = yield* this.rpc.call(
          peer,
          RpcMethod.append,
          ask,
          appendTimeoutMs(ask, this.replicationTimeouts),
        );
        if (ret && ret.term > term) this.queue.put({ kind: "outdated", term: ret.term });
        else if (ret && ret.term === term) {
          const { fits, counts } = ret;
          const matched = fits ? ret.matched : 0;
          this.queue.put({
            kind: "acked",
            acknowledgment: { peer, term, sentMs, matched, counts },
          });
          answers = true;
          progress = progressAfter(asked, ret);
          if (!fits || this.agreed.log.lastIndex >= progress.next) continue;
        }
      }
      nudge.drain();
      yield* nudge.takeUntil(
        this.runtime.clock,
        this.runtime.clock.nowMs() + this.replicationTimeouts.heartbeatMs,
      );
    }
    if (this.nudges.get(peer) === nudge) {
      this.nudges.delete(peer);
      this.snapshotSender.ended(peer);
    }
  }

  /** Sends a member one piece of the snapshot; tells up to where it then holds the log, 0 while the transfer goes on, nothing where it came no further. */
  private *sendSnapshot(peer: string, term: number): Task<number | undefined> {
    const { snapshotSender } = this;
    const sentMs = this.runtime.clock.nowMs();
    const { baseIndex } = this.agreed.log;
    const message = snapshotSender.next(peer, baseIndex, sentMs, () => this.makeSnapshot());
    const ret = yield* this.snapshotAnswer(peer, term, message);
    if (ret && ret.term > term) this.queue.put({ kind: "outdated", term: ret.term });
    if (ret?.term !== term) {
      snapshotSender.lost(peer);
      return undefined;
    }
    const { matched, counts } = ret;
    this.queue.put({ kind: "acked", acknowledgment: { peer, term, sentMs, matched, counts } });
    const isInstalled = matched >= message.snapshot.identity.lastIndex;
    if (isInstalled) {
      snapshotSender.ended(peer);
      return matched;
    }
    if (message.kind === "whole") return undefined;
    const nowMs = this.runtime.clock.nowMs();
    return snapshotSender.answered(peer, ret.receivedBytes, nowMs) ? 0 : undefined;
  }

  private *snapshotAnswer(
    peer: string,
    term: number,
    message: SnapshotMessage,
  ): Task<PieceReturn | undefined> {
    const leader = this.self;
    if (message.kind === "piece")
      return yield* this.rpc.call(
        peer,
        RpcMethod.snapshotPiece,
        { term, leader, ...message.piece },
        snapshotWaitMs,
      );
    const { lastIndex, lastTerm } = message.snapshot.identity;
    const whole = { term, leader, lastIndex, lastTerm, text: message.snapshot.text };
    const ret = yield* this.rpc.call(peer, RpcMethod.checkpoint, whole, snapshotWaitMs);
    return ret && { ...ret, receivedBytes: 0 };
  }

  private makeSnapshot(): SharedSnapshot {
    const lastTerm = this.agreed.log.termAt(this.applied) ?? 0;
    const text = this.stateMachine.snapshot(membersAt(this.agreed, this.applied));
    return new SharedSnapshot(this.applied, lastTerm, text);
  }

  private isMember(peer: string): boolean {
    const { voters, learners } = this.agreed.members;
    return voters.includes(peer) || learners.includes(peer);
  }

  /** Has the proposals that wait added: at once after a pause, else together with those that come shortly after. */
  private gatherProposals(): void {
    if (this.willAddProposals) return;
    const waitMs = this.addedProposalsMs + gatherProposalsMs - this.runtime.clock.nowMs();
    if (waitMs <= 0) return this.addProposals();
    this.willAddProposals = true;
    this.runtime.clock.after(waitMs, () => this.queue.put({ kind: "addProposals" }));
  }

  private addProposals(): void {
    this.willAddProposals = false;
    const proposals = this.proposals.splice(0);
    if (this.agreed.role !== "leader") {
      for (const { done } of proposals) done("notLeader");
      return;
    }
    if (proposals.length === 0) return;
    this.addedProposalsMs = this.runtime.clock.nowMs();
    this.add(
      proposals.map(({ text }) => text),
      proposals.map(({ done }) => done),
    );
  }

  /** Adds entries to the own log as its leader; `hear` tells each of them, by its place, what became of it. */
  private add(
    texts: readonly string[],
    hear: ReadonlyArray<(proposed: ProposalResult) => void> = [],
  ): void {
    const { state, entries, records } = appendAsLeader(this.agreed, texts);
    this.agreed = state;
    const { term, log } = state;
    for (const [at, { index }] of entries.entries()) {
      const done = hear[at];
      if (done) this.promises.set(index, { term, done });
    }
    this.writer.append([...records], () =>
      this.queue.put({ kind: "written", term, index: log.lastIndex }),
    );
    for (const nudge of this.nudges.values()) nudge.put(true);
  }

  private handle(command: Command): void {
    switch (command.kind) {
      case "vote":
        return this.handleVote(command.ask, command.done);
      case "append":
        return this.handleAppend(command.ask, command.done);
      case "checkpoint":
        return this.handleCheckpoint(command.ask, command.done);
      case "snapshotPiece":
        return this.handleSnapshotPiece(command.ask, command.done);
      case "handOver": {
        const state = acceptLeadershipTransfer(this.agreed, command.term, this.facts);
        const taken = state !== undefined;
        if (state !== undefined) this.agreed = state;
        return command.done(taken);
      }
      case "propose":
        if (this.agreed.role !== "leader") return command.done("notLeader");
        this.proposals.push(command);
        return this.gatherProposals();
      case "addProposals":
        return this.addProposals();
      case "acked":
        return this.take(onAcknowledgment(this.agreed, command.acknowledgment, this.facts));
      case "voted":
        this.agreed = countVote(this.agreed, command.received, this.runtime.clock.nowMs());
        return;
      case "written":
        return this.take(onOwnEntriesSynced(this.agreed, command.term, command.index, this.facts));
      case "outdated":
        if (command.term > this.agreed.term) this.follow(command.term, "");
        return;
      case "yield":
        if (this.agreed.role === "leader") this.handOver("A stop was asked for.");
        return command.done(true);
      case "learn": {
        if (this.agreed.role !== "leader") return command.done(false);
        this.newLearners.push(command);
        return this.takeNewLearners();
      }
      case "stopping":
        return command.done(this.noteStopping(command.machine, command.lastIndex));
      case "kept":
        this.stateMachine.releaseConfigs(command.upTo);
        return;
      case "rejoined":
        this.agreed = afterRejoin(this.agreed);
        this.log.info("Rejoined: votes and acknowledges again.");
        return;
    }
  }

  private noteStopping(machine: string, lastIndex: number): LeaveStatus | undefined {
    const { role, members, membersIndex, committedIndex, log } = this.agreed;
    if (role !== "leader") return undefined;
    const nowMs = this.runtime.clock.nowMs();
    this.leavingUntilMs.set(machine, nowMs + this.replicationTimeouts.electionMaxMs);
    const view = this.membershipView(nowMs);
    return {
      isVoter: members.voters.includes(machine) || membersIndex > committedIndex,
      isHeld: MembershipPolicy.isHeldWithout(view, machine, Math.min(lastIndex, log.lastIndex)),
    };
  }

  private follow(term: number, leader: string): void {
    this.agreed = becomeFollower(this.agreed, term, leader, this.runtime.clock.nowMs());
  }

  private handleVote(request: VoteRequest, done: (reply: VoteReply) => void): void {
    const { state, records, replyAfterSync, reply } = decideVote(this.agreed, request, this.facts);
    this.agreed = state;
    if (replyAfterSync) this.writer.append([...records], () => done(reply));
    else done(reply);
  }

  private handleAppend(request: AppendRequest, done: (reply: AppendReply) => void): void {
    const decision = decideAppend(this.agreed, request, this.facts);
    if (decision.kind === "refuse") {
      this.agreed = decision.state;
      return done(decision.reply);
    }
    const { state, records, mustSync, pending } = decision;
    this.agreed = state;
    const finish = (): void => {
      const acknowledged = acknowledgeAppend(this.agreed, pending, this.facts);
      this.agreed = acknowledged.state;
      done(acknowledged.reply);
    };
    if (mustSync) this.writer.append([...records], finish);
    else finish();
    this.take(this.agreed);
  }

  private handleSnapshotPiece(ask: PieceAsk, done: (ret: PieceReturn) => void): void {
    const decision = decideSnapshot(this.agreed, ask, this.facts);
    this.agreed = decision.state;
    if (decision.kind === "answer") return done({ ...decision.reply, receivedBytes: 0 });
    const received = this.snapshotReceiver.take(ask);
    const { term } = this.agreed;
    const { counts } = decision;
    const { snapshotPart } = this.store;
    if (received.kind === "partial") {
      if (received.isAdded)
        this.writer.attempt(
          () => snapshotPart.add(ask),
          () => undefined,
        );
      return done({ term, counts, matched: 0, receivedBytes: received.receivedBytes });
    }
    const { leader, lastIndex, lastTerm } = ask;
    const whole = { term: ask.term, leader, lastIndex, lastTerm, text: received.text };
    this.handleCheckpoint(whole, (ret) => done({ ...ret, receivedBytes: ask.totalBytes }));
    this.removeSnapshotPart();
  }

  private removeSnapshotPart(): void {
    this.writer.attempt(
      () => this.store.snapshotPart.remove(),
      () => undefined,
    );
  }

  private handleCheckpoint(ask: CheckpointAsk, done: (ret: CheckpointReturn) => void): void {
    const decision = decideSnapshot(this.agreed, ask, this.facts);
    this.agreed = decision.state;
    if (decision.kind === "answer") return done(decision.reply);
    const { counts, entries } = decision;
    const { term, votedFor, rejoinNonce } = this.agreed;
    const { lastIndex, lastTerm } = ask;
    const durableState: DurableState = {
      fleet: this.fleet,
      rejoining: rejoinNonce,
      term,
      votedFor,
      lastIndex,
      lastTerm,
      book: ask.text,
      entries: [...entries],
    };
    this.agreed = installSnapshot(this.agreed, ask, this.stateMachine.restore(ask.text), entries);
    this.snapshotsTaken += 1;
    this.applied = lastIndex;
    const pending = { term, cuts: this.agreed.truncations, counts, matched: lastIndex };
    this.writer.writeSnapshot(durableState, () => {
      const heldIndex = lastIndex + entries.length;
      const acknowledged = acknowledgeSnapshot(this.agreed, pending, heldIndex, this.facts);
      this.agreed = acknowledged.state;
      done(acknowledged.reply);
    });
  }

  /** Takes a state over, and applies what is committed in it. */
  private take(state: ConsensusState): void {
    this.agreed = state;
    while (this.applied < this.agreed.committedIndex) {
      const entry = this.agreed.log.entryAt(this.applied + 1);
      if (entry?.index !== this.applied + 1)
        throw new LogInvariantError(`Entry ${this.applied + 1} is not where it should be.`);
      this.applied = entry.index;
      this.noteRejoined(entry.text);
      const outcome = this.steps.run("applyEntry", () =>
        this.stateMachine.apply(entry.index, entry.text),
      );
      const promise = this.promises.get(entry.index);
      this.promises.delete(entry.index);
      promise?.done(promise.term === entry.term ? { index: entry.index, outcome } : "unknown");
    }
    if (
      !this.checkpointing &&
      this.writer.addedBytes > this.replicationTimeouts.snapshotBytes * this.snapshotPart &&
      this.state === "formed"
    )
      this.writeCheckpoint("");
  }

  private noteRejoined(text: string): void {
    const mark = rejoinMarkerIn(text);
    if (mark !== undefined && completesRejoin(this.agreed, mark, this.facts))
      this.writeCheckpoint("rejoined");
  }

  private writeCheckpoint(then: "rejoined" | ""): void {
    this.checkpointing = true;
    const lastIndex = this.applied;
    const { term, votedFor, rejoinNonce, log } = this.agreed;
    const members = membersAt(this.agreed, lastIndex);
    const startedMs = this.runtime.clock.nowMs();
    const durableState: DurableState = {
      fleet: this.fleet,
      rejoining: then === "rejoined" ? "" : rejoinNonce,
      term,
      votedFor,
      lastIndex,
      lastTerm: log.termAt(lastIndex) ?? 0,
      book: this.steps.run("makeSnapshot", () =>
        this.stateMachine.snapshot(members, this.store.history.newest),
      ),
      entries: log.entriesFrom(lastIndex + 1),
    };
    const applied = log.entriesFrom(log.baseIndex + 1, lastIndex - log.baseIndex).reverse();
    const keptCount = applied.length > 0 ? countWithinLimit(applied, kept) : 0;
    const heldIndex = this.snapshotSender.heldIndex(this.runtime.clock.nowMs()) ?? lastIndex;
    const heldCount = applied.length > 0 ? countWithinLimit(applied, heldForTransfers) : 0;
    const neededCount = Math.min(lastIndex - heldIndex, heldCount);
    this.agreed = compactLog(this.agreed, lastIndex - Math.max(keptCount, neededCount));
    const madeMs = this.runtime.clock.nowMs();
    this.writer.writeSnapshot(durableState, () => {
      this.checkpointing = false;
      this.log.info("Wrote a snapshot.", {
        bytes: durableState.book.length,
        madeInMs: Math.round(madeMs - startedMs),
        writtenInMs: Math.round(this.runtime.clock.nowMs() - madeMs),
      });
      if (then === "rejoined") this.queue.put({ kind: "rejoined" });
    });
    this.historyKeeper.keep();
    if (this.snapshotReceiver.dropUpTo(lastIndex)) this.removeSnapshotPart();
  }
}
