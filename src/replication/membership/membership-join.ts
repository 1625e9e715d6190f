import { RpcMethod } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { Clock } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import type { Task } from "../../runtime/task.js";
import { Runtime } from "../../runtime/runtime.js";

/** How long an answer is waited for at most: the leader may have to commit two entries on slow disks. */
const askMs = 2000;
/** How often those contacts are asked again that have answered, until the leader has taken the member in. */
const retryMs = 150;
/** In how many rounds no leader is reached before one that answered is asked to forward the request. */
const roundsUntilForwarded = 4;
/** How long a member that was taken in waits for what it asked for, before it asks again. */
const settleMs = 2000;
/** How often a member looks whether it has to ask. */
const lookMs = 250;
/** How often a member that waits looks whether it has what it waits for. */
const stepMs = 10;

const isTaken = (answer: string): boolean => answer.includes('"taken"');

/** A member of the replicated log that may have to ask the leader to be taken in. */
export interface JoiningMember {
  readonly self: string;
  /** The command that the leader must carry out for this member, or nothing while the member belongs. */
  readonly request: string | undefined;
  /** How many snapshots this member was given: the entry that it waits for may be in one, where it can't be seen. */
  readonly snapshots: number;
  /** Addresses that may lead or know who does, the likeliest first. */
  readonly contacts: readonly string[];
}

/** Asks the leader to take this member in, whenever it has to be, over contacts of which many may be gone. */
export class MembershipJoin {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly applicant: JoiningMember;
  private readonly log: Logger;
  /** Contacts whose answer is still waited for. */
  private readonly pending = new Set<string>();
  /** Contacts asked in this round; two that name each other as the leader must not be asked over and over. */
  private readonly asked = new Set<string>();
  /** The last contact that answered without having taken the request. */
  private answered = "";
  /** The request that the leader has carried out. */
  private taken = "";

  constructor(runtime: Runtime, rpc: RpcEndpoint, applicant: JoiningMember) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.applicant = applicant;
    this.log = runtime.loggers.component("record");
  }

  /** Runs for as long as the daemon does. */
  *run(): Task {
    for (;;) {
      const { request } = this.applicant;
      if (request !== undefined) yield* this.applying(request);
      yield* Clock.sleep(this.runtime.clock, lookMs);
    }
  }

  /** Asks round by round until the request is taken, or another one or none is due. */
  private *applying(request: string): Task {
    const { clock } = this.runtime;
    const sinceMs = clock.nowMs();
    const { snapshots } = this.applicant;
    let rounds = 0;
    while (this.taken !== request && this.applicant.request === request) {
      rounds += 1;
      this.asked.clear();
      this.askAll(request);
      if (rounds % roundsUntilForwarded === 0) this.ask(this.answered, request, false);
      yield* this.resting(retryMs, () => this.taken === request);
    }
    if (this.taken !== request) return;
    const tookMs = Math.round(clock.nowMs() - sinceMs);
    this.log.info("The leader has taken this member in.", { rounds, tookMs });
    const isOver = (): boolean =>
      this.applicant.request !== request || this.applicant.snapshots !== snapshots;
    yield* this.resting(settleMs, isOver);
    this.taken = "";
  }

  private *resting(forMs: number, isOver: () => boolean): Task {
    const { clock } = this.runtime;
    const untilMs = clock.nowMs() + forMs;
    while (!isOver() && clock.nowMs() < untilMs) yield* Clock.sleep(clock, stepMs);
  }

  /** Asks all contacts that don't owe an answer, so that dead ones cost no time; only the leader does what is asked. */
  private askAll(request: string): void {
    for (const peer of this.applicant.contacts) this.ask(peer, request, true);
  }

  private ask(peer: string, request: string, forwarded: boolean): void {
    if (peer === "" || peer === this.applicant.self || this.pending.has(peer)) return;
    this.pending.add(peer);
    this.asked.add(peer);
    const asking = this.rpc.call(peer, RpcMethod.command, { forwarded, text: request }, askMs);
    Runtime.start(this.runtime, "record", asking, (ret) => {
      this.pending.delete(peer);
      if (!ret) return;
      if (isTaken(ret.text)) this.taken = request;
      else {
        this.answered = peer;
        if (!this.asked.has(ret.leader)) this.ask(ret.leader, request, true);
      }
    });
  }
}
