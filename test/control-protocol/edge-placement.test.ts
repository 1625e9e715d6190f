import { describe, expect, test } from "vitest";
import {
  computeEdgePlacements,
  type EdgePlacement,
  type PlacementCandidate,
} from "../../src/control-protocol/edge-placement.js";
import { CommandForwarder } from "../../src/cluster-view/command-forwarder.js";
import { type WatchRequest, readLeasedView } from "../../src/control-protocol/watch-request.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { RpcEndpoint } from "../../src/rpc/rpc-endpoint.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";
import { ClusterFixture } from "../replication/fleet-stage.js";

const edge = (
  name: string,
  zone: string,
  overrides: Partial<PlacementCandidate> = {},
): PlacementCandidate => ({
  name,
  zone,
  roles: ["edge"],
  draining: false,
  ...overrides,
});

describe("computeEdgePlacements", () => {
  test("edges are placed by name within their zone; daemons without the role and draining ones aren't placed", () => {
    const placements = computeEdgePlacements([
      edge("c", "z"),
      edge("a", "z"),
      edge("b", "y"),
      edge("d", "z", { draining: true }),
      edge("e", "y", { roles: ["recorder"] }),
    ]);
    expect(Object.fromEntries(placements)).toEqual({
      a: { zoneIndex: 0, zoneCount: 2, count: 3 },
      c: { zoneIndex: 1, zoneCount: 2, count: 3 },
      b: { zoneIndex: 0, zoneCount: 1, count: 3 },
    });
  });

  /** Sends a watch request as an edge; returns the placement in the response, if there is one. */
  const requestPlacement = (
    cluster: ClusterFixture,
    name: string,
    zone: string,
  ): EdgePlacement | undefined => {
    const placements: Array<EdgePlacement | undefined> = [];
    const peer = "10.0.9.7:7000";
    const runtime = virtualRuntime({
      clock: cluster.virtualClock.clock(),
      network: cluster.network.createInterface(
        `poll-${cluster.virtualClock.nowMs()}`,
        new EventGate(),
      ),
      random: cluster.random,
    });
    const rpc = new RpcEndpoint(runtime, peer);
    const forwarder = new CommandForwarder(runtime, rpc, () =>
      cluster.diskMachines.map((machine) => machine.peer),
    );
    const watchRequest: WatchRequest = {
      machine: { name, zone, roles: ["edge"], peer, incarnation: "1", draining: false },
      configSequence: -1,
      directorySequence: -2,
      grantNumber: "",
      capacities: [],
      wished: [],
      refused: [],
    };
    cluster.startTask(
      (function* () {
        const text = yield* forwarder.forward(rpcMethods.watch, JSON.stringify(watchRequest), 450);
        const view = text === undefined ? undefined : readLeasedView(text);
        placements.push(view?.granted === true ? view.place : undefined);
      })(),
    );
    cluster.waitUntil(() => placements.length > 0, 2000);
    return placements[0];
  };

  test("a leader sends placements after it has led for the duration of a lease, and excludes unresponsive edges", () => {
    const cluster = new ClusterFixture(
      ["d:a", "d:b", "d:c", "e:a", "e:b", "e:c", "e:a"],
      [0, 1, 2],
    );
    cluster.bootAll();
    cluster.wait(6000);
    expect(requestPlacement(cluster, "edge-0", "a")).toEqual({
      zoneIndex: 0,
      zoneCount: 3,
      count: 5,
    });
    const formerLeader = cluster.leader;
    cluster.kill(formerLeader);
    cluster.waitUntil(
      () => cluster.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true),
      5000,
    );
    expect(requestPlacement(cluster, "edge-0", "a")).toBeUndefined();
    cluster.kill(cluster.machineAt(6));
    cluster.wait(6000);
    expect(requestPlacement(cluster, "edge-0", "a")).toEqual({
      zoneIndex: 0,
      zoneCount: 2,
      count: 4,
    });
  });
});
