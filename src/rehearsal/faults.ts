import { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { callersPlace, type SimMachine, type Simulation } from "./simulation.js";
import type { StandIn } from "./standIn.js";

type Fault = (simulation: Simulation) => Task;

const pick = <T>(simulation: Simulation, items: readonly T[]): T | undefined =>
  items[Math.floor(simulation.random() * items.length)];
const rest = (simulation: Simulation, leastMs: number, mostMs: number): Task =>
  Clock.rest(simulation.clock, leastMs + simulation.random() * (mostMs - leastMs));

const alive = (simulation: Simulation): SimMachine[] =>
  simulation.machines.filter(({ gate, isStopping }) => gate.isAlive && !isStopping);
const disks = (simulation: Simulation): SimMachine[] =>
  alive(simulation).filter(({ disk }) => disk);
const smalls = (simulation: Simulation): SimMachine[] =>
  alive(simulation).filter(({ disk }) => !disk);
const working = (simulation: Simulation): StandIn[] =>
  simulation.standIns.filter(({ isUp, isAnnouncing }) => isUp && isAnnouncing);
const leaders = (simulation: Simulation): SimMachine[] =>
  disks(simulation).filter(({ daemon }) => daemon?.recorder?.status.role === "leader");

const reboot = function* (simulation: Simulation, machines: SimMachine[], power = false): Task {
  for (const machine of machines) simulation.kill(machine, power);
  yield* rest(simulation, 300, 4000);
  for (const machine of machines) simulation.boot(machine);
};

type Ways = ReadonlyArray<readonly [from: string, to: string]>;

/** Cuts ways for a while, each of which may be one way only. */
const cutting = function* (
  simulation: Simulation,
  ways: Ways,
  leastMs: number,
  mostMs: number,
): Task {
  for (const [from, to] of ways) simulation.network.cut(from, to);
  yield* rest(simulation, leastMs, mostMs);
  for (const [from, to] of ways) simulation.network.mend(from, to);
};

const placeOf = ({ settings }: SimMachine): string => settings.machine;

/** The ways between places of two kinds; where one way only, only the ways there. */
const waysBetween = (some: readonly string[], others: readonly string[], oneWay = false): Ways =>
  some.flatMap((one) =>
    others
      .filter((other) => other !== one)
      .flatMap((other): Ways =>
        oneWay
          ? [[one, other]]
          : [
              [one, other],
              [other, one],
            ],
      ),
  );

const isolate = function* (simulation: Simulation, machines: SimMachine[], oneWay: boolean): Task {
  const others = simulation.machines.filter((other) => !machines.includes(other));
  yield* cutting(
    simulation,
    waysBetween(machines.map(placeOf), others.map(placeOf), oneWay),
    500,
    7000,
  );
};

/** Some of the ways there, the ways back, or both. */
const sided = (simulation: Simulation, ways: Ways): Ways => {
  const drawn = simulation.random();
  return ways.filter((_, at) => drawn < 0.34 || (drawn < 0.67 ? at % 2 === 0 : at % 2 === 1));
};

const bad = function* (
  simulation: Simulation,
  weather: Partial<Simulation["network"]["weather"]>,
): Task {
  const { network } = simulation;
  network.weather = { ...network.weather, ...weather };
  yield* rest(simulation, 1500, 6000);
  network.weather = { slowMs: 0, slowConnectMs: 0, lossPart: 0 };
};

const allFormed = (simulation: Simulation): boolean => {
  const whole = disks(simulation);
  return (
    whole.length === simulation.profile.diskMachines &&
    whole.every(({ daemon }) => daemon?.recorder?.status.state === "formed")
  );
};

/** A recorder loses its disk and comes back with an empty one; only while all others hold the record. */
const emptyDisk = function* (simulation: Simulation, one: SimMachine): Task {
  simulation.kill(one, true);
  one.disk?.wipe();
  yield* rest(simulation, 300, 3000);
  simulation.boot(one);
  yield* rest(simulation, 6000, 8000);
};

const crashBackEnd = function* (simulation: Simulation): Task<StandIn | undefined> {
  const one = pick(simulation, working(simulation));
  one?.end();
  yield* rest(simulation, 500, 6000);
  return one;
};

const handOver = function* (
  simulation: Simulation,
  one: StandIn,
  services: readonly string[],
): Task {
  yield* rest(simulation, 0, 3000);
  one.replace(pick(simulation, services) ?? one.service);
  simulation.ledger.world.push({
    kind: "reused",
    atMs: simulation.time.nowMs(),
    address: one.address,
    service: one.service,
  });
};

/** The failures of the brief, each of which ends by itself. */
export const faults: Record<string, Fault> = {
  *killEdge(simulation) {
    yield* reboot(simulation, smalls(simulation).slice(0, 1 + Math.floor(simulation.random() * 3)));
  },
  *killManyAtOnce(simulation) {
    yield* reboot(
      simulation,
      alive(simulation).filter(() => simulation.random() < 0.4),
    );
  },
  *killRecorder(simulation) {
    const one = pick(simulation, disks(simulation));
    if (one) yield* reboot(simulation, [one], simulation.random() < 0.5);
  },
  *killLeader(simulation) {
    yield* reboot(simulation, leaders(simulation), simulation.random() < 0.5);
  },
  *allRecordersLosePower(simulation) {
    yield* reboot(simulation, disks(simulation), true);
  },
  *losePowerBeforeSync(simulation) {
    const core = disks(simulation);
    for (const { disk } of core) disk?.stall(1500);
    simulation.start(simulation.day.putConfig());
    yield* rest(simulation, 100, 600);
    yield* reboot(simulation, core, true);
  },
  *loseDisk(simulation) {
    const one = allFormed(simulation) ? pick(simulation, disks(simulation)) : undefined;
    if (one) yield* emptyDisk(simulation, one);
  },
  *fillDisk(simulation) {
    const { disk } = pick(simulation, [...leaders(simulation), ...disks(simulation)]) ?? {};
    if (!disk) return;
    disk.full = true;
    yield* rest(simulation, 1000, 6000);
    disk.full = false;
  },
  *stallDisk(simulation) {
    const one = pick(simulation, [...leaders(simulation), ...disks(simulation)]);
    one?.disk?.stall(500 + simulation.random() * 5000);
    yield* rest(simulation, 3000, 6000);
  },
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
  *loseDiskWhileAnotherLags(simulation) {
    const [leader] = leaders(simulation);
    const voters = leader?.daemon?.recorder?.currentMembers.voters ?? [];
    const [lagging, emptied, more] = disks(simulation).filter(
      (one) => one !== leader && voters.includes(one.settings.peers),
    );
    const whole = disks(simulation).every(
      ({ daemon }) => daemon?.recorder?.status.state === "formed",
    );
    if (!leader || !lagging || !emptied || more || !whole) return;
    const ways = waysBetween([placeOf(lagging)], disks(simulation).map(placeOf));
    for (const [from, to] of ways) simulation.network.cut(from, to);
    yield* simulation.day.putConfig();
    const still =
      disks(simulation).every(({ daemon }) => daemon?.recorder?.status.state === "formed") &&
      emptied.gate.isAlive &&
      leader.gate.isAlive;
    if (still) {
      simulation.kill(emptied, true);
      emptied.disk?.wipe();
      simulation.kill(leader);
    }
    for (const [from, to] of ways) simulation.network.mend(from, to);
    if (!still) return;
    simulation.boot(emptied);
    yield* rest(simulation, 2000, 4000);
    simulation.boot(leader);
    yield* rest(simulation, 4000, 6000);
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
  *freeze(simulation) {
    const one = pick(simulation, [...leaders(simulation), ...alive(simulation)]);
    if (!one) return;
    const { gate } = one;
    gate.freeze();
    yield* rest(simulation, 500, 5000);
    gate.thaw();
  },
  *rollMachines(simulation) {
    for (const machine of alive(simulation).filter(() => simulation.random() < 0.4)) {
      yield* simulation.stop(machine);
      yield* rest(simulation, 100, 500);
      simulation.boot(machine);
      yield* rest(simulation, 800, 1500);
    }
  },
  *crashBackEnd(simulation) {
    const one = yield* crashBackEnd(simulation);
    one?.replace(one.service);
  },
  *loseAnswers(simulation) {
    const some = working(simulation).filter(() => simulation.random() < 0.5);
    for (const one of some) one.behave({ losesPart: 0.5 });
    yield* rest(simulation, 2000, 8000);
    for (const one of some) one.behave({});
  },
  *sendGarbage(simulation) {
    const some = working(simulation).filter(() => simulation.random() < 0.3);
    for (const one of some) one.behave({ garbagePart: 0.4, cutPart: 0.4 });
    yield* rest(simulation, 2000, 6000);
    for (const one of some) one.behave({});
  },
  *slowBackEnds(simulation) {
    const some = working(simulation).filter(() => simulation.random() < 0.3);
    for (const one of some) one.behave({ slowFactor: 30 + simulation.random() * 300 });
    yield* rest(simulation, 2000, 8000);
    for (const one of some) one.behave({});
  },
  *replaceBackEnds(simulation) {
    for (const one of working(simulation).filter(() => simulation.random() < 0.2)) {
      if (yield* simulation.day.leave(one)) yield* rest(simulation, 2600, 3200);
      one.end();
      yield* rest(simulation, 200, 900);
      one.replace(one.service);
    }
  },
  *leaveDuringLeaderChange(simulation) {
    const one = pick(simulation, working(simulation));
    const [leader] = leaders(simulation);
    if (!one || !leader) return;
    simulation.start(reboot(simulation, [leader]));
    yield* simulation.day.leave(one);
    yield* rest(simulation, 4000, 5000);
    one.replace(one.service);
  },
  *reuseAddress(simulation) {
    const one = yield* crashBackEnd(simulation);
    if (!one) return;
    const services = Object.keys(simulation.profile.backEnds).filter(
      (service) => service !== one.service,
    );
    const few = working(simulation).filter(({ service }) => service === one.service).length < 5;
    const service = few ? one.service : (pick(simulation, services) ?? one.service);
    one.replace(service);
    simulation.ledger.world.push({
      kind: "reused",
      atMs: simulation.time.nowMs(),
      address: one.address,
      service,
    });
  },
  *stormConfigs(simulation) {
    for (let count = 0; count < 12; count += 1) {
      simulation.start(simulation.day.putConfig());
      yield* rest(simulation, 5, 250);
    }
  },
  *raceOperators(simulation) {
    for (let count = 0; count < 4; count += 1) {
      for (let racer = 0; racer < 3; racer += 1) simulation.start(simulation.day.putConfig());
      yield* simulation.day.putMalformed();
      yield* rest(simulation, 400, 1200);
    }
  },
  *acceptAsLeaderDies(simulation) {
    simulation.start(simulation.day.putConfig());
    yield* rest(simulation, 0, 12);
    yield* reboot(simulation, leaders(simulation), true);
  },
  *growRoutes(simulation) {
    simulation.day.growRoutes(150);
    yield* simulation.day.putConfig();
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
  *emptyService(simulation) {
    const service = pick(simulation, Object.keys(simulation.profile.backEnds));
    const all = working(simulation).filter((one) => one.service === service);
    const leaves = simulation.random() < 0.5;
    if (leaves) {
      for (const one of all) simulation.start(simulation.day.leave(one));
      yield* rest(simulation, 2600, 3200);
    }
    for (const one of all) one.end();
    yield* rest(simulation, 500, 6000);
    for (const one of all) one.replace(one.service);
  },
  *crashMostBackEnds(simulation) {
    const some = working(simulation).filter(() => simulation.random() < 0.75);
    for (const one of some) one.end();
    yield* rest(simulation, 500, 5000);
    for (const one of some) one.replace(one.service);
  },
  *breakDownService(simulation) {
    const service = pick(simulation, Object.keys(simulation.profile.backEnds));
    const all = working(simulation).filter((one) => one.service === service);
    const manners =
      pick(simulation, [
        { losesPart: 1 },
        { garbagePart: 1 },
        { cutPart: 1 },
        { losesPart: 0.7, garbagePart: 0.5 },
      ]) ?? {};
    for (const one of all) one.behave(manners);
    if (simulation.random() < 0.5) {
      yield* rest(simulation, 300, 2000);
      yield* reboot(simulation, leaders(simulation));
    }
    yield* rest(simulation, 2000, 8000);
    for (const one of all) one.behave({});
  },
  *restartEdgesInBreakdown(simulation) {
    const all = working(simulation);
    for (const one of all) one.behave({ losesPart: 0.6 });
    const some = smalls(simulation).slice(0, 3);
    for (let round = 0; round < 4; round += 1) {
      for (const machine of some) simulation.kill(machine);
      yield* rest(simulation, 50, 400);
      for (const machine of some) simulation.boot(machine);
      yield* rest(simulation, 600, 2500);
    }
    for (const one of all) one.behave({});
  },
  *stopCallersAfterPeak(simulation) {
    simulation.day.crowd = 3;
    yield* rest(simulation, 2000, 3000);
    const all = working(simulation);
    for (const one of all) one.behave({ losesPart: 0.9, slowFactor: 20 });
    yield* rest(simulation, 100, 1500);
    simulation.day.crowd = 0;
    yield* rest(simulation, 3000, 6000);
    for (const one of all) one.behave({});
    simulation.day.crowd = 1;
  },
  *killAll(simulation) {
    yield* reboot(simulation, alive(simulation), simulation.random() < 0.5);
  },
  *loseZoneWithLeader(simulation) {
    const zone = leaders(simulation)[0]?.settings.zone;
    const some = working(simulation).filter((one) => one.zone === zone);
    for (const one of some) one.end();
    yield* reboot(
      simulation,
      alive(simulation).filter(({ settings }) => settings.zone === zone),
      true,
    );
    for (const one of some) one.replace(one.service);
  },
  *jumpWallClocks(simulation) {
    for (const machine of simulation.machines)
      machine.wallJumpMs = (simulation.random() - 0.5) * 2e9;
    yield* simulation.day.putConfig();
    yield* rest(simulation, 500, 2000);
    for (const machine of simulation.machines) machine.wallJumpMs = 0;
  },
  *loseDiskAfterYes(simulation) {
    if (!allFormed(simulation)) return;
    yield* simulation.day.putConfig();
    const one = allFormed(simulation) ? pick(simulation, leaders(simulation)) : undefined;
    if (one) yield* emptyDisk(simulation, one);
  },
  *fillAndStallDisk(simulation) {
    const one = pick(simulation, [...leaders(simulation), ...disks(simulation)]);
    if (!one?.disk) return;
    one.disk.full = true;
    one.disk.stall(500 + simulation.random() * 4000);
    yield* rest(simulation, 1000, 3000);
    simulation.start(isolate(simulation, [one], simulation.random() < 0.5));
    yield* rest(simulation, 1000, 3000);
    one.disk.full = false;
  },
  *killWhileRejoining(simulation) {
    const one = allFormed(simulation) ? pick(simulation, disks(simulation)) : undefined;
    if (!one) return;
    simulation.kill(one, true);
    one.disk?.wipe();
    for (let round = 0; round < 3; round += 1) {
      yield* rest(simulation, 50, 400);
      simulation.boot(one);
      yield* rest(simulation, 20, 500);
      simulation.kill(one, simulation.random() < 0.5);
    }
    simulation.boot(one);
    yield* rest(simulation, 6000, 8000);
  },
  *growRoutesInStorm(simulation) {
    simulation.day.growRoutes(1500);
    for (let count = 0; count < 6; count += 1) {
      simulation.start(simulation.day.putConfig());
      yield* rest(simulation, 50, 300);
    }
    yield* rest(simulation, 1000, 2000);
    simulation.day.growRoutes(-1500);
  },
  *reuseManyAddresses(simulation) {
    const services = Object.keys(simulation.profile.backEnds);
    const some = working(simulation).filter(() => simulation.random() < 0.35);
    if (simulation.random() < 0.5) simulation.start(reboot(simulation, leaders(simulation)));
    else
      simulation.start(
        cutting(
          simulation,
          sided(
            simulation,
            waysBetween(
              smalls(simulation).slice(0, 3).map(placeOf),
              some.map(({ address }) => address),
            ),
          ),
          300,
          3000,
        ),
      );
    const former = some.map(({ service }) => service);
    for (const one of some) {
      one.end();
      simulation.start(
        handOver(
          simulation,
          one,
          services.filter((service) => service !== one.service),
        ),
      );
    }
    yield* rest(simulation, 6000, 8000);
    for (const [at, one] of some.entries()) one.replace(former[at] ?? one.service);
  },
  *rollFleet(simulation) {
    for (const machine of [...smalls(simulation), ...disks(simulation)]) {
      yield* simulation.stop(machine);
      yield* rest(simulation, 50, 200);
      simulation.boot(machine);
      yield* rest(simulation, 500, 900);
    }
  },
};
