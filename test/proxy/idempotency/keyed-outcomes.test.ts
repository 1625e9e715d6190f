import { describe, expect, test } from "vitest";
import { simulatedFleet, firstTwo, type Machine } from "../simulated-fleet.js";

const responded = 201;

/** A keyed request that ran through the first edge, and who keeps its response. */
const ranThroughFirst = () => {
  const fleet = simulatedFleet();
  const [first, second] = firstTwo(fleet.edges);
  const one = fleet.send(first, "k");
  fleet.wait(2000);
  expect(one.code).toBe(responded);
  expect(fleet.runs("k").length).toBe(1);
  return { ...fleet, first, second, one };
};

type Ran = ReturnType<typeof ranThroughFirst>;

/** What a repeat through another edge is answered with. */
const repeat = ({ send, wait, second }: Ran): { code: number | undefined; text: string } => {
  const again = send(second, "k");
  wait(4000);
  return again;
};

const dies = ({ simulation, wait }: Ran, machines: readonly Machine[]): void => {
  for (const machine of machines) simulation.kill(machine);
  wait(4000);
};

describe("repeat of a keyed request", () => {
  test("through another edge it gets the first response, also once the edge that ran it is lost", () => {
    const ran = ranThroughFirst();
    expect(repeat(ran)).toEqual({ code: responded, text: ran.one.text });
    dies(ran, [ran.first]);
    expect(repeat(ran)).toEqual({ code: responded, text: ran.one.text });
    expect(ran.runs("k").length).toBe(1);
  });

  test("it gets the first response once all replicas restarted at the same moment, from the edge that ran it", () => {
    const ran = ranThroughFirst();
    dies(ran, ran.core);
    for (const machine of ran.core) ran.simulation.boot(machine);
    ran.wait(8000);
    expect(repeat(ran)).toEqual({ code: responded, text: ran.one.text });
    expect(ran.runs("k").length).toBe(1);
  });

  test("once all that stored a response are lost, it gets 502 and doesn't run", () => {
    const ran = ranThroughFirst();
    const kept = [ran.first, ...ran.core];
    dies(ran, kept);
    for (const machine of kept) ran.simulation.boot(machine);
    ran.wait(8000);
    for (let round = 0; round < 5; round += 1) expect(repeat(ran).code).toBe(502);
    expect(ran.runs("k").length).toBe(1);
  });
});

describe("claim that was given up", () => {
  test("its key is taken over by the next request, which runs once", () => {
    const { simulation, edges, core, send, wait, runs } = simulatedFleet();
    const [first, second] = firstTwo(edges);
    // The first edge is heard by the members, and hears nothing: its claim is taken, and it never learns that.
    for (const other of core)
      simulation.network.partition(other.settings.machine, first.settings.machine);
    const one = send(first, "k");
    wait(3000);
    expect(one.code).toBe(503);
    expect(runs("k")).toEqual([]);
    const next = send(second, "k");
    wait(4000);
    expect(next.code).toBe(responded);
    expect(runs("k").length).toBe(1);
  });
});
