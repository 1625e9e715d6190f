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

const readView = (changes: EndpointChangeLog, knownSequence: number): LeasedView => {
  const view = readLeasedView(
    `{"granted":true,"grantMs":1,"configSequence":0,"grantNumber":"","capacities":[],${[
      `"directorySequence":${changes.sequence}`,
      `"directoryDigest":"${changes.digest}"`,
      ...(knownSequence === changes.sequence ? [] : [changes.viewPart(knownSequence)]),
    ].join(",")}}`,
  );
  if (!view.granted) throw new Error(`the watch request was refused: ${view.why}`);
  return view;
};

const sortByAddress = (registrations: Iterable<Registration>): Registration[] =>
  [...registrations].sort((a, b) => (a.address < b.address ? -1 : 1));

const addressArbitrary = fc.integer({ min: 1, max: 6 }).map((index) => `10.0.0.${index}:80`);
const instanceArbitrary = fc.constantFrom("", "a", "b", "c", "d");
const backendArbitrary = fc.record({
  address: addressArbitrary,
  service: fc.constantFrom("one", "two"),
  instance: instanceArbitrary,
  capacity: fc.integer({ min: 0, max: 3 }),
});
const commandArbitrary: fc.Arbitrary<LogCommand> = fc.oneof(
  backendArbitrary.map((backend): LogCommand => ({
    kind: "contract",
    zone: "z",
    warmth: 1,
    ...backend,
  })),
  backendArbitrary.map(({ address, service: serviceName, instance }): LogCommand => ({
    kind: "leave",
    address,
    service: serviceName,
    drained: false,
    ...(instance === "" ? {} : { instance }),
  })),
  fc
    .record({ address: addressArbitrary, number: fc.integer({ min: 1, max: 40 }) })
    .map((registration): LogCommand => ({ kind: "purge", ...registration })),
  fc
    .record({ address: addressArbitrary, number: fc.integer({ min: 1, max: 40 }) })
    .map((registration): LogCommand => ({ kind: "end", why: "test", ...registration })),
);

describe("EndpointChangeLog", () => {
  test("replicas that apply updates at random times match the state machine's registrations and their digest", () => {
    fc.assert(
      fc.property(fc.array(fc.tuple(commandArbitrary, fc.nat(7)), { maxLength: 40 }), (steps) => {
        const stateMachine = new StateMachine();
        const changes = new EndpointChangeLog(stateMachine);
        const replicas = [0, 1, 2].map(() => new EndpointReplica());
        for (const [step, [command, pollingMask]] of steps.entries()) {
          stateMachine.apply(step + 1, encodeLogCommand(command));
          for (const [replicaIndex, replica] of replicas.entries()) {
            if ((pollingMask >> replicaIndex) % 2 === 0) continue;
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

  test("a replica whose digest differs is detected, requests all registrations and recovers with them", () => {
    const stateMachine = new StateMachine();
    const changes = new EndpointChangeLog(stateMachine);
    const heartbeat = (index: number, address: string, capacity: number): void => {
      const command: LogCommand = {
        kind: "contract",
        address,
        service,
        zone: "z",
        warmth: 1,
        capacity,
      };
      stateMachine.apply(index, encodeLogCommand(command));
    };
    for (let index = 1; index <= 8; index += 1) heartbeat(index, `10.0.0.${index}:80`, 1);
    const replica = new EndpointReplica();
    replica.apply(readView(changes, -1));
    heartbeat(9, "10.0.0.2:80", 4);
    const view = readView(changes, replica.knownSequence);
    const put = view.directoryChanges?.put ?? [];
    expect(put).toHaveLength(1);
    const corruptedView = {
      ...view,
      directoryChanges: {
        base: 8,
        put: put.map((registration) => ({ ...registration, capacity: 3 })),
        removed: [],
      },
    };
    expect(replica.apply(corruptedView)).toBe("differs");
    expect(replica.knownSequence).toBe(-1);
    expect(replica.apply(readView(changes, replica.knownSequence))).toBe("changed");
    expect(sortByAddress(replica.registrations)).toEqual(
      sortByAddress(stateMachine.registrations.values()),
    );
    expect(replica.knownSequence).toBe(9);
    heartbeat(10, "10.0.0.2:80", 5);
    const skippedView = readView(changes, replica.knownSequence);
    heartbeat(11, "10.0.0.3:80", 5);
    expect(replica.apply(readView(changes, 10))).toBe("differs");
    expect(replica.apply(skippedView)).toBe("changed");
  });

  test("a watch request with the previous sequence gets only the changes, in a few hundred bytes, also from a new leader", () => {
    const { simulation, heartbeat, exchange, watch, watchRequestText, leader, wait, registration } =
      createTestCluster({
        maxWatchWaitMs: 50,
      });
    for (let index = 0; index < 8; index += 1)
      heartbeat(`life-${index}`, { address: `10.9.1.${index}:80` });
    const knownView = watch();
    heartbeat("late", { address: "10.9.2.1:80" });
    const { directorySequence, configSequence } = knownView;
    const measureViewBytes = (sequence: number): number => {
      const text = exchange(
        rpcMethods.watch,
        watchRequestText({ directorySequence: sequence, configSequence }),
        600,
      )[0]?.text;
      expect(text).toContain('"granted":true');
      return text?.length ?? 0;
    };
    const unchangedBytes = measureViewBytes(watch().directorySequence);
    expect(measureViewBytes(directorySequence) - unchangedBytes).toBeLessThan(400);
    expect(watch({ directorySequence }).directoryChanges?.put).toHaveLength(1);

    simulation.kill(leader());
    wait(2500);
    const viewOfNewLeader = watch({ directorySequence, configSequence });
    expect(viewOfNewLeader.directory).toBeUndefined();
    expect(viewOfNewLeader.directoryChanges?.put.map(({ instance }) => instance)).toContain("late");
    expect(registration("10.9.1.7:80")).toMatchObject({ instance: "life-7" });
  });
});
