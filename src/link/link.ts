import type * as r from "restructure";
import { StructError } from "superstruct";
import { Clock } from "../machine/clock.js";
import { Holding } from "../machine/holding.js";
import type { PartLog } from "../machine/logbook.js";
import { Task } from "../machine/task.js";
import { World } from "../machine/world.js";
import { exactly, Frame, FrameError, FrameReader, frameSequence } from "./frame.js";
import type { Kind } from "./kind.js";
import type { Channel } from "./wire.js";

interface Peer {
  readonly address: string;
  readonly outgoing: Holding<Uint8Array>;
  readonly waiting: Map<number, (body: Uint8Array | undefined) => void>;
  heardMs: number;
  /** The frames that are tried on this peer: the newest, until it turns them down. */
  sequence: number;
  channel: Channel | undefined;
}

type Server = (body: Uint8Array) => Task<Uint8Array>;

const silentMs = 1000;
const backOffMs = 60;

/** The links of one daemon to its peers: asks, and the returns that come back. */
export class Link {
  private readonly world: World;
  private readonly log: PartLog;
  private readonly peers = new Map<string, Peer>();
  private readonly servers = new Map<number, Server>();
  private readonly newest: number;
  private nextJob = 1;
  /** Links closed because of what came over them. */
  droppedFrames = 0;

  /** The address at which peers reach this daemon. */
  readonly self: string;

  constructor(world: World, self: string, newest = frameSequence) {
    this.newest = newest;
    this.world = world;
    this.self = self;
    this.log = world.logbook.part("link");
  }

  /** Takes asks of one kind. */
  serve<A, R>(kind: Kind<A, R>, handle: (ask: A) => Task<R>): void {
    this.servers.set(kind.number, function* (body) {
      return kind.return.toBuffer(yield* handle(exactly(kind.ask, body)));
    });
  }

  /** Listens for peers. */
  *listen(): Task {
    yield* this.world.wire.listen(this.self, (channel) => World.start(this.world, "link", this.serving(channel)));
  }

  /** Asks a peer and waits for its return; `undefined` when none came in time or the link broke. */
  *ask<A, R>(address: string, kind: Kind<A, R>, ask: A, waitMs: number): Task<R | undefined> {
    const peer = this.peer(address);
    const job = this.nextJob;
    this.nextJob = (this.nextJob + 1) % 2 ** 32;
    const sentMs = this.world.clock.nowMs();
    const body = yield* Clock.within<Uint8Array | undefined>(this.world.clock, waitMs, (done) => {
      peer.waiting.set(job, done);
      const frame = Frame.encode({ sequence: peer.sequence, kind: kind.number, isReturn: false, job, body: kind.ask.toBuffer(ask) });
      if (peer.channel) peer.channel.send(frame);
      else peer.outgoing.put(frame);
    });
    peer.waiting.delete(job);
    if (body === undefined) {
      if (peer.channel && peer.heardMs < sentMs && this.world.clock.nowMs() - peer.heardMs > silentMs) peer.channel.close();
      return undefined;
    }
    try {
      return exactly(kind.return, body);
    } catch (error) {
      this.refuse(peer.channel, error);
      return undefined;
    }
  }

  private peer(address: string): Peer {
    const known = this.peers.get(address);
    if (known) return known;
    const peer: Peer = { address, outgoing: new Holding(), waiting: new Map(), heardMs: 0, sequence: this.newest, channel: undefined };
    this.peers.set(address, peer);
    World.start(this.world, "link", this.keeping(peer));
    return peer;
  }

  private *keeping(peer: Peer): Task {
    for (;;) {
      const first = yield* peer.outgoing.take();
      const channel = yield* this.world.wire.connect(peer.address);
      if (channel) {
        peer.heardMs = this.world.clock.nowMs();
        peer.channel = channel;
        channel.send(first);
        for (const frame of peer.outgoing.drain()) channel.send(frame);
        const heard = yield* this.hearing(peer, channel);
        if (!heard) peer.sequence = peer.sequence === this.newest ? Math.max(0, this.newest - 1) : this.newest;
        peer.channel = undefined;
        channel.close();
      }
      peer.outgoing.drain();
      for (const done of [...peer.waiting.values()]) done(undefined);
      yield* Clock.rest(this.world.clock, backOffMs);
    }
  }

