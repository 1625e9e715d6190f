/** One member of an explored group: the timers, disk queue and requests around the production consensus functions. */
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

/** What a member needs of its group. */
export interface GroupEnvironment {
  readonly settings: GroupSettings;
  /** The global time; each member's clock runs at its own rate. */
  readonly nowMs: number;
  /** Sends a request; returns the id that its reply carries. */
  send(from: string, to: string, request: ModelRequest): string;
  reply(from: string, to: string, requestId: string, reply: ModelReply): void;
  /** A number from 0 up to 1 for an election timeout. */
  randomFraction(member: string): number;
  /** Called when a member has applied the entry at an index. */
  onApplied(member: ModelMember, index: number, term: number, text: string): void;
  /** Called when a member has become leader. */
  onElected(member: ModelMember): void;
  /** The members as a member with an empty disk learns them; undefined where no other is up. */
  knownMembers(): Members | undefined;
  createNonce(): string;
}

const SNAPSHOT_TIMEOUT_MS = 5000;
const REJOIN_TIMEOUT_MS = 1000;
const REJOIN_INTERVAL_MS = 500;
const MAX_BATCH_BYTES = 1024 * 1024;

const parseWriteEntry = (text: string): number | undefined =>
  text.startsWith("write ") ? Number(text.slice("write ".length)) : undefined;

/** The entry by which a client sets the register. */
export const writeEntryText = (value: number): string => `write ${value}`;

