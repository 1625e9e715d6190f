import { expect, test } from "vitest";
import { RandomDraw } from "../../../src/simulation/random-draw.js";
import { SnapshotReceiver } from "../../../src/replication/snapshot/snapshot-receiver.js";
import {
  SharedSnapshot,
  SnapshotSender,
  SNAPSHOT_PIECE_BYTES,
  type SnapshotMessage,
} from "../../../src/replication/snapshot/snapshot-sender.js";

const random = RandomDraw.of(3);
const createText = (bytes: number): string => {
  let text = "";
  while (text.length < bytes) text += random().toString(36).slice(2);
  return `${text.slice(0, bytes - 2)}é`;
};
const expectPiece = (message: SnapshotMessage) => {
  if (message.kind === "complete") throw new Error("A complete snapshot was to be sent.");
  return message.piece;
};

test("a snapshot is received completely although pieces and replies are lost or duplicated, each piece about once", () => {
  const snapshot = new SharedSnapshot(50, 3, createText(2_000_000));
  const sender = new SnapshotSender();
  const receiver = new SnapshotReceiver();
  let sent = 0;
  let text = "";
  for (let round = 0; text === "" && round < 200; round += 1) {
    const piece = expectPiece(sender.nextMessage("a", 40, round, () => snapshot));
    sent += piece.bytes.length > 0 ? 1 : 0;
    if (random() < 0.2) {
      sender.onNoReply("a");
      continue;
    }
    if (random() < 0.2) receiver.receive(piece);
    const received = receiver.receive(piece);
    if (received.kind === "complete") text = received.text;
    else if (random() < 0.2) sender.onNoReply("a");
    else sender.onReply("a", received.receivedBytes, round);
  }
  expect(text === snapshot.text).toBe(true);
  expect(sent).toBeLessThan(2 * Math.ceil(2_000_000 / SNAPSHOT_PIECE_BYTES));
});

test("two transfers share one snapshot; a new one is made only once the log is compacted beyond it", () => {
  const sender = new SnapshotSender();
  let made = 0;
  const make = (): SharedSnapshot => {
    made += 1;
    return new SharedSnapshot(100 * made, 1, createText(600_000));
  };
  const of = (peer: string, baseIndex: number): number =>
    expectPiece(sender.nextMessage(peer, baseIndex, 0, make)).lastIndex;
  expect([of("a", 50), of("b", 90), of("a", 100), made]).toEqual([100, 100, 100, 1]);
  expect(sender.retainedIndex(0)).toBe(100);
  expect([of("a", 101), made, sender.retainedIndex(0)]).toEqual([200, 2, 200]);
  sender.endTransfer("a");
  sender.onReply("b", 0, 5000);
  expect(sender.retainedIndex(9000)).toBe(200);
  expect(sender.retainedIndex(60_000)).toBeUndefined();
});

test("a piece of another snapshot begins anew; pieces that can't be inflated or don't follow change nothing", () => {
  const receiver = new SnapshotReceiver();
  const one = new SharedSnapshot(10, 1, createText(700_000));
  const other = new SharedSnapshot(11, 2, createText(700_000));
  expect(receiver.receive(one.piece(0))).toMatchObject({
    kind: "partial",
    receivedBytes: SNAPSHOT_PIECE_BYTES,
  });
  expect(
    receiver.receive({ ...one.piece(SNAPSHOT_PIECE_BYTES), bytes: Buffer.from("no deflate") }),
  ).toMatchObject({
    kind: "partial",
    receivedBytes: SNAPSHOT_PIECE_BYTES,
  });
  expect(receiver.receive(one.piece(2 * SNAPSHOT_PIECE_BYTES))).toMatchObject({
    kind: "partial",
    receivedBytes: SNAPSHOT_PIECE_BYTES,
  });
  expect(receiver.receive(other.query)).toMatchObject({ kind: "partial", receivedBytes: 0 });
  for (const offset of [0, SNAPSHOT_PIECE_BYTES]) receiver.receive(other.piece(offset));
  expect(receiver.receive(other.piece(2 * SNAPSHOT_PIECE_BYTES))).toEqual({
    kind: "complete",
    text: other.text,
  });
  const huge = { ...one.query, totalBytes: 2 ** 31 };
  expect(receiver.receive(huge)).toMatchObject({ kind: "partial", receivedBytes: 0 });
});

test("a member that replies to no piece is sent the complete snapshot now and then, until it replies to one", () => {
  const sender = new SnapshotSender();
  const make = (): SharedSnapshot => new SharedSnapshot(100, 1, "x".repeat(1000));
  const kinds = Array.from({ length: 8 }, () => {
    const { kind } = sender.nextMessage("a", 0, 0, make);
    sender.onNoReply("a");
    return kind;
  });
  expect(kinds.filter((kind) => kind === "complete")).toHaveLength(2);
  sender.onReply("a", 0, 0);
  expect(
    Array.from({ length: 9 }, () => sender.nextMessage("a", 0, 0, make).kind).includes("complete"),
  ).toBe(false);
});
