import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { applyItemChanges, mergePatch } from "../../src/configuration/config-changes.js";
import { type Config, EMPTY_CONFIG } from "../../src/configuration/config.js";
import { checkConfig, parseConfig } from "../../src/configuration/config-validation.js";
import { ConfigChangeLog } from "../../src/control-plane/config-change-log.js";
import { ConfigReplica } from "../../src/cluster-view/config-replica.js";
import { ConfigItems } from "../../src/configuration/config-items.js";
import { RouteTable } from "../../src/cluster-view/route-table.js";
import { readLeasedView } from "../../src/control-protocol/watch-request.js";
import type { LeasedView } from "../../src/control-protocol/leased-view.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import { createTestCluster } from "./control-plane-stage.js";

/** A state machine with configurations in force, and the views that a leader makes of them. */
class Leader {
  readonly stateMachine = new StateMachine();
  private value: unknown = EMPTY_CONFIG;
  private parsed = { text: "", value: parseConfig(JSON.stringify(EMPTY_CONFIG)) };
  readonly changes = new ConfigChangeLog(this.stateMachine, () => this.parsed.value);
  private index = 0;

  get config(): Config {
    return this.parsed.value;
  }

  /** Puts a configuration in force, if it has no fault. */
  enter(value: unknown): void {
    const checked = checkConfig(value);
    if ("faults" in checked) return;
    this.value = value;
    this.index += 1;
    const text = JSON.stringify(checked.config);
    this.parsed = { text, value: checked.config };
    const one: LogCommand = {
      kind: "config",
      expected: this.stateMachine.activeConfig?.sequence ?? 0,
      changeId: `change-${this.index}`,
      acceptedAt: "now",
      text,
      services: Object.keys(checked.config.services),
      routes: Object.keys(checked.config.routes),
      rested: [...this.stateMachine.idAllocator.quarantinedIds],
    };
    this.stateMachine.apply(this.index, encodeLogCommand(one));
  }

  patch(value: unknown): void {
    this.enter(mergePatch(this.value, value));
  }

  amend(
    put: Parameters<typeof applyItemChanges>[1],
    remove: Partial<Parameters<typeof applyItemChanges>[2]>,
  ): void {
    this.enter(
      applyItemChanges(this.value, put, { services: [], routes: [], goals: [], ...remove }),
    );
  }

  view(known: number): LeasedView {
    const sequence = this.stateMachine.activeConfig?.sequence ?? 0;
    const part = known === sequence ? "" : `,${this.changes.viewPart(known)}`;
    const view = readLeasedView(
      `{"granted":true,"grantMs":1,"configSequence":${sequence},"directorySequence":0,"grantNumber":"","capacities":[]${part}}`,
    );
    if (!view.granted) throw new Error("The response is no view.");
    return view;
  }
}

const plain = (config: Config): unknown => {
  const kept = ConfigItems.configWithoutOrigins(config);
  const value: unknown = JSON.parse(JSON.stringify({ ...kept, goals: kept.goals ?? {} }));
  return value;
};

const expectSame = (replica: ConfigReplica, leader: Leader): void => {
  expect(plain(replica.config)).toEqual(plain(leader.config));
  expect(Object.keys(replica.config.routes)).toEqual(Object.keys(leader.config.routes));
  expect(Object.fromEntries(replica.numbers)).toEqual(
    Object.fromEntries(leader.stateMachine.idAllocator.activeIds),
  );
};

const names = fc.constantFrom("a", "b", "origin", "7", "42", "constructor");
const service = fc.record(
  { inHand: fc.integer({ min: 1, max: 9 }), origin: fc.constantFrom(1, null, "x") },
  { requiredKeys: [] },
);
const route = fc.record({
  match: fc.record({ path: fc.constantFrom("/x", "/y/*") }),
  service: names,
  origin: fc.integer({ min: 0, max: 9 }),
});
const section = <T>(item: fc.Arbitrary<T>): fc.Arbitrary<Record<string, T>> =>
  fc.dictionary(names, item, { maxKeys: 4 });
