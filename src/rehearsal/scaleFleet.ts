import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream } from "node:fs";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { array, boolean, create, number, string, type } from "superstruct";
import { request } from "undici";
import { Forwarder } from "../contract/forwarder.js";
import type { Order } from "../contract/order.js";
import { Link } from "../link/link.js";
import { Clock } from "../runtime/clock.js";
import { Logbook } from "../runtime/logbook.js";
import { Task } from "../runtime/task.js";
import { Wire } from "../runtime/wire.js";
import type { World } from "../runtime/world.js";
import { daemonProgram, freePorts } from "./fleet.js";
import { ScaleChild } from "./scaleChild.js";
import { ScaleError } from "./scaleError.js";
import type { ScaleBackEnd } from "./scaleHollow.js";
import { ProcessReading, sharedMs } from "./scaleProcess.js";
import { ScaleSpec } from "./scaleSpec.js";

/** A daemon that runs as a process of its own. */
interface RealDaemon {
  readonly name: string;
  readonly zone: string;
  readonly peers: string;
  readonly operators: string;
  readonly isRecorder: boolean;
  readonly settingsFile: string;
  process: ChildProcess | undefined;
}

/** What was measured over a while; shares of a core, bytes and messages a second. */
export type ScaleFigures = Record<string, number>;

const statusShape = type({ ready: boolean(), record: type({ role: string() }) });
const edgeShape = type({ ready: boolean() });
const fleetShape = type({
  machines: array(type({ name: string(), silent: boolean() })),
  backEnds: array(type({ address: string(), leaving: boolean() })),
  keys: number(),
});
const acceptedShape = type({ accepted: number() });
const orderMs = 5000;
const lookMs = 100;
/** How long a fleet may take to get where it is to measure. */
const waitMs = 60_000;
const rounds = 4;
/** Which part of the daemons has to hold a grant at the moment of looking: on a busy machine some are late. */
const mostPart = 0.98;

/** Processes that mustn't outlive this one. */
const running = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

const rest = (forMs: number): Promise<void> => new Promise((done) => setTimeout(done, forMs));

const sum = (values: number[]): number => values.reduce((total, value) => total + value, 0);

/** Real recorders and edges, and hollow daemons in a few processes beside them. */
export class ScaleFleet {
  readonly spec: ScaleSpec;
  private readonly folder: string;
  private readonly real: RealDaemon[];
  private readonly children: ScaleChild[];
  private readonly world: World;
  private readonly tcp = Wire.tcp();
  private readonly forwarder: Forwarder;
  private readonly backEnds: ScaleBackEnd[] = [];
  private nextBackEnd = 0;
  private nextDaemon = 0;
  private changes = 0;

  private constructor(spec: ScaleSpec, folder: string, real: RealDaemon[]) {
    this.spec = spec;
    this.folder = folder;
    this.real = real;
    this.children = Array.from({ length: spec.processes }, () => new ScaleChild());
    const fail = (_part: string, error: unknown): void => {
      throw error;
    };
    this.world = {
      clock: Clock.real(),
      wire: this.tcp,
      disk: undefined,
      logbook: Logbook.into(() => undefined),
      broken: fail,
      random: Math.random,
      wallTime: () => new Date(),
    };
    this.forwarder = new Forwarder(
      this.world,
      new Link(this.world, "127.0.0.1:1"),
      () => this.seeds,
    );
  }

