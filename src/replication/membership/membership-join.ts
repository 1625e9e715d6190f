/** Asks the leader to make this node a member whenever it has to be one. */
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { sleep } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import type { Task } from "../../runtime/task.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";

/** How long a response is awaited: the leader may have to commit two entries on slow disks. */
const REQUEST_TIMEOUT_MS = 2000;
/** The time between two rounds of requests to the contacts that owe no response. */
const RETRY_INTERVAL_MS = 150;
/** After so many rounds without success, the last contact that responded is asked to forward the request. */
const ROUNDS_UNTIL_FORWARDED = 4;
/** How long a node whose request was accepted waits for its effect before it requests again. */
const SETTLE_TIMEOUT_MS = 2000;
/** How often a node checks whether it has to request anything. */
const CHECK_INTERVAL_MS = 250;
/** How often a waiting node checks whether its condition is met. */
const POLL_INTERVAL_MS = 10;

/** Whether a response says that the leader carried the request out; the text is the leader's JSON. */
const isAccepted = (text: string): boolean => text.includes('"taken"');

/** A node that may have to ask the leader for its membership. */
export interface JoiningMember {
  readonly self: string;
  /** The command that the leader must carry out for this node, or nothing while it is a member. */
  readonly request: string | undefined;
  /** How many snapshots were installed here: one may include the awaited entry, which isn't applied by itself then. */
  readonly installedSnapshots: number;
  /** Addresses of nodes that may lead or know who does, the likeliest first. */
  readonly contacts: readonly string[];
}

/** Sends the request for membership to all contacts, of which many may be unreachable, until the leader accepts it. */
export class MembershipJoin {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly member: JoiningMember;
  private readonly log: Logger;
  /** Contacts whose response is awaited. */
  private readonly pending = new Set<string>();
  /** Contacts tried in this round; two that name each other as the leader must not be tried over and over. */
  private readonly triedPeers = new Set<string>();
  /** The last contact that responded without accepting the request. */
  private lastResponder = "";
  /** The request that the leader carried out. */
  private acceptedRequest = "";

  constructor(runtime: Runtime, rpc: RpcEndpoint, applicant: JoiningMember) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.member = applicant;
    this.log = runtime.loggers.component("replication");
  }

  /** Runs for as long as the daemon does. */
  *run(): Task {
    for (;;) {
      const { request } = this.member;
      if (request !== undefined) yield* this.requestMembership(request);
      yield* sleep(this.runtime.clock, CHECK_INTERVAL_MS);
    }
  }

  /** Requests round by round until the leader accepts, or another request or none is due. */
  private *requestMembership(request: string): Task {
    const { clock } = this.runtime;
    const startedMs = clock.nowMs();
    const { installedSnapshots: snapshots } = this.member;
    let rounds = 0;
    while (this.acceptedRequest !== request && this.member.request === request) {
      rounds += 1;
      this.triedPeers.clear();
      this.sendToAll(request);
      if (rounds % ROUNDS_UNTIL_FORWARDED === 0)
        this.sendRequest(this.lastResponder, request, false);
      yield* this.waitUntil(RETRY_INTERVAL_MS, () => this.acceptedRequest === request);
    }
    if (this.acceptedRequest !== request) return;
    const durationMs = Math.round(clock.nowMs() - startedMs);
    this.log.info("membership request accepted", { rounds, tookMs: durationMs });
    const isOver = (): boolean =>
      this.member.request !== request || this.member.installedSnapshots !== snapshots;
    yield* this.waitUntil(SETTLE_TIMEOUT_MS, isOver);
    this.acceptedRequest = "";
  }

  private *waitUntil(maxMs: number, isOver: () => boolean): Task {
    const { clock } = this.runtime;
    const untilMs = clock.nowMs() + maxMs;
    while (!isOver() && clock.nowMs() < untilMs) yield* sleep(clock, POLL_INTERVAL_MS);
  }

  /** Sends to all contacts at once, so that unreachable ones cost no time; only the leader carries the request out. */
  private sendToAll(request: string): void {
    for (const peer of this.member.contacts) this.sendRequest(peer, request, true);
  }

  private sendRequest(peer: string, request: string, forwarded: boolean): void {
    if (peer === "" || peer === this.member.self || this.pending.has(peer)) return;
    this.pending.add(peer);
    this.triedPeers.add(peer);
    const calling = this.rpc.call(
      peer,
      rpcMethods.command,
      { forwarded, text: request },
      REQUEST_TIMEOUT_MS,
    );
    startTask(this.runtime, "replication", calling, (response) => {
      this.pending.delete(peer);
      if (!response) return;
      if (isAccepted(response.text)) this.acceptedRequest = request;
      else {
        this.lastResponder = peer;
        if (!this.triedPeers.has(response.leader)) this.sendRequest(response.leader, request, true);
      }
    });
  }
}
