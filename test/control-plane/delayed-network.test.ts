import { describe, expect, test } from "vitest";
import { EventGate } from "../../src/simulation/event-gate.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import { ClusterFixture } from "../replication/fleet-stage.js";
import { DelayedNetwork } from "./delayed-network.js";

const run = (task: Task<unknown>): void =>
  runTask(task, (error) => {
    throw error;
  });

describe("DelayedNetwork", () => {
  test("it preserves the order of messages and counts them", () => {
    const cluster = new ClusterFixture([], []);
    const clock = cluster.virtualClock.clock();
    const gate = new EventGate();
    const far = new DelayedNetwork(cluster.network.createInterface("far", gate), clock, () => 0);
    const near = new DelayedNetwork(cluster.network.createInterface("near", gate), clock, () => 30);
    const received: string[] = [];
    run(
      far.listen("10.0.0.9:1", (connection) => {
        const echo = function* (): Task {
          for (;;) {
            const bytes = yield* connection.incoming.take();
            if (bytes === "closed") return;
            received.push(Buffer.from(bytes).toString());
            connection.send(bytes);
          }
        };
        run(echo());
      }),
    );
    const echoed: string[] = [];
    const sendAndReceive = function* (): Task {
      const connection = yield* near.connect("10.0.0.9:1");
      if (!connection) return;
      for (const text of ["a", "bb", "ccc"]) connection.send(Buffer.from(text));
      for (;;) {
        const bytes = yield* connection.incoming.take();
        if (bytes === "closed") return;
        echoed.push(Buffer.from(bytes).toString());
      }
    };
    run(sendAndReceive());
    cluster.wait(60);
    expect(received).toEqual([]);
    cluster.wait(2000);
    expect(received).toEqual(["a", "bb", "ccc"]);
    expect(echoed).toEqual(["a", "bb", "ccc"]);
    expect(near.totals).toEqual({ bytesIn: 6, bytesOut: 6, messagesIn: 3, messagesOut: 3 });
  });
});
