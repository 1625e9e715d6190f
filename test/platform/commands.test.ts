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

const startFixture = (): ControlFixture => {
  const fixture = new ControlFixture(machines, [0, 1, 2]);
  fixture.bootAll();
  fixture.wait(4000);
  expect(fixture.submitUntilFinal(putConfig(0, 3, "first"))).toBe(200);
  return fixture;
};

/** Sends a change through every machine at once and returns the status codes. */
const submitEverywhere = (
  fixture: ControlFixture,
  command: ConfigChangeBytes,
): Array<number | undefined> => {
  const requests = fixture.machines.map((machine) => fixture.submit(machine, command));
  fixture.wait(1000);
  return requests.map(({ code }) => code);
};
const codeFromEach = (code: number): number[] => machines.map(() => code);

/** Sends eight concurrent changes through different daemons: three valid ones on the same base, and five invalid ones. */
const submitEightChanges = (
  fixture: ControlFixture,
  base: number,
  round: number,
): RecordedRequest[] => {
  const invalidPatch = patchConfig(base, base + 1, { name: "z", svc: "nowhere" });
  const commands = [
    putConfig(base, base + 2, `p${round}`),
    putConfig(base, base + 2, `q${round}`),
    patchConfig(base, base + 5, { name: `s${round}`, svc: "one" }),
    invalidPatch,
    putConfig(base, base, "same"),
    { ...putConfig(base, base + 2), body: putConfig(base, base + 2).body.slice(0, -9) },
    { ...invalidPatch, body: invalidPatch.body.replace('"tries":2', '"tries":0') },
    { ...invalidPatch, body: invalidPatch.body.replace('"safe"', '"wild"') },
  ];
  return commands.map((command, at) =>
    fixture.submit(fixture.machineAt((at + round) % machines.length), command),
  );
};

/** Failures of the cluster during a change. */
const failures: Array<[name: string, begin: (fixture: ControlFixture) => void]> = [
  ["the leader is killed", (fixture) => fixture.kill(fixture.leader)],
  [
    "the leader is killed and restarts",
    (fixture) => {
      const { leader } = fixture;
      fixture.kill(leader);
      fixture.boot(leader, { bootstrap: false });
    },
  ],
  [
    "the leader loses its disk and restarts",
    (fixture) => {
      const { leader } = fixture;
      fixture.kill(leader, true);
      fixture.boot(leader, { bootstrap: false });
    },
  ],
  [
    "all are killed and restart",
    (fixture) => {
      for (const machine of fixture.machines) fixture.kill(machine);
      for (const machine of fixture.machines) fixture.boot(machine, { bootstrap: false });
    },
  ],
  [
    "the leader is partitioned",
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
  test("the same bytes get the same response through every daemon: during the first commit, after a leader change, after a restart of all, after hundreds of other changes", () => {
    const fixture = startFixture();
    const command = putConfig(3, 7, "kept");
    expect(submitEverywhere(fixture, command)).toEqual(codeFromEach(200));
    const other = putConfig(3, 7, "other");
    expect(submitEverywhere(fixture, other)).toEqual(codeFromEach(412));

    const previousLeader = fixture.leader;
    fixture.kill(previousLeader);
    fixture.waitUntil(
      () => fixture.diskMachines.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true),
      5000,
    );
    fixture.boot(previousLeader, { bootstrap: false });
    fixture.wait(3000);
    expect(submitEverywhere(fixture, command)).toEqual(codeFromEach(200));
    expect(submitEverywhere(fixture, other)).toEqual(codeFromEach(412));

    for (const machine of fixture.machines) fixture.kill(machine);
    for (const machine of fixture.machines) fixture.boot(machine, { bootstrap: false });
    fixture.wait(5000);
    expect(submitEverywhere(fixture, command)).toEqual(codeFromEach(200));
    expect(submitEverywhere(fixture, other)).toEqual(codeFromEach(412));

    for (let at = 0, base = 7; at < 300; at += 1, base += 3)
      expect(
        fixture.submitUntilFinal(
          patchConfig(base, base + 3, { name: `r${at % 9}`, svc: "one" }),
          at,
        ),
      ).toBe(200);
    expect(submitEverywhere(fixture, command)).toEqual(codeFromEach(200));
    expect(submitEverywhere(fixture, other)).toEqual(codeFromEach(412));
  });

  test("a change older than the retained change ids gets no final response: it is neither refused nor applied again", () => {
    const fixture = startFixture();
    const command = putConfig(3, 7, "old");
    expect(fixture.submitUntilFinal(command)).toBe(200);
    const first = 3;
    for (let sequence = first; sequence < first + 2100; sequence += 1) {
      const replicationNode = fixture.leader.daemon?.replicationNode;
      if (!replicationNode) throw new Error("There is no leader.");
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
    expect(submitEverywhere(fixture, command)).toEqual(codeFromEach(504));
    expect(fixture.newestVersion(fixture.machineAt(1))).toBe(newest);
    expect(submitEverywhere(fixture, putConfig(3, first + 2099 + 100, "late"))).toEqual(
      codeFromEach(412),
    );
  });
});

