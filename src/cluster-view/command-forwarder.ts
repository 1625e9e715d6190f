import { RpcMethod } from "../rpc/rpc-method.js";
import type { DecodedMessage, LateResponse, RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";
import {
  failureResponse,
  isFailureResponse,
  Command,
  overloadedResponse,
} from "../control-protocol/command.js";

type Asked = DecodedMessage<typeof RpcMethod.command.request>;
type Returned = DecodedMessage<typeof RpcMethod.command.response>;

/** What a recorder offers a forwarder: itself as the leader, or the way to it. */
export interface LeadershipSource {
  readonly leads: boolean;
  readonly leader: string;
}

const oneAskMs = 700;
/** How many bytes of a command a slow link takes in a millisecond at the least. */
const slowBytesMs = 100;
/** How long one that isn't known to lead is waited for, before another is asked too. */
const strangerMs = 200;
/** How long one that was silent is asked after the others only. */
const silentMs = 3000;
/** How often one that forwards on looks whether another leads by now. */
const lookMs = 20;
const notLeader = failureResponse("notLeader");

const endingOf = (text: string | undefined): ForwardAttempt["ending"] => {
  if (text === undefined) return "silent";
  if (text === notLeader) return "notLeader";
  return isFailureResponse(text) ? "failed" : "answered";
};

/** One ask on the way of a command: whom, how it ended, and how long that took. */
export interface ForwardAttempt {
  readonly peer: string;
  readonly ending: "answered" | "silent" | "notLeader" | "failed";
  readonly tookMs: number;
}

/** Brings commands and polls to whoever leads, through any daemon. */
export class CommandForwarder {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly contacts: () => readonly string[];
  private known: readonly string[] = [];
  private isRecorder = false;
  /** Who was silent, and until when others go before them. */
  private readonly silentUntilMs = new Map<string, number>();
  /** Who forwards on to a leader that isn't reached from here, or nobody. */
  private way = "";
  /** Who led when last heard. */
  leader = "";

  /** Finds the leader through recorders that are known, or through any daemons that `contacts` names. */
  constructor(runtime: Runtime, rpc: RpcEndpoint, contacts: () => readonly string[]) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.contacts = contacts;
  }

  /** Learns which recorders there are. */
  setMembers(recorders: readonly string[]): void {
    this.known = recorders;
  }

  /** The recorders as last heard of. */
  get members(): readonly string[] {
    return this.known;
  }

  /** Serves both kinds where there is no recorder: tells who leads, as far as is known here. */
  serveWay(): void {
    const way = (): Returned => ({ leader: this.leader, text: notLeader });
    for (const kind of [RpcMethod.command, RpcMethod.poll])
      this.rpc.serve(kind, function* () {
        return way();
      });
  }

  /** Serves a kind at a recorder: here if it leads, else forwarded on once. */
  serve(
    kind: typeof RpcMethod.command | typeof RpcMethod.poll,
    leadership: LeadershipSource,
    handle: (text: string) => Task<string>,
  ): void {
    const { rpc } = this;
    this.isRecorder = true;
    const forward = (leader: string, text: string): Task<Returned | undefined> =>
      this.forwardOn(kind, leader, text, leadership);
    rpc.serve(kind, function* (ask: Asked): Task<Returned> {
      const { leader } = leadership;
      if (leadership.leads) return { leader, text: yield* handle(ask.text) };
      if (!ask.forwarded && leader && leader !== rpc.self) {
        const ret = yield* forward(leader, ask.text);
        if (ret) return ret;
        if (leadership.leads) return { leader: rpc.self, text: yield* handle(ask.text) };
        return { leader: leadership.leader, text: notLeader };
      }
      return { leader, text: notLeader };
    });
  }

  /** Asks the leader on another's behalf; nothing once it turns out that another one leads. */
  private *forwardOn(
    kind: typeof RpcMethod.command | typeof RpcMethod.poll,
    leader: string,
    text: string,
    leadership: LeadershipSource,
  ): Task<Returned | undefined> {
    const { clock } = this.runtime;
    const ended = new Queue<Returned>();
    Runtime.start(
      this.runtime,
      "contract",
      this.rpc.call(
        leader,
        kind,
        { forwarded: true, text },
        Math.max("waitMs" in kind ? kind.waitMs : 0, oneAskMs + text.length / slowBytesMs),
      ),
      (ret) => ended.put(ret ?? { leader, text: failureResponse("unknown") }),
    );
    for (;;) {
      const ret = yield* ended.takeUntil(clock, clock.nowMs() + lookMs);
      if (ret) return ret;
      if (leadership.leads || (leadership.leader !== "" && leadership.leader !== leader))
        return undefined;
    }
  }

  /**
   * Asks the leader, by the way that last worked; then by others, until one returns or `waitMs` are over. With `late`, what
   * the leader returns after that is handed on too. `attempts` hears of each ask.
   */
  *once(
    kind: typeof RpcMethod.command | typeof RpcMethod.poll,
    text: string,
    waitMs: number,
    late?: LateResponse<string>,
    attempts?: (attempt: ForwardAttempt) => void,
  ): Task<string | undefined> {
    const { clock } = this.runtime;
    const untilMs = clock.nowMs() + waitMs;
    const asked = new Set<string>();
    let forwards = this.way !== "";
    let target = this.way || this.leader || this.next(asked);
    while (target !== "" && clock.nowMs() < untilMs) {
      asked.add(target);
      const leads = target === this.leader;
      const sentMs = clock.nowMs();
      const ret = yield* this.rpc.call(
        target,
        kind,
        { forwarded: !forwards, text },
        Math.min(untilMs - clock.nowMs(), leads || forwards ? waitMs : strangerMs),
        late && this.lateFrom(target, late),
      );
      attempts?.({
        peer: target,
        ending: endingOf(ret?.text),
        tookMs: Math.round(clock.nowMs() - sentMs),
      });
      if (ret === undefined) {
        if (leads && this.rpc.hasHeardFrom(target, sentMs)) return undefined;
        if (leads || forwards) this.leader = "";
        if (!forwards) this.noteSilent(target);
        this.way = "";
        forwards = false;
        target = this.next(asked);
        continue;
      }
      this.silentUntilMs.delete(target);
      if (!isFailureResponse(ret.text) || ret.text === overloadedResponse) {
        this.leader = ret.leader;
        this.way = ret.leader !== target && this.isSilent(ret.leader) ? target : "";
        return ret.text;
      }
      const named = ret.text === notLeader && ret.leader !== target ? ret.leader : "";
      this.way = "";
      this.leader = "";
      if (named === "" || (forwards && this.isSilent(named))) return undefined;
      forwards = this.isSilent(named);
      if (!forwards && asked.has(named)) return undefined;
      if (!forwards) this.leader = named;
      if (!forwards) target = named;
    }
    return undefined;
  }

  /** Takes what comes after its time: a return of the leader, or only who leads. */
  private lateFrom(target: string, late: LateResponse<string>): LateResponse<Returned> {
    return {
      waitMs: late.waitMs,
      take: ({ leader, text }) => {
        this.silentUntilMs.delete(target);
        if (this.leader === "") this.leader = leader;
        if (!isFailureResponse(text)) late.take(text);
      },
    };
  }

  private noteSilent(target: string): void {
    this.silentUntilMs.set(target, this.runtime.clock.nowMs() + silentMs);
  }

  private isSilent(target: string): boolean {
    return (this.silentUntilMs.get(target) ?? -Infinity) > this.runtime.clock.nowMs();
  }

  /** Whom to ask where the leader isn't known: recorders before others, those that were silent last. */
  private next(asked: ReadonlySet<string>): string {
    const isOpen = (peer: string): boolean =>
      !asked.has(peer) && (this.isRecorder || peer !== this.rpc.self);
    const known = this.known.filter(isOpen);
    const all = [...new Set([...known, ...this.contacts().filter(isOpen)])];
    for (const peer of this.silentUntilMs.keys())
      if (!this.isSilent(peer)) this.silentUntilMs.delete(peer);
    const pools = [
      known.filter((peer) => !this.isSilent(peer)),
      all.filter((peer) => !this.isSilent(peer)),
      all,
    ];
    const pool = pools.find((one) => one.length > 0) ?? [];
    return pool[Math.floor(this.runtime.random() * pool.length)] ?? "";
  }

  /** Has a command carried out. Each is safe to repeat, so it is, until `waitMs` are over: then its fate is unknown. */
  *command(
    command: Command,
    waitMs: number,
    attempts?: (attempt: ForwardAttempt) => void,
  ): Task<string | undefined> {
    const untilMs = this.runtime.clock.nowMs() + waitMs;
    const text = Command.text(command);
    for (;;) {
      const leftMs = untilMs - this.runtime.clock.nowMs();
      if (leftMs <= 0) return undefined;
      const ret = yield* this.once(
        RpcMethod.command,
        text,
        Math.min(oneAskMs + text.length / slowBytesMs, leftMs),
        undefined,
        attempts,
      );
      if (ret !== undefined) return ret;
      yield* Clock.sleep(
        this.runtime.clock,
        Math.min(40, Math.max(0, untilMs - this.runtime.clock.nowMs())),
      );
    }
  }
}
