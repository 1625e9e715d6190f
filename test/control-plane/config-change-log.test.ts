import fc from "fast-check";
import { expect, test } from "vitest";
import { applyItemChanges, Config, mergePatch } from "../../src/configuration/config.js";
import { ConfigChangeLog } from "../../src/control-plane/config-change-log.js";
import { ConfigReplica } from "../../src/cluster-view/config-replica.js";
import { ConfigItems } from "../../src/configuration/config-items.js";
import { RouteTable } from "../../src/cluster-view/route-table.js";
import { WatchRequest } from "../../src/control-protocol/watch-request.js";
import type { LeasedView } from "../../src/control-protocol/leased-view.js";
import { RpcMethod } from "../../src/rpc/rpc-method.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { LogCommand } from "../../src/state/log-command.js";
import { stage } from "./control-plane-stage.js";

/** A state machine with configurations in force, and the views that a leader makes of them. */
class Leader {
  readonly stateMachine = new StateMachine();
  private value: unknown = Config.empty;
  private parsed = { text: "", value: Config.parse(JSON.stringify(Config.empty)) };
  readonly changes = new ConfigChangeLog(this.stateMachine, () => this.parsed.value);
  private index = 0;

  get config(): Config {
    return this.parsed.value;
  }

  /** Puts a configuration in force, if it has no fault. */
  enter(value: unknown): void {
    const checked = Config.check(value);
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
      rested: [...this.stateMachine.idAllocator.resting],
    };
    this.stateMachine.apply(this.index, LogCommand.text(one));
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
    const view = WatchRequest.readReturn(
      `{"granted":true,"grantMs":1,"configSequence":${sequence},"directorySequence":0,"grantNumber":"","capacities":[]${part}}`,
    );
    if (!view.granted) throw new Error("The view grants nothing.");
    return view;
  }
}

const plain = (config: Config): unknown => {
  const kept = ConfigItems.wholeForEdges(config);
  const value: unknown = JSON.parse(JSON.stringify({ ...kept, goals: kept.goals ?? {} }));
  return value;
};