  /** Hears a peer until its link ends; tells whether it said anything that is understood. */
  private *hearing(peer: Peer, channel: Channel): Task<boolean> {
    const reader = new FrameReader(this.newest);
    let heard = false;
    for (;;) {
      const piece = yield* channel.incoming.take();
      if (piece === "closed") return heard;
      peer.heardMs = this.world.clock.nowMs();
      try {
        for (const frame of reader.read(piece)) {
          heard = true;
          if (frame.isReturn) peer.waiting.get(frame.job)?.(frame.body);
        }
      } catch (error) {
        this.refuse(channel, error);
        return heard;
      }
    }
  }

  private *serving(channel: Channel): Task {
    const reader = new FrameReader(this.newest);
    for (;;) {
      const piece = yield* channel.incoming.take();
      if (piece === "closed") return;
      try {
        for (const frame of reader.read(piece)) {
          const server = this.servers.get(frame.kind);
          if (!server || frame.isReturn) throw new FrameError(`Nothing here serves kind ${frame.kind}.`);
          World.start(this.world, "link", this.answering(channel, frame, server));
        }
      } catch (error) {
        this.refuse(channel, error);
        return;
      }
    }
  }

  private *answering(channel: Channel, frame: Frame, server: Server): Task {
    try {
      const body = yield* server(frame.body);
      channel.send(Frame.encode({ ...frame, isReturn: true, body }));
    } catch (error) {
      this.refuse(channel, error);
    }
  }

  private refuse(channel: Channel | undefined, error: unknown): void {
    if (!(error instanceof FrameError || error instanceof StructError || error instanceof SyntaxError)) throw error;
    this.droppedFrames += 1;
    this.log.warn("A peer's frame was refused and its link closed.", { why: error.message });
    channel?.close();
  }
}

/** What a coder of asks or returns holds. */
export type Held<C> = r.Held<C>;

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { VirtualClock } = await import("../rehearsal/virtualClock.js");
  const { VirtualNetwork } = await import("../rehearsal/virtualNetwork.js");
  const { virtualWorld } = await import("../rehearsal/virtualWorld.js");
  const { Gate } = await import("../rehearsal/gate.js");
  const { Draw } = await import("../rehearsal/draw.js");
  const { Kind: Kinds } = await import("./kind.js");

  const stage = () => {
    const time = new VirtualClock();
    const network = new VirtualNetwork(time.clock(), Draw.of(1));
    const fail = (error: unknown): void => {
      throw error;
    };
    const linkAt = (address: string, newest: number): Link => {
      const link = new Link(virtualWorld({ clock: time.clock(), wire: network.wire(address, new Gate()), random: Draw.of(2) }), address, newest);
      link.serve(Kinds.handOver, function* ({ term }) {
        return { taken: term === 7 };
      });
      Task.start(link.listen(), fail);
      return link;
    };
    const ask = (from: Link, to: Link): boolean | undefined => {
      const returns: Array<boolean | undefined> = [];
      Task.start(from.ask(to.self, Kinds.handOver, { term: 7 }, 500), fail, (ret) => returns.push(ret?.taken));
      time.runUntil(time.nowMs() + 600);
      return returns[0];
    };
    return { time, network, linkAt, ask };
  };

  test("neighbouring frame sequences understand one another, after one turned-down try at most", () => {
    const { linkAt, ask } = stage();
    const [older, newer, far] = [linkAt("10.0.0.1:1", 3), linkAt("10.0.0.2:1", 4), linkAt("10.0.0.3:1", 6)];
    expect(ask(older, newer)).toBe(true);
    ask(newer, older);
    expect(ask(newer, older)).toBe(true);
    ask(far, older);
    expect(ask(far, older)).toBeUndefined();
    expect(older.droppedFrames).toBeGreaterThan(0);
  });

  test("a peer that sends what is no frame loses its link, and others are served on", () => {
    const { time, network, linkAt, ask } = stage();
    const [one, two] = [linkAt("10.0.0.1:1", 1), linkAt("10.0.0.2:1", 1)];
    const heard: string[] = [];
    Task.start(
      (function* () {
        const channel = yield* network.wire("stranger", new Gate()).connect(one.self);
        channel?.send(Buffer.from("GET / HTTP/1.1\r\n\r\n"));
        const word = yield* (channel?.incoming ?? new Holding<Uint8Array | "closed">()).take();
        heard.push(word === "closed" ? "closed" : "bytes");
      })(),
      (error) => {
        throw error;
      },
    );
    time.runUntil(time.nowMs() + 300);
    expect(heard).toEqual(["closed"]);
    expect(one.droppedFrames).toBe(1);
    expect(ask(two, one)).toBe(true);
  });
}
