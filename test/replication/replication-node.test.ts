import { expect, test } from "vitest";
import { type Entry, type RpcMethod, rpcMethods } from "../../src/rpc/rpc-method.js";
import { type DecodedMessage, RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { runTask } from "../../src/runtime/task.js";
import type { Runtime } from "../../src/runtime/runtime.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { appendTimeoutMs, countWithinLimit } from "../../src/consensus/replication.js";
import { ReplicationNode } from "../../src/replication/replication-node.js";
import { defaultReplicationTimeouts } from "../../src/replication/replication-timeouts.js";
import { APPEND_BATCH_LIMIT } from "../../src/replication/leadership/peer-replicator.js";
import type { DurableState } from "../../src/replication/log/durable-state.js";
import { LogStore } from "../../src/replication/log/log-store.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualDisk } from "../../src/simulation/virtual-disk.js";
import { VirtualNetwork } from "../../src/simulation/virtual-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";

type AppendMessage = DecodedMessage<typeof rpcMethods.append.request>;
type VoteMessage = DecodedMessage<typeof rpcMethods.vote.request>;

const [own, second, third] = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
const createNoteEntry = (index: number, term: number): Entry => ({
  index,
  term,
  text: '{"kind":"note","text":"n"}',
});

/** One node under test, and the network by which a recorded trace is sent to it. */
const createNodeFixture = (formed: boolean) => {
  const virtualClock = new VirtualClock();
  const network = new VirtualNetwork(virtualClock.clock(), RandomDraw.of(1));
  const disk = new VirtualDisk(virtualClock.clock(), () => 0.5);
  const fail = (error: unknown): void => {
    throw error;
  };
  const worldOf = (place: string): Runtime =>
    virtualRuntime({
      clock: virtualClock.clock(),
      network: network.createInterface(place, new EventGate()),
      disk,
      random: RandomDraw.of(2),
    });
  const seeds = [own, second, third];
  const place = {
    self: own,
    machine: "own",
    zone: "a",
    mayBootstrap: true,
    tolerate: { machines: 1, zones: 0 },
    seeds: () => seeds,
  };
  const startNode = (): ReplicationNode => {
    const runtime = worldOf("own");
    const rpc = new RpcEndpoint(runtime, own);
    const replicationNode = new ReplicationNode({
      runtime,
      rpc,
      location: place,
      timeouts: defaultReplicationTimeouts,
      stateMachine: new StateMachine(),
      store: new LogStore(disk),
    });
    runTask(rpc.listen(), fail);
    runTask(replicationNode.run(), fail);
    return replicationNode;
  };
  const player = new RpcEndpoint(worldOf("player"), second);
  player.serve(rpcMethods.discover, function* () {
    return {
      machine: second,
      zone: "b",
      state: "formed",
      fleet: "f",
      leader: second,
      founds: true,
      incarnation: "i",
      voters: seeds,
      learners: [],
      recorders: seeds,
    };
  });
  runTask(player.listen(), fail);
  const send = <A, R>(method: RpcMethod<A, R>, asked: A, waitMs = 200): R | undefined => {
    const returns: Array<R | undefined> = [];
    runTask(player.call(own, method, asked, waitMs), fail, (ret) => returns.push(ret));
    virtualClock.runUntil(virtualClock.nowMs() + waitMs);
    return returns[0];
  };
  if (formed) {
    const durableState: DurableState = {
      fleet: "f",
      rejoinNonce: "",
      term: 1,
      votedFor: "",
      lastIndex: 0,
      lastTerm: 0,
      snapshot: new StateMachine().snapshot({ voters: seeds, learners: [] }),
      entries: [createNoteEntry(1, 1)],
    };
    runTask(new LogStore(disk).writeSnapshot(durableState), fail);
    virtualClock.runUntil(100);
  }
  return { time: virtualClock, disk, begin: startNode, send };
};
const createAppendRequest = (
  term: number,
  previousIndex: number,
  previousTerm: number,
  entries: Entry[],
  committed = 0,
): AppendMessage => ({ term, leader: second, previousIndex, previousTerm, committed, entries });
const createVoteRequest = (
  term: number,
  lastIndex: number,
  lastTerm: number,
  isPreVote = false,
): VoteMessage => ({
  isPreVote,
  term,
  candidate: third,
  lastIndex,
  lastTerm,
  handOver: false,
});

test("trace: no vote within an election timeout of a leader's contact, none for a shorter log, one in a term, also after a restart", () => {
  const { time: virtualClock, begin: startNode, send } = createNodeFixture(true);
  startNode();
  virtualClock.runUntil(150);
  expect(send(rpcMethods.vote, createVoteRequest(2, 9, 9))?.granted).toBe(false);
  expect(send(rpcMethods.append, createAppendRequest(2, 1, 1, []))).toMatchObject({
    fits: true,
    counts: true,
    matched: 1,
  });
  expect(send(rpcMethods.vote, createVoteRequest(3, 9, 9, true))?.granted).toBe(false);
  virtualClock.runUntil(virtualClock.nowMs() + 450);
  expect(send(rpcMethods.vote, createVoteRequest(9, 0, 0))?.granted).toBe(false);
  expect(send(rpcMethods.vote, createVoteRequest(9, 1, 1), 30)).toEqual({ term: 9, granted: true });
  startNode();
  virtualClock.runUntil(virtualClock.nowMs() + 10);
  virtualClock.runUntil(virtualClock.nowMs() + 500);
  expect(
    send(rpcMethods.vote, { ...createVoteRequest(9, 5, 5), candidate: second }, 30)?.granted,
  ).toBe(false);
});

test("trace: an entry is acknowledged once it is on disk, and not after the term has changed", () => {
  const { time: virtualClock, disk, begin: startNode, send } = createNodeFixture(true);
  startNode();
  virtualClock.runUntil(150);
  disk.stall(600);
  expect(
    send(rpcMethods.append, createAppendRequest(2, 1, 1, [createNoteEntry(2, 2)]), 100),
  ).toBeUndefined();
  expect(
    send(rpcMethods.append, createAppendRequest(3, 1, 1, [createNoteEntry(2, 3)]), 1500),
  ).toMatchObject({
    term: 3,
    fits: true,
    matched: 2,
  });
  expect(
    send(rpcMethods.append, createAppendRequest(2, 2, 2, [createNoteEntry(3, 2)])),
  ).toMatchObject({
    term: 3,
    fits: false,
  });
});

test("trace: a node that lost its disk neither votes nor counts until its own rejoin marker is committed", () => {
  const { time: virtualClock, begin: startNode, send } = createNodeFixture(false);
  const replicationNode = startNode();
  virtualClock.runUntil(400);
  expect(replicationNode.status.state).toBe("rejoining");
  expect(send(rpcMethods.vote, { ...createVoteRequest(5, 9, 9), handOver: true })?.granted).toBe(
    false,
  );
  expect(
    send(
      rpcMethods.append,
      createAppendRequest(5, 0, 0, [createNoteEntry(1, 5), createNoteEntry(2, 5)], 2),
    ),
  ).toMatchObject({
    fits: true,
    counts: false,
    matched: 2,
  });
  const foreign = {
    index: 3,
    term: 5,
    text: JSON.stringify({ method: "rejoined", machine: own, nonce: "another" }),
  };
  expect(send(rpcMethods.append, createAppendRequest(5, 2, 5, [foreign], 3))).toMatchObject({
    counts: false,
  });
  expect(send(rpcMethods.append, createAppendRequest(5, 3, 5, []))).toMatchObject({
    counts: false,
  });
  const mark = {
    index: 4,
    term: 5,
    text: JSON.stringify({ method: "rejoined", machine: own, nonce: replicationNode.rejoinNonce }),
  };
  send(rpcMethods.append, createAppendRequest(5, 3, 5, [mark], 4));
  expect(send(rpcMethods.append, createAppendRequest(5, 4, 5, []))).toMatchObject({
    counts: true,
    matched: 4,
  });
});

test("batches and the retained log are bounded in entries and bytes; a single larger entry is a batch", () => {
  const entries = (bytes: number, count: number): Entry[] =>
    Array.from({ length: count }, (_, at) => ({ index: at + 1, term: 1, text: "x".repeat(bytes) }));
  expect([
    countWithinLimit(entries(10, 2000), APPEND_BATCH_LIMIT),
    countWithinLimit(entries(64 * 1024, 300), APPEND_BATCH_LIMIT),
    countWithinLimit(entries(9 * 1024 * 1024, 3), APPEND_BATCH_LIMIT),
    countWithinLimit([], APPEND_BATCH_LIMIT),
  ]).toEqual([1024, 4, 1, 0]);
});

test("the timeout of an append request includes the time of its entries on a slow link", () => {
  const entries = [{ index: 1, term: 1, text: "x".repeat(4 * 1024 * 1024) }];
  const request = createAppendRequest(1, 0, 0, entries);
  expect(appendTimeoutMs({ ...request, entries: [] }, defaultReplicationTimeouts)).toBe(
    defaultReplicationTimeouts.electionMinMs,
  );
  // A link of 5 Mbit/s takes 625 bytes in a millisecond.
  expect(appendTimeoutMs(request, defaultReplicationTimeouts)).toBeGreaterThan(
    (4 * 1024 * 1024) / 625 + 300,
  );
});
