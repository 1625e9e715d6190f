import { beforeEach, describe, expect, test } from "vitest";
import type { ProxyRequest } from "../../../src/proxy/proxy-request.js";
import { Task } from "../../../src/runtime/task.js";
import { Profile } from "../../../src/simulation/profile.js";
import { Simulation } from "../../../src/simulation/simulation.js";

const stage = () => {
  const simulation = new Simulation(Profile.all.rastro, 7, 0.0001);
  simulation.begin();
  simulation.start(simulation.day.putConfig());
  const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
  wait(6000);
  const [first, second] = simulation.machines.filter(
    ({ settings }) => settings.callers !== undefined,
  );
  if (!first || !second) throw new Error("There are too few edges.");
  const send = (
    through: typeof first,
    key: string,
    body = "{}",
  ): { code: number | undefined; text: string } => {
    const seen: { code: number | undefined; text: string } = { code: undefined, text: "" };
    const clientRequest: ProxyRequest = {
      method: "POST",
      target: "/issues/5/resolve",
      headers: { "idempotency-key": key, "x-caller": `${through.settings.machine} ${key}` },
      body: Buffer.from(body),
    };
    Task.start(
      simulation.call(through.settings.machine, clientRequest, 9000),
      (error) => {
        throw error;
      },
      (end) => {
        seen.code = end.code;
        seen.text = end.body.toString();
      },
    );
    return seen;
  };
  const runs = (key: string): number =>
    simulation.recorder.runs.filter((run) => run.key === key).length;
  const committed = (): number =>
    Math.max(
      ...simulation.machines.map(({ daemon }) => daemon?.replicationNode?.status.committed ?? 0),
    );
  return { simulation, wait, first, second, send, runs, committed };
};
let staged: ReturnType<typeof stage>;
beforeEach(() => {
  staged = stage();
});

describe("edge that dies during a keyed request", () => {
  test("between the claim and the send: its key runs at most once, and a duplicate elsewhere gets a final response", () => {
    const { simulation, wait, first, second, send, runs, committed } = staged;
    const before = committed();
    send(first, "k");
    while (committed() === before) wait(1);
    simulation.kill(first);
    const again = send(second, "k");
    wait(4000);
    expect(again.code).toBe(502);
    expect(runs("k")).toBe(0);
  });

  test("between the send and the response: a duplicate elsewhere doesn't run", () => {
    const { simulation, wait, first, second, send, runs } = staged;
    for (const testBackend of simulation.testBackends) testBackend.behave({ slowFactor: 60 });
    send(first, "k");
    while (runs("k") === 0) wait(1);
    simulation.kill(first);
    const again = send(second, "k");
    wait(4000);
    expect([again.code, runs("k")]).toEqual([502, 1]);
  });

  test("after the response, and the route moves: a duplicate elsewhere gets the first response again", () => {
    const { simulation, wait, first, second, send, runs } = staged;
    const one = send(first, "k");
    wait(500);
    expect(one.code).toBe(201);
    simulation.kill(first);
    const patched: number[] = [];
    simulation.machines[0]?.daemon?.operators.emit({
      clientRequest: {
        method: "POST",
        target: "/ask",
        headers: {},
        body: Buffer.from("move route resolves to issues"),
      },
      give: ({ code }) => patched.push(code),
    });
    wait(3000);
    expect(patched).toEqual([200]);
    const again = send(second, "k");
    const fresh = send(second, "other");
    const changed = send(second, "k", "{1}");
    wait(1500);
    expect([again.code, again.text, runs("k")]).toEqual([201, one.text, 1]);
    expect(changed.code).toBe(422);
    expect(fresh.code).toBe(201);
    expect(simulation.recorder.runs.find((run) => run.key === "other")?.service).toBe("issues");
  });
});

describe("lifetime of a key", () => {
  test("it is retained through a change of leader, and free again after its time", () => {
    const { simulation, wait, first, second, send, runs } = staged;
    send(first, "k");
    wait(300);
    for (const machine of simulation.machines)
      if (machine.daemon?.replicationNode?.status.role === "leader") simulation.kill(machine, true);
    wait(3000);
    const again = send(second, "k");
    wait(60_000);
    send(second, "k");
    wait(500);
    expect([again.code, runs("k")]).toEqual([201, 1]);
    wait(75_000);
    send(second, "k");
    wait(1000);
    expect(runs("k")).toBe(2);
  });
});
