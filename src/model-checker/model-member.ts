import {
  acknowledgeAppend,
  decideAppend,
  type AppendRequest,
  type PendingAcknowledgment,
} from "../consensus/append.js";
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
  transferTargetOf,
  isLeading,
  leadershipEntryText,
  stepDownReason,
} from "../consensus/leadership.js";
import { mayChangeMembers, membersEntryText } from "../consensus/membership-change.js";
import {
  completesRejoin,
  afterRejoin,
  rejoinMarkerIn,
  rejoinMarkerEntryText,
} from "../consensus/rejoin.js";
import {
  appendRequestFor,
  initialProgress,
  needsSnapshot,
  progressAfter,
  type Progress,
} from "../consensus/replication.js";
import { memberRightsOf } from "../consensus/rights.js";
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
import { MembershipPolicy } from "../replication/membership/membership-policy.js";
import type { ModelReply, ModelRequest, SnapshotRequest } from "./message.js";
import type { DiskContent, ModelDisk } from "./model-disk.js";
import type { GroupSettings } from "./group-settings.js";

/** What a member does once a write of its own is on disk. */
export type AfterWrite =
  | {
      readonly kind: "replyVote";
      readonly to: string;
      readonly askId: string;
      readonly reply: VoteReply;
    }
  | {
      readonly kind: "acknowledgeAppend";
      readonly to: string;
      readonly askId: string;
      readonly pending: PendingAcknowledgment;
    }
  | {
      readonly kind: "acknowledgeSnapshot";
      readonly to: string;
      readonly askId: string;
      readonly pending: PendingAcknowledgment;
      readonly heldIndex: number;
    }
  | { readonly kind: "ownEntries"; readonly term: number; readonly index: number }
  | { readonly kind: "askForVotes"; readonly request: VoteRequest }
  | { readonly kind: "beginRejoining"; readonly content: DiskContent }
  | { readonly kind: "rejoined" }
  | { readonly kind: "nothing" };

/** What a member needs of the group around it. */
export interface GroupEnvironment {
  readonly settings: GroupSettings;
  /** The global time; each member's clock runs at a rate of its own. */
  readonly nowMs: number;
  /** Sends a request; the name under which its reply comes. */
  send(from: string, to: string, request: ModelRequest): string;
  reply(from: string, to: string, askId: string, reply: ModelReply): void;
  /** A number from 0 up to 1 for an election wait. */
  draw(member: string): number;
  /** The entry at an index was applied by a member; whether it tells a client so. */
  applied(member: ModelMember, index: number, term: number, text: string): void;
  elected(member: ModelMember): void;
  /** What a member that begins anew is told of the members, if anybody is there who knows. */
  knownMembers(): Members | undefined;
  nonce(): string;
}

interface OpenAsk {
  readonly peer: string;
  readonly request: ModelRequest;
  readonly sentMs: number;
  readonly untilMs: number;
}

interface Replication {
  progress: Progress;
  /** The request under way, if any. */
  askId: string | undefined;
  /** When the next heartbeat is due. */
  dueMs: number;
}

const snapshotWaitMs = 5000;
const rejoinRestMs = 500;
const batchBytes = 1024 * 1024;
const valueIn = (text: string): number | undefined =>
  text.startsWith("write ") ? Number(text.slice("write ".length)) : undefined;

/** The entry by which a client sets the register. */
export const writeText = (value: number): string => `write ${value}`;

/**
 * One member of an explored group. It has the timers, the queue of its disk and the requests under way that the recorder
 * has; every decision is made by the functions of `src/record/consensus/` that the recorder calls too.
 */
export class ModelMember {
  readonly name: string;
  readonly clockRate: number;
  disk: ModelDisk<AfterWrite>;
  isUp = false;
  state: ConsensusState;
  value = 0;
  appliedIndex = 0;
  private around: GroupEnvironment;
  private activeRole: Role = "follower";
  private untilMs = 0;
  private waitedSinceMs = 0;
  private leadingSinceMs = 0;
  private nextRejoinMs = 0;
  private readonly asks = new Map<string, OpenAsk>();
  private readonly replications = new Map<string, Replication>();
  private hasStorage = false;
  private clearsNonceAt = 0;

