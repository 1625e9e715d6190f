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
  more: Partial<PlacementCandidate> = {},
): PlacementCandidate => ({
  name,
  zone,
  roles: ["edge"],
  draining: false,
  ...more,
});

describe("edgePlacementsOf", () => {
  test("edges are placed by name within their zone; daemons without the role and draining ones aren't placed", () => {
    const places = computeEdgePlacements([
      edge("c", "z"),
      edge("a", "z"),
      edge("b", "y"),
      edge("d", "z", { draining: true }),
      edge("e", "y", { roles: ["recorder"] }),
    ]);
    expect(Object.fromEntries(places)).toEqual({
      a: { zoneIndex: 0, zoneCount: 2, count: 3 },
      c: { zoneIndex: 1, zoneCount: 2, count: 3 },
      b: { zoneIndex: 0, zoneCount: 1, count: 3 },
    });
  });

  /** What the leader tells an edge of its place, if anything. */
  const toldPlace = (
    stage: ClusterFixture,
    name: string,
    zone: string,
  ): EdgePlacement | undefined => {
    const told: Array<EdgePlacement | undefined> = [];
    const peer = "10.0.9.7:7000";
    const runtime = virtualRuntime({
      clock: stage.virtualClock.clock(),
      network: stage.network.createInterface(`poll-${stage.virtualClock.nowMs()}`, new EventGate()),
      random: stage.random,
    });
    const rpc = new RpcEndpoint(runtime, peer);
    const forwarder = new CommandForwarder(runtime, rpc, () =>
      stage.diskMachines.map((machine) => machine.peer),
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
    stage.startTask(
      (function* () {
        const text = yield* forwarder.forward(rpcMethods.watch, JSON.stringify(watchRequest), 450);
        const view = text === undefined ? undefined : readLeasedView(text);
        told.push(view?.granted === true ? view.place : undefined);
      })(),
    );
    stage.waitUntil(() => told.length > 0, 2000);
    return told[0];
  };

  test("a leader sends placements once it has led for a lease, and excludes unresponsive edges", () => {
    const stage = new ClusterFixture(["d:a", "d:b", "d:c", "e:a", "e:b", "e:c", "e:a"], [0, 1, 2]);
    stage.bootAll();
    stage.wait(6000);
    expect(toldPlace(stage, "edge-0", "a")).toEqual({ zoneIndex: 0, zoneCount: 3, count: 5 });
    const former = stage.leader;
    stage.kill(former);
    stage.waitUntil(
      () => stage.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true),
      5000,
    );
    expect(toldPlace(stage, "edge-0", "a")).toBeUndefined();
    stage.kill(stage.machineAt(6));
    stage.wait(6000);
    expect(toldPlace(stage, "edge-0", "a")).toEqual({ zoneIndex: 0, zoneCount: 2, count: 4 });
  });
});