  /** Lays out the real daemons, starts them and waits until they serve. */
  static async begin(spec: ScaleSpec): Promise<ScaleFleet> {
    const folder = await mkdtemp(join(tmpdir(), "daledoor-scale-"));
    const count = spec.recorders + spec.edges;
    const ports = await freePorts(count * 3);
    const address = (at: number): string => `127.0.0.1:${ports[at] ?? 0}`;
    const seeds = Array.from({ length: Math.min(3, spec.recorders) }, (_, at) => address(at * 3));
    const isOwn = spec.program === "";
    const real: RealDaemon[] = [];
    for (let at = 0; at < count; at += 1) {
      const isRecorder = at < spec.recorders;
      const name = `${isRecorder ? "recorder" : "edge"}-${at}`;
      const zone = ScaleSpec.zone(
        isRecorder ? at * Math.max(1, Math.floor(spec.zones / spec.regions / spec.recorders)) : at,
        spec,
      );
      const settings = {
        machine: name,
        zone,
        operators: address(at * 3 + 1),
        peers: address(at * 3),
        seeds,
        logLevel: "warn",
        ...(isRecorder
          ? { dataFolder: join(folder, name, "data") }
          : { callers: address(at * 3 + 2) }),
        ...(isOwn
          ? {
              tolerate: { machines: Math.floor((spec.recorders - 1) / 2), zones: 0 },
              heartbeatMs: spec.heartbeatMs,
              bounds: { applyMs: spec.applyMs, drainMs: spec.drainMs },
            }
          : {}),
      };
      await mkdir(join(folder, name), { recursive: true });
      const settingsFile = join(folder, name, "settings.json");
      await writeFile(settingsFile, JSON.stringify(settings));
      real.push({
        name,
        zone,
        peers: settings.peers,
        operators: settings.operators,
        isRecorder,
        settingsFile,
        process: undefined,
      });
    }
    const fleet = new ScaleFleet(spec, folder, real);
    try {
      for (const daemon of real) fleet.boot(daemon);
      await fleet.until(async () => (await fleet.leader()) !== undefined, waitMs, "a leader");
      return fleet;
    } catch (error) {
      await fleet.end();
      throw error;
    }
  }

  /** Adds hollow daemons, spread over the processes. */
  async open(count: number): Promise<void> {
    const zones = Object.fromEntries(this.real.map(({ peers, zone }) => [peers, zone]));
    const { spec } = this;
    for (const [at, child] of this.children.entries()) {
      const own =
        Math.floor(count / this.children.length) + (at < count % this.children.length ? 1 : 0);
      if (own === 0) continue;
      await child.tell({
        kind: "open",
        from: this.nextDaemon,
        count: own,
        seeds: this.seeds,
        zones,
        spread: { zones: spec.zones, regions: spec.regions },
        bounds: { applyMs: spec.applyMs, drainMs: spec.drainMs },
        heartbeatMs: spec.heartbeatMs,
      });
      this.nextDaemon += own;
    }
    await this.until(
      async () => (await this.total("granted")) >= this.nextDaemon * mostPart,
      waitMs,
      `grants of ${this.nextDaemon} daemons`,
      () => this.total("granted"),
    );
  }

  /** A process of its own for daemons that are to be lost together. */
  async openLost(count: number): Promise<ScaleChild> {
    const child = new ScaleChild();
    const { spec } = this;
    await child.tell({
      kind: "open",
      from: 10_000,
      count,
      seeds: this.seeds,
      zones: {},
      spread: { zones: spec.zones, regions: spec.regions },
      bounds: { applyMs: spec.applyMs, drainMs: spec.drainMs },
      heartbeatMs: spec.heartbeatMs,
    });
    await this.until(
      async () =>
        ((await child.tell({ kind: "report", collect: 0 })).figures["granted"] ?? 0) >= count,
      waitMs,
      "grants of those to be lost",
    );
    return child;
  }

  /** Adds back ends that announce themselves at the hollow daemons, and waits until all know them. */
  async announce(count: number): Promise<void> {
    const added = Array.from({ length: count }, () => this.newBackEnd());
    this.backEnds.push(...added);
    for (const [at, child] of this.children.entries())
      await child.tell({
        kind: "announce",
        backEnds: added.filter((_, place) => place % this.children.length === at),
        everyMs: this.spec.heartbeatMs,
      });
    await this.until(
      async () => (await this.least("directory")) >= this.backEnds.length,
      120_000,
      "back ends known to all",
    );
  }

