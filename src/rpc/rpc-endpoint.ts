import type * as r from "restructure";
import { StructError } from "superstruct";
import { Clock } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import { LinkPacers } from "../runtime/link-pacer.js";
import type { Logger } from "../runtime/logger.js";
import { Task } from "../runtime/task.js";
import { Runtime } from "../runtime/runtime.js";
import { PacedConnection } from "./paced-connection.js";
import { decodeExactly, Frame, FrameError, FrameReader, FRAME_VERSION } from "./frame.js";
import type { RpcMethod } from "./rpc-method.js";
import type { Connection } from "../runtime/network.js";

interface Peer {
  readonly address: string;
  readonly outgoing: Queue<Uint8Array>;
  readonly waiting: Map<number, (body: Uint8Array | undefined) => void>;
  heardMs: number;
  /** Since when an ask has waited though nothing was heard; undefined once something is. */
  unansweredSinceMs: number | undefined;
  /** When a connection to it last failed or went silent. */
  failedMs: number;
  /** The frames that are tried on this peer: the newest, until it turns them down. */
  sequence: number;
  connection: Connection | undefined;
}

/** How a return that comes after its time is taken, and for how long it is waited for. */
export interface LateResponse<R> {
  readonly waitMs: number;
  take(ret: R): void;
}

/** What takes asks of one kind, and how long a return is of use. */
interface Server {
  readonly handle: (body: Uint8Array) => Task<Uint8Array>;
  readonly waitMs: number;
}

const silentMs = 1000;
const backOffMs = 60;
/** For how long a large return may give way to large asks. */
const returnPatienceMs = 1000;

/** The links of one daemon to its peers: asks, and the returns that come back. */
export class RpcEndpoint {
  private readonly runtime: Runtime;
  private readonly log: Logger;
  private readonly peers = new Map<string, Peer>();
  private readonly servers = new Map<number, Server>();
  private readonly newest: number;
  private nextJob = 1;
  private readonly pacers: LinkPacers;
  /** Links closed because of what came over them. */
  droppedFrames = 0;

  /** The address at which peers reach this daemon. */
  readonly self: string;

  constructor(
    runtime: Runtime,
    self: string,
    newest = FRAME_VERSION,
    pacers = LinkPacers.of(runtime.clock, undefined),
  ) {
    this.newest = newest;
    this.pacers = pacers;
    this.runtime = runtime;
    this.self = self;
    this.log = runtime.loggers.component("link");
  }

  /** Takes asks of one kind. */
  serve<A, R>(kind: RpcMethod<A, R>, handle: (ask: A) => Task<R>): void {
    this.servers.set(kind.id, {
      *handle(body) {
        return kind.response.toBuffer(yield* handle(decodeExactly(kind.request, body)));
      },
      waitMs: kind.waitMs ?? Infinity,
    });
  }

  /** Listens for peers. */
  *listen(): Task {
    yield* this.runtime.network.listen(this.self, (connection) =>
      Runtime.start(
        this.runtime,
        "link",
        this.serving(
          new PacedConnection(connection, this.pacers.egress, this.runtime.clock, returnPatienceMs),
        ),
      ),
    );
  }

  /**
   * Asks a peer and waits for its return; `undefined` when none came in time or the link broke. With `late`, a return that
   * comes afterwards is handed on.
   */
  *call<A, R>(
    address: string,
    kind: RpcMethod<A, R>,
    ask: A,
    waitMs: number,
    late?: LateResponse<R>,
  ): Task<R | undefined> {
    const peer = this.peer(address);
    const job = this.nextJob;
    this.nextJob = (this.nextJob + 1) % 2 ** 32;
    peer.unansweredSinceMs ??= this.runtime.clock.nowMs();
    const body = yield* Clock.withTimeout<Uint8Array | undefined>(
      this.runtime.clock,
      waitMs,
      (done) => {
        peer.waiting.set(job, done);
        const frame = Frame.encode({
          sequence: peer.sequence,
          kind: kind.id,
          isReturn: false,
          job,
          body: kind.request.toBuffer(ask),
        });
        if (peer.connection) peer.connection.send(frame);
        else peer.outgoing.put(frame);
      },
    );
    peer.waiting.delete(job);
    if (body === undefined) {
      this.closeIfSilent(peer);
      if (late) this.takeLate(peer, job, late, (found) => decodeExactly(kind.response, found));
      return undefined;
    }
    try {
      return decodeExactly(kind.response, body);
    } catch (error) {
      this.refuse(peer.connection, error);
      return undefined;
    }
  }

  /** Whether a peer was heard since a moment. */
  hasHeardFrom(address: string, sinceMs: number): boolean {
    return (this.peers.get(address)?.heardMs ?? -Infinity) >= sinceMs;
  }

