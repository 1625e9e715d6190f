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

// The partitioned edge isn't notified of the deregistration, and connections that take up to 1 s to open delay its requests.
test("slow connections carry no requests to a deregistered backend, even if the edge is partitioned", () => {
  let withdrawnRequests = 0;
  for (let seed = 1; seed <= 3; seed += 1) {
    const simulation = new Simulation(shippedProfiles.rastro, seed, 0.001);
    const advance = (durationMs: number): void =>
      simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + durationMs);
    simulation.startAll();
    simulation.start(simulation.workload.putConfig());
    advance(6000);
    const edge =
      simulation.machines.find(({ settings }) => settings.callers !== undefined)?.settings
        .machine ?? "";
    const deregistered = simulation.testBackends.filter(({ service }) => service === "issues");
    for (const testBackend of deregistered)
      simulation.start(simulation.workload.deregister(testBackend));
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
      advance(10);
    }
    advance(4000);
    expect(simulation.recorder.ofKind("left")).toHaveLength(deregistered.length);
    expect(
      simulation.recorder.runs.filter(({ requestId }) => requestId.startsWith("late-")).length,
    ).toBeGreaterThan(50);
    expect(checkRules(simulation.recorder)).toEqual([]);
    withdrawnRequests +=
      simulation.machines.find(({ settings }) => settings.machine === edge)?.daemon?.proxy.counters
        .byCode[503] ?? 0;
  }
  expect(withdrawnRequests).toBeGreaterThan(10);
});

test("a request sent before a partition may arrive late with its delay recorded, and its response may be lost after it ran", () => {
  const virtualClock = new VirtualClock();
  const clock = virtualClock.clock();
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
  const outcomes: string[] = [];
  const send = (deadlineMs: number): void =>
    runTask(
      (function* () {
        const opened = yield* backendClient.send({
          address: "b:1",
          service: "s",
          pool: "p",
          request: { method: "GET", path: "/x", headers: {}, body: new Uint8Array() },
          deadlineMs,
          maySend: () => true,
        });
        if (opened.kind === "failed") return opened.cause;
        while (typeof (yield* opened.response.nextChunk()) !== "string");
        return "returned";
      })(),
      (error) => {
        throw error;
      },
      (outcome) => outcomes.push(outcome),
    );
  send(1000);
  virtualClock.runUntil(500);
  network.partition("b:1", "edge");
  send(1500);
  virtualClock.runUntil(2000);
  expect([outcomes, recorder.runs.length]).toEqual([["returned", "late"], 2]);
  network.healAll();
  send(2600);
  virtualClock.runUntil(2500);
  network.partition("edge", "b:1");
  send(3000);
  virtualClock.runUntil(4000);
  expect([outcomes.at(-1), recorder.runs.length]).toEqual(["late", 3]);
  network.healAll();
  virtualClock.runUntil(6000);
  expect(recorder.runs.at(-1)?.delayedMs).toBeGreaterThan(1000);
  expect(recorder.runs.length).toBe(4);
});