  /** Sends a new config and waits until every hollow daemon serves by it; what passed since its acceptance, each. */
  async rollOut(during?: () => Promise<void>): Promise<number[]> {
    const sequence = this.changes + 1;
    const reached = this.children.map((child) => child.tell({ kind: "awaitConfig", sequence }));
    const accepted = this.put();
    await during?.();
    const acceptedMs = (await accepted) ? sharedMs() : NaN;
    return (await Promise.all(reached)).flatMap(({ times }) =>
      times.map((atMs) => atMs - acceptedMs),
    );
  }

  /** Puts the next config. */
  async put(): Promise<boolean> {
    this.changes += 1;
    const text = await this.command({
      kind: "put",
      changeId: `change-${this.changes}`,
      value: ScaleSpec.config(this.spec, this.changes),
    });
    return text !== undefined && acceptedShape.is(JSON.parse(text));
  }

  /** Silences back ends without a word; what passed until each daemon chooses them no more. */
  async silence(count: number): Promise<number[]> {
    const gone = this.backEnds.splice(0, count);
    const addresses = gone.map(({ address }) => address);
    const startMs = sharedMs();
    await Promise.all(this.children.map((child) => child.tell({ kind: "silence", addresses })));
    const returned = await Promise.all(
      this.children.map((child) =>
        child.tell({
          kind: "awaitGone",
          addresses,
          services: [...new Set(gone.map(({ service }) => service))],
        }),
      ),
    );
    return returned.flatMap(({ times }) => times.map((atMs) => atMs - startMs));
  }

  /** Kills a process of hollow daemons; what passed until the leader notes all of them as silent. */
  async lose(child: ScaleChild): Promise<number> {
    const startMs = sharedMs();
    await child.end();
    await this.until(
      async () => {
        const { machines } = await this.fleet();
        return (
          machines.filter(
            ({ name, silent }) => silent && Number(name.replace("hollow-", "")) >= 10_000,
          ).length >= child.daemons
        );
      },
      waitMs,
      "the lost noted",
    );
    return sharedMs() - startMs;
  }

  /** Kills the leader's process. */
  async killLeader(): Promise<void> {
    const leader = await this.leader();
    const child = leader?.process;
    if (!leader || !child) return;
    leader.process = undefined;
    await new Promise((done) => {
      child.once("exit", done);
      child.kill("SIGKILL");
    });
  }

  /** Has the hollow daemons count requests, and write with keys. */
  async load(requests: number, keyedWrites: number): Promise<void> {
    const { services, routes } = this.spec;
    for (const child of this.children) {
      const part = child.daemons / Math.max(1, this.nextDaemon);
      await child.tell({ kind: "count", perSecond: requests * part, services, routes });
      await child.tell({ kind: "write", perSecond: keyedWrites * part });
    }
  }

  /** Measures for a while, in which configs are changed and back ends replaced as told; anew where the leader changed meanwhile. */
  async measure(seconds: number, configChanges = 0, replacements = 0): Promise<ScaleFigures> {
    for (let round = 0; round < rounds; round += 1) {
      await this.until(
        async () =>
          (await this.leader()) !== undefined &&
          (await this.total("granted")) >= this.nextDaemon * mostPart,
        waitMs,
        "a leader and grants",
        () => this.total("granted"),
      );
      const leader = await this.leader();
      const figures = leader && (await this.measured(leader, seconds, configChanges, replacements));
      if (figures && (await this.leader()) === leader) return figures;
    }
    throw new ScaleError("The leader changed during each measurement.");
  }

