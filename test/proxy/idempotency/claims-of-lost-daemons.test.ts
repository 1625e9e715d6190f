/**
 * Guards against a keyed request that runs twice after its edge is lost. The edge can crash, lose its client or be
 * partitioned between the claim of the key, the send and the response, while clients repeat the request at other edges.
 */
import { describe, expect, test } from "vitest";
import { RandomDraw } from "../../../src/simulation/random-draw.js";
import {
  createSimulatedFleet,
  KEY_WINDOW_MS,
  firstTwoEdges,
  type ReceivedResponse,
} from "../simulated-fleet.js";

describe("claim of a lost edge", () => {
  test("if an edge with a claim crashes and the leader that committed the claim loses power, a repeat at another edge gets 502 for the unknown outcome and doesn't run", () => {
    const {
      simulation,
      edges,
      advance,
      send,
      runTimesMs,
      advanceUntil,
      findLeader,
      committedIndex,
    } = createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    const previousCommitted = committedIndex();
    send(first, "k");
    advanceUntil(() => committedIndex() > previousCommitted);
    simulation.kill(first);
    const leaderMachine = findLeader();
    if (!leaderMachine) throw new Error("There is no leader.");
    simulation.kill(leaderMachine, true);
    advance(3000);
    const codes: Array<number | undefined> = [];
    for (let round = 0; round < 8; round += 1) {
      const repeatResponse = send(second, "k");
      advance(5000);
      codes.push(repeatResponse.code);
    }
    expect(new Set(codes)).toEqual(new Set([502]));
    expect(runTimesMs("k")).toEqual([]);
  });

  test("a client that disconnects during its keyed request and retries at another edge gets 409 while the request runs, then the first response", () => {
    const { simulation, edges, advance, send, runTimesMs, advanceUntil } = createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 60 });
    send(first, "k", { timeoutMs: 250 });
    advanceUntil(() => runTimesMs("k").length === 1);
    advance(300);
    const earlyResponse = send(second, "k", { timeoutMs: 2000 });
    advance(2000);
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 1 });
    advanceUntil(() => {
      const lateResponse = send(second, "k");
      advance(1000);
      return lateResponse.code === 201;
    });
    expect([409, 201]).toContain(earlyResponse.code);
    expect(runTimesMs("k").length).toBe(1);
  });

  test("if an edge is partitioned from the quorum during its keyed request, repeats at other edges don't run, and get the first response after the partition heals", () => {
    const { simulation, edges, core, advance, send, runTimesMs, advanceUntil } =
      createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 60 });
    const firstResponse = send(first, "k");
    advanceUntil(() => runTimesMs("k").length === 1);
    for (const machine of [...core, ...edges.slice(1)]) {
      simulation.network.partition(first.settings.machine, machine.settings.machine);
      simulation.network.partition(machine.settings.machine, first.settings.machine);
    }
    advanceUntil(() => firstResponse.code !== undefined);
    expect(firstResponse.code).toBe(201);
    const responseDuringPartition = send(second, "k");
    advance(2500);
    expect(responseDuringPartition.code).toBe(502);
    simulation.network.healAll();
    advance(5000);
    const responseAfterHeal = send(second, "k");
    advance(3000);
    expect([responseAfterHeal.code, responseAfterHeal.text]).toEqual([201, firstResponse.text]);
    expect(runTimesMs("k").length).toBe(1);
  });

  test.each([1, 2, 3, 4])(
    "if edges and leaders crash at random times during keyed requests that are repeated through all edges, none runs twice within the key window, and all successful responses to a key are equal (seed %i)",
    (seed) => {
      const { simulation, edges, core, advance, send, runTimesMs, findLeader } =
        createSimulatedFleet(seed);
      const draw = RandomDraw.of(seed * 101);
      const pick = <T>(from: readonly T[]): T | undefined => from[Math.floor(draw() * from.length)];
      const responsesByKey = new Map<string, ReceivedResponse[]>();
      for (let round = 0; round < 14; round += 1) {
        const key = `key-${round}`;
        const responses: ReceivedResponse[] = [];
        responsesByKey.set(key, responses);
        const first = pick(edges);
        if (!first) throw new Error("There are no edges.");
        for (const testBackend of simulation.testBackends)
          testBackend.setBehavior({ slowFactor: draw() < 0.5 ? 30 : 1 });
        responses.push(send(first, key, { timeoutMs: draw() < 0.3 ? 100 : 9000 }));
        advance(Math.floor(draw() * (draw() < 0.5 ? 12 : 250)));
        const killedMachines = [
          draw() < 0.7 ? first : undefined,
          draw() < 0.4 ? findLeader() : undefined,
        ];
        for (const machine of killedMachines) if (machine) simulation.kill(machine, draw() < 0.5);
        for (let repeat = 0; repeat < 6; repeat += 1) {
          advance(Math.floor(draw() * 700));
          const through = pick(edges);
          if (through?.daemon) responses.push(send(through, key));
        }
        for (const machine of [...edges, ...core]) simulation.boot(machine);
        advance(1500);
      }
      advance(10_000);
      for (const [key, responses] of responsesByKey) {
        const [firstRunMs, secondRunMs] = runTimesMs(key);
        if (firstRunMs !== undefined && secondRunMs !== undefined)
          expect([key, secondRunMs - firstRunMs >= KEY_WINDOW_MS]).toEqual([key, true]);
        const texts = new Set(responses.filter(({ code }) => code === 201).map(({ text }) => text));
        expect([key, texts.size <= 1]).toEqual([key, true]);
      }
      expect(
        [...responsesByKey.keys()].filter((key) => runTimesMs(key).length > 0).length,
      ).toBeGreaterThan(5);
    },
  );
});
