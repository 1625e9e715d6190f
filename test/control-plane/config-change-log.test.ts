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
class TestLeader {
  readonly stateMachine = new StateMachine();
  private value: unknown = EMPTY_CONFIG;
  private parsed = { text: "", value: parseConfig(JSON.stringify(EMPTY_CONFIG)) };
  readonly changes = new ConfigChangeLog(this.stateMachine, () => this.parsed.value);
  private index = 0;

  get config(): Config {
    return this.parsed.value;
  }

  /** Puts a configuration in force, if it has no fault. */
  activate(value: unknown): void {
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
    this.activate(mergePatch(this.value, value));
  }

  amend(
    put: Parameters<typeof applyItemChanges>[1],
    remove: Partial<Parameters<typeof applyItemChanges>[2]>,
  ): void {
    this.activate(
      applyItemChanges(this.value, put, { services: [], routes: [], goals: [], ...remove }),
    );
  }

  viewSince(known: number): LeasedView {
    const sequence = this.stateMachine.activeConfig?.sequence ?? 0;
    const part = known === sequence ? "" : `,${this.changes.viewPart(known)}`;
    const viewSince = readLeasedView(
      `{"granted":true,"grantMs":1,"configSequence":${sequence},"directorySequence":0,"grantNumber":"","capacities":[]${part}}`,
    );
    if (!viewSince.granted) throw new Error("The response is no view.");
    return viewSince;
  }
}

const toComparable = (config: Config): unknown => {
  const kept = ConfigItems.configWithoutOrigins(config);
  const value: unknown = JSON.parse(JSON.stringify({ ...kept, goals: kept.goals ?? {} }));
  return value;
};

const expectEqualConfig = (replica: ConfigReplica, leader: TestLeader): void => {
  expect(toComparable(replica.config)).toEqual(toComparable(leader.config));
  expect(Object.keys(replica.config.routes)).toEqual(Object.keys(leader.config.routes));
  expect(Object.fromEntries(replica.ids)).toEqual(
    Object.fromEntries(leader.stateMachine.idAllocator.activeIds),
  );
};

const nameArbitrary = fc.constantFrom("a", "b", "origin", "7", "42", "constructor");
const serviceArbitrary = fc.record(
  { inHand: fc.integer({ min: 1, max: 9 }), origin: fc.constantFrom(1, null, "x") },
  { requiredKeys: [] },
);
const routeArbitrary = fc.record({
  match: fc.record({ path: fc.constantFrom("/x", "/y/*") }),
  serviceArbitrary: nameArbitrary,
  origin: fc.integer({ min: 0, max: 9 }),
});
const sectionArbitrary = <T>(item: fc.Arbitrary<T>): fc.Arbitrary<Record<string, T>> =>
  fc.dictionary(nameArbitrary, item, { maxKeys: 4 });
const limits = fc.option(fc.record({ bodyBytes: fc.nat(9) }), { nil: undefined });
const stepArbitrary = fc.oneof(
  fc
    .record({
      services: sectionArbitrary(serviceArbitrary),
      routes: sectionArbitrary(routeArbitrary),
      limits,
    })
    .map((value) => (leader: TestLeader) => leader.activate(value)),
  sectionArbitrary(serviceArbitrary).map(
    (services) => (leader: TestLeader) => leader.amend({ services }, {}),
  ),
  sectionArbitrary(routeArbitrary).map(
    (routes) => (leader: TestLeader) => leader.amend({ routes }, {}),
  ),
  nameArbitrary.map((name) => (leader: TestLeader) => leader.amend({}, { routes: [name] })),
  nameArbitrary.map((name) => (leader: TestLeader) => leader.amend({}, { services: [name] })),
  nameArbitrary.map(
    (name) => (leader: TestLeader) => leader.amend({ goals: { [name]: { latencyMs: 7 } } }, {}),
  ),
  fc.constant((leader: TestLeader) => leader.amend({ limits: null }, {})),
  fc.constant((leader: TestLeader) => leader.amend({ limits: { idleMs: 5 } }, {})),
  fc.constant((leader: TestLeader) => leader.changes.reset()),
);

