/** One member of a model-checked group: timers, disk queue and requests around the production consensus functions. */
import { acknowledgeAppend, decideAppend, type AppendRequest } from "../consensus/append.js";
import { onAcknowledgment, onOwnEntriesSynced } from "../consensus/commit.js";
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
  selectTransferTarget,
  isLeading,
  leadershipEntryText,
  stepDownReason,
} from "../consensus/leadership.js";
import { mayChangeMembers, membersEntryText } from "../consensus/membership-change.js";
import {
  completesRejoin,
  stateAfterRejoin,
  parseRejoinMarker,
  rejoinMarkerEntryText,
} from "../consensus/rejoin.js";
import {
  appendRequestFor,
  initialProgress,
  needsSnapshot,
  type Progress,
} from "../consensus/replication.js";
import { currentMemberRights } from "../consensus/rights.js";
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
  type Role,
} from "../consensus/state.js";
import { countVote, decideVote, type VoteReply, type VoteRequest } from "../consensus/vote.js";
import type { Members } from "../consensus/members.js";
import type { ModelReply, ModelRequest, SnapshotRequest } from "./message.js";
import type { ModelDisk } from "./model-disk.js";
import { emptyContent, snapshotContent } from "./disk-contents.js";
import type { GroupSettings } from "./group-settings.js";
import { computeFingerprint } from "./member-fingerprint.js";
import { reviewMembership } from "./membership-review.js";
import { PeerReplications } from "./peer-replications.js";
import { PendingRequests } from "./pending-requests.js";
import type { WriteEffect } from "./write-effect.js";

/** The environment that a group provides to its members. */
export interface GroupEnvironment {
  readonly settings: GroupSettings;
  /** The global time; each member's clock runs at its own rate. */
  readonly nowMs: number;
  /** Sends a request; returns the id that its reply carries. */
  send(from: string, to: string, request: ModelRequest): string;
  /** Sends the reply to a request. */
  reply(from: string, to: string, requestId: string, reply: ModelReply): void;
  /** A random number in [0, 1), from which an election timeout is computed. */
  randomFraction(member: string): number;
  /** Called after a member has applied the entry at an index. */
  onApplied(member: ModelMember, index: number, term: number, text: string): void;
  /** Called after a member has become the leader. */
  onElected(member: ModelMember): void;
  /** The members as a member with an empty disk discovers them; `undefined` while no member with the log is up. */
  knownMembers(): Members | undefined;
  /** Creates the nonce of a rejoin, unique in the group. */
  createNonce(): string;
}

const SNAPSHOT_TIMEOUT_MS = 5000;
const REJOIN_TIMEOUT_MS = 1000;
const REJOIN_INTERVAL_MS = 500;
const MAX_BATCH_BYTES = 1024 * 1024;

const parseWriteEntry = (text: string): number | undefined =>
  text.startsWith("write ") ? Number(text.slice("write ".length)) : undefined;

/** The text of the log entry that sets the register to a value. */
export const writeEntryText = (value: number): string => `write ${value}`;

/**
 * One member of a model-checked group. It has the timers, the disk queue and the pending requests of a replication node. The
 * functions of `src/consensus/`, which the replication node calls too, make every decision.
 */
export class ModelMember {
  readonly name: string;
  readonly clockRate: number;
  disk: ModelDisk<WriteEffect>;
  isUp = false;
  state: ConsensusState;
  registerValue = 0;
  appliedIndex = 0;
  private readonly group: GroupEnvironment;
  private activeRole: Role = "follower";
  private electionDeadlineMs = 0;
  private electionWaitStartMs = 0;
  private leadingSinceMs = 0;
  private nextRejoinMs = 0;
  private readonly pendingRequests = new PendingRequests();
  private readonly replications = new PeerReplications();
  private hasStorage = false;

  constructor(
    name: string,
    clockRate: number,
    group: GroupEnvironment,
    disk: ModelDisk<WriteEffect>,
  ) {
    this.name = name;
    this.clockRate = clockRate;
    this.group = group;
    this.disk = disk;
    this.state = initialState(name, this.nowMs);
  }

