import { describe, expect, test } from "vitest";
import { encodeLogCommand } from "../../src/state/log-command.js";
import { configText, type FixtureMachine } from "../replication/fleet-stage.js";
import {
  patchConfig,
  ControlFixture,
  routeTo,
  putConfig,
  type RecordedRequest,
  type ConfigChangeBytes,
} from "./command-stage.js";

const machines = ["e:a", "e:b", "d:a", "d:b", "d:c"];

const startedFixture = (): ControlFixture => {
  const fixture = new ControlFixture(machines, [0, 1, 2]);
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putConfig(0, 3, "first"))).toBe(200);
  return fixture;
};

/** Sends an order through every machine at once and tells the answers. */
const everywhere = (
  fixture: ControlFixture,
  command: ConfigChangeBytes,
): Array<number | undefined> => {
  const calls = fixture.machines.map((machine) => fixture.submit(machine, command));
  fixture.wait(1000);
  return calls.map(({ code }) => code);
};
const all = (code: number): number[] => machines.map(() => code);

/** Eight orders at a time through changing daemons: three proper ones that race, five that are invalid. */
const eightAt = (fixture: ControlFixture, base: number, round: number): RecordedRequest[] => {
  const bad = patchConfig(base, base + 1, { name: "z", svc: "nowhere" });
  const commands = [
    putConfig(base, base + 2, `p${round}`),
    putConfig(base, base + 2, `q${round}`),
    patchConfig(base, base + 5, { name: `s${round}`, svc: "one" }),
    bad,
    putConfig(base, base, "same"),
    { ...putConfig(base, base + 2), body: putConfig(base, base + 2).body.slice(0, -9) },
    { ...bad, body: bad.body.replace('"tries":2', '"tries":0') },
    { ...bad, body: bad.body.replace('"safe"', '"wild"') },
  ];
  return commands.map((command, at) =>
    fixture.submit(fixture.machineAt((at + round) % machines.length), command),
  );
};

/** What may befall the core while an order is under way. */
const troubles: Array<[name: string, begin: (fixture: ControlFixture) => void]> = [
  ["the leader is killed", (fixture) => fixture.kill(fixture.leader)],
  [
    "the leader is killed and comes back",
    (fixture) => {
      const { leader } = fixture;
      fixture.kill(leader);
      fixture.boot(leader, { bootstrap: false });
    },
  ],
  [
    "the leader loses its disk and comes back",
    (fixture) => {
      const { leader } = fixture;
      fixture.kill(leader, true);
      fixture.boot(leader, { bootstrap: false });
    },
  ],
  [
    "all are killed and come back",
    (fixture) => {
      for (const machine of fixture.machines) fixture.kill(machine);
      for (const machine of fixture.machines) fixture.boot(machine, { bootstrap: false });
    },
  ],
  [
    "the leader is cut off",
    (fixture) => {
      const { leader } = fixture;
      for (const machine of fixture.machines)
        if (machine !== leader) fixture.partition(leader, machine);
    },
  ],
  [
    "the leader's disk is full",
    (fixture) => {
      const { disk } = fixture.leader;
      if (disk) disk.isFull = true;
    },
  ],
];

describe("retried configuration change", () => {
  test("the same bytes get the same response through every daemon: during the first commit, after a new leader, after a restart of all, after hundreds of others", () => {
    const fixture = startedFixture();
    const command = putConfig(3, 7, "kept");
    expect(everywhere(fixture, command)).toEqual(all(200));
    const other = putConfig(3, 7, "other");
    expect(everywhere(fixture, other)).toEqual(all(412));

    const former = fixture.leader;
    fixture.kill(former);
    fixture.waitUntil(
      () => fixture.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true),
      5000,
    );
    fixture.boot(former, { bootstrap: false });
    fixture.wait(3000);
    expect(everywhere(fixture, command)).toEqual(all(200));
    expect(everywhere(fixture, other)).toEqual(all(412));

    for (const machine of fixture.machines) fixture.kill(machine);
    for (const machine of fixture.machines) fixture.boot(machine, { bootstrap: false });
    fixture.wait(5000);
    expect(everywhere(fixture, command)).toEqual(all(200));
    expect(everywhere(fixture, other)).toEqual(all(412));

    for (let at = 0, base = 7; at < 300; at += 1, base += 3)
      expect(
        fixture.submitUntilFinal(
          patchConfig(base, base + 3, { name: `r${at % 9}`, svc: "one" }),
          at,
        ),
      ).toBe(200);
    expect(everywhere(fixture, command)).toEqual(all(200));
    expect(everywhere(fixture, other)).toEqual(all(412));
  });

  test("a change older than the retained change ids gets no final response: it is neither refused nor applied again", () => {
    const fixture = startedFixture();
    const command = putConfig(3, 7, "old");
    expect(fixture.submitUntilFinal(command)).toBe(200);
    const first = 3;
    for (let sequence = first; sequence < first + 2100; sequence += 1) {
      const replicationNode = fixture.leader.daemon?.replicationNode;
      if (!replicationNode) throw new Error("Nobody leads.");
      fixture.startTask(
        replicationNode.propose(
          encodeLogCommand({
            kind: "config",
            expected: sequence - 1,
            version: sequence + 100,
            changeId: `c${sequence}`,
            acceptedAt: "",
            text: configText(sequence),
            services: [],
            routes: [],
          }),
        ),
      );
      if (sequence % 50 === 0) fixture.wait(100);
    }
    fixture.wait(3000);
    const newest = fixture.newestVersion(fixture.machineAt(0));
    expect(newest).toBe(`r${first + 2099 + 100}`);
    expect(everywhere(fixture, command)).toEqual(all(504));
    expect(fixture.newestVersion(fixture.machineAt(1))).toBe(newest);
    expect(everywhere(fixture, putConfig(3, first + 2099 + 100, "late"))).toEqual(all(412));
  });
});

