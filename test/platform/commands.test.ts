import { describe, expect, test } from "vitest";
import { LogCommand } from "../../src/state/state-machine.js";
import { configText, type StageMachine } from "../replication/fleet-stage.js";
import {
  itemOrder,
  OrderStage,
  routeTo,
  wholeOrder,
  type Call,
  type OrderBytes,
} from "./command-stage.js";

const machines = ["e:a", "e:b", "d:a", "d:b", "d:c"];

const begun = (): OrderStage => {
  const stage = new OrderStage(machines, [0, 1, 2]);
  stage.bootAll();
  stage.wait(4000);
  expect(stage.untilClear(wholeOrder(0, 3, "first"))).toBe(200);
  return stage;
};

/** Sends an order through every machine at once and tells the answers. */
const everywhere = (stage: OrderStage, command: OrderBytes): Array<number | undefined> => {
  const calls = stage.machines.map((machine) => stage.order(machine, command));
  stage.wait(1000);
  return calls.map(({ code }) => code);
};
const all = (code: number): number[] => machines.map(() => code);

/** Eight orders at a time through changing daemons: three proper ones that race, five that are invalid. */
const eightAt = (stage: OrderStage, base: number, round: number): Call[] => {
  const bad = itemOrder(base, base + 1, { name: "z", svc: "nowhere" });
  const commands = [
    wholeOrder(base, base + 2, `p${round}`),
    wholeOrder(base, base + 2, `q${round}`),
    itemOrder(base, base + 5, { name: `s${round}`, svc: "one" }),
    bad,
    wholeOrder(base, base, "same"),
    { ...wholeOrder(base, base + 2), body: wholeOrder(base, base + 2).body.slice(0, -9) },
    { ...bad, body: bad.body.replace('"tries":2', '"tries":0') },
    { ...bad, body: bad.body.replace('"safe"', '"wild"') },
  ];
  return commands.map((command, at) =>
    stage.order(stage.at((at + round) % machines.length), command),
  );
};

/** What may befall the core while an order is under way. */
const troubles: Array<[name: string, begin: (stage: OrderStage) => void]> = [
  ["the leader is killed", (stage) => stage.kill(stage.leader)],
  [
    "the leader is killed and comes back",
    (stage) => {
      const { leader } = stage;
      stage.kill(leader);
      stage.boot(leader, { bootstrap: false });
    },
  ],
  [
    "the leader loses its disk and comes back",
    (stage) => {
      const { leader } = stage;
      stage.kill(leader, true);
      stage.boot(leader, { bootstrap: false });
    },
  ],
  [
    "all are killed and come back",
    (stage) => {
      for (const machine of stage.machines) stage.kill(machine);
      for (const machine of stage.machines) stage.boot(machine, { bootstrap: false });
    },
  ],
  [
    "the leader is cut off",
    (stage) => {
      const { leader } = stage;
      for (const machine of stage.machines) if (machine !== leader) stage.cut(leader, machine);
    },
  ],
  [
    "the leader's disk is full",
    (stage) => {
      const { disk } = stage.leader;
      if (disk) disk.full = true;
    },
  ],
];