  constructor(
    name: string,
    clockRate: number,
    around: GroupEnvironment,
    disk: ModelDisk<AfterWrite>,
  ) {
    this.name = name;
    this.clockRate = clockRate;
    this.around = around;
    this.disk = disk;
    this.state = initialState(name, this.nowMs);
  }

  /** A copy that goes its own way, in other surroundings. */
  clone(around: GroupEnvironment): ModelMember {
    const copy = new ModelMember(this.name, this.clockRate, around, this.disk.clone());
    copy.isUp = this.isUp;
    copy.state = this.state;
    copy.value = this.value;
    copy.appliedIndex = this.appliedIndex;
    copy.activeRole = this.activeRole;
    copy.untilMs = this.untilMs;
    copy.waitedSinceMs = this.waitedSinceMs;
    copy.leadingSinceMs = this.leadingSinceMs;
    copy.nextRejoinMs = this.nextRejoinMs;
    copy.hasStorage = this.hasStorage;
    copy.clearsNonceAt = this.clearsNonceAt;
    for (const [id, ask] of this.asks) copy.asks.set(id, ask);
    for (const [peer, replication] of this.replications)
      copy.replications.set(peer, { ...replication });
    return copy;
  }

  get nowMs(): number {
    return this.around.nowMs * this.clockRate;
  }

  /** What tells two situations of a member apart, with times taken from now. */
  get fingerprint(): string {
    const {
      log,
      matched,
      acknowledgedSentMs: ackedSentMs,
      responsiveSinceMs: provenSinceMs,
      votes,
      lastLeaderContactMs: heardLeaderMs,
      lastAppendMs: heardAppendMs,
      ...rest
    } = this.state;
    const now = this.nowMs;
    const age = (atMs: number): number => Math.min(5000, Math.round(now - atMs));
    const parts = [
      this.isUp,
      rest,
      log.baseIndex,
      log.baseTerm,
      log.entriesFrom(log.baseIndex + 1),
      [...matched],
      [...ackedSentMs].map(([peer, atMs]) => [peer, age(atMs)]),
      [...provenSinceMs].map(([peer, atMs]) => [peer, age(atMs)]),
      [...votes].sort(),
      age(heardLeaderMs),
      age(heardAppendMs),
      age(this.untilMs),
      [...this.replications].map(([peer, one]) => [
        peer,
        one.progress,
        one.askId !== undefined,
        age(one.dueMs),
      ]),
      this.disk.content,
      this.disk.pending,
    ];
    return JSON.stringify(parts);
  }

  get facts(): DecisionContext {
    const { settings } = this.around;
    return {
      nowMs: this.nowMs,
      timeouts: settings.waits,
      rules: settings.rules,
      stage: this.hasStorage ? "formed" : "empty",
      isRetired: false,
      isDiskHealthy: true,
    };
  }

  /** Whether this member answers reads now. */
  get answers(): boolean {
    return (
      this.isUp &&
      (this.appliedIndex >= this.state.leadingSinceIndex ||
        !this.around.settings.rules.serveOnlyInCommittedTerm) &&
      memberRightsOf(this.state, this.facts).serve
    );
  }

  /** Whether it holds all that it ever acknowledged. */
  get isWhole(): boolean {
    const { content } = this.disk;
    return content !== undefined && content.rejoinNonce === "";
  }