  /** Whether a connection to a peer failed or went silent since a moment, and nothing was heard of it after that. */
  isUnreachable(address: string, sinceMs: number): boolean {
    const peer = this.peers.get(address);
    return peer !== undefined && peer.failedMs >= sinceMs && peer.failedMs > peer.heardMs;
  }

  /** Gives a connection up on which an ask has waited for so long that nobody can be there; a slow answer is no silence. */
  private closeIfSilent(peer: Peer): void {
    const nowMs = this.runtime.clock.nowMs();
    const { connection, unansweredSinceMs } = peer;
    if (!connection || unansweredSinceMs === undefined || nowMs - unansweredSinceMs <= silentMs)
      return;
    peer.failedMs = nowMs;
    connection.close();
  }

  private noteHeard(peer: Peer): void {
    peer.heardMs = this.runtime.clock.nowMs();
    peer.unansweredSinceMs = undefined;
  }

  /** Waits on for a return that didn't come in time, beside whatever is asked next. */
  private takeLate<R>(
    peer: Peer,
    job: number,
    late: LateResponse<R>,
    read: (body: Uint8Array) => R,
  ): void {
    const forget = (): void => {
      peer.waiting.delete(job);
    };
    peer.waiting.set(job, (body) => {
      forget();
      if (body !== undefined) late.take(read(body));
    });
    this.runtime.clock.after(late.waitMs, forget);
  }

  private peer(address: string): Peer {
    const known = this.peers.get(address);
    if (known) return known;
    const peer: Peer = {
      address,
      outgoing: new Queue(),
      waiting: new Map(),
      heardMs: -Infinity,
      unansweredSinceMs: undefined,
      failedMs: -Infinity,
      sequence: this.newest,
      connection: undefined,
    };
    this.peers.set(address, peer);
    Runtime.start(this.runtime, "link", this.keeping(peer));
    return peer;
  }

  private *keeping(peer: Peer): Task {
    for (;;) {
      const first = yield* peer.outgoing.take();
      const connected = yield* this.runtime.network.connect(peer.address);
      if (connected) {
        const channel = new PacedConnection(connected, this.pacers.egress, this.runtime.clock);
        this.noteHeard(peer);
        peer.unansweredSinceMs = peer.heardMs;
        peer.connection = channel;
        channel.send(first);
        for (const frame of peer.outgoing.drain()) channel.send(frame);
        const heard = yield* this.hearing(peer, channel);
        if (!heard)
          peer.sequence =
            peer.sequence === this.newest ? Math.max(0, this.newest - 1) : this.newest;
        peer.connection = undefined;
        channel.close();
      } else peer.failedMs = this.runtime.clock.nowMs();
      peer.outgoing.drain();
      for (const done of [...peer.waiting.values()]) done(undefined);
      yield* Clock.sleep(this.runtime.clock, backOffMs);
    }
  }

  /** Hears a peer until its link ends; tells whether it said anything that is understood. */
  private *hearing(peer: Peer, connection: Connection): Task<boolean> {
    const reader = new FrameReader(this.newest);
    let heard = false;
    for (;;) {
      const piece = yield* connection.incoming.take();
      if (piece === "closed") return heard;
      this.noteHeard(peer);
      this.pacers.ingress.note(piece.length);
      try {
        for (const frame of reader.read(piece)) {
          heard = true;
          if (frame.isReturn) peer.waiting.get(frame.job)?.(frame.body);
        }
      } catch (error) {
        this.refuse(connection, error);
        return heard;
      }
    }
  }

  private *serving(channel: PacedConnection): Task {
    const reader = new FrameReader(this.newest);
    for (;;) {
      const piece = yield* channel.incoming.take();
      if (piece === "closed") return channel.close();
      this.pacers.ingress.note(piece.length);
      try {
        for (const frame of reader.read(piece)) {
          const server = this.servers.get(frame.kind);
          if (!server || frame.isReturn)
            throw new FrameError(`Nothing here serves kind ${frame.kind}.`);
          Runtime.start(this.runtime, "link", this.answering(channel, frame, server));
        }
      } catch (error) {
        this.refuse(channel, error);
        return;
      }
    }
  }

  private *answering(channel: PacedConnection, frame: Frame, server: Server): Task {
    const expiresMs = this.runtime.clock.nowMs() + server.waitMs;
    try {
      const body = yield* server.handle(frame.body);
      channel.send(Frame.encode({ ...frame, isReturn: true, body }), expiresMs);
    } catch (error) {
      this.refuse(channel, error);
    }
  }

  private refuse(connection: Connection | undefined, error: unknown): void {
    if (!(
      error instanceof FrameError ||
      error instanceof StructError ||
      error instanceof SyntaxError
    ))
      throw error;
    this.droppedFrames += 1;
    this.log.warn("A peer's frame was refused and its link closed.", { why: error.message });
    connection?.close();
  }
}

/** What a coder of asks or returns holds. */
export type DecodedMessage<C> = r.Held<C>;