describe("ConfigChangeLog", () => {
  test("replicas that apply updates at times equal the active configuration, by digest too", () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(stepArbitrary, fc.nat(7)), { maxLength: 30 }), (steps) => {
        const leader = new TestLeader();
        leader.activate({ services: { a: {}, b: {}, 7: {} }, routes: {}, goals: {} });
        const replicas = [0, 1, 2].map(() => new ConfigReplica());
        for (const [change, polling] of steps) {
          change(leader);
          for (const [bit, replica] of replicas.entries()) {
            if ((polling >> bit) % 2 === 0) continue;
            if (replica.apply(leader.viewSince(replica.knownSequence)) === "differs")
              expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
            expectEqualConfig(replica, leader);
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
          serviceArbitrary: ["one", "two", "three"][at % 3],
          kind: "safe",
          origin: { meta: { name: `route-${at}`, owner: "somebody" }, spec: { deadline: "900ms" } },
        },
      ]),
    ),
    goals: {},
  });

  test("one changed route of 1,400 takes a few hundred bytes, and unchanged items stay the same objects", () => {
    const leader = new TestLeader();
    leader.activate(large(1400));
    const replica = new ConfigReplica();
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    const former = new RouteTable(replica.config);
    const untouched = replica.config.routes["route-8"];
    leader.patch({ routes: { "route-7": { serviceArbitrary: "two" } } });
    leader.patch({
      routes: { late: { match: { path: "/late" }, serviceArbitrary: "one" }, "route-9": null },
    });
    const view = leader.viewSince(replica.knownSequence);
    expect(JSON.stringify(view).length).toBeLessThan(700);
    expect(replica.apply(view)).toBe("changed");
    expectEqualConfig(replica, leader);
    expect(replica.config.routes["route-8"]).toBe(untouched);
    const routeTable = new RouteTable(replica.config, former);
    expect(routeTable.findByName("route-8")).toBe(former.findByName("route-8"));
    expect(routeTable.findByName("route-7")?.service).toBe("two");
    expect(routeTable.find("GET", "/late")?.name).toBe("late");
    expect(routeTable.find("GET", "/things/9/x", "api.example")).toBeUndefined();
  });

  test("a replica whose digest differs keeps its sequence, requests the complete configuration and recovers by it", () => {
    const leader = new TestLeader();
    leader.activate(large(20));
    const replica = new ConfigReplica();
    replica.apply(leader.viewSince(replica.knownSequence));
    leader.patch({ routes: { "route-7": { serviceArbitrary: "two" } } });
    const view = leader.viewSince(replica.knownSequence);
    expect(view.configChanges).toBeDefined();
    expect(replica.apply({ ...view, configDigest: "0-0" })).toBe("differs");
    expect([replica.sequence, replica.knownSequence]).toEqual([1, 0]);
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    expectEqualConfig(replica, leader);
    leader.patch({ routes: { "route-8": { serviceArbitrary: "two" } } });
    const missed = leader.viewSince(replica.knownSequence);
    leader.patch({ routes: { "route-9": { serviceArbitrary: "two" } } });
    expect(replica.apply(leader.viewSince(3))).toBe("differs");
    expect(replica.apply(missed)).toBe("changed");
  });

  test("an update of a configuration older than the replica's is outdated and requests nothing", () => {
    const leader = new TestLeader();
    leader.activate(large(20));
    const replica = new ConfigReplica();
    replica.apply(leader.viewSince(replica.knownSequence));
    const former = replica.knownSequence;
    leader.patch({ routes: { "route-7": { serviceArbitrary: "two" } } });
    expect(replica.apply(leader.viewSince(former))).toBe("changed");
    leader.patch({ routes: { "route-8": { serviceArbitrary: "two" } } });
    expect(replica.apply(leader.viewSince(former))).toBe("outdated");
    expect([replica.sequence, replica.knownSequence]).toEqual([2, 2]);
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    expectEqualConfig(replica, leader);
  });

  test("reordered routes are sent as a complete configuration, since the first of several matches is used", () => {
    const leader = new TestLeader();
    const alike = { match: { path: "/x" }, serviceArbitrary: "one" };
    leader.activate({ services: { one: {} }, routes: { a: alike, b: alike, c: alike, d: alike } });
    const replica = new ConfigReplica();
    replica.apply(leader.viewSince(replica.knownSequence));
    leader.activate({ services: { one: {} }, routes: { b: alike, a: alike, c: alike, d: alike } });
    expect(leader.viewSince(replica.knownSequence).config).toBeDefined();
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
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
    send("PATCH", "/config", { routes: { "route-3": { serviceArbitrary: "three" } } });
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
      send("PATCH", "/config", { routes: { [`route-${at}`]: { serviceArbitrary: "three" } } });
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
