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

/** A state machine with an active configuration, and the views that a leader builds from it. */
class TestLeader {
  readonly stateMachine = new StateMachine();
  private value: unknown = EMPTY_CONFIG;
  private parsed = { text: "", value: parseConfig(JSON.stringify(EMPTY_CONFIG)) };
  readonly changes = new ConfigChangeLog(this.stateMachine, () => this.parsed.value);
  private index = 0;

  get config(): Config {
    return this.parsed.value;
  }

  /** Activates a configuration, if it is valid. */
  activate(value: unknown): void {
    const checked = checkConfig(value);
    if ("faults" in checked) return;
    this.value = value;
    this.index += 1;
    const text = JSON.stringify(checked.config);
    this.parsed = { text, value: checked.config };
    const command: LogCommand = {
      kind: "config",
      expected: this.stateMachine.activeConfig?.sequence ?? 0,
      changeId: `change-${this.index}`,
      acceptedAt: "now",
      text,
      services: Object.keys(checked.config.services),
      routes: Object.keys(checked.config.routes),
      rested: [...this.stateMachine.idAllocator.quarantinedIds],
    };
    this.stateMachine.apply(this.index, encodeLogCommand(command));
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

  viewSince(knownSequence: number): LeasedView {
    const sequence = this.stateMachine.activeConfig?.sequence ?? 0;
    const part = knownSequence === sequence ? "" : `,${this.changes.viewPart(knownSequence)}`;
    const view = readLeasedView(
      `{"granted":true,"grantMs":1,"configSequence":${sequence},"directorySequence":0,"grantNumber":"","capacities":[]${part}}`,
    );
    if (!view.granted) throw new Error(`the watch request was refused: ${view.why}`);
    return view;
  }
}

const toComparable = (config: Config): unknown => {
  const edgeConfig = ConfigItems.configWithoutOrigins(config);
  const value: unknown = JSON.parse(
    JSON.stringify({ ...edgeConfig, goals: edgeConfig.goals ?? {} }),
  );
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
  service: nameArbitrary,
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
  test("replicas that apply updates at random times match the active configuration and its digest", () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(stepArbitrary, fc.nat(7)), { maxLength: 30 }), (steps) => {
        const leader = new TestLeader();
        leader.activate({ services: { a: {}, b: {}, 7: {} }, routes: {}, goals: {} });
        const replicas = [0, 1, 2].map(() => new ConfigReplica());
        for (const [change, pollingMask] of steps) {
          change(leader);
          for (const [replicaIndex, replica] of replicas.entries()) {
            if ((pollingMask >> replicaIndex) % 2 === 0) continue;
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

  const createLargeConfig = (routes: number): unknown => ({
    services: Object.fromEntries(["one", "two", "three"].map((name) => [name, { inHand: 20 }])),
    routes: Object.fromEntries(
      Array.from({ length: routes }, (_, index) => [
        `route-${index}`,
        {
          match: { methods: ["GET"], path: `/things/${index}/*`, host: "api.example" },
          service: ["one", "two", "three"][index % 3],
          kind: "safe",
          origin: {
            meta: { name: `route-${index}`, owner: "somebody" },
            spec: { deadline: "900ms" },
          },
        },
      ]),
    ),
    goals: {},
  });

  test("an update of one of 1,400 routes takes a few hundred bytes, and unchanged items remain the same objects", () => {
    const leader = new TestLeader();
    leader.activate(createLargeConfig(1400));
    const replica = new ConfigReplica();
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    const previousTable = new RouteTable(replica.config);
    const unchangedRoute = replica.config.routes["route-8"];
    leader.patch({ routes: { "route-7": { service: "two" } } });
    leader.patch({
      routes: { late: { match: { path: "/late" }, service: "one" }, "route-9": null },
    });
    const view = leader.viewSince(replica.knownSequence);
    expect(JSON.stringify(view).length).toBeLessThan(700);
    expect(replica.apply(view)).toBe("changed");
    expectEqualConfig(replica, leader);
    expect(replica.config.routes["route-8"]).toBe(unchangedRoute);
    const routeTable = new RouteTable(replica.config, previousTable);
    expect(routeTable.findByName("route-8")).toBe(previousTable.findByName("route-8"));
    expect(routeTable.findByName("route-7")?.service).toBe("two");
    expect(routeTable.find("GET", "/late")?.name).toBe("late");
    expect(routeTable.find("GET", "/things/9/x", "api.example")).toBeUndefined();
  });

  test("a replica whose digest differs keeps its sequence, requests the complete configuration and recovers with it", () => {
    const leader = new TestLeader();
    leader.activate(createLargeConfig(20));
    const replica = new ConfigReplica();
    replica.apply(leader.viewSince(replica.knownSequence));
    leader.patch({ routes: { "route-7": { service: "two" } } });
    const view = leader.viewSince(replica.knownSequence);
    expect(view.configChanges).toBeDefined();
    expect(replica.apply({ ...view, configDigest: "0-0" })).toBe("differs");
    expect([replica.sequence, replica.knownSequence]).toEqual([1, 0]);
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    expectEqualConfig(replica, leader);
    leader.patch({ routes: { "route-8": { service: "two" } } });
    const missedView = leader.viewSince(replica.knownSequence);
    leader.patch({ routes: { "route-9": { service: "two" } } });
    expect(replica.apply(leader.viewSince(3))).toBe("differs");
    expect(replica.apply(missedView)).toBe("changed");
  });

  test("an update based on an older configuration than the replica's is outdated and triggers no request", () => {
    const leader = new TestLeader();
    leader.activate(createLargeConfig(20));
    const replica = new ConfigReplica();
    replica.apply(leader.viewSince(replica.knownSequence));
    const previousSequence = replica.knownSequence;
    leader.patch({ routes: { "route-7": { service: "two" } } });
    expect(replica.apply(leader.viewSince(previousSequence))).toBe("changed");
    leader.patch({ routes: { "route-8": { service: "two" } } });
    expect(replica.apply(leader.viewSince(previousSequence))).toBe("outdated");
    expect([replica.sequence, replica.knownSequence]).toEqual([2, 2]);
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    expectEqualConfig(replica, leader);
  });

  test("reordered routes are sent as a complete configuration, since the first of several matches is used", () => {
    const leader = new TestLeader();
    const overlappingRoute = { match: { path: "/x" }, service: "one" };
    leader.activate({
      services: { one: {} },
      routes: {
        a: overlappingRoute,
        b: overlappingRoute,
        c: overlappingRoute,
        d: overlappingRoute,
      },
    });
    const replica = new ConfigReplica();
    replica.apply(leader.viewSince(replica.knownSequence));
    leader.activate({
      services: { one: {} },
      routes: {
        b: overlappingRoute,
        a: overlappingRoute,
        c: overlappingRoute,
        d: overlappingRoute,
      },
    });
    expect(leader.viewSince(replica.knownSequence).config).toBeDefined();
    expect(replica.apply(leader.viewSince(replica.knownSequence))).toBe("changed");
    expect(new RouteTable(replica.config).find("GET", "/x")?.name).toBe("b");
  });

  test("edges apply a series of patches item by item, also across a leader change", () => {
    const { simulation, exchange, watch, watchRequestText, leader, wait, daemons } =
      createTestCluster({
        maxWatchWaitMs: 50,
      });
    const [edge] = daemons(1);
    const send = (method: string, target: string, body: unknown): void => {
      edge?.daemon?.adminRequests.emit({
        clientRequest: { method, target, headers: {}, body: Buffer.from(JSON.stringify(body)) },
        respond: () => undefined,
      });
      wait(300);
    };
    const config = createLargeConfig(300);
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
    const knownView = watch({ directorySequence, configSequence });
    simulation.kill(leader());
    wait(3000);
    for (let index = 0; index < 4; index += 1)
      send("PATCH", "/config", { routes: { [`route-${index}`]: { service: "three" } } });
    const updatedView = watch({ directorySequence: knownView.directorySequence, configSequence });
    expect(updatedView.configSequence).toBe(knownView.configSequence + 4);
    for (const machine of simulation.machines) {
      if (!machine.daemon) continue;
      expect(machine.daemon.servingState).toEqual({
        configSequence: updatedView.configSequence,
        isGranted: true,
      });
    }
  });
});