  /** Creates an independent copy for another group. */
  clone(group: GroupEnvironment): ModelMember {
    const copy = new ModelMember(this.name, this.clockRate, group, this.disk.clone());
    copy.isUp = this.isUp;
    copy.state = this.state;
    copy.registerValue = this.registerValue;
    copy.appliedIndex = this.appliedIndex;
    copy.activeRole = this.activeRole;
    copy.electionDeadlineMs = this.electionDeadlineMs;
    copy.electionWaitStartMs = this.electionWaitStartMs;
    copy.leadingSinceMs = this.leadingSinceMs;
    copy.nextRejoinMs = this.nextRejoinMs;
    copy.hasStorage = this.hasStorage;
    copy.pendingRequests.copyFrom(this.pendingRequests);
    copy.replications.copyFrom(this.replications);
    return copy;
  }

  get nowMs(): number {
    return this.group.nowMs * this.clockRate;
  }

  /** A text that is equal for equal states, with times relative to now. */
  get fingerprint(): string {
    const { isUp, state, electionDeadlineMs, replications, disk } = this;
    return computeFingerprint({ isUp, state, electionDeadlineMs, replications, disk }, this.nowMs);
  }

  get context(): DecisionContext {
    const { settings } = this.group;
    return {
      nowMs: this.nowMs,
      timeouts: settings.timeouts,
      rules: settings.rules,
      stage: this.hasStorage ? "formed" : "empty",
      isRetired: false,
      isDiskHealthy: true,
    };
  }

  /** Whether this member may serve reads now. */
  get canServeReads(): boolean {
    return (
      this.isUp &&
      (this.appliedIndex >= this.state.leadingSinceIndex ||
        !this.group.settings.rules.serveOnlyInCommittedTerm) &&
      currentMemberRights(this.state, this.context).serve
    );
  }

  /** Whether its disk holds all that this member ever acknowledged. */
  get hasCompleteDisk(): boolean {
    const { content } = this.disk;
    return content !== undefined && content.rejoinNonce === "";
  }

  /** Starts the process, which reads its state from the disk. */
  start(): void {
    if (this.isUp) return;
    this.isUp = true;
    const { content } = this.disk;
    this.state = initialState(this.name, this.nowMs);
    this.hasStorage = content !== undefined;
    this.registerValue = content?.value ?? 0;
    this.appliedIndex = content?.lastIndex ?? 0;
    if (content !== undefined) this.state = restoredState(this.state, content);
    this.state = stateAfterRestart(this.state, this.context);
    this.activeRole = "follower";
    this.pendingRequests.clear();
    this.replications.clear();
    this.nextRejoinMs = this.nowMs;
    this.startElectionTimer();
  }

  /** Stops the process; only the oldest `keptWrites` of its pending writes are on disk. */
  crash(keptWrites: number): void {
    this.isUp = false;
    this.disk.crash(keptWrites);
  }

  /** Stops the process and empties its disk. */
  wipe(): void {
    this.isUp = false;
    this.disk.wipe();
  }

  /** Completes the oldest pending write. */
  sync(): void {
    const effect = this.disk.sync();
    if (effect !== undefined) this.completeWrite(effect);
    this.applyRoleChanges();
  }

  /** Runs the timers that are due. */
  tick(): void {
    if (!this.isUp) return;
    const now = this.nowMs;
    for (const [requestId, { peer }] of this.pendingRequests.expire(now))
      this.endReplicationRequest(peer, requestId);
    if (!this.hasStorage) return this.beginRejoin();
    if (this.state.role === "follower") this.tickFollower(now);
    else if (this.state.role !== "leader" && now >= this.electionDeadlineMs)
      this.state = abandonElection(this.state, this.context);
    else if (this.state.role === "leader") this.tickLeader();
    this.requestRejoin(now);
    this.applyRoleChanges();
  }

  /** Proposes a value for the register; returns false if this member isn't the leader. */
  write(value: number): boolean {
    if (!this.isUp || this.state.role !== "leader") return false;
    this.append([writeEntryText(value)]);
    this.applyRoleChanges();
    return true;
  }

