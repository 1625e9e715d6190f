/** The way of commands and watch requests from any daemon to the leader. */
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

/** What a voter or learner knows of the leadership: whether it leads itself, and who leads otherwise. */
export interface LeadershipSource {
  readonly leads: boolean;
  /** Address of the leader; empty where none is known. */
  readonly leader: string;
}

/** How long one attempt waits for its response, besides what its bytes take. */
const ATTEMPT_TIMEOUT_MS = 700;
/** How many bytes of a command even a slow link takes in a millisecond. */
const SLOW_LINK_BYTES_PER_MS = 100;
/** How long a peer that isn't known to lead may take, before another is tried. */
const UNCONFIRMED_TIMEOUT_MS = 200;
/** How long a peer that didn't respond is tried only after the others. */
const UNRESPONSIVE_MS = 3000;
/** How often a peer that forwards to the leader checks whether another one leads by now. */
const LEADER_CHECK_INTERVAL_MS = 20;
/** How long a command pauses between attempts, at most. */
const RETRY_PAUSE_MS = 40;
const NOT_LEADER = failureResponse("notLeader");

const attemptTimeoutMs = (text: string): number =>
  ATTEMPT_TIMEOUT_MS + text.length / SLOW_LINK_BYTES_PER_MS;

const endingOf = (text: string | undefined): ForwardAttempt["ending"] => {
  if (text === undefined) return "silent";
  if (text === NOT_LEADER) return "notLeader";
  return isFailureResponse(text) ? "failed" : "answered";
};

/** One attempt to bring a command to the leader, as it is reported to operators. */
export interface ForwardAttempt {
  readonly peer: string;
  readonly ending: "answered" | "silent" | "notLeader" | "failed";
  readonly tookMs: number;
}

/** Where the next attempt goes. */
interface Hop {
  readonly peer: string;
  /** Whether the peer is to forward it to a leader that isn't reached from here. */
  readonly isRelay: boolean;
}

/** What follows upon an attempt: another one, or the end with or without a response. */
type NextStep = { readonly hop: Hop } | { readonly ended: string | undefined };

const GIVE_UP: NextStep = { ended: undefined };

/** Brings commands and watch requests to the leader, through any daemon. */
export class CommandForwarder {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly contacts: () => readonly string[];
  private knownMembers: readonly string[] = [];
  private isMember = false;
  /** Peers that didn't respond, and until when others are tried before them. */
  private readonly unresponsiveUntilMs = new Map<string, number>();
  /** The peer that forwards to a leader that isn't reached from here; empty for none. */
  private relay = "";
  /** The leader as last known; empty for none. */
  leader = "";

  /** Finds the leader through members of the replicated log that are known, or through any daemons that `contacts` names. */
  constructor(runtime: Runtime, rpc: RpcEndpoint, contacts: () => readonly string[]) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.contacts = contacts;
  }

  /** Replaces the known members of the replicated log. */
  setMembers(members: readonly string[]): void {
    this.knownMembers = members;
  }

  /** The members of the replicated log as last known. */
  get members(): readonly string[] {
    return this.knownMembers;
  }

  /** Serves both methods at a daemon that is no member: it responds with the leader as far as it is known here. */
  serveLeaderHints(): void {
    const response = (): LeaderResponse => ({ leader: this.leader, text: NOT_LEADER });
    for (const method of [rpcMethods.command, rpcMethods.watch])
      this.rpc.serve(method, function* () {
        return response();
      });
  }

  /** Serves a method at a member: handled here if it leads, else forwarded once. */
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

  /** Sends a request to the leader on another daemon's behalf; `undefined` once another one turns out to lead. */
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
   * Sends a request to the leader: by the way that last worked, then by others, until one responds or `waitMs` are over. With
   * `late`, a response of the leader after that is passed on too. `attempts` is called after each attempt.
   */
  *forward(
    method: ForwardedMethod,
    text: string,
    waitMs: number,
    late?: LateResponse<string>,
    attempts?: (attempt: ForwardAttempt) => void,
  ): Task<string | undefined> {
    const { clock } = this.runtime;
    const untilMs = clock.nowMs() + waitMs;
    const tried = new Set<string>();
    let hop = this.firstHop(tried);
    while (hop.peer !== "" && clock.nowMs() < untilMs) {
      const { peer, isRelay } = hop;
      tried.add(peer);
      const isLeader = peer === this.leader;
      const sentMs = clock.nowMs();
      const response = yield* this.rpc.call(
        peer,
        method,
        { forwarded: !isRelay, text },
        Math.min(untilMs - clock.nowMs(), isLeader || isRelay ? waitMs : UNCONFIRMED_TIMEOUT_MS),
        late && this.lateFrom(peer, late),
      );
      attempts?.({
        peer,
        ending: endingOf(response?.text),
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

  /** A leader that is merely slow isn't tried again; otherwise the way is forgotten and another peer is tried. */
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

  /** Takes a response after its timeout: that of the leader, or only who leads. */
  private lateFrom(peer: string, late: LateResponse<string>): LateResponse<LeaderResponse> {
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

  /** A random peer to try where the leader isn't known: members before others, unresponsive ones last; empty for none. */
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

  /** Has a command carried out. It is safe to repeat, so it is sent until `waitMs` are over; `undefined` where its outcome is unknown. */
  *command(
    command: Command,
    waitMs: number,
    attempts?: (attempt: ForwardAttempt) => void,
  ): Task<string | undefined> {
    const { clock } = this.runtime;
    const untilMs = clock.nowMs() + waitMs;
    const text = encodeCommand(command);
    for (;;) {
      const leftMs = untilMs - clock.nowMs();
      if (leftMs <= 0) return undefined;
      const response = yield* this.forward(
        rpcMethods.command,
        text,
        Math.min(attemptTimeoutMs(text), leftMs),
        undefined,
        attempts,
      );
      if (response !== undefined) return response;
      yield* sleep(clock, Math.min(RETRY_PAUSE_MS, Math.max(0, untilMs - clock.nowMs())));
    }
  }
}