  start(): void {
    if (this.isUp) return;
    this.isUp = true;
    const { content } = this.disk;
    this.state = initialState(this.name, this.nowMs);
    this.hasStorage = content !== undefined;
    this.value = content?.value ?? 0;
    this.appliedIndex = content?.lastIndex ?? 0;
    if (content !== undefined) this.state = restoredState(this.state, content);
    this.state = stateAfterRestart(this.state, this.facts);
    this.activeRole = "follower";
    this.asks.clear();
    this.replications.clear();
    this.nextRejoinMs = this.nowMs;
    this.clearsNonceAt = 0;
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

  /** The oldest write is on disk. */
  sync(): void {
    const then = this.disk.sync();
    if (then !== undefined) this.afterWrite(then);
    this.settle();
  }

  /** Looks at the clock. */
  tick(): void {
    if (!this.isUp) return;
    const now = this.nowMs;
    for (const [id, ask] of this.asks) if (now >= ask.untilMs) this.expire(id);
    if (!this.hasStorage) return this.beginRejoining();
    if (this.state.role === "follower") this.tickFollower(now);
    else if (this.state.role !== "leader" && now >= this.untilMs)
      this.state = abandonElection(this.state, this.facts);
    else if (this.state.role === "leader") this.tickLeader();
    this.askToRejoin(now);
    this.settle();
  }

  /** Sets the register through this member; false where it doesn't lead. */
  write(value: number): boolean {
    if (!this.isUp || this.state.role !== "leader") return false;
    this.add([writeText(value)]);
    this.settle();
    return true;
  }

  /** Hands the lead over. */
  handOver(): void {
    if (!this.isUp || this.state.role !== "leader") return;
    const { term } = this.state;
    const heir = transferTargetOf(this.state);
    this.state = becomeFollower(this.state, term, "", this.nowMs);
    if (heir !== undefined) this.ask(heir, { kind: "handOver", term }, this.waits.electionMinMs);
    this.settle();
  }

  /** Has the leader change the members, where it may. */
  changeMembers(members: Members): void {
    if (!this.isUp || !mayChangeMembers(this.state, this.facts)) return;
    this.add([membersEntryText(members)]);
    this.settle();
  }

  /** Writes a snapshot and lets go of the log before it. */
  compact(): void {
    if (!this.isUp || !this.hasStorage || this.appliedIndex <= this.state.log.baseIndex) return;
    this.writeWhole(this.state.rejoinNonce, { kind: "nothing" });
  }

  receive(from: string, askId: string, request: ModelRequest): void {
    if (!this.isUp || !this.hasStorage) return;
    switch (request.kind) {
      case "vote":
        this.onVote(from, askId, request.request);
        break;
      case "append":
        this.onAppend(from, askId, request.request);
        break;
      case "snapshot":
        this.onSnapshot(from, askId, request.request);
        break;
      case "handOver":
        this.state = acceptLeadershipTransfer(this.state, request.term, this.facts) ?? this.state;
        break;
      case "rejoin":
        this.onRejoin(request.machine, request.nonce);
        break;
    }
    this.settle();
  }

  receiveReply(askId: string, reply: ModelReply): void {
    const ask = this.asks.get(askId);
    if (!this.isUp || ask === undefined || this.nowMs >= ask.untilMs) return;
    this.asks.delete(askId);
    const { peer, request, sentMs } = ask;
    if (reply.kind === "vote" && request.kind === "vote") {
      const { isPreVote, term } = request.request;
      this.state = countVote(this.state, { peer, isPreVote, term, reply: reply.reply }, this.nowMs);
    } else if (reply.kind === "append" && request.kind === "append") {
      this.onAppendReply(peer, askId, request.request.term, sentMs, reply);
    } else if (reply.kind === "snapshot" && request.kind === "snapshot") {
      this.onSnapshotReply(peer, askId, request.request, sentMs, reply);
    }
    this.settle();
  }

  private get waits() {
    return this.around.settings.waits;
  }

  private ask(peer: string, request: ModelRequest, waitMs: number): string {
    const askId = this.around.send(this.name, peer, request);
    const now = this.nowMs;
    this.asks.set(askId, { peer, request, sentMs: now, untilMs: now + waitMs });
    return askId;
  }

  private electionWaitMs(): number {
    const { electionMinMs, electionMaxMs } = this.waits;
    return electionMinMs + this.around.draw(this.name) * (electionMaxMs - electionMinMs);
  }

  private waitForElection(): void {
    this.waitedSinceMs = this.state.lastLeaderContactMs;
    const sinceMs = Number.isFinite(this.waitedSinceMs) ? this.waitedSinceMs : this.nowMs;
    this.untilMs = sinceMs + this.electionWaitMs();
  }

  private tickFollower(now: number): void {
    if (this.state.lastLeaderContactMs !== this.waitedSinceMs) this.waitForElection();
    if (now < this.untilMs) return;
    this.state = onElectionTimeout(this.state, this.facts);
    if (this.state.role === "follower") this.untilMs = now + this.electionWaitMs();
  }

  private tickLeader(): void {
    const why = stepDownReason(this.state, this.leadingSinceMs, this.facts);
    if (why === "notVoter") return this.handOver();
    if (why === "noContact") {
      this.state = becomeFollower(this.state, this.state.term, "", this.nowMs);
      return;
    }
    this.reviewMembership();
    this.replicateAll();
  }

  private reviewMembership(): void {
    if (!mayChangeMembers(this.state, this.facts)) return;
    const now = this.nowMs;
    const {
      members,
      acknowledgedSentMs: ackedSentMs,
      matched,
      committedIndex,
      syncedIndex,
    } = this.state;
    const since = this.leadingSinceMs;
    const { settings } = this.around;
    const change = MembershipPolicy.next({
      self: this.name,
      voters: members.voters,
      learners: members.learners,
      stopping: new Set(),
      wantedVoters: settings.wantedVoters,
      committedIndex,
      progressOf: (member) =>
        member === this.name
          ? { unresponsiveMs: 0, hasAcknowledged: true, responsiveMs: 0, matchedIndex: syncedIndex }
          : {
              unresponsiveMs: now - Math.max(since, ackedSentMs.get(member) ?? since),
              hasAcknowledged: ackedSentMs.has(member),
              responsiveMs: now - (this.state.responsiveSinceMs.get(member) ?? now),
              matchedIndex: matched.get(member) ?? 0,
            },
      timeouts: {
        responsiveWithinMs: settings.waits.electionMaxMs,
        replaceAfterMs: settings.replaceAfterMs,
        responsiveAfterMs: settings.provenAfterMs,
        forgetAfterMs: settings.forgetAfterMs,
      },
    });
    if (change !== undefined) this.add([membersEntryText(MembershipPolicy.after(members, change))]);
  }

  /** Does what follows from a change of role, as the recorder's own task does. */
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
          this.untilMs = this.nowMs + this.electionWaitMs();
          this.askForVotes(request);
          break;
        }
        case "candidate": {
          const { state, records, request } = startElection(this.state);
          this.state = state;
          this.untilMs = this.nowMs + this.electionWaitMs();
          this.disk.pending.push({
            content: { records },
            then: { kind: "askForVotes", request },
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
    this.around.elected(this);
    this.add([leadershipEntryText(this.state)]);
  }

  private askForVotes(request: VoteRequest): void {
    const { isPreVote, term } = request;
    const reply: VoteReply = { term, granted: true };
    for (const peer of this.state.members.voters)
      if (peer !== this.name) this.ask(peer, { kind: "vote", request }, this.waits.electionMinMs);
    this.state = countVote(this.state, { peer: this.name, isPreVote, term, reply }, this.nowMs);
  }

  private add(texts: readonly string[]): void {
    const { state, records } = appendAsLeader(this.state, texts);
    this.state = state;
    const then: AfterWrite = { kind: "ownEntries", term: state.term, index: state.log.lastIndex };
    this.disk.pending.push({ content: { records }, then });
    for (const replication of this.replications.values()) replication.dueMs = this.nowMs;
  }

  private replicateAll(): void {
    const { voters, learners } = this.state.members;
    const peers = [...voters, ...learners];
    for (const peer of [...this.replications.keys()])
      if (!peers.includes(peer)) this.replications.delete(peer);
    for (const peer of peers) {
      if (peer === this.name) continue;
      const replication = this.replications.get(peer) ?? {
        progress: initialProgress(this.state),
        askId: undefined,
        dueMs: this.nowMs,
      };
      this.replications.set(peer, replication);
      if (replication.askId === undefined && this.nowMs >= replication.dueMs)
        this.replicate(peer, replication);
    }
  }

  private replicate(peer: string, replication: Replication): void {
    const { state } = this;
    if (needsSnapshot(state, replication.progress)) {
      const request: SnapshotRequest = {
        term: state.term,
        leader: this.name,
        lastIndex: this.appliedIndex,
        lastTerm: state.log.termAt(this.appliedIndex) ?? 0,
        members: membersAt(state, this.appliedIndex),
        value: this.value,
      };
      replication.askId = this.ask(peer, { kind: "snapshot", request }, snapshotWaitMs);
    } else {
      const limit = { entries: this.around.settings.batchEntries, bytes: batchBytes };
      const request = appendRequestFor(state, replication.progress, limit);
      replication.askId = this.ask(peer, { kind: "append", request }, this.waits.electionMinMs);
    }
  }

  private expire(askId: string): void {
    const ask = this.asks.get(askId);
    this.asks.delete(askId);
    if (ask === undefined) return;
    this.rest(ask.peer, askId);
  }

  /** A request to a peer has ended: the next one goes with the next heartbeat. */
  private rest(peer: string, askId: string, atOnce = false): void {
    const replication = this.replications.get(peer);
    if (replication === undefined || replication.askId !== askId) return;
    replication.askId = undefined;
    replication.dueMs = atOnce ? this.nowMs : this.nowMs + this.waits.heartbeatMs;
  }

  private onVote(from: string, askId: string, request: VoteRequest): void {
    const decision = decideVote(this.state, request, this.facts);
    this.state = decision.state;
    const { reply, records } = decision;
    if (decision.replyAfterSync) {
      const then: AfterWrite = { kind: "replyVote", to: from, askId, reply };
      if (records.length > 0) this.disk.pending.push({ content: { records }, then });
      else this.afterWrite(then);
      return;
    }
    if (records.length > 0)
      this.disk.pending.push({ content: { records }, then: { kind: "nothing" } });
    this.around.reply(this.name, from, askId, { kind: "vote", reply });
  }

  private onAppend(from: string, askId: string, request: AppendRequest): void {
    const decision = decideAppend(this.state, request, this.facts);
    this.state = decision.state;
    if (decision.kind === "refuse") {
      this.around.reply(this.name, from, askId, { kind: "append", reply: decision.reply });
      return;
    }
    const { pending, records, mustSync } = decision;
    const then: AfterWrite = { kind: "acknowledgeAppend", to: from, askId, pending };
    const waits = this.around.settings.rules.syncEntriesBeforeReply;
    if (mustSync)
      this.disk.pending.push({ content: { records }, then: waits ? then : { kind: "nothing" } });
    if (!mustSync || !waits) this.afterWrite(then);
    this.apply();
  }

  private onSnapshot(from: string, askId: string, request: SnapshotRequest): void {
    const decision = decideSnapshot(this.state, request, this.facts);
    this.state = decision.state;
    if (decision.kind === "reply") {
      this.around.reply(this.name, from, askId, { kind: "snapshot", reply: decision.reply });
      return;
    }
    const { counts, entries } = decision;
    const { lastIndex, lastTerm, members, value } = request;
    this.state = installSnapshot(this.state, request, members, entries);
    this.appliedIndex = lastIndex;
    this.value = value;
    const { term, votedFor, rejoinNonce, truncations: cuts } = this.state;
    this.disk.pending.push({
      content: {
        whole: { term, votedFor, rejoinNonce, lastIndex, lastTerm, members, entries, value },
      },
      then: {
        kind: "acknowledgeSnapshot",
        to: from,
        askId,
        pending: { term, truncations: cuts, counts, matched: lastIndex },
        heldIndex: lastIndex + entries.length,
      },
    });
  }

  private onRejoin(machine: string, nonce: string): void {
    if (!this.answers) return;
    const { voters, learners } = this.state.members;
    if (![...voters, ...learners].includes(machine)) {
      if (!mayChangeMembers(this.state, this.facts)) return;
      this.add([membersEntryText({ voters, learners: [...learners, machine] })]);
    }
    if (nonce !== "") this.add([rejoinMarkerEntryText(machine, nonce)]);
  }

  private onAppendReply(
    peer: string,
    askId: string,
    term: number,
    sentMs: number,
    { reply }: Extract<ModelReply, { kind: "append" }>,
  ): void {
    if (reply.term > term) return this.outdated(reply.term);
    if (reply.term !== term || !isLeading(this.state, term)) return this.rest(peer, askId);
    const { fits, counts } = reply;
    const replication = this.replications.get(peer);
    if (replication !== undefined && replication.askId === askId)
      replication.progress = progressAfter(replication.progress, reply);
    const acknowledgment = { peer, term, sentMs, matched: fits ? reply.matched : 0, counts };
    this.state = onAcknowledgment(this.state, acknowledgment, this.facts);
    const next = replication?.progress.next ?? 0;
    this.rest(peer, askId, !fits || this.state.log.lastIndex >= next);
    this.apply();
  }

  private onSnapshotReply(
    peer: string,
    askId: string,
    request: SnapshotRequest,
    sentMs: number,
    { reply }: Extract<ModelReply, { kind: "snapshot" }>,
  ): void {
    const { matched, counts } = reply;
    const { term, lastIndex } = request;
    this.state = onAcknowledgment(this.state, { peer, term, sentMs, matched, counts }, this.facts);
    if (reply.term > term) this.outdated(reply.term);
    const replication = this.replications.get(peer);
    if (replication !== undefined && replication.askId === askId && matched >= lastIndex)
      replication.progress = { ...replication.progress, next: matched + 1 };
    this.rest(peer, askId);
    this.apply();
  }

  private outdated(term: number): void {
    if (term > this.state.term) this.state = becomeFollower(this.state, term, "", this.nowMs);
  }

  private afterWrite(then: AfterWrite): void {
    switch (then.kind) {
      case "replyVote":
        this.around.reply(this.name, then.to, then.askId, { kind: "vote", reply: then.reply });
        return;
      case "acknowledgeAppend": {
        const { state, reply } = acknowledgeAppend(this.state, then.pending, this.facts);
        this.state = state;
        this.around.reply(this.name, then.to, then.askId, { kind: "append", reply });
        return;
      }
      case "acknowledgeSnapshot": {
        const { state, reply } = acknowledgeSnapshot(
          this.state,
          then.pending,
          then.heldIndex,
          this.facts,
        );
        this.state = state;
        this.around.reply(this.name, then.to, then.askId, { kind: "snapshot", reply });
        return;
      }
      case "ownEntries":
        this.state = onOwnEntriesSynced(this.state, then.term, then.index, this.facts);
        return this.apply();
      case "askForVotes":
        if (isStillCampaigning(this.state, then.request.term)) this.askForVotes(then.request);
        return;
      case "beginRejoining":
        this.state = restoredState(this.state, then.content);
        this.hasStorage = true;
        this.waitForElection();
        return;
      case "rejoined":
        this.state = afterRejoin(this.state);
        return;
      case "nothing":
        return;
    }
  }

  /** An emptied member writes a nonce first, and learns from the others. */
  private beginRejoining(): void {
    if (this.disk.pending.length > 0) return;
    const members = this.around.knownMembers();
    if (members === undefined) return;
    const content: DiskContent = {
      term: 0,
      votedFor: "",
      rejoinNonce: this.around.nonce(),
      lastIndex: 0,
      lastTerm: 0,
      members,
      entries: [],
      value: 0,
    };
    this.disk.pending.push({
      content: { whole: content },
      then: { kind: "beginRejoining", content },
    });
  }

  /** One that rejoins, or that no leader has sent anything for long, asks to be taken up. */
  private askToRejoin(now: number): void {
    const { rejoinNonce, lastAppendMs: heardAppendMs, role } = this.state;
    const isForgotten =
      role !== "leader" && now - heardAppendMs > this.around.settings.replaceAfterMs;
    if ((rejoinNonce === "" && !isForgotten) || now < this.nextRejoinMs) return;
    this.nextRejoinMs = now + rejoinRestMs;
    for (const peer of this.around.settings.names)
      if (peer !== this.name)
        this.ask(peer, { kind: "rejoin", machine: this.name, nonce: rejoinNonce }, 1000);
  }

  private apply(): void {
    while (this.appliedIndex < this.state.committedIndex) {
      const index = this.appliedIndex + 1;
      const entry = this.state.log.entryAt(index);
      if (entry === undefined || entry.index !== index)
        throw new Error(`${this.name}: entry ${index} is not where it should be.`);
      this.appliedIndex = index;
      this.value = valueIn(entry.text) ?? this.value;
      const mark = rejoinMarkerIn(entry.text);
      if (mark !== undefined && completesRejoin(this.state, mark, this.facts))
        this.writeWhole("", { kind: "rejoined" });
      this.around.applied(this, index, entry.term, entry.text);
    }
  }

  private writeWhole(rejoinNonce: string, then: AfterWrite): void {
    const { term, votedFor, log } = this.state;
    const lastIndex = this.appliedIndex;
    const members = membersAt(this.state, lastIndex);
    const content: DiskContent = {
      term,
      votedFor,
      rejoinNonce,
      lastIndex,
      lastTerm: log.termAt(lastIndex) ?? 0,
      members,
      entries: log.entriesFrom(lastIndex + 1),
      value: this.value,
    };
    this.state = compactLog(this.state, lastIndex);
    this.disk.pending.push({ content: { whole: content }, then });
  }
}