  private async measured(
    leader: RealDaemon,
    seconds: number,
    configChanges: number,
    replacements: number,
  ): Promise<ScaleFigures> {
    const pidOf = (daemon: RealDaemon | undefined): number => daemon?.process?.pid ?? 0;
    const followers = this.real.filter((one) => one.isRecorder && one !== leader && one.process);
    const edges = this.real.filter((one) => !one.isRecorder && one.process);
    const readAll = async (collect: number) => {
      const reports = await Promise.all(
        this.children.map((child) => child.tell({ kind: "report", collect })),
      );
      const own = (name: string): number => sum(reports.map(({ figures }) => figures[name] ?? 0));
      const counted = Object.fromEntries(
        [
          "bytesIn",
          "bytesOut",
          "messagesIn",
          "messagesOut",
          "polls",
          "grants",
          "settled",
          "failed",
          "heapBytes",
        ].map((name) => [name, own(name)]),
      );
      const covered = Math.max(0, ...reports.map(({ figures }) => figures["covered"] ?? 0));
      return {
        counted,
        covered,
        granted: own("granted"),
        hollow: this.children.map((child) => child.reading()),
        leader: ProcessReading.of(pidOf(leader)),
        followers: followers.map((one) => ProcessReading.of(pidOf(one))),
        edges: edges.map((one) => ProcessReading.of(pidOf(one))),
      };
    };
    const before = await readAll(0);
    const untilMs = sharedMs() + seconds * 1000;
    const work: Array<Promise<void>> = [];
    if (configChanges > 0)
      work.push(
        this.every(untilMs, 1000 / configChanges, async () => {
          await this.put();
        }),
      );
    if (replacements > 0) work.push(this.every(untilMs, 1000 / replacements, () => this.replace()));
    await Promise.all([...work, rest(seconds * 1000)]);
    const after = await readAll(0);
    const heap = (await readAll(1)).counted["heapBytes"] ?? 0;
    const passedMs = after.leader.atMs - before.leader.atMs;
    const share = (from: ProcessReading[], to: ProcessReading[]): number =>
      sum(to.map(({ cpuMs }, at) => cpuMs - (from[at]?.cpuMs ?? 0))) / passedMs;
    const rate = (name: string): number =>
      (((after.counted[name] ?? 0) - (before.counted[name] ?? 0)) / passedMs) * 1000;
    const many = Math.max(1, this.nextDaemon);
    const mebibytes = (readings: ProcessReading[]): number =>
      sum(readings.map(({ rssBytes }) => rssBytes)) / Math.max(1, readings.length) / 2 ** 20;
    return {
      leaderCore: share([before.leader], [after.leader]),
      followerCore: share(before.followers, after.followers) / Math.max(1, followers.length),
      hollowCore: share(before.hollow, after.hollow) / many,
      edgeCore: share(before.edges, after.edges) / Math.max(1, edges.length),
      leaderIn: ((after.leader.readBytes - before.leader.readBytes) / passedMs) * 1000,
      leaderOut: ((after.leader.writtenBytes - before.leader.writtenBytes) / passedMs) * 1000,
      daemonIn: rate("bytesIn") / many,
      daemonOut: rate("bytesOut") / many,
      daemonMessagesOut: rate("messagesOut") / many,
      polls: rate("polls") / many,
      granted: after.granted / many,
      settled: rate("settled"),
      failed: rate("failed"),
      covered: after.covered,
      leaderMiB: mebibytes([after.leader]),
      followerMiB: mebibytes(after.followers),
      edgeMiB: mebibytes(after.edges),
      hollowHeapMiB: heap / many / 2 ** 20,
    };
  }

  /** Keys in force, as the leader tells. */
  async keys(): Promise<number> {
    return (await this.fleet()).keys;
  }

  /** Ends all that was started here. */
  async end(): Promise<void> {
    await Promise.all([
      ...this.children.map((child) => child.end()),
      ...this.real.map(
        ({ process: child }) =>
          new Promise<void>((done) => {
            if (!child || child.exitCode !== null || child.signalCode !== null) return done();
            child.once("exit", () => done());
            child.kill("SIGKILL");
          }),
      ),
    ]);
    this.tcp.close();
    await rm(this.folder, { recursive: true, force: true });
  }

  private get seeds(): string[] {
    return this.real.filter(({ isRecorder }) => isRecorder).map(({ peers }) => peers);
  }

