/**
 * Guards against a keyed request that runs twice, or whose repeat gets another response, after its edge crashes: between the
 * claim of the key and the send, between the send and the response, or after the response.
 */
import { beforeEach, describe, expect, test } from "vitest";
import { firstTwoEdges, createSimulatedFleet } from "../simulated-fleet.js";

/** Creates a fleet and selects its first two edges. */
const fleetWithEdges = () => {
  const fleet = createSimulatedFleet();
  const [first, second] = firstTwoEdges(fleet.edges);
  return { ...fleet, first, second };
};
let fleet: ReturnType<typeof fleetWithEdges>;
beforeEach(() => {
  fleet = fleetWithEdges();
});

describe("edge that crashes during a keyed request", () => {
  test("between the claim and the send: the request doesn't run, and a repeat at another edge gets 502", () => {
    const { simulation, advance, first, second, send, runTimesMs, committedIndex } = fleet;
    const previousCommitted = committedIndex();
    send(first, "k");
    while (committedIndex() === previousCommitted) advance(1);
    simulation.kill(first);
    const repeatResponse = send(second, "k");
    advance(4000);
    expect(repeatResponse.code).toBe(502);
    expect(runTimesMs("k").length).toBe(0);
  });

  test("between the send and the response: a repeat at another edge gets 502 and doesn't run", () => {
    const { simulation, advance, first, second, send, runTimesMs } = fleet;
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 60 });
    send(first, "k");
    while (runTimesMs("k").length === 0) advance(1);
    simulation.kill(first);
    const repeatResponse = send(second, "k");
    advance(4000);
    expect([repeatResponse.code, runTimesMs("k").length]).toEqual([502, 1]);
  });

  test("after the response: a repeat at another edge gets the first response, although the route has moved to another service", () => {
    const { simulation, advance, first, second, send, runTimesMs } = fleet;
    const firstResponse = send(first, "k");
    advance(500);
    expect(firstResponse.code).toBe(201);
    simulation.kill(first);
    const moveStatusCodes: number[] = [];
    simulation.machines[0]?.daemon?.adminRequests.emit({
      clientRequest: {
        method: "POST",
        target: "/ask",
        headers: {},
        body: Buffer.from("move route resolves to issues"),
      },
      respond: ({ code }) => moveStatusCodes.push(code),
    });
    advance(3000);
    expect(moveStatusCodes).toEqual([200]);
    const repeatResponse = send(second, "k");
    const otherKeyResponse = send(second, "other");
    const changedBodyResponse = send(second, "k", { body: "{1}" });
    advance(1500);
    expect([repeatResponse.code, repeatResponse.text, runTimesMs("k").length]).toEqual([
      201,
      firstResponse.text,
      1,
    ]);
    expect(changedBodyResponse.code).toBe(422);
    expect(otherKeyResponse.code).toBe(201);
    expect(simulation.recorder.runs.find((run) => run.key === "other")?.service).toBe("issues");
  });
});

describe("lifetime of a key", () => {
  test("it survives a change of leader, and is free again after its key window", () => {
    const { simulation, advance, first, second, send, runTimesMs } = fleet;
    send(first, "k");
    advance(300);
    for (const machine of simulation.machines)
      if (machine.daemon?.replicationNode?.status.role === "leader") simulation.kill(machine, true);
    advance(3000);
    const repeatResponse = send(second, "k");
    advance(60_000);
    send(second, "k");
    advance(500);
    expect([repeatResponse.code, runTimesMs("k").length]).toEqual([201, 1]);
    advance(75_000);
    send(second, "k");
    advance(1000);
    expect(runTimesMs("k").length).toBe(2);
  });
});