  /** Transfers the leadership to the most up-to-date voter. */
  transferLeadership(): void {
    if (!this.isUp || this.state.role !== "leader") return;
    const { term } = this.state;
    const target = selectTransferTarget(this.state);
    this.state = becomeFollower(this.state, term, "", this.nowMs);
    if (target !== undefined)
      this.send(target, { kind: "handOver", term }, this.timeouts.electionMinMs);
    this.applyRoleChanges();
  }

  /** Changes the members, if this member is the leader and may change them now. */
  changeMembers(members: Members): void {
    if (!this.isUp || !mayChangeMembers(this.state, this.context)) return;
    this.append([membersEntryText(members)]);
    this.applyRoleChanges();
  }

  /** Writes a snapshot and compacts the log up to it. */
  compact(): void {
    if (!this.isUp || !this.hasStorage || this.appliedIndex <= this.state.log.baseIndex) return;
    this.writeSnapshot(this.state.rejoinNonce, { kind: "none" });
  }

  /** Handles a request from another member. */
  receive(from: string, requestId: string, request: ModelRequest): void {
    if (!this.isUp || !this.hasStorage) return;
    switch (request.kind) {
      case "vote":
        this.onVoteRequest(from, requestId, request.request);
        break;
      case "append":
        this.onAppendRequest(from, requestId, request.request);
        break;
      case "snapshot":
        this.onSnapshotRequest(from, requestId, request.request);
        break;
      case "handOver":
        this.state = acceptLeadershipTransfer(this.state, request.term, this.context) ?? this.state;
        break;
      case "rejoin":
        this.onRejoinRequest(request.machine, request.nonce);
        break;
    }
    this.applyRoleChanges();
  }

  /** Handles the reply to a pending request. */
  receiveReply(requestId: string, reply: ModelReply): void {
    if (!this.isUp) return;
    const pending = this.pendingRequests.complete(requestId, this.nowMs);
    if (pending === undefined) return;
    const { peer, request, sentMs } = pending;
    if (reply.kind === "vote" && request.kind === "vote") {
      const { isPreVote, term } = request.request;
      this.state = countVote(this.state, { peer, isPreVote, term, reply: reply.reply }, this.nowMs);
    } else if (reply.kind === "append" && request.kind === "append") {
      this.onAppendReply(peer, requestId, request.request.term, sentMs, reply);
    } else if (reply.kind === "snapshot" && request.kind === "snapshot") {
      this.onSnapshotReply(peer, requestId, request.request, sentMs, reply);
    }
    this.applyRoleChanges();
  }

  private get timeouts() {
    return this.group.settings.timeouts;
  }

  private send(peer: string, request: ModelRequest, timeoutMs: number): string {
    const requestId = this.group.send(this.name, peer, request);
    const now = this.nowMs;
    this.pendingRequests.add(requestId, {
      peer,
      request,
      sentMs: now,
      deadlineMs: now + timeoutMs,
    });
    return requestId;
  }

  private randomElectionTimeoutMs(): number {
    const { electionMinMs, electionMaxMs } = this.timeouts;
    return electionMinMs + this.group.randomFraction(this.name) * (electionMaxMs - electionMinMs);
  }

  private startElectionTimer(): void {
    this.electionWaitStartMs = this.state.lastLeaderContactMs;
    const sinceMs = Number.isFinite(this.electionWaitStartMs)
      ? this.electionWaitStartMs
      : this.nowMs;
    this.electionDeadlineMs = sinceMs + this.randomElectionTimeoutMs();
  }

  private tickFollower(now: number): void {
    if (this.state.lastLeaderContactMs !== this.electionWaitStartMs) this.startElectionTimer();
    if (now < this.electionDeadlineMs) return;
    this.state = onElectionTimeout(this.state, this.context);
    if (this.state.role === "follower")
      this.electionDeadlineMs = now + this.randomElectionTimeoutMs();
  }

  private tickLeader(): void {
    const reason = stepDownReason(this.state, this.leadingSinceMs, this.context);
    if (reason === "notVoter") return this.transferLeadership();
    if (reason === "noContact") {
      this.state = becomeFollower(this.state, this.state.term, "", this.nowMs);
      return;
    }
    this.reviewMembership();
    this.replicateAll();
  }

