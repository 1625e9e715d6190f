import { callersPlace } from "../simulation.js";
import { bad, cutting, isolate, sided, waysBetween } from "./partitions.js";
import { alive, disks, leaders, pick, placeOf, rest, smalls, working } from "./targets.js";
import type { Fault } from "./fault.js";

/** Failures of the network, each of which ends by itself. */
export const networkFaults: Record<string, Fault> = {
  *cutOffLeader(simulation) {
    yield* isolate(simulation, leaders(simulation), false);
  },
  *cutOffLeaderOneWay(simulation) {
    yield* isolate(simulation, leaders(simulation), true);
  },
  *cutOffMachine(simulation) {
    const one = pick(simulation, alive(simulation));
    if (one) yield* isolate(simulation, [one], simulation.random() < 0.4);
  },
  *cutLeaderFromCore(simulation) {
    const [leader] = leaders(simulation);
    if (!leader) return;
    simulation.start(
      cutting(
        simulation,
        waysBetween([placeOf(leader)], disks(simulation).map(placeOf)),
        4000,
        6000,
      ),
    );
    yield* rest(simulation, 700, 1200);
    simulation.start(simulation.day.putConfig());
    yield* rest(simulation, 3300, 5300);
  },
  *splitCore(simulation) {
    const core = disks(simulation).map(placeOf);
    yield* cutting(simulation, waysBetween(core, core, true), 500, 6000);
  },
  *loseZone(simulation) {
    const zone = pick(simulation, simulation.profile.zones);
    yield* isolate(
      simulation,
      simulation.machines.filter(({ settings }) => settings.zone === zone),
      false,
    );
  },
  *cutFromBackEnds(simulation) {
    const some = smalls(simulation).slice(0, 1 + Math.floor(simulation.random() * 4));
    const most = simulation.random() < 0.3 ? 1 : simulation.random();
    const addresses = simulation.standIns
      .filter(() => simulation.random() < most)
      .map(({ address }) => address);
    yield* cutting(
      simulation,
      sided(simulation, waysBetween(some.map(placeOf), addresses)),
      300,
      5000,
    );
  },
  *cutFromCallers(simulation) {
    const some = smalls(simulation).filter(() => simulation.random() < 0.3);
    yield* cutting(
      simulation,
      sided(simulation, waysBetween(some.map(placeOf), [callersPlace])),
      300,
      5000,
    );
  },
  *cutBackEndsOff(simulation) {
    const some = working(simulation).filter(() => simulation.random() < 0.3);
    yield* cutting(
      simulation,
      sided(
        simulation,
        waysBetween(
          simulation.machines.map(placeOf),
          some.map(({ address }) => address),
        ),
      ),
      500,
      6000,
    );
  },
  *slowNetwork(simulation) {
    yield* bad(simulation, { slowMs: 10 + simulation.random() * 120 });
  },
  *slowConnects(simulation) {
    yield* bad(simulation, { slowConnectMs: 300 + simulation.random() * 1500 });
  },
  *lossySeconds(simulation) {
    yield* bad(simulation, { lossPart: 0.02 + simulation.random() * 0.25 });
  },
};
