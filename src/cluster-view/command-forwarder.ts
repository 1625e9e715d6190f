/** Forwarding of commands and watch requests from any daemon to the leader. */
import { rpcMethods } from "../rpc/rpc-method.js";
import type { DecodedMessage, LateResponse, RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { sleep } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Task } from "../runtime/task.js";
import { type Runtime, startTask } from "../runtime/runtime.js";
import {
  failureResponse,
  isFailureResponse,
  overloadedResponse,
} from "../control-protocol/command-response.js";
import { type Command, encodeCommand } from "../control-protocol/command.js";

type ForwardedMethod = typeof rpcMethods.command | typeof rpcMethods.watch;
type LeaderRequest = DecodedMessage<typeof rpcMethods.command.request>;
type LeaderResponse = DecodedMessage<typeof rpcMethods.command.response>;

/** Leadership state of a member of the replicated log. */
export interface LeadershipSource {
  /** Whether this member is the leader. */
  readonly leads: boolean;
  /** Address of the leader; empty if unknown. */
  readonly leader: string;
}

/** Timeout of one attempt, without the transmission time of its bytes. */
const ATTEMPT_TIMEOUT_MS = 700;
/** Assumed transmission rate of a slow link. */
const SLOW_LINK_BYTES_PER_MS = 100;
/** Timeout of an attempt at a peer that is not known to be the leader. */
const UNCONFIRMED_TIMEOUT_MS = 200;
/** How long a peer that didn't respond is tried only after all others. */
const UNRESPONSIVE_MS = 3000;
/** How often a member that forwards a request checks whether the leader has changed. */
const LEADER_CHECK_INTERVAL_MS = 20;
/** Maximum pause between two attempts of a command. */
const RETRY_PAUSE_MS = 40;
const NOT_LEADER = failureResponse("notLeader");

const attemptTimeoutMs = (text: string): number =>
  ATTEMPT_TIMEOUT_MS + text.length / SLOW_LINK_BYTES_PER_MS;

const classifyEnding = (text: string | undefined): ForwardAttempt["ending"] => {
  if (text === undefined) return "silent";
  if (text === NOT_LEADER) return "notLeader";
  return isFailureResponse(text) ? "failed" : "answered";
};

/** One attempt to send a command to the leader, in the form that is logged. */
export interface ForwardAttempt {
  readonly peer: string;
  readonly ending: "answered" | "silent" | "notLeader" | "failed";
  readonly tookMs: number;
}

/** Target of the next attempt. */
interface Hop {
  readonly peer: string;
  /** Whether the peer has to forward the request, since this daemon can't reach the leader. */
  readonly isRelay: boolean;
}

/** Result of an attempt: the next hop, or the end with or without a response. */
type NextStep = { readonly hop: Hop } | { readonly ended: string | undefined };

const GIVE_UP: NextStep = { ended: undefined };

/** Sends commands and watch requests to the leader, directly or through another daemon. */
export class CommandForwarder {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly contacts: () => readonly string[];
  private knownMembers: readonly string[] = [];
  private isMember = false;
  /** Peers that didn't respond, with the time until which others are tried before them. */
  private readonly unresponsiveUntilMs = new Map<string, number>();
  /** The peer that forwards requests to a leader which this daemon can't reach; empty for none. */
  private relay = "";
  /** Address of the last known leader; empty if unknown. */
  leader = "";