  private reviewMembership(): void {
    if (!mayChangeMembers(this.state, this.context)) return;
    const { state, leadingSinceMs, nowMs } = this;
    const { settings } = this.group;
    const members = reviewMembership(this.name, state, leadingSinceMs, nowMs, settings);
    if (members !== undefined) this.append([membersEntryText(members)]);
  }

  /** Performs the actions on each change of role, as the replication node's task does. */
  private applyRoleChanges(): void {
    while (this.isUp && this.state.role !== this.activeRole) {
      const previousRole = this.activeRole;
      this.activeRole = this.state.role;
      if (previousRole === "leader") this.replications.clear();
      switch (this.activeRole) {
        case "follower":
          this.startElectionTimer();
          break;
        case "preCandidate": {
          const { state, request } = startPreVote(this.state);
          this.state = state;
          this.electionDeadlineMs = this.nowMs + this.randomElectionTimeoutMs();
          this.requestVotes(request);
          break;
        }
        case "candidate": {
          const { state, records, request } = startElection(this.state);
          this.state = state;
          this.electionDeadlineMs = this.nowMs + this.randomElectionTimeoutMs();
          this.disk.pending.push({
            content: { records },
            effect: { kind: "requestVotes", request },
          });
          break;
        }
        case "leader":
          this.startLeading();
      }
    }
    if (this.state.role === "leader") this.replicateAll();
  }

  private startLeading(): void {
    this.state = becomeLeader(this.state);
    this.leadingSinceMs = this.nowMs;
    this.group.onElected(this);
    this.append([leadershipEntryText(this.state)]);
  }

  private requestVotes(request: VoteRequest): void {
    const { isPreVote, term } = request;
    const reply: VoteReply = { term, granted: true };
    for (const peer of this.state.members.voters)
      if (peer !== this.name)
        this.send(peer, { kind: "vote", request }, this.timeouts.electionMinMs);
    this.state = countVote(this.state, { peer: this.name, isPreVote, term, reply }, this.nowMs);
  }

  private append(texts: readonly string[]): void {
    const { state, records } = appendAsLeader(this.state, texts);
    this.state = state;
    const effect: WriteEffect = {
      kind: "ownEntries",
      term: state.term,
      index: state.log.lastIndex,
    };
    this.disk.pending.push({ content: { records }, effect });
    this.replications.expedite(this.nowMs);
  }

  private replicateAll(): void {
    const { voters, learners } = this.state.members;
    const peers = [...voters, ...learners];
    this.replications.retain(peers);
    for (const peer of peers) {
      if (peer === this.name) continue;
      const initial = (): Progress => initialProgress(this.state);
      const { progress, requestId, dueMs } = this.replications.getOrCreate(
        peer,
        initial,
        this.nowMs,
      );
      if (requestId === undefined && this.nowMs >= dueMs) this.replicate(peer, progress);
    }
  }

  private replicate(peer: string, progress: Progress): void {
    const { state } = this;
    if (needsSnapshot(state, progress)) {
      const request: SnapshotRequest = {
        term: state.term,
        leader: this.name,
        lastIndex: this.appliedIndex,
        lastTerm: state.log.termAt(this.appliedIndex) ?? 0,
        members: membersAt(state, this.appliedIndex),
        value: this.registerValue,
      };
      const snapshot: ModelRequest = { kind: "snapshot", request };
      this.replications.begin(peer, this.send(peer, snapshot, SNAPSHOT_TIMEOUT_MS));
    } else {
      const limit = { entries: this.group.settings.maxBatchEntries, bytes: MAX_BATCH_BYTES };
      const request = appendRequestFor(state, progress, limit);
      const append: ModelRequest = { kind: "append", request };
      this.replications.begin(peer, this.send(peer, append, this.timeouts.electionMinMs));
    }
  }

  /** Ends a replication request to a peer, and schedules the next for the next heartbeat, or at once if `isNextDue`. */
  private endReplicationRequest(peer: string, requestId: string, isNextDue = false): void {
    const { nowMs } = this;
    this.replications.end(peer, requestId, isNextDue ? nowMs : nowMs + this.timeouts.heartbeatMs);
  }

