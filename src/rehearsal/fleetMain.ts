import { cac } from "cac";
import { is, string, type } from "superstruct";
import { Clock } from "../machine/clock.js";
import type { Task } from "../machine/task.js";
import { Fleet, type FleetMachine } from "./fleet.js";
import { judge, servedPart, worstRepeats, rules } from "./judge.js";
import { Profile } from "./profile.js";

interface Options {
  profile: string;
  seconds: number;
  rate: number;
  seed: number;
  calm?: boolean;
  keep?: boolean;
}

const leads = type({ record: type({ role: string() }) });
const upMs = 30_000;
const settleMs = 15_000;

const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const leaderOf = function* (fleet: Fleet): Task<FleetMachine | undefined> {
  for (const machine of fleet.machines) {
    const status = yield* fleet.status(machine);
    if (is(status, leads) && status.record.role === "leader") return machine;
  }
  return undefined;
};

const trouble = function* (fleet: Fleet, secondsMs: number): Task {
  const { clock } = fleet;
  const after = function* (part: number, startedMs: number): Task {
    yield* Clock.rest(clock, startedMs + secondsMs * part - clock.nowMs());
  };
  const startedMs = clock.nowMs();
  const edges = fleet.machines.filter(({ settings }) => settings.callers !== undefined);
  const [edgeToKill, edgeToStop] = edges;
  yield* after(0.15, startedMs);
  const leader = yield* leaderOf(fleet);
  if (leader) {
    say(`${leader.settings.machine}, which leads the record, is killed`);
    yield* fleet.kill(leader);
    yield* Clock.rest(clock, 3000);
    fleet.boot(leader);
  }
  yield* after(0.3, startedMs);
  if (edgeToKill) {
    say(`${edgeToKill.settings.machine}, an edge, is killed`);
    yield* fleet.kill(edgeToKill);
    yield* Clock.rest(clock, 2000);
    fleet.boot(edgeToKill);
  }
  yield* after(0.4, startedMs);
  const [crashed, leaver, reused, liar] = fleet.standIns.filter((_, at) => at % 7 === 3);
  if (crashed) {
    say(`${crashed.address} of ${crashed.service} crashes and is replaced`);
    yield* fleet.crash(crashed);
    yield* Clock.rest(clock, 2500);
    yield* fleet.replace(crashed, crashed.service);
  }
  if (leaver) {
    say(`${leaver.address} of ${leaver.service} leaves`);
    yield* fleet.day.leave(leaver);
    yield* Clock.rest(clock, 3000);
    yield* fleet.crash(leaver);
  }
  if (reused) {
    const other = fleet.standIns.find(({ service }) => service !== reused.service)?.service ?? reused.service;
    say(`${reused.address} of ${reused.service} is reused by ${other}`);
    yield* fleet.crash(reused);
    yield* Clock.rest(clock, 1500);
    fleet.ledger.world.push({ kind: "reused", atMs: clock.nowMs(), address: reused.address, service: other });
    yield* fleet.replace(reused, other);
  }
  if (liar) {
    say(`${liar.address} of ${liar.service} loses answers, sends garbage and cuts bodies short`);
    liar.behave({ losesPart: 0.3, garbagePart: 0.3, cutPart: 0.3 });
  }
  yield* after(0.7, startedMs);
  liar?.behave({});
  if (edgeToStop) {
    say(`${edgeToStop.settings.machine}, an edge, is told to stop and started again`);
    yield* fleet.stop(edgeToStop);
    if (edgeToStop.exitCode !== 0) say(`  it ended with code ${String(edgeToStop.exitCode)}`);
    fleet.boot(edgeToStop);
  }
  yield* after(0.8, startedMs);
  fleet.ledger.world.push({ kind: "recovered", atMs: clock.nowMs() });
};

const configuring = function* (fleet: Fleet): Task {
  while (!fleet.day.isOver) {
    yield* fleet.day.putConfig();
    yield* Clock.rest(fleet.clock, 3000);
  }
};

const quantile = (sorted: number[], part: number): number => Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0);

