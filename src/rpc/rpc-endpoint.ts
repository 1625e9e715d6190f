/** A daemon's end of the links to its peers: calls of their methods, and the service of its own. */
import type * as r from "restructure";
import { createLinkPacers } from "../runtime/link-pacer.js";
import { type Runtime, startTask } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { decodeExactly, FRAME_VERSION } from "./frame.js";
import { PeerConnection } from "./peer-connection.js";
import { ProtocolGuard } from "./protocol-guard.js";
import type { RpcContext } from "./rpc-context.js";
import type { RpcMethod } from "./rpc-method.js";
import { RpcServer } from "./rpc-server.js";

/** Request ids begin anew here, being 32 bits wide. */
const REQUEST_ID_LIMIT = 2 ** 32;

/** The message that an encoding of requests or responses carries. */
export type DecodedMessage<C> = r.Decoded<C>;

/** How a response after its timeout is taken, and for how long it is waited for. */
export interface LateResponse<R> {
  readonly waitMs: number;
  onResponse(response: R): void;
}

/** The links of one daemon to its peers: requests, and the responses to them. */
export class RpcEndpoint {
  private readonly context: RpcContext;
  private readonly guard: ProtocolGuard;
  private readonly server: RpcServer;
  private readonly peers = new Map<string, PeerConnection>();
  private nextRequestId = 1;
  /** The address at which peers reach this daemon. */
  readonly self: string;

  constructor(
    runtime: Runtime,
    self: string,
    newestVersion = FRAME_VERSION,
    pacers = createLinkPacers(runtime.clock, undefined),
  ) {
    this.self = self;
    this.guard = new ProtocolGuard(runtime.loggers.component("rpc"));
    this.context = { runtime, pacers, guard: this.guard, newestVersion };
    this.server = new RpcServer(this.context);
  }

  /** How many connections were closed for what came over them. */
  get protocolViolations(): number {
    return this.guard.violations;
  }

  /** Serves the requests of one method. */
  serve<A, R>(method: RpcMethod<A, R>, handle: (request: A) => Task<R>): void {
    this.server.setHandler(method, handle);
  }

  /** Accepts connections of peers. */
  listen(): Task {
    return this.server.listen(this.self);
  }

  /**
   * Calls a method of a peer and waits for the response; `undefined` where none came within `timeoutMs` or the connection broke.
   * With `late`, a response that comes afterwards is passed on.
   */
  *call<A, R>(
    address: string,
    method: RpcMethod<A, R>,
    request: A,
    timeoutMs: number,
    late?: LateResponse<R>,
  ): Task<R | undefined> {
    const peer = this.peer(address);
    const requestId = this.nextRequestId;
    this.nextRequestId = (this.nextRequestId + 1) % REQUEST_ID_LIMIT;
    const encodeBody = (): Uint8Array => method.request.toBuffer(request);
    const body = yield* peer.request({ requestId, methodId: method.id, encodeBody }, timeoutMs);
    if (body === undefined) {
      if (late)
        peer.awaitLate(requestId, late.waitMs, (found) =>
          late.onResponse(decodeExactly(method.response, found)),
        );
      return undefined;
    }
    try {
      return decodeExactly(method.response, body);
    } catch (error) {
      peer.closeOnViolation(error);
      return undefined;
    }
  }

  /** Whether anything was received from a peer since a moment. */
  hasReceivedFrom(address: string, sinceMs: number): boolean {
    return this.peers.get(address)?.hasReceivedSince(sinceMs) ?? false;
  }

  /** Whether a connection to a peer failed or was unresponsive since a moment, and nothing was received from it after that. */
  isUnreachable(address: string, sinceMs: number): boolean {
    return this.peers.get(address)?.hasFailedSince(sinceMs) ?? false;
  }

  private peer(address: string): PeerConnection {
    const known = this.peers.get(address);
    if (known) return known;
    const peer = new PeerConnection(this.context, address);
    this.peers.set(address, peer);
    startTask(this.context.runtime, "rpc", peer.run());
    return peer;
  }
}