  private onVoteRequest(from: string, requestId: string, request: VoteRequest): void {
    const decision = decideVote(this.state, request, this.context);
    this.state = decision.state;
    const { reply, records } = decision;
    if (decision.replyAfterSync) {
      const effect: WriteEffect = { kind: "replyVote", to: from, requestId, reply };
      if (records.length > 0) this.disk.pending.push({ content: { records }, effect });
      else this.completeWrite(effect);
      return;
    }
    if (records.length > 0)
      this.disk.pending.push({ content: { records }, effect: { kind: "none" } });
    this.group.reply(this.name, from, requestId, { kind: "vote", reply });
  }

  private onAppendRequest(from: string, requestId: string, request: AppendRequest): void {
    const decision = decideAppend(this.state, request, this.context);
    this.state = decision.state;
    if (decision.kind === "refuse") {
      this.group.reply(this.name, from, requestId, { kind: "append", reply: decision.reply });
      return;
    }
    const { pending, records, mustSync } = decision;
    const effect: WriteEffect = { kind: "acknowledgeAppend", to: from, requestId, pending };
    const { syncEntriesBeforeReply } = this.group.settings.rules;
    if (mustSync)
      this.disk.pending.push({
        content: { records },
        effect: syncEntriesBeforeReply ? effect : { kind: "none" },
      });
    if (!mustSync || !syncEntriesBeforeReply) this.completeWrite(effect);
    this.apply();
  }

  private onSnapshotRequest(from: string, requestId: string, request: SnapshotRequest): void {
    const decision = decideSnapshot(this.state, request, this.context);
    this.state = decision.state;
    if (decision.kind === "reply") {
      this.group.reply(this.name, from, requestId, { kind: "snapshot", reply: decision.reply });
      return;
    }
    const { counts, entries } = decision;
    const { lastIndex, lastTerm, members, value } = request;
    this.state = installSnapshot(this.state, request, members, entries);
    this.appliedIndex = lastIndex;
    this.registerValue = value;
    const { term, votedFor, rejoinNonce, truncations } = this.state;
    this.disk.pending.push({
      content: {
        fullContent: {
          term,
          votedFor,
          rejoinNonce,
          lastIndex,
          lastTerm,
          members,
          entries,
          value,
        },
      },
      effect: {
        kind: "acknowledgeSnapshot",
        to: from,
        requestId,
        pending: { term, truncations, counts, matched: lastIndex },
        lastIndex: lastIndex + entries.length,
      },
    });
  }

  private onRejoinRequest(machine: string, nonce: string): void {
    if (!this.canServeReads) return;
    const { voters, learners } = this.state.members;
    if (![...voters, ...learners].includes(machine)) {
      if (!mayChangeMembers(this.state, this.context)) return;
      this.append([membersEntryText({ voters, learners: [...learners, machine] })]);
    }
    if (nonce !== "") this.append([rejoinMarkerEntryText(machine, nonce)]);
  }

  private onAppendReply(
    peer: string,
    requestId: string,
    term: number,
    sentMs: number,
    { reply }: Extract<ModelReply, { kind: "append" }>,
  ): void {
    if (reply.term > term) return this.followNewerTerm(reply.term);
    if (reply.term !== term || !isLeading(this.state, term))
      return this.endReplicationRequest(peer, requestId);
    const { fits, counts } = reply;
    this.replications.advance(peer, requestId, reply);
    const matchIndex = fits ? reply.matched : 0;
    const acknowledgment = { peer, term, sentMs, matchIndex, counts };
    this.state = onAcknowledgment(this.state, acknowledgment, this.context);
    const next = this.replications.all.get(peer)?.progress.next ?? 0;
    this.endReplicationRequest(peer, requestId, !fits || this.state.log.lastIndex >= next);
    this.apply();
  }