const report = (fleet: Fleet, fromMs: number): number => {
  const { ledger } = fleet;
  const byCode = new Map<string, number>();
  for (const { code, broke } of ledger.callers) {
    const name = code === 0 ? broke : String(code);
    byCode.set(name, (byCode.get(name) ?? 0) + 1);
  }
  say(`Requests: ${ledger.callers.length}, ${(servedPart(ledger, fromMs, Infinity) * 100).toFixed(2)}% served`);
  say(`  by return: ${[...byCode].sort(([a], [b]) => a.localeCompare(b)).map(([name, count]) => `${name}: ${count}`).join(", ")}`);
  for (const { route, method } of fleet.profile.traffic) {
    const sample = fleet.profile.traffic.find((one) => one.route === route)?.path(0).split("/")[1];
    const took = ledger.callers.filter((one) => one.method === method && one.path.split("/")[1] === sample && one.code >= 200 && one.code < 300).map((one) => one.endedMs - one.sentMs).sort((a, b) => a - b);
    say(`  ${route}: ${took.length} served, half within ${quantile(took, 0.5)} ms, 99 of 100 within ${quantile(took, 0.99)} ms`);
  }
  say(`Tries that reached back ends: ${ledger.runs.length}; configs accepted: ${ledger.of("accepted").length}`);
  for (const [service, { further, requests, allowed }] of worstRepeats(ledger)) say(`  ${service}: worst ten seconds had ${further} repeats with ${requests} requests, ${Math.floor(allowed)} allowed`);
  const breaches = judge(ledger);
  for (const rule of Object.keys(rules)) {
    const own = breaches.filter((breach) => breach.rule === rule);
    say(`${own.length === 0 ? "kept  " : "BROKEN"} ${rule}${own.length > 0 ? ` (${own.length} times)` : ""}`);
    for (const { what } of own.slice(0, 5)) say(`         ${what}`);
  }
  return breaches.length;
};

const program = cac("fleet");
program
  .command("", "Start a whole fleet of real daemons on this machine, with callers and back ends, and judge it")
  .option("--profile <name>", "kovacic or rastro", { default: "kovacic" })
  .option("--seconds <count>", "How long callers come", { default: 60 })
  .option("--rate <part>", "Part of the profile's requests that are sent", { default: 1 })
  .option("--seed <number>", "Seed of callers and back ends", { default: 1 })
  .option("--calm", "Kill and break nothing")
  .option("--keep", "Keep the folder with settings, data and logs")
  .action(async (options: Options) => {
    const profile = Object.values(Profile.all).find(({ name }) => name === options.profile);
    if (!profile) {
      process.stderr.write(`fleet: there is no profile "${options.profile}"; there are ${Object.keys(Profile.all).join(" and ")}\n`);
      process.exitCode = 2;
      return;
    }
    const fleet = await Fleet.lay(profile, options.seed, options.rate);
    for (const name of ["SIGINT", "SIGTERM"] as const) process.once(name, () => void fleet.end(false).then(() => process.exit(130)));
    say(`${profile.name}: ${profile.diskMachines} machines with disks, ${profile.smallMachines} small ones, ${fleet.standIns.length} back ends; logs under ${fleet.folder}`);
    await fleet.begin();
    const up = await fleet.perform(fleet.until(() => fleet.machines.every(({ isReady }) => isReady), upMs));
    const configured = up && (await fleet.perform(fleet.day.putConfig()));
    if (!up || !configured) {
      const late = fleet.machines.filter(({ isReady }) => !isReady).map(({ settings }) => settings.machine);
      process.stderr.write(`fleet: ${up ? "the first config was not accepted" : `not ready: ${late.join(", ")}`}\n`);
      await fleet.end(true);
      process.exitCode = 1;
      return;
    }
    await fleet.perform(Clock.rest(fleet.clock, 2500));
    say("All machines are ready and a config is in force; callers come");
    const fromMs = fleet.clock.nowMs();
    fleet.beginCalls();
    fleet.start(configuring(fleet));
    if (!options.calm) fleet.start(trouble(fleet, options.seconds * 1000));
    await fleet.perform(Clock.rest(fleet.clock, options.seconds * 1000 + (options.calm ? 0 : settleMs)));
    fleet.ledger.endMs = fleet.clock.nowMs();
    fleet.day.isOver = true;
    await fleet.perform(Clock.rest(fleet.clock, 3500));
    fleet.day.isOver = false;
    await fleet.perform(fleet.day.readBack());
    const breaches = report(fleet, fromMs);
    await fleet.end(options.keep ?? false);
    process.exit(breaches > 0 ? 1 : 0);
  });
program.help();
program.parse();
