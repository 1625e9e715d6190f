import { describe, expect, test } from "vitest";
import type { FixtureMachine } from "../replication/fleet-stage.js";
import { patchConfig, ControlFixture, putConfig, type RecordedRequest } from "./command-stage.js";

/** Durations of the partition: a long one, and one that ends while messages sent during it are still queued in the network. */
const partitionDurationsMs = [20_000, 3500];
/** Durations of the leader's lease and of an edge's lease, during which either may serve without a majority. */
const leaderLeaseMs = 240;
const edgeLeaseMs = 1600;
/** Maximum response time; clients time out after a second. */
const maxResponseMs = 900;

const heartbeat = (
  fixture: ControlFixture,
  machine: FixtureMachine,
  id: string,
  calls: number,
  state: "up" | "draining" = "up",
): RecordedRequest => fixture.heartbeat(machine, { id, calls, state });

const startFixture = (): ControlFixture => {
  const fixture = new ControlFixture(["e:a", "e:b", "d:a", "d:b", "d:c"], [0, 1, 2]);
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putConfig(0, 3, "first"))).toBe(200);
  heartbeat(fixture, fixture.machineAt(0), "1", 1);
  heartbeat(fixture, fixture.machineAt(0), "2", 1);
  fixture.wait(1000);
  return fixture;
};

interface SentRequest {
  readonly kind: "change" | "read" | "heartbeat" | "leave";
  readonly request: RecordedRequest;
}

/** Sends every kind of admin request to one machine at once. */
const sendAllRequests = (
  fixture: ControlFixture,
  machine: FixtureMachine,
  round: number,
): SentRequest[] => [
  { kind: "change", request: fixture.submit(machine, putConfig(3, 5 + round, "minority")) },
  {
    kind: "change",
    request: fixture.submit(machine, patchConfig(3, 6 + round, { name: "m", svc: "one" })),
  },
  { kind: "read", request: fixture.sendRequest(machine, "GET", "config/get") },
  { kind: "heartbeat", request: heartbeat(fixture, machine, "1", 10 + round) },
  { kind: "heartbeat", request: heartbeat(fixture, machine, `${100 + round}`, 1) },
  { kind: "leave", request: heartbeat(fixture, machine, "2", 10 + round, "draining") },
  { kind: "leave", request: fixture.sendRequest(machine, "POST", "backends/2/deregister") },
];

const directions = ["both directions", "inbound", "outbound"] as const;
type Direction = (typeof directions)[number];

/** Blocks messages between a minority and all other machines, in a direction as seen from the minority; returns the others. */
const partition = (
  fixture: ControlFixture,
  minority: FixtureMachine[],
  direction: Direction,
): FixtureMachine[] => {
  const majority = fixture.machines.filter((machine) => !minority.includes(machine));
  if (direction !== "outbound") fixture.blockLinks(majority, minority);
  if (direction !== "inbound") fixture.blockLinks(minority, majority);
  return majority;
};

const minorities: Array<
  [name: string, selectMinority: (fixture: ControlFixture) => FixtureMachine[]]
> = [
  ["the leader", (fixture) => [fixture.leader]],
  ["the leader and an edge", (fixture) => [fixture.leader, fixture.machineAt(0)]],
  [
    "a follower and an edge",
    (fixture) => [
      ...fixture.diskMachines.filter((machine) => machine !== fixture.leader).slice(0, 1),
      fixture.machineAt(0),
    ],
  ],
  ["an edge", (fixture) => [fixture.machineAt(0)]],
];

/** Whether the leader's directory holds a backend that isn't leaving. */
const isRegistered = (fixture: ControlFixture, address: string): boolean => {
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
  for (const [name, selectMinority] of minorities)
    for (const [partitionMs, direction] of partitionDurationsMs.flatMap((ms) =>
      directions.map((direction) => [ms, direction] as const),
    ))
      test(`of ${name} for ${partitionMs / 1000} s, ${direction}: the minority acknowledges nothing after its leases expire, and all agree after healing`, () => {
        const fixture = startFixture();
        const minority = selectMinority(fixture);
        const majority = partition(fixture, minority, direction);
        const fromMs = fixture.virtualClock.nowMs();
        const sent: SentRequest[] = [];
        for (let round = 0; fixture.virtualClock.nowMs() < fromMs + partitionMs; round += 1) {
          for (const machine of minority) sent.push(...sendAllRequests(fixture, machine, round));
          fixture.wait(250);
          if (round !== 8) continue;
          // After about two seconds, the majority applies a change.
          const [member = fixture.machineAt(1)] = majority.filter(({ disk }) => disk !== undefined);
          // If only inbound messages are blocked, a change of the minority may be applied without an acknowledgment.
          const base = Number(fixture.newestVersion(member)?.slice(1));
          if (direction !== "inbound") expect(base).toBe(3);
          const command = fixture.submit(member, putConfig(base, 1000, "majority"));
          fixture.wait(1000);
          expect(command.code).toBe(200);
        }
        fixture.network.healAll();
        fixture.wait(6000);

        for (const { kind, request } of sent) {
          const atMs = request.sentMs - fromMs;
          const leaseMs = kind === "heartbeat" ? edgeLeaseMs : leaderLeaseMs;
          const tookMs = (request.respondedMs ?? Infinity) - request.sentMs;
          const description = `${kind} after ${atMs} ms: ${request.code} in ${tookMs} ms ${request.body}`;
          const isDuringPartition = atMs + tookMs < partitionMs;
          if (isDuringPartition && atMs > leaseMs)
            expect(request.code, description).toBeGreaterThanOrEqual(500);
          else if (isDuringPartition && request.code !== 200)
            expect(request.code, description).toBeGreaterThanOrEqual(500);
          else if (!isDuringPartition && kind === "change")
            expect([412, 503, 504], description).toContain(request.code);
          else if (!isDuringPartition && kind === "read" && request.code === 200)
            expect(request.body, description).toContain('"r1000"');
          expect(tookMs, description).toBeLessThan(maxResponseMs);
        }
        expect(fixture.machines.map((machine) => fixture.newestVersion(machine))).toEqual(
          fixture.machines.map(() => "r1000"),
        );
      });
});

describe("heartbeat after a partition", () => {
  for (let delayMs = 0; delayMs < 300; delayMs += 10)
    test(`${delayMs} ms after the partition of an edge heals, an acknowledged heartbeat takes effect`, () => {
      const fixture = startFixture();
      const edge = fixture.machineAt(0);
      expect(isRegistered(fixture, "10.1.0.1:90")).toBe(true);
      partition(fixture, [edge], "both directions");
      fixture.wait(20_000);
      expect(isRegistered(fixture, "10.1.0.1:90")).toBe(false);
      fixture.network.healAll();
      fixture.wait(delayMs);
      const request = heartbeat(fixture, edge, "1", 50);
      fixture.waitUntil(() => request.code !== undefined, 1000);
      if (request.code === 200) expect(isRegistered(fixture, "10.1.0.1:90")).toBe(true);
      else expect(request.code).toBe(503);
      heartbeat(fixture, fixture.machineAt(1), "1", 51);
      fixture.wait(200);
      expect(isRegistered(fixture, "10.1.0.1:90")).toBe(true);
    });
});