describe("retried configuration change", () => {
  test("the same bytes get the same response through every daemon: during the first commit, after a new leader, after a restart of all, after hundreds of others", () => {
    const stage = begun();
    const command = wholeOrder(3, 7, "kept");
    expect(everywhere(stage, command)).toEqual(all(200));
    const other = wholeOrder(3, 7, "other");
    expect(everywhere(stage, other)).toEqual(all(412));

    const former = stage.leader;
    stage.kill(former);
    stage.until(
      () => stage.disks.some(({ daemon }) => daemon?.replicationNode?.holdsLease === true),
      5000,
    );
    stage.boot(former, { bootstrap: false });
    stage.wait(3000);
    expect(everywhere(stage, command)).toEqual(all(200));
    expect(everywhere(stage, other)).toEqual(all(412));

    for (const machine of stage.machines) stage.kill(machine);
    for (const machine of stage.machines) stage.boot(machine, { bootstrap: false });
    stage.wait(5000);
    expect(everywhere(stage, command)).toEqual(all(200));
    expect(everywhere(stage, other)).toEqual(all(412));

    for (let at = 0, base = 7; at < 300; at += 1, base += 3)
      expect(
        stage.untilClear(itemOrder(base, base + 3, { name: `r${at % 9}`, svc: "one" }), at),
      ).toBe(200);
    expect(everywhere(stage, command)).toEqual(all(200));
    expect(everywhere(stage, other)).toEqual(all(412));
  });

  test("a change older than the retained change ids gets no final response: it is neither refused nor applied again", () => {
    const stage = begun();
    const command = wholeOrder(3, 7, "old");
    expect(stage.untilClear(command)).toBe(200);
    const first = 3;
    for (let sequence = first; sequence < first + 2100; sequence += 1) {
      const replicationNode = stage.leader.daemon?.replicationNode;
      if (!replicationNode) throw new Error("Nobody leads.");
      stage.start(
        replicationNode.propose(
          LogCommand.text({
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
      if (sequence % 50 === 0) stage.wait(100);
    }
    stage.wait(3000);
    const newest = stage.newest(stage.at(0));
    expect(newest).toBe(`r${first + 2099 + 100}`);
    expect(everywhere(stage, command)).toEqual(all(504));
    expect(stage.newest(stage.at(1))).toBe(newest);
    expect(everywhere(stage, wholeOrder(3, first + 2099 + 100, "late"))).toEqual(all(412));
  });
});

describe("concurrent configuration changes", () => {
  test("of eight at once on one base version exactly one is applied, and none that is invalid", () => {
    const stage = begun();
    let base = 3;
    for (let round = 0; round < 20; round += 1) {
      const calls = eightAt(stage, base, round);
      stage.wait(1000);
      const codes = calls.map(({ code }) => code);
      expect(codes.slice(0, 3).sort()).toEqual([200, 412, 412]);
      for (const code of codes.slice(3)) expect([400, 412]).toContain(code);
      base = Number(stage.newest(stage.at(round % machines.length))?.slice(1));
    }
  });
});

describe("transient failures of the cluster", () => {
  for (const [name, begin] of troubles)
    test(`neither a valid change nor a read is refused for good: ${name}`, () => {
      for (let restMs = 0; restMs < 12; restMs += 3) {
        const stage = begun();
        expect(
          stage.untilClear(itemOrder(3, 9, { name: "n", svc: "new", addsService: true })),
        ).toBe(200);
        const command = itemOrder(9, 11, { name: "m", svc: "new" });
        const calls = stage.machines.map((machine) => stage.order(machine, command));
        const reads: Call[] = [];
        stage.wait(restMs);
        begin(stage);
        for (let at = 0; at < 50; at += 1) {
          const machine: StageMachine = stage.at(at % machines.length);
          calls.push(stage.order(machine, command));
          reads.push(stage.call(machine, "GET", "config/get"));
          stage.wait(100);
        }
        stage.wait(5000);
        for (const call of [...calls, ...reads])
          if (call.code !== undefined && call.code !== 200)
            expect(call.code, call.body).toBeGreaterThanOrEqual(500);
        for (const read of reads.filter(({ code }) => code === 200))
          expect(read.body).toContain('"n"');
        expect(stage.untilClear(command)).toBe(200);
      }
    });
});

describe("reads of the configuration", () => {
  test("before the first configuration is applied, a read gets 503, not a final refusal", () => {
    const stage = new OrderStage(machines, [0, 1, 2]);
    stage.bootAll();
    const reads: Call[] = [];
    for (let at = 0; at < 40; at += 1) {
      reads.push(stage.call(stage.at(at % machines.length), "GET", "config/get"));
      stage.wait(100);
    }
    stage.wait(1000);
    for (const read of reads) expect(read.code, read.body).toBe(503);
  });

  test("a large configuration is read in time through a daemon on a thin link", () => {
    const stage = begun();
    const routes = Array.from({ length: 2500 }, (_, at) => routeTo(`route-${at}`, "one"));
    const { base, body } = wholeOrder(3, 5);
    const items = routes.map((route) => JSON.stringify(route)).join(",");
    const whole = body.replace('"objs":[', `"objs":[${items},`);
    expect(stage.untilClear({ target: "config/put", base, body: whole })).toBe(200);
    stage.wait(3000);
    // 3 Mbit/s: the text as it is would take longer than an answer may.
    stage.network.bytesPerMs = 375;
    expect(whole.length / stage.network.bytesPerMs).toBeGreaterThan(800);
    expect(stage.machines.map((machine) => stage.newest(machine))).toEqual(
      stage.machines.map(() => "r5"),
    );
  });
});