  private boot(daemon: RealDaemon): void {
    const child = spawn(
      process.execPath,
      [this.spec.program || daemonProgram, "run", "--settings", daemon.settingsFile],
      { stdio: ["ignore", "ignore", "pipe"] },
    );
    child.stderr.pipe(createWriteStream(`${daemon.settingsFile}.log`, { flags: "a" }));
    daemon.process = child;
    running.add(child);
    child.once("exit", () => running.delete(child));
  }

  private newBackEnd(): ScaleBackEnd {
    const at = this.nextBackEnd;
    this.nextBackEnd += 1;
    return {
      address: `10.${1 + Math.floor(at / 62_500)}.${Math.floor(at / 250) % 250}.${(at % 250) + 1}:8080`,
      service: ScaleSpec.service(at, this.spec),
      zone: ScaleSpec.zone(at, this.spec),
    };
  }

  /** One back end leaves and another comes in its place. */
  private async replace(): Promise<void> {
    const [old] = this.backEnds.splice(0, 1);
    const [child] = this.children;
    if (!old || !child) return;
    const fresh = this.newBackEnd();
    this.backEnds.push(fresh);
    await Promise.all(
      this.children.map((one) => one.tell({ kind: "silence", addresses: [old.address] })),
    );
    await this.command({ kind: "leave", address: old.address, service: old.service });
    await child.tell({ kind: "announce", backEnds: [fresh], everyMs: this.spec.heartbeatMs });
  }

  private async every(untilMs: number, everyMs: number, act: () => Promise<void>): Promise<void> {
    for (let dueMs = sharedMs() + everyMs / 2; dueMs < untilMs; dueMs += everyMs) {
      await rest(Math.max(0, dueMs - sharedMs()));
      await act();
    }
  }

  private command(order: Order): Promise<string | undefined> {
    return new Promise((done, fail) =>
      Task.start(this.forwarder.command(order, orderMs), fail, done),
    );
  }

  private async fleet() {
    const text = await this.command({ kind: "fleet" });
    const value: unknown = JSON.parse(text ?? "{}");
    return fleetShape.is(value)
      ? value
      : create({ machines: [], backEnds: [], keys: 0 }, fleetShape);
  }

  private async status(daemon: RealDaemon): Promise<unknown> {
    try {
      return await (
        await request(`http://${daemon.operators}/status`, { headersTimeout: 2000 })
      ).body.json();
    } catch {
      return undefined;
    }
  }

  /** The recorder that leads. */
  private async leader(): Promise<RealDaemon | undefined> {
    for (const daemon of this.real) {
      if (!daemon.isRecorder || !daemon.process) continue;
      const status = await this.status(daemon);
      if (statusShape.is(status) && status.record.role === "leader") return daemon;
    }
    return undefined;
  }

  /** Whether all real edges may serve. */
  async edgesReady(): Promise<boolean> {
    const statuses = await Promise.all(
      this.real.filter(({ isRecorder }) => !isRecorder).map((one) => this.status(one)),
    );
    return statuses.every((status) => edgeShape.is(status) && status.ready);
  }

  private async total(name: string): Promise<number> {
    return sum(
      (
        await Promise.all(this.children.map((child) => child.tell({ kind: "report", collect: 0 })))
      ).map(({ figures }) => figures[name] ?? 0),
    );
  }

  private async least(name: string): Promise<number> {
    return Math.min(
      ...(
        await Promise.all(
          this.children
            .filter(({ daemons }) => daemons > 0)
            .map((child) => child.tell({ kind: "report", collect: 0 })),
        )
      ).map(({ figures }) => figures[name] ?? 0),
    );
  }

  /** Waits until a condition holds; raises what was waited for in vain. */
  async until(
    holds: () => Promise<boolean>,
    mostMs: number,
    what: string,
    reached?: () => Promise<number>,
  ): Promise<void> {
    const untilMs = sharedMs() + mostMs;
    while (!(await holds())) {
      if (sharedMs() > untilMs)
        throw new ScaleError(
          `Waited in vain for ${what}${reached ? `; reached: ${await reached()}` : ""}.`,
        );
      await rest(lookMs);
    }
  }
}
