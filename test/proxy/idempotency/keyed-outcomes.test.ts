import { describe, expect, test } from "vitest";
import { createSimulatedFleet, firstTwoEdges, type Machine } from "../simulated-fleet.js";

const CREATED = 201;

/** A keyed request that ran through the first edge, and who keeps its response. */
const runThroughFirstEdge = () => {
  const fleet = createSimulatedFleet();
  const [first, second] = firstTwoEdges(fleet.edges);
  const one = fleet.send(first, "k");
  fleet.wait(2000);
  expect(one.code).toBe(CREATED);
  expect(fleet.runs("k").length).toBe(1);
  return { ...fleet, first, second, one };
};

type CompletedRun = ReturnType<typeof runThroughFirstEdge>;

/** What a repeat through another edge is answered with. */
const repeatThroughSecondEdge = ({
  send,
  wait,
  second,
}: CompletedRun): { code: number | undefined; text: string } => {
  const again = send(second, "k");
  wait(4000);
  return again;
};

const killMachines = ({ simulation, wait }: CompletedRun, machines: readonly Machine[]): void => {
  for (const machine of machines) simulation.kill(machine);
  wait(4000);
};

describe("repeat of a keyed request", () => {
  test("through another edge it gets the first response, also once the edge that ran it is lost", () => {
    const ran = runThroughFirstEdge();
    expect(repeatThroughSecondEdge(ran)).toEqual({ code: CREATED, text: ran.one.text });
    killMachines(ran, [ran.first]);
    expect(repeatThroughSecondEdge(ran)).toEqual({ code: CREATED, text: ran.one.text });
    expect(ran.runs("k").length).toBe(1);
  });

  test("it gets the first response once all replicas restarted at the same moment, from the edge that ran it", () => {
    const ran = runThroughFirstEdge();
    killMachines(ran, ran.core);
    for (const machine of ran.core) ran.simulation.boot(machine);
    ran.wait(8000);
    expect(repeatThroughSecondEdge(ran)).toEqual({ code: CREATED, text: ran.one.text });
    expect(ran.runs("k").length).toBe(1);
  });

  test("once all that stored a response are lost, it gets 502 and doesn't run", () => {
    const ran = runThroughFirstEdge();
    const kept = [ran.first, ...ran.core];
    killMachines(ran, kept);
    for (const machine of kept) ran.simulation.boot(machine);
    ran.wait(8000);
    for (let round = 0; round < 5; round += 1) expect(repeatThroughSecondEdge(ran).code).toBe(502);
    expect(ran.runs("k").length).toBe(1);
  });
});

describe("claim that was given up", () => {
  test("its key is taken over by the next request, which runs once", () => {
    const { simulation, edges, core, send, wait, runs } = createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    // The first edge is heard by the members, and hears nothing: its claim is taken, and it never learns that.
    for (const other of core)
      simulation.network.partition(other.settings.machine, first.settings.machine);
    const one = send(first, "k");
    wait(3000);
    expect(one.code).toBe(503);
    expect(runs("k")).toEqual([]);
    const next = send(second, "k");
    wait(4000);
    expect(next.code).toBe(CREATED);
    expect(runs("k").length).toBe(1);
  });
});