  /** Looks for the leader among the known members of the replicated log, then among the daemons that `contacts` returns. */
  constructor(runtime: Runtime, rpc: RpcEndpoint, contacts: () => readonly string[]) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.contacts = contacts;
  }

  /** Replaces the known members of the replicated log. */
  setMembers(members: readonly string[]): void {
    this.knownMembers = members;
  }

  /** The last known members of the replicated log. */
  get members(): readonly string[] {
    return this.knownMembers;
  }

  /** Serves both methods at a daemon that is not a member: responds with the last known leader. */
  serveLeaderHints(): void {
    const response = (): LeaderResponse => ({ leader: this.leader, text: NOT_LEADER });
    for (const method of [rpcMethods.command, rpcMethods.watch])
      this.rpc.serve(method, function* () {
        return response();
      });
  }

  /** Serves a method at a member: handles the request if this member leads, otherwise forwards it once to the leader. */
  serve(
    method: ForwardedMethod,
    leadership: LeadershipSource,
    handle: (text: string) => Task<string>,
  ): void {
    const { rpc } = this;
    this.isMember = true;
    const forward = (leader: string, text: string): Task<LeaderResponse | undefined> =>
      this.forwardToLeader(method, leader, text, leadership);
    rpc.serve(method, function* ({ forwarded, text }: LeaderRequest): Task<LeaderResponse> {
      const { leader } = leadership;
      if (leadership.leads) return { leader, text: yield* handle(text) };
      if (forwarded || !leader || leader === rpc.self) return { leader, text: NOT_LEADER };
      const response = yield* forward(leader, text);
      if (response) return response;
      if (leadership.leads) return { leader: rpc.self, text: yield* handle(text) };
      return { leader: leadership.leader, text: NOT_LEADER };
    });
  }

  /** Forwards another daemon's request to the leader; returns `undefined` as soon as the leader has changed. */
  private *forwardToLeader(
    method: ForwardedMethod,
    leader: string,
    text: string,
    leadership: LeadershipSource,
  ): Task<LeaderResponse | undefined> {
    const { clock } = this.runtime;
    const responses = new Queue<LeaderResponse>();
    startTask(
      this.runtime,
      "cluster-view",
      this.rpc.call(
        leader,
        method,
        { forwarded: true, text },
        Math.max("waitMs" in method ? method.waitMs : 0, attemptTimeoutMs(text)),
      ),
      (response) => responses.put(response ?? { leader, text: failureResponse("unknown") }),
    );
    for (;;) {
      const response = yield* responses.takeUntil(clock, clock.nowMs() + LEADER_CHECK_INTERVAL_MS);
      if (response) return response;
      if (leadership.leads || (leadership.leader !== "" && leadership.leader !== leader))
        return undefined;
    }
  }

  /**
   * Sends a request to the leader: first over the path that last succeeded, then over others, until one responds or `waitMs` have
   * passed. `late` receives a response of the leader that arrives after that. `onAttempt` is called after each attempt.
   */
  *forward(
    method: ForwardedMethod,
    text: string,
    waitMs: number,
    late?: LateResponse<string>,
    onAttempt?: (attempt: ForwardAttempt) => void,
  ): Task<string | undefined> {
    const { clock } = this.runtime;
    const deadlineMs = clock.nowMs() + waitMs;
    const tried = new Set<string>();
    let hop = this.firstHop(tried);
    while (hop.peer !== "" && clock.nowMs() < deadlineMs) {
      const { peer, isRelay } = hop;
      tried.add(peer);
      const isLeader = peer === this.leader;
      const sentMs = clock.nowMs();
      const response = yield* this.rpc.call(
        peer,
        method,
        { forwarded: !isRelay, text },
        Math.min(deadlineMs - clock.nowMs(), isLeader || isRelay ? waitMs : UNCONFIRMED_TIMEOUT_MS),
        late && this.createLateHandler(peer, late),
      );
      onAttempt?.({
        peer,
        ending: classifyEnding(response?.text),
        tookMs: Math.round(clock.nowMs() - sentMs),
      });
      const step: NextStep = response
        ? this.afterResponse(hop, response, tried)
        : this.afterTimeout(hop, isLeader, sentMs, tried);
      if ("ended" in step) return step.ended;
      hop = step.hop;
    }
    return undefined;
  }

  private firstHop(tried: ReadonlySet<string>): Hop {
    return {
      peer: this.relay || this.leader || this.nextPeer(tried),
      isRelay: this.relay !== "",
    };
  }

  /** Gives up if the leader is only slow, i.e. has sent something since the request; otherwise discards the path and tries another peer. */
  private afterTimeout(
    { peer, isRelay }: Hop,
    isLeader: boolean,
    sentMs: number,
    tried: ReadonlySet<string>,
  ): NextStep {
    if (isLeader && this.rpc.hasReceivedFrom(peer, sentMs)) return GIVE_UP;
    if (isLeader || isRelay) this.leader = "";
    if (!isRelay) this.markUnresponsive(peer);
    this.relay = "";
    return { hop: { peer: this.nextPeer(tried), isRelay: false } };
  }

  private afterResponse(
    { peer, isRelay }: Hop,
    { leader, text }: LeaderResponse,
    tried: ReadonlySet<string>,
  ): NextStep {
    this.unresponsiveUntilMs.delete(peer);
    if (!isFailureResponse(text) || text === overloadedResponse) {
      this.leader = leader;
      this.relay = leader !== peer && this.isUnresponsive(leader) ? peer : "";
      return { ended: text };
    }
    const namedLeader = text === NOT_LEADER && leader !== peer ? leader : "";
    this.relay = "";
    this.leader = "";
    if (namedLeader === "") return GIVE_UP;
    if (this.isUnresponsive(namedLeader))
      return isRelay ? GIVE_UP : { hop: { peer, isRelay: true } };
    if (tried.has(namedLeader)) return GIVE_UP;
    this.leader = namedLeader;
    return { hop: { peer: namedLeader, isRelay: false } };
  }

  /** Handles a response that arrives after its timeout: adopts the leader that it names, and passes on the response if it is not a failure. */
  private createLateHandler(
    peer: string,
    late: LateResponse<string>,
  ): LateResponse<LeaderResponse> {
    return {
      waitMs: late.waitMs,
      onResponse: ({ leader, text }) => {
        this.unresponsiveUntilMs.delete(peer);
        if (this.leader === "") this.leader = leader;
        if (!isFailureResponse(text)) late.onResponse(text);
      },
    };
  }

  private markUnresponsive(peer: string): void {
    this.unresponsiveUntilMs.set(peer, this.runtime.clock.nowMs() + UNRESPONSIVE_MS);
  }

  private isUnresponsive(peer: string): boolean {
    return (this.unresponsiveUntilMs.get(peer) ?? -Infinity) > this.runtime.clock.nowMs();
  }

  /** A random peer to try if the leader is unknown: members first, unresponsive peers last; empty if none is left. */
  private nextPeer(tried: ReadonlySet<string>): string {
    const isUntried = (peer: string): boolean =>
      !tried.has(peer) && (this.isMember || peer !== this.rpc.self);
    const members = this.knownMembers.filter(isUntried);
    const all = [...new Set([...members, ...this.contacts().filter(isUntried)])];
    for (const peer of this.unresponsiveUntilMs.keys())
      if (!this.isUnresponsive(peer)) this.unresponsiveUntilMs.delete(peer);
    const pools = [
      members.filter((peer) => !this.isUnresponsive(peer)),
      all.filter((peer) => !this.isUnresponsive(peer)),
      all,
    ];
    const pool = pools.find((peers) => peers.length > 0) ?? [];
    return pool[Math.floor(this.runtime.random() * pool.length)] ?? "";
  }

  /** Executes a command at the leader. Commands are safe to repeat, so it is retried until `waitMs` have passed; `undefined` if its outcome is unknown. */
  *command(
    command: Command,
    waitMs: number,
    onAttempt?: (attempt: ForwardAttempt) => void,
  ): Task<string | undefined> {
    const { clock } = this.runtime;
    const deadlineMs = clock.nowMs() + waitMs;
    const text = encodeCommand(command);
    for (;;) {
      const remainingMs = deadlineMs - clock.nowMs();
      if (remainingMs <= 0) return undefined;
      const response = yield* this.forward(
        rpcMethods.command,
        text,
        Math.min(attemptTimeoutMs(text), remainingMs),
        undefined,
        onAttempt,
      );
      if (response !== undefined) return response;
      yield* sleep(clock, Math.min(RETRY_PAUSE_MS, Math.max(0, deadlineMs - clock.nowMs())));
    }
  }
}
