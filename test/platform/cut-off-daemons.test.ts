import { describe, expect, test } from "vitest";
import type { FixtureMachine } from "../replication/fleet-stage.js";
import { patchConfig, ControlFixture, putConfig, type RecordedRequest } from "./command-stage.js";

/** A long cut, and one that ends while what was sent during it still waits in the network. */
const cutsMs = [20_000, 3500];
/** How long the leader, and how long an edge, may go on by what a majority last said. */
const leaderLeaseMs = 240;
const edgeLeaseMs = 1600;
/** How long an answer may take: callers give up after a second. */
const answerMs = 900;

const heartbeat = (
  fixture: ControlFixture,
  at: FixtureMachine,
  id: string,
  calls: number,
  state: "up" | "draining" = "up",
): RecordedRequest => fixture.heartbeat(at, { id, calls, state });

const startedFixture = (): ControlFixture => {
  const fixture = new ControlFixture(["e:a", "e:b", "d:a", "d:b", "d:c"], [0, 1, 2]);
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putConfig(0, 3, "first"))).toBe(200);
  heartbeat(fixture, fixture.machineAt(0), "1", 1);
  heartbeat(fixture, fixture.machineAt(0), "2", 1);
  fixture.wait(1000);
  return fixture;
};

interface Sent {
  readonly kind: "change" | "read" | "heartbeat" | "leave";
  readonly call: RecordedRequest;
}

/** All that may be asked of a control address, asked of a machine at once. */
const askAll = (fixture: ControlFixture, at: FixtureMachine, round: number): Sent[] => [
  { kind: "change", call: fixture.submit(at, putConfig(3, 5 + round, "minority")) },
  {
    kind: "change",
    call: fixture.submit(at, patchConfig(3, 6 + round, { name: "m", svc: "one" })),
  },
  { kind: "read", call: fixture.sendRequest(at, "GET", "config/get") },
  { kind: "heartbeat", call: heartbeat(fixture, at, "1", 10 + round) },
  { kind: "heartbeat", call: heartbeat(fixture, at, `${100 + round}`, 1) },
  { kind: "leave", call: heartbeat(fixture, at, "2", 10 + round, "draining") },
  { kind: "leave", call: fixture.sendRequest(at, "POST", "backends/2/deregister") },
];

const allWays = ["both ways", "they hear nothing", "they are not heard"] as const;
type Ways = (typeof allWays)[number];

const cutOff = (fixture: ControlFixture, few: FixtureMachine[], ways: Ways): FixtureMachine[] => {
  const rest = fixture.machines.filter((machine) => !few.includes(machine));
  if (ways !== "they are not heard") fixture.blockLinks(rest, few);
  if (ways !== "they hear nothing") fixture.blockLinks(few, rest);
  return rest;
};

const sides: Array<[name: string, few: (fixture: ControlFixture) => FixtureMachine[]]> = [
  ["the leader", (fixture) => [fixture.leader]],
  ["the leader and an edge", (fixture) => [fixture.leader, fixture.machineAt(0)]],
  [
    "a follower and an edge",
    (fixture) => [
      ...fixture.diskMachines.filter((one) => one !== fixture.leader).slice(0, 1),
      fixture.machineAt(0),
    ],
  ],
  ["an edge", (fixture) => [fixture.machineAt(0)]],
];

/** Whether the leader's directory holds a backend that isn't leaving. */
const stands = (fixture: ControlFixture, address: string): boolean => {
  const bodies: string[] = [];
  fixture.machineAt(1).daemon?.adminRequests.emit({
    clientRequest: {
      method: "POST",
      target: "/ask",
      headers: {},
      body: Buffer.from("show backends"),
    },
    respond: (response) => bodies.push(Buffer.from(response.body).toString()),
  });
  fixture.wait(300);
  return bodies.some((body) => new RegExp(`"address":"${address}"[^}]*"leaving":false`).test(body));
};

describe("network partition", () => {
  for (const [name, fewOf] of sides)
    for (const [cutMs, ways] of cutsMs.flatMap((ms) => allWays.map((one) => [ms, one] as const)))
      test(`for ${cutMs / 1000} s, ${ways}: ${name}`, () => {
        const fixture = startedFixture();
        const few = fewOf(fixture);
        const rest = cutOff(fixture, few, ways);
        const fromMs = fixture.virtualClock.nowMs();
        const sent: Sent[] = [];
        for (let round = 0; fixture.virtualClock.nowMs() < fromMs + cutMs; round += 1) {
          for (const machine of few) sent.push(...askAll(fixture, machine, round));
          fixture.wait(250);
          if (round !== 8) continue;
          // Some two seconds on, those on the other side take a change.
          const [one = fixture.machineAt(1)] = rest.filter(({ disk }) => disk !== undefined);
          // Where the few are heard, one of their orders may have been taken, though they can't be told.
          const base = Number(fixture.newestVersion(one)?.slice(1));
          if (ways !== "they hear nothing") expect(base).toBe(3);
          const command = fixture.submit(one, putConfig(base, 1000, "majority"));
          fixture.wait(1000);
          expect(command.code).toBe(200);
        }
        fixture.network.healAll();
        fixture.wait(6000);

        for (const { kind, call } of sent) {
          const atMs = call.sentMs - fromMs;
          const leaseMs = kind === "heartbeat" ? edgeLeaseMs : leaderLeaseMs;
          const tookMs = (call.respondedMs ?? Infinity) - call.sentMs;
          const what = `${kind} after ${atMs} ms: ${call.code} in ${tookMs} ms ${call.body}`;
          const isAnsweredWhileCut = atMs + tookMs < cutMs;
          if (isAnsweredWhileCut && atMs > leaseMs)
            expect(call.code, what).toBeGreaterThanOrEqual(500);
          else if (isAnsweredWhileCut && call.code !== 200)
            expect(call.code, what).toBeGreaterThanOrEqual(500);
          else if (!isAnsweredWhileCut && kind === "change")
            expect([412, 503, 504], what).toContain(call.code);
          else if (!isAnsweredWhileCut && kind === "read" && call.code === 200)
            expect(call.body, what).toContain('"r1000"');
          expect(tookMs, what).toBeLessThan(answerMs);
        }
        expect(fixture.machines.map((machine) => fixture.newestVersion(machine))).toEqual(
          fixture.machines.map(() => "r1000"),
        );
      });
});

describe("heartbeat after a partition", () => {
  for (let restMs = 0; restMs < 300; restMs += 10)
    test(`${restMs} ms after the partition of an edge heals, an acknowledged heartbeat takes effect`, () => {
      const fixture = startedFixture();
      const edge = fixture.machineAt(0);
      expect(stands(fixture, "10.1.0.1:90")).toBe(true);
      cutOff(fixture, [edge], "both ways");
      fixture.wait(20_000);
      expect(stands(fixture, "10.1.0.1:90")).toBe(false);
      fixture.network.healAll();
      fixture.wait(restMs);
      const call = heartbeat(fixture, edge, "1", 50);
      fixture.waitUntil(() => call.code !== undefined, 1000);
      if (call.code === 200) expect(stands(fixture, "10.1.0.1:90")).toBe(true);
      else expect(call.code).toBe(503);
      heartbeat(fixture, fixture.machineAt(1), "1", 51);
      fixture.wait(200);
      expect(stands(fixture, "10.1.0.1:90")).toBe(true);
    });
});