  private onSnapshotReply(
    peer: string,
    requestId: string,
    request: SnapshotRequest,
    sentMs: number,
    { reply }: Extract<ModelReply, { kind: "snapshot" }>,
  ): void {
    const { matched: matchIndex, counts } = reply;
    const { term, lastIndex } = request;
    this.state = onAcknowledgment(
      this.state,
      { peer, term, sentMs, matchIndex, counts },
      this.context,
    );
    if (reply.term > term) this.followNewerTerm(reply.term);
    if (matchIndex >= lastIndex) this.replications.continueAfter(peer, requestId, matchIndex);
    this.endReplicationRequest(peer, requestId);
    this.apply();
  }

  private followNewerTerm(term: number): void {
    if (term > this.state.term) this.state = becomeFollower(this.state, term, "", this.nowMs);
  }

  private completeWrite(effect: WriteEffect): void {
    switch (effect.kind) {
      case "replyVote":
        this.group.reply(this.name, effect.to, effect.requestId, {
          kind: "vote",
          reply: effect.reply,
        });
        return;
      case "acknowledgeAppend": {
        const { state, reply } = acknowledgeAppend(this.state, effect.pending, this.context);
        this.state = state;
        this.group.reply(this.name, effect.to, effect.requestId, { kind: "append", reply });
        return;
      }
      case "acknowledgeSnapshot": {
        const { state, reply } = acknowledgeSnapshot(
          this.state,
          effect.pending,
          effect.lastIndex,
          this.context,
        );
        this.state = state;
        this.group.reply(this.name, effect.to, effect.requestId, { kind: "snapshot", reply });
        return;
      }
      case "ownEntries":
        this.state = onOwnEntriesSynced(this.state, effect.term, effect.index, this.context);
        return this.apply();
      case "requestVotes":
        if (isStillCampaigning(this.state, effect.request.term)) this.requestVotes(effect.request);
        return;
      case "beginRejoin":
        this.state = restoredState(this.state, effect.content);
        this.hasStorage = true;
        this.startElectionTimer();
        return;
      case "rejoined":
        this.state = stateAfterRejoin(this.state);
        return;
      case "none":
        return;
    }
  }

  /** Begins the rejoin of a member with an empty disk: writes a nonce first, so that only its own marker completes the rejoin. */
  private beginRejoin(): void {
    if (this.disk.pending.length > 0) return;
    const members = this.group.knownMembers();
    if (members === undefined) return;
    const content = emptyContent(members, this.group.createNonce());
    this.disk.pending.push({
      content: { fullContent: content },
      effect: { kind: "beginRejoin", content },
    });
  }

  /** Requests to be added as a learner, if this member rejoins or no leader has contacted it within `replaceAfterMs`. */
  private requestRejoin(now: number): void {
    const { rejoinNonce, lastAppendMs, role } = this.state;
    const isForgotten =
      role !== "leader" && now - lastAppendMs > this.group.settings.replaceAfterMs;
    if ((rejoinNonce === "" && !isForgotten) || now < this.nextRejoinMs) return;
    this.nextRejoinMs = now + REJOIN_INTERVAL_MS;
    for (const peer of this.group.settings.names)
      if (peer !== this.name)
        this.send(
          peer,
          { kind: "rejoin", machine: this.name, nonce: rejoinNonce },
          REJOIN_TIMEOUT_MS,
        );
  }

  private apply(): void {
    while (this.appliedIndex < this.state.committedIndex) {
      const index = this.appliedIndex + 1;
      const entry = this.state.log.entryAt(index);
      if (entry === undefined || entry.index !== index)
        throw new Error(
          `${this.name}: the log has ${entry === undefined ? "no entry" : `entry ${entry.index}`} at index ${index}`,
        );
      this.appliedIndex = index;
      this.registerValue = parseWriteEntry(entry.text) ?? this.registerValue;
      const marker = parseRejoinMarker(entry.text);
      if (marker !== undefined && completesRejoin(this.state, marker, this.context))
        this.writeSnapshot("", { kind: "rejoined" });
      this.group.onApplied(this, index, entry.term, entry.text);
    }
  }

  private writeSnapshot(rejoinNonce: string, effect: WriteEffect): void {
    const lastIndex = this.appliedIndex;
    const content = snapshotContent(this.state, lastIndex, this.registerValue, rejoinNonce);
    this.state = compactLog(this.state, lastIndex);
    this.disk.pending.push({ content: { fullContent: content }, effect });
  }
}