describe("concurrent configuration changes", () => {
  test("of eight at once on one base version exactly one is applied, and none that is invalid", () => {
    const fixture = startedFixture();
    let base = 3;
    for (let round = 0; round < 20; round += 1) {
      const calls = eightAt(fixture, base, round);
      fixture.wait(1000);
      const codes = calls.map(({ code }) => code);
      expect(codes.slice(0, 3).sort()).toEqual([200, 412, 412]);
      for (const code of codes.slice(3)) expect([400, 412]).toContain(code);
      base = Number(fixture.newestVersion(fixture.machineAt(round % machines.length))?.slice(1));
    }
  });
});

describe("transient failures of the cluster", () => {
  for (const [name, begin] of troubles)
    test(`neither a valid change nor a read is refused for good: ${name}`, () => {
      for (let restMs = 0; restMs < 12; restMs += 3) {
        const fixture = startedFixture();
        expect(
          fixture.submitUntilFinal(patchConfig(3, 9, { name: "n", svc: "new", addsService: true })),
        ).toBe(200);
        const command = patchConfig(9, 11, { name: "m", svc: "new" });
        const calls = fixture.machines.map((machine) => fixture.submit(machine, command));
        const reads: RecordedRequest[] = [];
        fixture.wait(restMs);
        begin(fixture);
        for (let at = 0; at < 50; at += 1) {
          const machine: FixtureMachine = fixture.machineAt(at % machines.length);
          calls.push(fixture.submit(machine, command));
          reads.push(fixture.sendRequest(machine, "GET", "config/get"));
          fixture.wait(100);
        }
        fixture.wait(5000);
        for (const call of [...calls, ...reads])
          if (call.code !== undefined && call.code !== 200)
            expect(call.code, call.body).toBeGreaterThanOrEqual(500);
        for (const read of reads.filter(({ code }) => code === 200))
          expect(read.body).toContain('"n"');
        expect(fixture.submitUntilFinal(command)).toBe(200);
      }
    });
});

describe("reads of the configuration", () => {
  test("before the first configuration is applied, a read gets 503, not a final refusal", () => {
    const fixture = new ControlFixture(machines, [0, 1, 2]);
    fixture.bootAll();
    const reads: RecordedRequest[] = [];
    for (let at = 0; at < 40; at += 1) {
      reads.push(fixture.sendRequest(fixture.machineAt(at % machines.length), "GET", "config/get"));
      fixture.wait(100);
    }
    fixture.wait(1000);
    for (const read of reads) expect(read.code, read.body).toBe(503);
  });

  test("a large configuration is read in time through a daemon on a thin link", () => {
    const fixture = startedFixture();
    const routes = Array.from({ length: 2500 }, (_, at) => routeTo(`route-${at}`, "one"));
    const { base, body } = putConfig(3, 5);
    const items = routes.map((route) => JSON.stringify(route)).join(",");
    const whole = body.replace('"objs":[', `"objs":[${items},`);
    expect(fixture.submitUntilFinal({ target: "config/put", base, body: whole })).toBe(200);
    fixture.wait(3000);
    // 3 Mbit/s: the text as it is would take longer than an answer may.
    fixture.network.bytesPerMs = 375;
    expect(whole.length / fixture.network.bytesPerMs).toBeGreaterThan(800);
    expect(fixture.machines.map((machine) => fixture.newestVersion(machine))).toEqual(
      fixture.machines.map(() => "r5"),
    );
  });
});
