/** Probes other daemons for their bootstrap status. */
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { rpcMethods } from "../../rpc/rpc-method.js";
import { type Runtime, startTask } from "../../runtime/runtime.js";
import { type Task, waitFor } from "../../runtime/task.js";
import { decodePeerStatus, type PeerStatus, type ProbeRequest } from "./bootstrap-status.js";

/** Timeout of a probe, in ms. */
export const PROBE_TIMEOUT_MS = 300;

/** Sends probes and collects the statuses in the responses by address. */
export class PeerProber {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly self: string;

  constructor(runtime: Runtime, rpc: RpcEndpoint, self: string) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.self = self;
  }

  /** Probes one daemon; adds its status if it replies within the timeout. */
  *probe(
    peer: string,
    request: ProbeRequest,
    timeoutMs: number,
    statuses: Map<string, PeerStatus>,
  ): Task {
    const response = yield* this.rpc.call(peer, rpcMethods.discover, request, timeoutMs);
    if (response) statuses.set(peer, decodePeerStatus(response));
  }

  /** Probes all given daemons except this one concurrently; ends once all probes have ended or one status suffices. */
  *probeAll(
    peers: readonly string[],
    request: ProbeRequest,
    suffices: (status: PeerStatus) => boolean = () => false,
  ): Task<Map<string, PeerStatus>> {
    const statuses = new Map<string, PeerStatus>();
    const otherPeers = peers.filter((peer) => peer !== this.self);
    let pendingCount = otherPeers.length;
    if (pendingCount === 0) return statuses;
    yield* waitFor<boolean>((done) => {
      for (const peer of otherPeers) {
        const probing = this.probe(peer, request, PROBE_TIMEOUT_MS, statuses);
        startTask(this.runtime, "replication", probing, () => {
          pendingCount -= 1;
          const status = statuses.get(peer);
          if (pendingCount === 0 || (status && suffices(status))) done(true);
        });
      }
    });
    return statuses;
  }
}
