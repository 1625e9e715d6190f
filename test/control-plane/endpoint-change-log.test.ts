import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { EndpointChangeLog } from "../../src/control-plane/endpoint-change-log.js";
import { EndpointReplica } from "../../src/cluster-view/endpoint-replica.js";
import { readLeasedView } from "../../src/control-protocol/watch-request.js";
import type { LeasedView } from "../../src/control-protocol/leased-view.js";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";
import type { Registration } from "../../src/state/registration.js";
import { rpcMethods } from "../../src/rpc/rpc-method.js";
import { service, createTestCluster } from "./control-plane-stage.js";

const readView = (changes: EndpointChangeLog, known: number): LeasedView => {
  const view = readLeasedView(
    `{"granted":true,"grantMs":1,"configSequence":0,"grantNumber":"","capacities":[],${[
      `"directorySequence":${changes.sequence}`,
      `"directoryDigest":"${changes.digest}"`,
      ...(known === changes.sequence ? [] : [changes.viewPart(known)]),
    ].join(",")}}`,
  );
  if (!view.granted) throw new Error("The response is no view.");
  return view;
};

const sortByAddress = (registrations: Iterable<Registration>): Registration[] =>
  [...registrations].sort((a, b) => (a.address < b.address ? -1 : 1));

const addressArbitrary = fc.integer({ min: 1, max: 6 }).map((at) => `10.0.0.${at}:80`);
const instanceArbitrary = fc.constantFrom("", "a", "b", "c", "d");
const backendArbitrary = fc.record({
  address: addressArbitrary,
  service: fc.constantFrom("one", "two"),
  instance: instanceArbitrary,
  capacity: fc.integer({ min: 0, max: 3 }),
});
const commandArbitrary: fc.Arbitrary<LogCommand> = fc.oneof(
  backendArbitrary.map((one): LogCommand => ({ kind: "contract", zone: "z", warmth: 1, ...one })),
  backendArbitrary.map(({ address: at, service: of, instance: life }): LogCommand => ({
    kind: "leave",
    address: at,
    service: of,
    drained: false,
    ...(life === "" ? {} : { instance: life }),
  })),
  fc
    .record({ address: addressArbitrary, number: fc.integer({ min: 1, max: 40 }) })
    .map((one): LogCommand => ({ kind: "purge", ...one })),
  fc
    .record({ address: addressArbitrary, number: fc.integer({ min: 1, max: 40 }) })
    .map((one): LogCommand => ({ kind: "end", why: "test", ...one })),
);

describe("EndpointChangeLog", () => {
  test("replicas that apply updates at times equal the state machine's registrations, by digest too", () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(commandArbitrary, fc.nat(7)), { maxLength: 40 }), (steps) => {
        const stateMachine = new StateMachine();
        const changes = new EndpointChangeLog(stateMachine);
        const replicas = [0, 1, 2].map(() => new EndpointReplica());
        for (const [at, [one, polling]] of steps.entries()) {
          stateMachine.apply(at + 1, encodeLogCommand(one));
          for (const [bit, replica] of replicas.entries()) {
            if ((polling >> bit) % 2 === 0) continue;
            expect(replica.apply(readView(changes, replica.knownSequence))).not.toBe("differs");
            expect(sortByAddress(replica.registrations)).toEqual(
              sortByAddress(stateMachine.registrations.values()),
            );
            expect(replica.sequence).toBe(stateMachine.endpointSequence);
          }
        }
      }),
      { numRuns: 300 },
    );
  });

  test("a replica whose digest differs is detected, requests all registrations and recovers by them", () => {
    const stateMachine = new StateMachine();
    const changes = new EndpointChangeLog(stateMachine);
    const heartbeat = (index: number, at: string, capacity: number): void => {
      const one: LogCommand = {
        kind: "contract",
        address: at,
        service,
        zone: "z",
        warmth: 1,
        capacity,
      };
      stateMachine.apply(index, encodeLogCommand(one));
    };
    for (let index = 1; index <= 8; index += 1) heartbeat(index, `10.0.0.${index}:80`, 1);
    const replica = new EndpointReplica();
    replica.apply(readView(changes, -1));
    heartbeat(9, "10.0.0.2:80", 4);
    const view = readView(changes, replica.knownSequence);
    const put = view.directoryChanges?.put ?? [];
    expect(put).toHaveLength(1);
    const bent = {
      ...view,
      directoryChanges: { base: 8, put: put.map((one) => ({ ...one, capacity: 3 })), removed: [] },
    };
    expect(replica.apply(bent)).toBe("differs");
    expect(replica.knownSequence).toBe(-1);
    expect(replica.apply(readView(changes, replica.knownSequence))).toBe("changed");
    expect(sortByAddress(replica.registrations)).toEqual(
      sortByAddress(stateMachine.registrations.values()),
    );
    expect(replica.knownSequence).toBe(9);
    heartbeat(10, "10.0.0.2:80", 5);
    const skipped = readView(changes, replica.knownSequence);
    heartbeat(11, "10.0.0.3:80", 5);
    expect(replica.apply(readView(changes, 10))).toBe("differs");
    expect(replica.apply(skipped)).toBe("changed");
  });

  test("a watch request with the sequence before gets only the changes, a few hundred bytes, from a new leader too", () => {
    const { simulation, heartbeat, exchange, watch, watchRequestText, leader, wait, registration } =
      createTestCluster({
        maxWatchWaitMs: 50,
      });
    for (let at = 0; at < 8; at += 1) heartbeat(`life-${at}`, { address: `10.9.1.${at}:80` });
    const known = watch();
    heartbeat("late", { address: "10.9.2.1:80" });
    const { directorySequence, configSequence } = known;
    const bytesOf = (sequence: number): number => {
      const text = exchange(
        rpcMethods.watch,
        watchRequestText({ directorySequence: sequence, configSequence }),
        600,
      )[0]?.text;
      expect(text).toContain('"granted":true');
      return text?.length ?? 0;
    };
    const unchangedBytes = bytesOf(watch().directorySequence);
    expect(bytesOf(directorySequence) - unchangedBytes).toBeLessThan(400);
    expect(watch({ directorySequence }).directoryChanges?.put).toHaveLength(1);

    simulation.kill(leader());
    wait(2500);
    const later = watch({ directorySequence, configSequence });
    expect(later.directory).toBeUndefined();
    expect(later.directoryChanges?.put.map(({ instance: life }) => life)).toContain("late");
    expect(registration("10.9.1.7:80")).toMatchObject({ instanceArbitrary: "life-7" });
  });
});
