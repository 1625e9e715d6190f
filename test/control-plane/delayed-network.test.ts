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
    const stage = new ClusterFixture([], []);
    const clock = stage.virtualClock.clock();
    const gate = new EventGate();
    const far = new DelayedNetwork(stage.network.createInterface("far", gate), clock, () => 0);
    const near = new DelayedNetwork(stage.network.createInterface("near", gate), clock, () => 30);
    const got: string[] = [];
    run(
      far.listen("10.0.0.9:1", (connection) => {
        const echo = function* (): Task {
          for (;;) {
            const piece = yield* connection.incoming.take();
            if (piece === "closed") return;
            got.push(Buffer.from(piece).toString());
            connection.send(piece);
          }
        };
        run(echo());
      }),
    );
    const back: string[] = [];
    const speak = function* (): Task {
      const connection = yield* near.connect("10.0.0.9:1");
      if (!connection) return;
      for (const word of ["a", "bb", "ccc"]) connection.send(Buffer.from(word));
      for (;;) {
        const piece = yield* connection.incoming.take();
        if (piece === "closed") return;
        back.push(Buffer.from(piece).toString());
      }
    };
    run(speak());
    stage.wait(60);
    expect(got).toEqual([]);
    stage.wait(2000);
    expect(got).toEqual(["a", "bb", "ccc"]);
    expect(back).toEqual(["a", "bb", "ccc"]);
    expect(near.totals).toEqual({ bytesIn: 6, bytesOut: 6, messagesIn: 3, messagesOut: 3 });
  });
});
