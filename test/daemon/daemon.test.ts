import { expect, test } from "vitest";
import { runTask } from "../../src/runtime/task.js";
import { shippedProfiles } from "../../src/simulation/profile.js";
import { Simulation } from "../../src/simulation/simulation.js";

test("a stop finishes what can be finished, and gives the rest a final answer before the process ends", () => {
  const simulation = new Simulation(shippedProfiles.rastro, 5, 0.0001);
  const fail = (error: unknown): void => {
    throw error;
  };
  const wait = (forMs: number): void =>
    simulation.virtualClock.runUntil(simulation.virtualClock.nowMs() + forMs);
  simulation.startAll();
  simulation.start(simulation.workload.putConfig());
  wait(6000);
  const patch = Buffer.from(
    JSON.stringify({ routes: { issues: { giveUpMs: 30_000 }, crashes: { giveUpMs: 30_000 } } }),
  );
  simulation.machines[0]?.daemon?.adminRequests.emit({
    clientRequest: { method: "PATCH", target: "/config", headers: {}, body: patch },
    respond: () => undefined,
  });
  wait(2000);
  const edge = simulation.machines.find(({ settings }) => settings.callers !== undefined);
  if (!edge) throw new Error("There is no edge.");
  for (const testBackend of simulation.testBackends)
    testBackend.setBehavior({ slowFactor: testBackend.service === "issues" ? 4000 : 150 });
  const codes: string[] = [];
  const call = (path: string): void =>
    runTask(
      simulation.sendRequest(
        edge.settings.machine,
        { method: "GET", target: path, headers: { "x-caller": path }, body: Buffer.alloc(0) },
        20_000,
      ),
      fail,
      ({ code, failure: broke }) => codes.push(`${path} ${code} ${broke}`),
    );
  call("/issues/1");
  call("/crashes/1");
  wait(100);
  simulation.start(simulation.stop(edge));
  wait(9000);
  expect(codes).toEqual(["/crashes/1 200 ", "/issues/1 504 "]);
  expect(
    simulation.recorder.ofKind("stopped").map(({ atMs, endedMs }) => endedMs - atMs < 7000),
  ).toEqual([true]);
});
