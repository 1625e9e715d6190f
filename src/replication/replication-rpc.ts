/** Serves the requests of other members by converting them to events of the node. */
import type { AppendReply } from "../consensus/append.js";
import type { VoteReply } from "../consensus/vote.js";
import type { RpcEndpoint } from "../rpc/rpc-endpoint.js";
import { rpcMethods } from "../rpc/rpc-method.js";
import { waitFor } from "../runtime/task.js";
import type { NodeEventSink, SnapshotPieceResponse, SnapshotResponse } from "./node-event.js";

/** Serves votes, entries, snapshots and leadership transfers; refuses all of them until the node may participate. */
export const serveReplicationRpc = (
  rpc: RpcEndpoint,
  events: NodeEventSink,
  mayParticipate: () => boolean,
): void => {
  rpc.serve(rpcMethods.vote, function* (request) {
    if (!mayParticipate()) return { term: 0, granted: false };
    return yield* waitFor<VoteReply>((respond) =>
      events.put({ kind: "voteRequested", request, respond }),
    );
  });
  rpc.serve(rpcMethods.append, function* (request) {
    if (!mayParticipate()) return { term: 0, fits: false, counts: false, matched: 0 };
    return yield* waitFor<AppendReply>((respond) =>
      events.put({ kind: "appendRequested", request, respond }),
    );
  });
  rpc.serve(rpcMethods.snapshot, function* (request) {
    if (!mayParticipate()) return { term: 0, counts: false, matched: 0 };
    return yield* waitFor<SnapshotResponse>((respond) =>
      events.put({ kind: "snapshotReceived", request, respond }),
    );
  });
  rpc.serve(rpcMethods.snapshotPiece, function* (request) {
    if (!mayParticipate()) return { term: 0, counts: false, matched: 0, receivedBytes: 0 };
    return yield* waitFor<SnapshotPieceResponse>((respond) =>
      events.put({ kind: "snapshotPieceReceived", request, respond }),
    );
  });
  rpc.serve(rpcMethods.handOver, function* ({ term }) {
    if (!mayParticipate()) return { taken: false };
    const taken = yield* waitFor<boolean>((respond) =>
      events.put({ kind: "leadershipOffered", term, respond }),
    );
    return { taken };
  });
};
