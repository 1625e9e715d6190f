import { Clock } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { SimMachine, Simulation } from "../simulation.js";
import { waysBetween, type Ways } from "./partitions.js";
import type { Fault } from "./fault.js";
import { reboot } from "./restarts.js";
import { disks, leaders, pick, placeOf, rest, working } from "./targets.js";
import { operatorPatienceMs } from "./timed-command.js";

/** How long a member stays cut off from the others. */
const cutMs = 20_000;
/** How often two operators race meanwhile. */
const raceEveryMs = 1800;
/** How far above the current version operators choose the next one. */
const mostStep = 5;
const leaderPart = 0.7;

/** Which ways of a cut member are cut. */
type Direction = "both" | "outward" | "inward";

const cutWays = (member: SimMachine, others: readonly SimMachine[], direction: Direction): Ways => {
  const own = [placeOf(member)];
  const rest = others.map(placeOf);
  if (direction === "both") return waysBetween(own, rest);
  return direction === "outward" ? waysBetween(own, rest, true) : waysBetween(rest, own, true);
};

/** Two operators change the same version under one number, one of them by way of the cut member. */
const raceAcross = (
  simulation: Simulation,
  member: SimMachine,
  others: readonly SimMachine[],
): void => {
  const { operators } = simulation.day;
  const version = operators.sequence + 1 + Math.floor(simulation.random() * mostStep);
  const outside = (): string | undefined => pick(simulation, others)?.settings.machine;
  let attempts = 0;
  const inside = (): string | undefined => {
    attempts += 1;
    return attempts % 2 === 1 ? member.settings.machine : outside();
  };
  for (const via of [inside, outside])
    simulation.start(
      operators.submit(operators.prepare(version), { via, patienceMs: operatorPatienceMs }),
    );
  simulation.start(operators.read(member.settings.machine));
};

/** A back end leaves in order while the cut lasts, whichever side hears it. */
const leaveMeanwhile = function* (simulation: Simulation): Task {
  const one = pick(simulation, working(simulation));
  if (!one) return;
  if (yield* simulation.day.leave(one)) yield* rest(simulation, 2600, 3200);
  one.end();
  yield* rest(simulation, 200, 900);
  one.replace(one.service);
};

const cutMember = function* (simulation: Simulation, direction: Direction): Task {
  const led = simulation.random() < leaderPart ? leaders(simulation)[0] : undefined;
  const member = led ?? pick(simulation, disks(simulation));
  if (!member) return;
  const others = disks(simulation).filter((other) => other !== member);
  const ways = cutWays(member, others, direction);
  for (const [from, to] of ways) simulation.network.cut(from, to);
  const atMs = simulation.time.nowMs();
  const untilMs = atMs + cutMs;
  simulation.ledger.world.push({
    kind: "memberCut",
    atMs,
    endMs: untilMs,
    daemon: member.settings.machine,
  });
  simulation.start(leaveMeanwhile(simulation));
  while (simulation.time.nowMs() < untilMs) {
    raceAcross(simulation, member, others);
    yield* Clock.rest(simulation.clock, raceEveryMs);
  }
  simulation.kill(member, simulation.random() < 0.5);
  for (const [from, to] of ways) simulation.network.mend(from, to);
  simulation.boot(member);
  yield* rest(simulation, 200, 1500);
  yield* reboot(
    simulation,
    others.filter(({ gate }) => gate.isAlive),
  );
};

/** A member of the replicated log is cut off from the others for twenty seconds, and restarted before them. */
export const memberCutFaults: Record<string, Fault> = {
  *cutMemberForLong(simulation) {
    yield* cutMember(simulation, "both");
  },
  *cutMemberOutwardForLong(simulation) {
    yield* cutMember(simulation, "outward");
  },
  *cutMemberInwardForLong(simulation) {
    yield* cutMember(simulation, "inward");
  },
};