/**
 * One member of an explored group. It has the timers, the disk queue and the pending requests of a replication node; every
 * decision is made by the functions of `src/consensus/` that the replication node calls too.
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
  private waitedSinceMs = 0;
  private leadingSinceMs = 0;
  private nextRejoinMs = 0;
  private readonly requests = new PendingRequests();
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

  /** An independent copy for another group. */
  clone(group: GroupEnvironment): ModelMember {
    const copy = new ModelMember(this.name, this.clockRate, group, this.disk.clone());
    copy.isUp = this.isUp;
    copy.state = this.state;
    copy.registerValue = this.registerValue;
    copy.appliedIndex = this.appliedIndex;
    copy.activeRole = this.activeRole;
    copy.electionDeadlineMs = this.electionDeadlineMs;
    copy.waitedSinceMs = this.waitedSinceMs;
    copy.leadingSinceMs = this.leadingSinceMs;
    copy.nextRejoinMs = this.nextRejoinMs;
    copy.hasStorage = this.hasStorage;
    copy.requests.copyFrom(this.requests);
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

  /** Whether this member may answer reads now. */
  get canServeReads(): boolean {
    return (
      this.isUp &&
      (this.appliedIndex >= this.state.leadingSinceIndex ||
        !this.group.settings.rules.serveOnlyInCommittedTerm) &&
      currentMemberRights(this.state, this.context).serve
    );
  }

  /** Whether its disk has all that it ever acknowledged. */
  get hasCompleteDisk(): boolean {
    const { content } = this.disk;
    return content !== undefined && content.rejoinNonce === "";
  }

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
    this.requests.clear();
    this.replications.clear();
    this.nextRejoinMs = this.nowMs;
    this.waitForElection();
  }

  crash(keptWrites: number): void {
    this.isUp = false;
    this.disk.crash(keptWrites);
  }

  wipe(): void {
    this.isUp = false;
    this.disk.wipe();
  }

  /** Completes the oldest write. */
  sync(): void {
    const then = this.disk.sync();
    if (then !== undefined) this.completeWrite(then);
    this.settle();
  }

  /** Runs the timers that are due. */
  tick(): void {
    if (!this.isUp) return;
    const now = this.nowMs;
    for (const [requestId, { peer }] of this.requests.expire(now))
      this.endReplicationRequest(peer, requestId);
    if (!this.hasStorage) return this.beginRejoin();
    if (this.state.role === "follower") this.tickFollower(now);
    else if (this.state.role !== "leader" && now >= this.electionDeadlineMs)
      this.state = abandonElection(this.state, this.context);
    else if (this.state.role === "leader") this.tickLeader();
    this.requestRejoin(now);
    this.settle();
  }

  /** Sets the register through this member; false where it doesn't lead. */
  write(registerValue: number): boolean {
    if (!this.isUp || this.state.role !== "leader") return false;
    this.append([writeEntryText(registerValue)]);
    this.settle();
    return true;
  }

  /** Transfers the leadership to the most up-to-date voter. */
  transferLeadership(): void {
    if (!this.isUp || this.state.role !== "leader") return;
    const { term } = this.state;
    const target = selectTransferTarget(this.state);
    this.state = becomeFollower(this.state, term, "", this.nowMs);
    if (target !== undefined)
      this.send(target, { kind: "handOver", term }, this.waits.electionMinMs);
    this.settle();
  }

  /** Has the leader change the members, where it may. */
  changeMembers(members: Members): void {
    if (!this.isUp || !mayChangeMembers(this.state, this.context)) return;
    this.append([membersEntryText(members)]);
    this.settle();
  }

  /** Writes a snapshot and compacts the log before it. */
  compact(): void {
    if (!this.isUp || !this.hasStorage || this.appliedIndex <= this.state.log.baseIndex) return;
    this.writeSnapshot(this.state.rejoinNonce, { kind: "none" });
  }

  receive(from: string, requestId: string, request: ModelRequest): void {
    if (!this.isUp || !this.hasStorage) return;
    switch (request.kind) {
      case "vote":
        this.onVote(from, requestId, request.request);
        break;
      case "append":
        this.onAppend(from, requestId, request.request);
        break;
      case "snapshot":
        this.onSnapshot(from, requestId, request.request);
        break;
      case "handOver":
        this.state = acceptLeadershipTransfer(this.state, request.term, this.context) ?? this.state;
        break;
      case "rejoin":
        this.onRejoin(request.machine, request.nonce);
        break;
    }
    this.settle();
  }

  receiveReply(requestId: string, reply: ModelReply): void {
    if (!this.isUp) return;
    const pending = this.requests.complete(requestId, this.nowMs);
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
    this.settle();
  }

  private get waits() {
    return this.group.settings.timeouts;
  }

  private send(peer: string, request: ModelRequest, timeoutMs: number): string {
    const requestId = this.group.send(this.name, peer, request);
    const now = this.nowMs;
    this.requests.add(requestId, { peer, request, sentMs: now, deadlineMs: now + timeoutMs });
    return requestId;
  }

  private electionWaitMs(): number {
    const { electionMinMs, electionMaxMs } = this.waits;
    return electionMinMs + this.group.randomFraction(this.name) * (electionMaxMs - electionMinMs);
  }

  private waitForElection(): void {
    this.waitedSinceMs = this.state.lastLeaderContactMs;
    const sinceMs = Number.isFinite(this.waitedSinceMs) ? this.waitedSinceMs : this.nowMs;
    this.electionDeadlineMs = sinceMs + this.electionWaitMs();
  }

  private tickFollower(now: number): void {
    if (this.state.lastLeaderContactMs !== this.waitedSinceMs) this.waitForElection();
    if (now < this.electionDeadlineMs) return;
    this.state = onElectionTimeout(this.state, this.context);
    if (this.state.role === "follower") this.electionDeadlineMs = now + this.electionWaitMs();
  }

  private tickLeader(): void {
    const why = stepDownReason(this.state, this.leadingSinceMs, this.context);
    if (why === "notVoter") return this.transferLeadership();
    if (why === "noContact") {
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

  /** Carries out what follows from a change of role, as the replication node's task does. */
  private settle(): void {
    while (this.isUp && this.state.role !== this.activeRole) {
      const former = this.activeRole;
      this.activeRole = this.state.role;
      if (former === "leader") this.replications.clear();
      switch (this.activeRole) {
        case "follower":
          this.waitForElection();
          break;
        case "preCandidate": {
          const { state, request } = startPreVote(this.state);
          this.state = state;
          this.electionDeadlineMs = this.nowMs + this.electionWaitMs();
          this.requestVotes(request);
          break;
        }
        case "candidate": {
          const { state, records, request } = startElection(this.state);
          this.state = state;
          this.electionDeadlineMs = this.nowMs + this.electionWaitMs();
          this.disk.pending.push({
            content: { records },
            effect: { kind: "requestVotes", request },
          });
          break;
        }
        case "leader":
          this.lead();
      }
    }
    if (this.state.role === "leader") this.replicateAll();
  }

  private lead(): void {
    this.state = becomeLeader(this.state);
    this.leadingSinceMs = this.nowMs;
    this.group.onElected(this);
    this.append([leadershipEntryText(this.state)]);
  }

  private requestVotes(request: VoteRequest): void {
    const { isPreVote, term } = request;
    const reply: VoteReply = { term, granted: true };
    for (const peer of this.state.members.voters)
      if (peer !== this.name) this.send(peer, { kind: "vote", request }, this.waits.electionMinMs);
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
      this.replications.begin(peer, this.send(peer, append, this.waits.electionMinMs));
    }
  }

  /** A replication request has ended: the next one is sent with the next heartbeat, or at once. */
  private endReplicationRequest(peer: string, requestId: string, isNextDue = false): void {
    const { nowMs } = this;
    this.replications.end(peer, requestId, isNextDue ? nowMs : nowMs + this.waits.heartbeatMs);
  }

  private onVote(from: string, requestId: string, request: VoteRequest): void {
    const decision = decideVote(this.state, request, this.context);
    this.state = decision.state;
    const { reply, records } = decision;
    if (decision.replyAfterSync) {
      const effect: WriteEffect = { kind: "replyVote", to: from, requestId, reply };
      if (records.length > 0) this.disk.pending.push({ content: { records }, effect: then });
      else this.completeWrite(effect);
      return;
    }
    if (records.length > 0)
      this.disk.pending.push({ content: { records }, effect: { kind: "none" } });
    this.group.reply(this.name, from, requestId, { kind: "vote", reply });
  }

  private onAppend(from: string, requestId: string, request: AppendRequest): void {
    const decision = decideAppend(this.state, request, this.context);
    this.state = decision.state;
    if (decision.kind === "refuse") {
      this.group.reply(this.name, from, requestId, { kind: "append", reply: decision.reply });
      return;
    }
    const { pending, records, mustSync } = decision;
    const then: WriteEffect = { kind: "acknowledgeAppend", to: from, requestId, pending };
    const waits = this.group.settings.rules.syncEntriesBeforeReply;
    if (mustSync)
      this.disk.pending.push({ content: { records }, effect: waits ? then : { kind: "none" } });
    if (!mustSync || !waits) this.completeWrite(then);
    this.apply();
  }

  private onSnapshot(from: string, requestId: string, request: SnapshotRequest): void {
    const decision = decideSnapshot(this.state, request, this.context);
    this.state = decision.state;
    if (decision.kind === "reply") {
      this.group.reply(this.name, from, requestId, { kind: "snapshot", reply: decision.reply });
      return;
    }
    const { counts, entries } = decision;
    const { lastIndex, lastTerm, members, value: registerValue } = request;
    this.state = installSnapshot(this.state, request, members, entries);
    this.appliedIndex = lastIndex;
    this.registerValue = registerValue;
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
          value: registerValue,
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

  private onRejoin(machine: string, nonce: string): void {
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
    const acknowledgment = { peer, term, sentMs, matched: fits ? reply.matched : 0, counts };
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
    const { matched, counts } = reply;
    const { term, lastIndex } = request;
    this.state = onAcknowledgment(
      this.state,
      { peer, term, sentMs, matchIndex: matched, counts },
      this.context,
    );
    if (reply.term > term) this.followNewerTerm(reply.term);
    if (matched >= lastIndex) this.replications.continueAfter(peer, requestId, matched);
    this.endReplicationRequest(peer, requestId);
    this.apply();
  }

  private followNewerTerm(term: number): void {
    if (term > this.state.term) this.state = becomeFollower(this.state, term, "", this.nowMs);
  }

  private completeWrite(then: WriteEffect): void {
    switch (then.kind) {
      case "replyVote":
        this.group.reply(this.name, then.to, then.requestId, { kind: "vote", reply: then.reply });
        return;
      case "acknowledgeAppend": {
        const { state, reply } = acknowledgeAppend(this.state, then.pending, this.context);
        this.state = state;
        this.group.reply(this.name, then.to, then.requestId, { kind: "append", reply });
        return;
      }
      case "acknowledgeSnapshot": {
        const { state, reply } = acknowledgeSnapshot(
          this.state,
          then.pending,
          then.lastIndex,
          this.context,
        );
        this.state = state;
        this.group.reply(this.name, then.to, then.requestId, { kind: "snapshot", reply });
        return;
      }
      case "ownEntries":
        this.state = onOwnEntriesSynced(this.state, then.term, then.index, this.context);
        return this.apply();
      case "requestVotes":
        if (isStillCampaigning(this.state, then.request.term)) this.requestVotes(then.request);
        return;
      case "beginRejoin":
        this.state = restoredState(this.state, then.content);
        this.hasStorage = true;
        this.waitForElection();
        return;
      case "rejoined":
        this.state = stateAfterRejoin(this.state);
        return;
      case "none":
        return;
    }
  }

  /** A member with an empty disk first writes a nonce, then rejoins as a learner of the others. */
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

  /** A member that rejoins, or that no leader has contacted for long, requests to be added. */
  private requestRejoin(now: number): void {
    const { rejoinNonce, lastAppendMs: heardAppendMs, role } = this.state;
    const isForgotten =
      role !== "leader" && now - heardAppendMs > this.group.settings.replaceAfterMs;
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
        throw new Error(`${this.name}: entry ${index} is not where it should be.`);
      this.appliedIndex = index;
      this.registerValue = parseWriteEntry(entry.text) ?? this.registerValue;
      const mark = parseRejoinMarker(entry.text);
      if (mark !== undefined && completesRejoin(this.state, mark, this.context))
        this.writeSnapshot("", { kind: "rejoined" });
      this.group.onApplied(this, index, entry.term, entry.text);
    }
  }

  private writeSnapshot(rejoinNonce: string, then: WriteEffect): void {
    const lastIndex = this.appliedIndex;
    const content = snapshotContent(this.state, lastIndex, this.registerValue, rejoinNonce);
    this.state = compactLog(this.state, lastIndex);
    this.disk.pending.push({ content: { fullContent: content }, effect: then });
  }
}
