import { beforeEach, describe, expect, test } from "vitest";
import { firstTwoEdges, createSimulatedFleet } from "../simulated-fleet.js";

/** A fleet of its own for each test, and its first two edges. */
const fleetWithEdges = () => {
  const fleet = createSimulatedFleet();
  const [first, second] = firstTwoEdges(fleet.edges);
  return { ...fleet, first, second };
};
let fleet: ReturnType<typeof fleetWithEdges>;
beforeEach(() => {
  fleet = fleetWithEdges();
});

describe("edge that dies during a keyed request", () => {
  test("between the claim and the send: its key runs at most once, and a duplicate elsewhere gets a final response", () => {
    const { simulation, wait, first, second, send, runs, committed } = fleet;
    const before = committed();
    send(first, "k");
    while (committed() === before) wait(1);
    simulation.kill(first);
    const again = send(second, "k");
    wait(4000);
    expect(again.code).toBe(502);
    expect(runs("k").length).toBe(0);
  });

  test("between the send and the response: a duplicate elsewhere doesn't run", () => {
    const { simulation, wait, first, second, send, runs } = fleet;
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 60 });
    send(first, "k");
    while (runs("k").length === 0) wait(1);
    simulation.kill(first);
    const again = send(second, "k");
    wait(4000);
    expect([again.code, runs("k").length]).toEqual([502, 1]);
  });

  test("after the response, and the route moves: a duplicate elsewhere gets the first response again", () => {
    const { simulation, wait, first, second, send, runs } = fleet;
    const one = send(first, "k");
    wait(500);
    expect(one.code).toBe(201);
    simulation.kill(first);
    const patched: number[] = [];
    simulation.machines[0]?.daemon?.adminRequests.emit({
      clientRequest: {
        method: "POST",
        target: "/ask",
        headers: {},
        body: Buffer.from("move route resolves to issues"),
      },
      respond: ({ code }) => patched.push(code),
    });
    wait(3000);
    expect(patched).toEqual([200]);
    const again = send(second, "k");
    const fresh = send(second, "other");
    const changed = send(second, "k", { body: "{1}" });
    wait(1500);
    expect([again.code, again.text, runs("k").length]).toEqual([201, one.text, 1]);
    expect(changed.code).toBe(422);
    expect(fresh.code).toBe(201);
    expect(simulation.recorder.runs.find((run) => run.key === "other")?.service).toBe("issues");
  });
});

describe("lifetime of a key", () => {
  test("it is retained through a change of leader, and free again after its time", () => {
    const { simulation, wait, first, second, send, runs } = fleet;
    send(first, "k");
    wait(300);
    for (const machine of simulation.machines)
      if (machine.daemon?.replicationNode?.status.role === "leader") simulation.kill(machine, true);
    wait(3000);
    const again = send(second, "k");
    wait(60_000);
    send(second, "k");
    wait(500);
    expect([again.code, runs("k").length]).toEqual([201, 1]);
    wait(75_000);
    send(second, "k");
    wait(1000);
    expect(runs("k").length).toBe(2);
  });
});
