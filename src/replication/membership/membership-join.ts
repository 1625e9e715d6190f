/** Requests the leader to make this node a member whenever it isn't one. */
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { sleep } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import type { Task } from "../../runtime/task.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";

/** Timeout of a request, in ms: the leader may have to commit two entries on slow disks. */
const REQUEST_TIMEOUT_MS = 2000;
/** Interval between two rounds of requests, in ms; a round skips contacts with a pending request. */
const RETRY_INTERVAL_MS = 150;
/** After this many rounds without success, the last contact that responded is requested to forward the request. */
const ROUNDS_UNTIL_FORWARDED = 4;
/** How long a node waits for the effect of an accepted request before it requests again, in ms. */
const SETTLE_TIMEOUT_MS = 2000;
/** Interval at which a node checks whether it has to request membership, in ms. */
const CHECK_INTERVAL_MS = 250;
/** Interval at which a waiting node checks its condition, in ms. */
const POLL_INTERVAL_MS = 10;

/** Whether the leader executed the request; the text is the JSON of its response. */
const isAccepted = (text: string): boolean => text.includes('"taken"');

/** A node that may have to request membership from the leader. */
export interface JoiningMember {
  readonly self: string;
  /** The command that the leader must execute for this node; `undefined` while the node is a member. */
  readonly request: string | undefined;
  /** The number of installed snapshots: one may include the awaited entry, which then isn't applied individually. */
  readonly installedSnapshots: number;
  /** Addresses of nodes that may be the leader or know its address, the most likely first. */
  readonly contacts: readonly string[];
}

/** Sends the membership request to all contacts, many of which may be unreachable, until the leader accepts it. */
export class MembershipJoin {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly member: JoiningMember;
  private readonly log: Logger;
  /** Contacts with a pending request. */
  private readonly pending = new Set<string>();
  /** Contacts tried in this round; prevents a loop between two contacts that report each other as the leader. */
  private readonly triedPeers = new Set<string>();
  /** The last contact that responded without accepting the request. */
  private lastResponder = "";
  /** The last request that the leader accepted. */
  private acceptedRequest = "";

  constructor(runtime: Runtime, rpc: RpcEndpoint, member: JoiningMember) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.member = member;
    this.log = runtime.loggers.component("replication");
  }

  /** Requests membership whenever the node needs it, as long as the daemon runs. */
  *run(): Task {
    for (;;) {
      const { request } = this.member;
      if (request !== undefined) yield* this.requestMembership(request);
      yield* sleep(this.runtime.clock, CHECK_INTERVAL_MS);
    }
  }

  /** Sends rounds of requests until the leader accepts, or until the required request changes. */
  private *requestMembership(request: string): Task {
    const { clock } = this.runtime;
    const startedMs = clock.nowMs();
    const { installedSnapshots: installedBefore } = this.member;
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
    const isSettled = (): boolean =>
      this.member.request !== request || this.member.installedSnapshots !== installedBefore;
    yield* this.waitUntil(SETTLE_TIMEOUT_MS, isSettled);
    this.acceptedRequest = "";
  }

  private *waitUntil(maxMs: number, condition: () => boolean): Task {
    const { clock } = this.runtime;
    const deadlineMs = clock.nowMs() + maxMs;
    while (!condition() && clock.nowMs() < deadlineMs) yield* sleep(clock, POLL_INTERVAL_MS);
  }

  /** Sends to all contacts concurrently, so that unreachable ones cause no delay; only the leader executes the request. */
  private sendToAll(request: string): void {
    for (const peer of this.member.contacts) this.sendRequest(peer, request, true);
  }

  private sendRequest(peer: string, request: string, forwarded: boolean): void {
    if (peer === "" || peer === this.member.self || this.pending.has(peer)) return;
    this.pending.add(peer);
    this.triedPeers.add(peer);
    const rpcTask = this.rpc.call(
      peer,
      rpcMethods.command,
      { forwarded, text: request },
      REQUEST_TIMEOUT_MS,
    );
    startTask(this.runtime, "replication", rpcTask, (response) => {
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