describe("concurrent configuration changes", () => {
  test("of eight concurrent changes on one base version exactly one is applied, and no invalid one", () => {
    const fixture = startFixture();
    let base = 3;
    for (let round = 0; round < 20; round += 1) {
      const requests = submitEightChanges(fixture, base, round);
      fixture.wait(1000);
      const codes = requests.map(({ code }) => code);
      expect(codes.slice(0, 3).sort()).toEqual([200, 412, 412]);
      for (const code of codes.slice(3)) expect([400, 412]).toContain(code);
      base = Number(fixture.newestVersion(fixture.machineAt(round % machines.length))?.slice(1));
    }
  });
});

describe("transient failures of the cluster", () => {
  for (const [name, begin] of failures)
    test(`no valid change and no read gets a final refusal: ${name}`, () => {
      for (let delayMs = 0; delayMs < 12; delayMs += 3) {
        const fixture = startFixture();
        expect(
          fixture.submitUntilFinal(patchConfig(3, 9, { name: "n", svc: "new", addsService: true })),
        ).toBe(200);
        const command = patchConfig(9, 11, { name: "m", svc: "new" });
        const requests = fixture.machines.map((machine) => fixture.submit(machine, command));
        const reads: RecordedRequest[] = [];
        fixture.wait(delayMs);
        begin(fixture);
        for (let at = 0; at < 50; at += 1) {
          const machine: FixtureMachine = fixture.machineAt(at % machines.length);
          requests.push(fixture.submit(machine, command));
          reads.push(fixture.sendRequest(machine, "GET", "config/get"));
          fixture.wait(100);
        }
        fixture.wait(5000);
        for (const request of [...requests, ...reads])
          if (request.code !== undefined && request.code !== 200)
            expect(request.code, request.body).toBeGreaterThanOrEqual(500);
        for (const read of reads.filter(({ code }) => code === 200))
          expect(read.body).toContain('"n"');
        expect(fixture.submitUntilFinal(command)).toBe(200);
      }
    });
});

describe("reads of the configuration", () => {
  test("before the first configuration is applied, a read gets 503 and no final refusal", () => {
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

  test("a large configuration is read in time through a daemon with a slow link", () => {
    const fixture = startFixture();
    const routes = Array.from({ length: 2500 }, (_, at) => routeTo(`route-${at}`, "one"));
    const { base, body } = putConfig(3, 5);
    const items = routes.map((route) => JSON.stringify(route)).join(",");
    const largeBody = body.replace('"objs":[', `"objs":[${items},`);
    expect(fixture.submitUntilFinal({ target: "config/put", base, body: largeBody })).toBe(200);
    fixture.wait(3000);
    // 3 Mbit/s: the uncompressed text would take longer than the timeout of a response.
    fixture.network.bytesPerMs = 375;
    expect(largeBody.length / fixture.network.bytesPerMs).toBeGreaterThan(800);
    expect(fixture.machines.map((machine) => fixture.newestVersion(machine))).toEqual(
      fixture.machines.map(() => "r5"),
    );
  });
});
