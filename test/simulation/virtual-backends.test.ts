import { expect, test } from "vitest";
import { runTask } from "../../src/runtime/task.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { checkRules } from "../../src/simulation/invariant-checker.js";
import { EventRecorder } from "../../src/simulation/event-recorder.js";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";
import { TestBackend } from "../../src/simulation/test-backend.js";
import { virtualBackends } from "../../src/simulation/virtual-backends.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualNetwork } from "../../src/simulation/virtual-network.js";

test("connections that take their time don't carry work to a back end past its leave, though the edge is cut off", () => {
  let withdrawn = 0;
  for (let seed = 1; seed <= 3; seed += 1) {
    const simulation = new Simulation(shippedProfiles.rastro, seed, 0.001);
    const wait = (forMs: number): void =>
      simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
    simulation.startAll();
    simulation.start(simulation.workload.putConfig());
    wait(6000);
    const edge =
      simulation.machines.find(({ settings }) => settings.callers !== undefined)?.settings
        .machine ?? "";
    const leavers = simulation.testBackends.filter(({ service }) => service === "issues");
    for (const leaver of leavers) simulation.start(simulation.workload.deregister(leaver));
    for (const { settings } of simulation.machines) {
      simulation.network.partition(settings.machine, edge);
      simulation.network.partition(edge, settings.machine);
    }
    simulation.network.conditions = { ...simulation.network.conditions, maxExtraConnectMs: 1000 };
    for (let count = 0; count < 200; count += 1) {
      for (const half of ["a", "b"])
        simulation.start(
          simulation.sendRequest(
            edge,
            {
              method: "GET",
              target: `/issues/${count}`,
              headers: { "x-caller": `late-${count}-${half}` },
              body: Buffer.alloc(0),
            },
            9000,
          ),
        );
      wait(10);
    }
    wait(4000);
    expect(simulation.recorder.ofKind("left")).toHaveLength(leavers.length);
    expect(
      simulation.recorder.runs.filter(({ requestId: caller }) => caller.startsWith("late-")).length,
    ).toBeGreaterThan(50);
    expect(checkRules(simulation.recorder)).toEqual([]);
    withdrawn +=
      simulation.machines.find(({ settings }) => settings.machine === edge)?.daemon?.proxy.counters
        .byCode[503] ?? 0;
  }
  expect(withdrawn).toBeGreaterThan(10);
});

test("a request sent before a cut may arrive late, and is marked as kept back; its return may be lost though it ran", () => {
  const time = new VirtualClock();
  const clock = time.clock();
  const network = new VirtualNetwork(clock, RandomDraw.of(1));
  const recorder = new EventRecorder();
  const testBackend = new TestBackend("b:1", "a", "s", recorder, RandomDraw.of(2), new Map());
  const backendClient = virtualBackends({
    location: "edge",
    gate: new EventGate(),
    machineClock: clock,
    clock,
    network,
    random: RandomDraw.of(3),
    findTestBackend: () => testBackend,
  });
  const ends: string[] = [];
  const send = (untilMs: number): void =>
    runTask(
      (function* () {
        const opened = yield* backendClient.send({
          address: "b:1",
          service: "s",
          pool: "p",
          request: { method: "GET", path: "/x", headers: {}, body: new Uint8Array() },
          deadlineMs: untilMs,
          maySend: () => true,
        });
        if (opened.kind === "failed") return opened.cause;
        while (typeof (yield* opened.response.next()) !== "string");
        return "returned";
      })(),
      (error) => {
        throw error;
      },
      (end) => ends.push(end),
    );
  send(1000);
  time.runUntil(500);
  network.partition("b:1", "edge");
  send(1500);
  time.runUntil(2000);
  expect([ends, recorder.runs.length]).toEqual([["returned", "late"], 2]);
  network.healAll();
  send(2600);
  time.runUntil(2500);
  network.partition("edge", "b:1");
  send(3000);
  time.runUntil(4000);
  expect([ends.at(-1), recorder.runs.length]).toEqual(["late", 3]);
  network.healAll();
  time.runUntil(6000);
  expect(recorder.runs.at(-1)?.delayedMs).toBeGreaterThan(1000);
  expect(recorder.runs.length).toBe(4);
});
