import { describe, expect, test } from "vitest";
import { RandomDraw } from "../../../src/simulation/random-draw.js";
import {
  createSimulatedFleet,
  KEY_WINDOW_MS,
  firstTwoEdges,
  type ReceivedResponse,
} from "../simulated-fleet.js";

describe("claim of an edge that is lost", () => {
  test("the edge dies with a claim, and the leader that committed it loses power at once: a repeat elsewhere gets 502, since its outcome is unknown, and doesn't run", () => {
    const { simulation, edges, wait, send, runs, until, leader, committed } =
      createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    const before = committed();
    send(first, "k");
    until(() => committed() > before);
    simulation.kill(first);
    const leading = leader();
    if (!leading) throw new Error("There is no leader.");
    simulation.kill(leading, true);
    wait(3000);
    const codes: Array<number | undefined> = [];
    for (let round = 0; round < 8; round += 1) {
      const again = send(second, "k");
      wait(5000);
      codes.push(again.code);
    }
    expect(new Set(codes)).toEqual(new Set([502]));
    expect(runs("k")).toEqual([]);
  });

  test("a client that disconnects while its keyed request runs, and retries at another edge, gets 409, then the first response", () => {
    const { simulation, edges, wait, send, runs, until } = createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 60 });
    send(first, "k", { timeoutMs: 250 });
    until(() => runs("k").length === 1);
    wait(300);
    const early = send(second, "k", { timeoutMs: 2000 });
    wait(2000);
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 1 });
    until(() => {
      const late = send(second, "k");
      wait(1000);
      return late.code === 201;
    });
    expect([409, 201]).toContain(early.code);
    expect(runs("k").length).toBe(1);
  });

  test("an edge is partitioned from the quorum while its keyed request runs: no repeat elsewhere runs, and once the partition heals they get the first response", () => {
    const { simulation, edges, core, wait, send, runs, until } = createSimulatedFleet();
    const [first, second] = firstTwoEdges(edges);
    for (const testBackend of simulation.testBackends) testBackend.setBehavior({ slowFactor: 60 });
    const one = send(first, "k");
    until(() => runs("k").length === 1);
    for (const other of [...core, ...edges.slice(1)]) {
      simulation.network.partition(first.settings.machine, other.settings.machine);
      simulation.network.partition(other.settings.machine, first.settings.machine);
    }
    until(() => one.code !== undefined);
    expect(one.code).toBe(201);
    const meanwhile = send(second, "k");
    wait(2500);
    expect(meanwhile.code).toBe(502);
    simulation.network.healAll();
    wait(5000);
    const after = send(second, "k");
    wait(3000);
    expect([after.code, after.text]).toEqual([201, one.text]);
    expect(runs("k").length).toBe(1);
  });

  test.each([1, 2, 3, 4])(
    "edges and leaders die at any moment of keyed requests, with repeats through all edges: none runs twice within the window, and all successes are equal (seed %i)",
    (seed) => {
      const { simulation, edges, core, wait, send, runs, leader } = createSimulatedFleet(seed);
      const draw = RandomDraw.of(seed * 101);
      const pick = <T>(from: readonly T[]): T | undefined => from[Math.floor(draw() * from.length)];
      const calls = new Map<string, ReceivedResponse[]>();
      for (let round = 0; round < 14; round += 1) {
        const key = `key-${round}`;
        const mine: ReceivedResponse[] = [];
        calls.set(key, mine);
        const first = pick(edges);
        if (!first) throw new Error("There are no edges.");
        for (const testBackend of simulation.testBackends)
          testBackend.setBehavior({ slowFactor: draw() < 0.5 ? 30 : 1 });
        mine.push(send(first, key, { timeoutMs: draw() < 0.3 ? 100 : 9000 }));
        wait(Math.floor(draw() * (draw() < 0.5 ? 12 : 250)));
        const hurt = [draw() < 0.7 ? first : undefined, draw() < 0.4 ? leader() : undefined];
        for (const machine of hurt) if (machine) simulation.kill(machine, draw() < 0.5);
        for (let repeat = 0; repeat < 6; repeat += 1) {
          wait(Math.floor(draw() * 700));
          const through = pick(edges);
          if (through?.daemon) mine.push(send(through, key));
        }
        for (const machine of [...edges, ...core]) simulation.boot(machine);
        wait(1500);
      }
      wait(10_000);
      for (const [key, mine] of calls) {
        const [one, next] = runs(key);
        if (one !== undefined && next !== undefined)
          expect([key, next - one >= KEY_WINDOW_MS]).toEqual([key, true]);
        const texts = new Set(mine.filter(({ code }) => code === 201).map(({ text }) => text));
        expect([key, texts.size <= 1]).toEqual([key, true]);
      }
      expect([...calls.keys()].filter((key) => runs(key).length > 0).length).toBeGreaterThan(5);
    },
  );
});
