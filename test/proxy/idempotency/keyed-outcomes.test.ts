/**
 * Guards against a repeat of a keyed request that runs a second time or gets another response. The outcome is stored by the
 * edge that ran the request and by one replica of the log, so each of them can be lost before the repeat arrives.
 */
import { describe, expect, test } from "vitest";
import { createSimulatedFleet, firstTwoEdges, type Machine } from "../simulated-fleet.js";

const STATUS_CREATED = 201;

/** Runs a keyed request through the first edge of a new fleet. */
const runThroughFirstEdge = () => {
  const fleet = createSimulatedFleet();
  const [first, second] = firstTwoEdges(fleet.edges);
  const firstResponse = fleet.send(first, "k");
  fleet.advance(2000);
  expect(firstResponse.code).toBe(STATUS_CREATED);
  expect(fleet.runTimesMs("k").length).toBe(1);
  return { ...fleet, first, second, firstResponse };
};

type CompletedRun = ReturnType<typeof runThroughFirstEdge>;

/** Repeats the request through the second edge, and returns the response. */
const repeatThroughSecondEdge = ({
  send,
  advance,
  second,
}: CompletedRun): { code: number | undefined; text: string } => {
  const repeatResponse = send(second, "k");
  advance(4000);
  return repeatResponse;
};

const killMachines = (
  { simulation, advance }: CompletedRun,
  machines: readonly Machine[],
): void => {
  for (const machine of machines) simulation.kill(machine);
  advance(4000);
};

describe("repeat of a keyed request", () => {
  test("through another edge it gets the first response, even after the edge that ran the request is lost", () => {
    const ran = runThroughFirstEdge();
    expect(repeatThroughSecondEdge(ran)).toEqual({
      code: STATUS_CREATED,
      text: ran.firstResponse.text,
    });
    killMachines(ran, [ran.first]);
    expect(repeatThroughSecondEdge(ran)).toEqual({
      code: STATUS_CREATED,
      text: ran.firstResponse.text,
    });
    expect(ran.runTimesMs("k").length).toBe(1);
  });

  test("after a simultaneous restart of all replicas it gets the first response from the edge that ran the request", () => {
    const ran = runThroughFirstEdge();
    killMachines(ran, ran.core);
    for (const machine of ran.core) ran.simulation.boot(machine);
    ran.advance(8000);
    expect(repeatThroughSecondEdge(ran)).toEqual({
      code: STATUS_CREATED,
      text: ran.firstResponse.text,
    });
    expect(ran.runTimesMs("k").length).toBe(1);
  });

  test("after all holders of the response are lost, it gets 502 and doesn't run", () => {
    const ran = runThroughFirstEdge();
    const holders = [ran.first, ...ran.core];
    killMachines(ran, holders);
    for (const machine of holders) ran.simulation.boot(machine);
    ran.advance(8000);
    for (let round = 0; round < 5; round += 1) expect(repeatThroughSecondEdge(ran).code).toBe(502);
    expect(ran.runTimesMs("k").length).toBe(1);
  });
});

describe("abandoned claim", () => {
  test("the next request with the key replaces the claim and runs once", () => {
    const { simulation, edges, core, send, advance, runTimesMs } = createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    // Messages from the first edge reach the replicas, but none reach it: its claim is committed without a response.
    for (const other of core)
      simulation.network.partition(other.settings.machine, first.settings.machine);
    const abandonedResponse = send(first, "k");
    advance(3000);
    expect(abandonedResponse.code).toBe(503);
    expect(runTimesMs("k")).toEqual([]);
    const nextResponse = send(second, "k");
    advance(4000);
    expect(nextResponse.code).toBe(STATUS_CREATED);
    expect(runTimesMs("k").length).toBe(1);
  });
});