const limits = fc.option(fc.record({ bodyBytes: fc.nat(9) }), { nil: undefined });
const step = fc.oneof(
  fc
    .record({ services: section(service), routes: section(route), limits })
    .map((value) => (leader: Leader) => leader.enter(value)),
  section(service).map((services) => (leader: Leader) => leader.amend({ services }, {})),
  section(route).map((routes) => (leader: Leader) => leader.amend({ routes }, {})),
  names.map((name) => (leader: Leader) => leader.amend({}, { routes: [name] })),
  names.map((name) => (leader: Leader) => leader.amend({}, { services: [name] })),
  names.map(
    (name) => (leader: Leader) => leader.amend({ goals: { [name]: { latencyMs: 7 } } }, {}),
  ),
  fc.constant((leader: Leader) => leader.amend({ limits: null }, {})),
  fc.constant((leader: Leader) => leader.amend({ limits: { idleMs: 5 } }, {})),
  fc.constant((leader: Leader) => leader.changes.reset()),
);

describe("ConfigChangeLog", () => {
  test("replicas that apply updates at times equal the active configuration, by digest too", () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(step, fc.nat(7)), { maxLength: 30 }), (steps) => {
        const leader = new Leader();
        leader.enter({ services: { a: {}, b: {}, 7: {} }, routes: {}, goals: {} });
        const replicas = [0, 1, 2].map(() => new ConfigReplica());
        for (const [change, polling] of steps) {
          change(leader);
          for (const [bit, replica] of replicas.entries()) {
            if ((polling >> bit) % 2 === 0) continue;
            if (replica.apply(leader.view(replica.knownSequence)) === "differs")
              expect(replica.apply(leader.view(replica.knownSequence))).toBe("changed");
            expectSame(replica, leader);
            expect(replica.sequence).toBe(leader.stateMachine.activeConfig?.sequence);
          }
        }
      }),
      { numRuns: 400 },
    );
  });

  const large = (routes: number): unknown => ({
    services: Object.fromEntries(["one", "two", "three"].map((name) => [name, { inHand: 20 }])),
    routes: Object.fromEntries(
      Array.from({ length: routes }, (_, at) => [
        `route-${at}`,
        {
          match: { methods: ["GET"], path: `/things/${at}/*`, host: "api.example" },
          service: ["one", "two", "three"][at % 3],
          kind: "safe",
          origin: { meta: { name: `route-${at}`, owner: "somebody" }, spec: { deadline: "900ms" } },
        },
      ]),
    ),
    goals: {},
  });

  test("one changed route of 1,400 takes a few hundred bytes, and unchanged items stay the same objects", () => {
    const leader = new Leader();
    leader.enter(large(1400));
    const replica = new ConfigReplica();
    expect(replica.apply(leader.view(replica.knownSequence))).toBe("changed");
    const former = new RouteTable(replica.config);
    const untouched = replica.config.routes["route-8"];
    leader.patch({ routes: { "route-7": { service: "two" } } });
    leader.patch({
      routes: { late: { match: { path: "/late" }, service: "one" }, "route-9": null },
    });
    const view = leader.view(replica.knownSequence);
    expect(JSON.stringify(view).length).toBeLessThan(700);
    expect(replica.apply(view)).toBe("changed");
    expectSame(replica, leader);
    expect(replica.config.routes["route-8"]).toBe(untouched);
    const routeTable = new RouteTable(replica.config, former);
    expect(routeTable.findByName("route-8")).toBe(former.findByName("route-8"));
    expect(routeTable.findByName("route-7")?.service).toBe("two");
    expect(routeTable.find("GET", "/late")?.name).toBe("late");
    expect(routeTable.find("GET", "/things/9/x", "api.example")).toBeUndefined();
  });

  test("a replica whose digest differs keeps its sequence, requests the complete configuration and recovers by it", () => {
    const leader = new Leader();
    leader.enter(large(20));
    const replica = new ConfigReplica();
    replica.apply(leader.view(replica.knownSequence));
    leader.patch({ routes: { "route-7": { service: "two" } } });
    const view = leader.view(replica.knownSequence);
    expect(view.configChanges).toBeDefined();
    expect(replica.apply({ ...view, configDigest: "0-0" })).toBe("differs");
    expect([replica.sequence, replica.knownSequence]).toEqual([1, 0]);
    expect(replica.apply(leader.view(replica.knownSequence))).toBe("changed");
    expectSame(replica, leader);
    leader.patch({ routes: { "route-8": { service: "two" } } });
    const missed = leader.view(replica.knownSequence);
    leader.patch({ routes: { "route-9": { service: "two" } } });
    expect(replica.apply(leader.view(3))).toBe("differs");
    expect(replica.apply(missed)).toBe("changed");
  });

  test("an update of a configuration older than the replica's is outdated and requests nothing", () => {
    const leader = new Leader();
    leader.enter(large(20));
    const replica = new ConfigReplica();
    replica.apply(leader.view(replica.knownSequence));
    const former = replica.knownSequence;
    leader.patch({ routes: { "route-7": { service: "two" } } });
    expect(replica.apply(leader.view(former))).toBe("changed");
    leader.patch({ routes: { "route-8": { service: "two" } } });
    expect(replica.apply(leader.view(former))).toBe("outdated");
    expect([replica.sequence, replica.knownSequence]).toEqual([2, 2]);
    expect(replica.apply(leader.view(replica.knownSequence))).toBe("changed");
    expectSame(replica, leader);
  });

  test("reordered routes are sent as a complete configuration, since the first of several matches is used", () => {
    const leader = new Leader();
    const alike = { match: { path: "/x" }, service: "one" };
    leader.enter({ services: { one: {} }, routes: { a: alike, b: alike, c: alike, d: alike } });
    const replica = new ConfigReplica();
    replica.apply(leader.view(replica.knownSequence));
    leader.enter({ services: { one: {} }, routes: { b: alike, a: alike, c: alike, d: alike } });
    expect(leader.view(replica.knownSequence).config).toBeDefined();
    expect(replica.apply(leader.view(replica.knownSequence))).toBe("changed");
    expect(new RouteTable(replica.config).find("GET", "/x")?.name).toBe("b");
  });

  test("edges apply a series of patches by items, also across a change of leader", () => {
    const { simulation, exchange, watch, watchRequestText, leader, wait, daemons } =
      createTestCluster({
        maxWatchWaitMs: 50,
      });
    const [one] = daemons(1);
    const send = (method: string, target: string, body: unknown): void => {
      one?.daemon?.adminRequests.emit({
        clientRequest: { method, target, headers: {}, body: Buffer.from(JSON.stringify(body)) },
        respond: () => undefined,
      });
      wait(300);
    };
    const config = large(300);
    send("PUT", "/config", config);
    const { directorySequence, configSequence } = watch();
    expect(configSequence).toBeGreaterThan(0);
    send("PATCH", "/config", { routes: { "route-3": { service: "three" } } });
    const text =
      exchange(rpcMethods.watch, watchRequestText({ directorySequence, configSequence }))[0]
        ?.text ?? "";
    expect(text).toContain('"configChanges"');
    expect(text).toContain('"route-3"');
    expect(text).not.toContain('"route-4"');
    const known = watch({ directorySequence, configSequence });
    simulation.kill(leader());
    wait(3000);
    for (let at = 0; at < 4; at += 1)
      send("PATCH", "/config", { routes: { [`route-${at}`]: { service: "three" } } });
    const after = watch({ directorySequence: known.directorySequence, configSequence });
    expect(after.configSequence).toBe(known.configSequence + 4);
    for (const machine of simulation.machines) {
      if (!machine.daemon) continue;
      expect(machine.daemon.servingState).toEqual({
        configSequence: after.configSequence,
        isGranted: true,
      });
    }
  });
});