const expectSame = (copy: ConfigReplica, leader: Leader): void => {
  expect(plain(copy.config)).toEqual(plain(leader.config));
  expect(Object.keys(copy.config.routes)).toEqual(Object.keys(leader.config.routes));
  expect(Object.fromEntries(copy.numbers)).toEqual(
    Object.fromEntries(leader.stateMachine.idAllocator.inForce),
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

test("copies that follow by items, now and then, are what is in force, by digest too", () => {
  fc.assert(
    fc.property(fc.array(fc.tuple(step, fc.nat(7)), { maxLength: 30 }), (steps) => {
      const leader = new Leader();
      leader.enter({ services: { a: {}, b: {}, 7: {} }, routes: {}, goals: {} });
      const copies = [0, 1, 2].map(() => new ConfigReplica());
      for (const [change, polling] of steps) {
        change(leader);
        for (const [bit, copy] of copies.entries()) {
          if ((polling >> bit) % 2 === 0) continue;
          if (copy.take(leader.view(copy.knownSequence)) === "differs")
            expect(copy.take(leader.view(copy.knownSequence))).toBe("changed");
          expectSame(copy, leader);
          expect(copy.sequence).toBe(leader.stateMachine.activeConfig?.sequence);
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

test("one changed route of 1,400 travels in some hundred bytes, and what didn't change stays the same objects", () => {
  const leader = new Leader();
  leader.enter(large(1400));
  const copy = new ConfigReplica();
  expect(copy.take(leader.view(copy.knownSequence))).toBe("changed");
  const former = new RouteTable(copy.config);
  const untouched = copy.config.routes["route-8"];
  leader.patch({ routes: { "route-7": { service: "two" } } });
  leader.patch({ routes: { late: { match: { path: "/late" }, service: "one" }, "route-9": null } });
  const view = leader.view(copy.knownSequence);
  expect(JSON.stringify(view).length).toBeLessThan(700);
  expect(copy.take(view)).toBe("changed");
  expectSame(copy, leader);
  expect(copy.config.routes["route-8"]).toBe(untouched);
  const routeTable = new RouteTable(copy.config, former);
  expect(routeTable.named("route-8")).toBe(former.named("route-8"));
  expect(routeTable.named("route-7")?.service).toBe("two");
  expect(routeTable.find("GET", "/late")?.name).toBe("late");
  expect(routeTable.find("GET", "/things/9/x", "api.example")).toBeUndefined();
});

test("a copy that differs grants nothing, keeps its sequence and asks for the whole, which mends it", () => {
  const leader = new Leader();
  leader.enter(large(20));
  const copy = new ConfigReplica();
  copy.take(leader.view(copy.knownSequence));
  leader.patch({ routes: { "route-7": { service: "two" } } });
  const view = leader.view(copy.knownSequence);
  expect(view.configChanges).toBeDefined();
  expect(copy.take({ ...view, configDigest: "0-0" })).toBe("differs");
  expect([copy.sequence, copy.knownSequence]).toEqual([1, 0]);
  expect(copy.take(leader.view(copy.knownSequence))).toBe("changed");
  expectSame(copy, leader);
  leader.patch({ routes: { "route-8": { service: "two" } } });
  const missed = leader.view(copy.knownSequence);
  leader.patch({ routes: { "route-9": { service: "two" } } });
  expect(copy.take(leader.view(3))).toBe("differs");
  expect(copy.take(missed)).toBe("changed");
});

test("changes since a state that the copy has left behind grant nothing, and don't have the whole asked for", () => {
  const leader = new Leader();
  leader.enter(large(20));
  const copy = new ConfigReplica();
  copy.take(leader.view(copy.knownSequence));
  const former = copy.knownSequence;
  leader.patch({ routes: { "route-7": { service: "two" } } });
  expect(copy.take(leader.view(former))).toBe("changed");
  leader.patch({ routes: { "route-8": { service: "two" } } });
  expect(copy.take(leader.view(former))).toBe("outdated");
  expect([copy.sequence, copy.knownSequence]).toEqual([2, 2]);
  expect(copy.take(leader.view(copy.knownSequence))).toBe("changed");
  expectSame(copy, leader);
});

test("routes in another order travel whole, since the first of two alike wins", () => {
  const leader = new Leader();
  const alike = { match: { path: "/x" }, service: "one" };
  leader.enter({ services: { one: {} }, routes: { a: alike, b: alike, c: alike, d: alike } });
  const copy = new ConfigReplica();
  copy.take(leader.view(copy.knownSequence));
  leader.enter({ services: { one: {} }, routes: { b: alike, a: alike, c: alike, d: alike } });
  expect(leader.view(copy.knownSequence).config).toBeDefined();
  expect(copy.take(leader.view(copy.knownSequence))).toBe("changed");
  expect(new RouteTable(copy.config).find("GET", "/x")?.name).toBe("b");
});

test("edges of a fleet follow a storm of patches by items, also over a change of leader", () => {
  const {
    simulation,
    exchange,
    poll: watchRequest,
    pollText,
    leader,
    wait,
    daemons,
  } = stage({ holdMs: 50 });
  const [one] = daemons(1);
  const send = (method: string, target: string, body: unknown): void => {
    one?.daemon?.operators.emit({
      clientRequest: { method, target, headers: {}, body: Buffer.from(JSON.stringify(body)) },
      give: () => undefined,
    });
    wait(300);
  };
  const config = large(300);
  send("PUT", "/config", config);
  const { directorySequence, configSequence } = watchRequest();
  expect(configSequence).toBeGreaterThan(0);
  send("PATCH", "/config", { routes: { "route-3": { service: "three" } } });
  const text =
    exchange(RpcMethod.poll, pollText({ directorySequence, configSequence }))[0]?.text ?? "";
  expect(text).toContain('"configChanges"');
  expect(text).toContain('"route-3"');
  expect(text).not.toContain('"route-4"');
  const known = watchRequest({ directorySequence, configSequence });
  simulation.kill(leader());
  wait(3000);
  for (let at = 0; at < 4; at += 1)
    send("PATCH", "/config", { routes: { [`route-${at}`]: { service: "three" } } });
  const after = watchRequest({ directorySequence: known.directorySequence, configSequence });
  expect(after.configSequence).toBe(known.configSequence + 4);
  for (const machine of simulation.machines) {
    if (!machine.daemon) continue;
    expect(machine.daemon.standing).toEqual({
      configSequence: after.configSequence,
      isGranted: true,
    });
  }
});
