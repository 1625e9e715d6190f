/** Runs a node while it isn't the leader: election timeouts, votes and campaigns. */
import {
  abandonElection,
  acceptLeadershipTransfer,
  isStillCampaigning,
  onElectionTimeout,
  startElection,
  startPreVote,
} from "../../consensus/election.js";
import {
  countVote,
  decideVote,
  type ReceivedVote,
  type VoteReply,
  type VoteRequest,
} from "../../consensus/vote.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { Logger } from "../../runtime/logger.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";
import type { Task } from "../../runtime/task.js";
import type { ConsensusOwner } from "../consensus-owner.js";
import type { LogWriter } from "../log/log-writer.js";
import type { NodeEvent, NodeEventQueue } from "../node-event.js";
import type { ReplicationTimeouts } from "../replication-timeouts.js";
import { HeartbeatGaps } from "./heartbeat-gaps.js";

/** A timer that is later than this shows that the process didn't run, and may have unread heartbeats. */
const MAX_TIMER_DELAY_MS = 30;

/** The dependencies of an election driver. */
export interface ElectionDriverOptions {
  readonly runtime: Runtime;
  readonly rpc: RpcEndpoint;
  readonly log: Logger;
  readonly consensus: ConsensusOwner;
  readonly events: NodeEventQueue;
  readonly writer: LogWriter;
  readonly timeouts: ReplicationTimeouts;
  /** Processes one event of the node's queue. */
  readonly handle: (event: NodeEvent) => void;
}

/** Drives the node in the roles of follower, pre-candidate and candidate, and handles vote requests. */
export class ElectionDriver {
  private readonly options: ElectionDriverOptions;
  private readonly gaps: HeartbeatGaps;

  constructor(options: ElectionDriverOptions) {
    this.options = options;
    this.gaps = new HeartbeatGaps(options.timeouts);
  }

  /**
   * Runs the follower role until the node changes its role. Time in which this process didn't run is no evidence against the
   * leader: heartbeats that arrived meanwhile are read first.
   */
  *runFollower(): Task {
    const { runtime, consensus, events, timeouts, handle } = this.options;
    const { clock } = runtime;
    let deadlineMs = consensus.current.lastLeaderContactMs + this.electionTimeoutMs();
    while (consensus.current.role === "follower") {
      const event = yield* events.takeUntil(clock, deadlineMs);
      const { lastLeaderContactMs: lastContactMs, knownLeader } = consensus.current;
      if (event) handle(event);
      const contactMs = consensus.current.lastLeaderContactMs;
      const lateMs = clock.nowMs() - deadlineMs;
      if (contactMs !== lastContactMs) {
        if (knownLeader !== "" && knownLeader === consensus.current.knownLeader)
          this.gaps.record(contactMs - lastContactMs);
        deadlineMs = contactMs + this.electionTimeoutMs();
      } else if (lateMs > MAX_TIMER_DELAY_MS) deadlineMs = clock.nowMs() + timeouts.heartbeatMs;
      else if (lateMs >= 0) {
        this.onTimeout(lastContactMs);
        if (consensus.current.role === "follower")
          deadlineMs = clock.nowMs() + this.electionTimeoutMs();
      }
    }
  }

  /** Runs a pre-vote or an election until it is won or lost, or times out. */
  *runCandidate(isPreVote: boolean): Task {
    const { runtime, consensus, events, handle } = this.options;
    const { clock } = runtime;
    const { role } = consensus.current;
    if (isPreVote) this.requestPreVotes();
    else this.campaign();
    const deadlineMs = clock.nowMs() + this.electionTimeoutMs();
    while (consensus.current.role === role) {
      const event = yield* events.takeUntil(clock, deadlineMs);
      if (event) handle(event);
      if (consensus.current.role === role && clock.nowMs() >= deadlineMs)
        consensus.update(abandonElection(consensus.current, consensus.context));
    }
  }

  /** Decides on another member's vote request; a granted vote is synced to disk before the reply if required. */
  onVoteRequest(request: VoteRequest, respond: (reply: VoteReply) => void): void {
    const { consensus, writer } = this.options;
    const decision = decideVote(consensus.current, request, consensus.context);
    const { state, records, replyAfterSync, reply } = decision;
    consensus.update(state);
    if (replyAfterSync) writer.append([...records], () => respond(reply));
    else respond(reply);
  }

  /** Counts a reply to this node's own vote requests. */
  onVote(received: ReceivedVote): void {
    const { consensus, runtime } = this.options;
    consensus.update(countVote(consensus.current, received, runtime.clock.nowMs()));
  }

  /** Accepts the leadership that the leader of a term offers, if this node may campaign; returns whether it accepted. */
  acceptLeadership(term: number): boolean {
    const { consensus } = this.options;
    const state = acceptLeadershipTransfer(consensus.current, term, consensus.context);
    if (state === undefined) return false;
    consensus.update(state);
    return true;
  }

  private electionTimeoutMs(): number {
    const { runtime, timeouts } = this.options;
    const { electionMinMs, electionMaxMs } = timeouts;
    const spreadMs = electionMaxMs - electionMinMs;
    return Math.max(electionMinMs, this.gaps.patienceMs) + runtime.random() * spreadMs;
  }

  private onTimeout(lastContactMs: number): void {
    const { runtime, log, consensus } = this.options;
    const { knownLeader } = consensus.current;
    consensus.update(onElectionTimeout(consensus.current, consensus.context));
    if (consensus.current.role === "follower") return;
    log.info("election timeout", {
      leader: knownLeader,
      unheardMs: Math.round(runtime.clock.nowMs() - lastContactMs),
    });
  }

  private requestPreVotes(): void {
    const { consensus } = this.options;
    const { state, request } = startPreVote(consensus.current);
    consensus.update(state);
    this.requestVotes(request);
  }

  private campaign(): void {
    const { consensus, writer } = this.options;
    const { state, records, request } = startElection(consensus.current);
    consensus.update(state);
    writer.append([...records], () => {
      if (isStillCampaigning(consensus.current, request.term)) this.requestVotes(request);
    });
  }

  private requestVotes(request: VoteRequest): void {
    const { runtime, consensus, events } = this.options;
    const { self } = consensus.current;
    const { isPreVote, term } = request;
    const reply: VoteReply = { term, granted: true };
    events.put({ kind: "voteReceived", received: { peer: self, isPreVote, term, reply } });
    for (const peer of consensus.current.members.voters.filter((voter) => voter !== self))
      startTask(runtime, "replication", this.requestVote(peer, request));
  }

  private *requestVote(peer: string, request: VoteRequest): Task {
    const { rpc, events, timeouts } = this.options;
    const reply = yield* rpc.call(peer, rpcMethods.vote, request, timeouts.electionMinMs);
    if (!reply) return;
    const { isPreVote, term } = request;
    events.put({ kind: "voteReceived", received: { peer, isPreVote, term, reply } });
  }
}
