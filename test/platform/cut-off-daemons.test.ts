import { describe, expect, test } from "vitest";
import type { StageMachine } from "../replication/fleet-stage.js";
import { itemOrder, OrderStage, wholeOrder, type Call } from "./command-stage.js";

/** A long cut, and one that ends while what was sent during it still waits in the network. */
const cutsMs = [20_000, 3500];
/** How long the leader, and how long an edge, may go on by what a majority last said. */
const leaderLeaseMs = 240;
const edgeLeaseMs = 1600;
/** How long an answer may take: callers give up after a second. */
const answerMs = 900;

const beat = (
  stage: OrderStage,
  at: StageMachine,
  id: string,
  calls: number,
  state: "up" | "draining" = "up",
): Call => stage.beat(at, { id, calls, state });

const begun = (): OrderStage => {
  const stage = new OrderStage(["e:a", "e:b", "d:a", "d:b", "d:c"], [0, 1, 2]);
  stage.bootAll();
  stage.wait(4000);
  expect(stage.untilClear(wholeOrder(0, 3, "first"))).toBe(200);
  beat(stage, stage.at(0), "1", 1);
  beat(stage, stage.at(0), "2", 1);
  stage.wait(1000);
  return stage;
};

interface Sent {
  readonly kind: "order" | "read" | "beat" | "leave";
  readonly call: Call;
}

/** All that may be asked of a control address, asked of a machine at once. */
const askAll = (stage: OrderStage, at: StageMachine, round: number): Sent[] => [
  { kind: "order", call: stage.order(at, wholeOrder(3, 5 + round, "minority")) },
  { kind: "order", call: stage.order(at, itemOrder(3, 6 + round, { name: "m", svc: "one" })) },
  { kind: "read", call: stage.call(at, "GET", "config/get") },
  { kind: "beat", call: beat(stage, at, "1", 10 + round) },
  { kind: "beat", call: beat(stage, at, `${100 + round}`, 1) },
  { kind: "leave", call: beat(stage, at, "2", 10 + round, "draining") },
  { kind: "leave", call: stage.call(at, "POST", "backends/2/deregister") },
];

const allWays = ["both ways", "they hear nothing", "they are not heard"] as const;
type Ways = (typeof allWays)[number];

const cutOff = (stage: OrderStage, few: StageMachine[], ways: Ways): StageMachine[] => {
  const rest = stage.machines.filter((machine) => !few.includes(machine));
  if (ways !== "they are not heard") stage.cutWays(rest, few);
  if (ways !== "they hear nothing") stage.cutWays(few, rest);
  return rest;
};

const sides: Array<[name: string, few: (stage: OrderStage) => StageMachine[]]> = [
  ["the leader", (stage) => [stage.leader]],
  ["the leader and an edge", (stage) => [stage.leader, stage.at(0)]],
  [
    "a follower and an edge",
    (stage) => [...stage.disks.filter((one) => one !== stage.leader).slice(0, 1), stage.at(0)],
  ],
  ["an edge", (stage) => [stage.at(0)]],
];

/** Whether the leader's directory holds a backend that isn't leaving. */
const stands = (stage: OrderStage, address: string): boolean => {
  const bodies: string[] = [];
  stage.at(1).daemon?.operators.emit({
    clientRequest: {
      method: "POST",
      target: "/ask",
      headers: {},
      body: Buffer.from("show backends"),
    },
    give: (response) => bodies.push(Buffer.from(response.body).toString()),
  });
  stage.wait(300);
  return bodies.some((body) => new RegExp(`"address":"${address}"[^}]*"leaving":false`).test(body));
};

describe("network partition", () => {
  for (const [name, fewOf] of sides)
    for (const [cutMs, ways] of cutsMs.flatMap((ms) => allWays.map((one) => [ms, one] as const)))
      test(`for ${cutMs / 1000} s, ${ways}: ${name}`, () => {
        const stage = begun();
        const few = fewOf(stage);
        const rest = cutOff(stage, few, ways);
        const fromMs = stage.time.nowMs();
        const sent: Sent[] = [];
        for (let round = 0; stage.time.nowMs() < fromMs + cutMs; round += 1) {
          for (const machine of few) sent.push(...askAll(stage, machine, round));
          stage.wait(250);
          if (round !== 8) continue;
          // Some two seconds on, those on the other side take a change.
          const [one = stage.at(1)] = rest.filter(({ disk }) => disk !== undefined);
          // Where the few are heard, one of their orders may have been taken, though they can't be told.
          const base = Number(stage.newest(one)?.slice(1));
          if (ways !== "they hear nothing") expect(base).toBe(3);
          const command = stage.order(one, wholeOrder(base, 1000, "majority"));
          stage.wait(1000);
          expect(command.code).toBe(200);
        }
        stage.network.heal();
        stage.wait(6000);

        for (const { kind, call } of sent) {
          const atMs = call.sentMs - fromMs;
          const leaseMs = kind === "beat" ? edgeLeaseMs : leaderLeaseMs;
          const tookMs = (call.answeredMs ?? Infinity) - call.sentMs;
          const what = `${kind} after ${atMs} ms: ${call.code} in ${tookMs} ms ${call.body}`;
          const isAnsweredWhileCut = atMs + tookMs < cutMs;
          if (isAnsweredWhileCut && atMs > leaseMs)
            expect(call.code, what).toBeGreaterThanOrEqual(500);
          else if (isAnsweredWhileCut && call.code !== 200)
            expect(call.code, what).toBeGreaterThanOrEqual(500);
          else if (!isAnsweredWhileCut && kind === "order")
            expect([412, 503, 504], what).toContain(call.code);
          else if (!isAnsweredWhileCut && kind === "read" && call.code === 200)
            expect(call.body, what).toContain('"r1000"');
          expect(tookMs, what).toBeLessThan(answerMs);
        }
        expect(stage.machines.map((machine) => stage.newest(machine))).toEqual(
          stage.machines.map(() => "r1000"),
        );
      });
});

describe("heartbeat after a partition", () => {
  for (let restMs = 0; restMs < 300; restMs += 10)
    test(`${restMs} ms after the partition of an edge heals, an acknowledged heartbeat takes effect`, () => {
      const stage = begun();
      const edge = stage.at(0);
      expect(stands(stage, "10.1.0.1:90")).toBe(true);
      cutOff(stage, [edge], "both ways");
      stage.wait(20_000);
      expect(stands(stage, "10.1.0.1:90")).toBe(false);
      stage.network.heal();
      stage.wait(restMs);
      const call = beat(stage, edge, "1", 50);
      stage.until(() => call.code !== undefined, 1000);
      if (call.code === 200) expect(stands(stage, "10.1.0.1:90")).toBe(true);
      else expect(call.code).toBe(503);
      beat(stage, stage.at(1), "1", 51);
      stage.wait(200);
      expect(stands(stage, "10.1.0.1:90")).toBe(true);
    });
});
