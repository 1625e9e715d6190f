import { Daemon } from "../../src/daemon/daemon.js";
import type { DaemonOptions } from "../../src/daemon/daemon-options.js";
import type { Settings } from "../../src/daemon/settings.js";
import type { Clock } from "../../src/runtime/clock.js";
import type { Network } from "../../src/runtime/network.js";
import { type Task, runTask } from "../../src/runtime/task.js";
import { encodeLogCommand } from "../../src/state/log-command.js";
import { RandomDraw } from "../../src/simulation/random-draw.js";
import { EventGate } from "../../src/simulation/event-gate.js";
import { unreachableBackends } from "../../src/simulation/unreachable-backends.js";
import { VirtualClock } from "../../src/simulation/virtual-clock.js";
import { VirtualDisk } from "../../src/simulation/virtual-disk.js";
import { VirtualNetwork } from "../../src/simulation/virtual-network.js";
import { virtualRuntime } from "../../src/simulation/virtual-runtime.js";

const throwError = (error: unknown): void => {
  throw error;
};

/** The text of the config that has a sequence in a staged fleet. */
export const configText = (sequence: number): string =>
  `{"services":{"service-${sequence}":{}},"routes":{}}`;

/** One machine of a staged fleet. */
export class FixtureMachine {
  settings: Settings;
  readonly disk: VirtualDisk | undefined;
  gate = new EventGate();
  daemon: Daemon | undefined;

  constructor(settings: Settings, disk: VirtualDisk | undefined) {
    this.settings = settings;
    this.disk = disk;
  }

  get peer(): string {
    return this.settings.peers;
  }

  get status() {
    return this.daemon?.replicationNode?.status;
  }
}

/** What the process of a staged machine runs on. */
export interface ProcessEnvironment {
  readonly gate: EventGate;
  readonly clock: Clock;
  readonly network: Network;
}

/** Daemons on a virtual network: `d` is a machine with a disk, `e` one without; each letter pair names kind and zone. */
export class ClusterFixture {
  readonly virtualClock = new VirtualClock();
  readonly random = RandomDraw.of(7);
  readonly network = new VirtualNetwork(this.virtualClock.clock(), this.random);
  readonly logLines: string[] = [];
  readonly machines: FixtureMachine[];

  /** Machines such as "d:a" (a disk in zone a) and "e:b" (an edge in zone b); the seeds are given by their places in the list. */
  constructor(machines: readonly string[], seeds: readonly number[], more: Partial<Settings> = {}) {
    const peer = (machineAt: number): string => `10.0.0.${machineAt + 1}:7000`;
    this.machines = machines.map((word, machineAt) => {
      const [kind, zone = ""] = word.split(":");
      const settings: Settings = {
        machine: `${kind === "d" ? "disk" : "edge"}-${machineAt + 1}`,
        zone,
        operators: `10.0.0.${machineAt + 1}:7070`,
        peers: peer(machineAt),
        seeds: seeds.map(peer),
        ...(kind === "d" ? { dataFolder: "data" } : { callers: `10.0.0.${machineAt + 1}:8080` }),
        ...more,
      };
      return new FixtureMachine(
        settings,
        kind === "d" ? new VirtualDisk(this.virtualClock.clock(), this.random) : undefined,
      );
    });
  }

  machineAt(place: number): FixtureMachine {
    const machine = this.machines[place];
    if (!machine) throw new Error(`There is no machine ${place}.`);
    return machine;
  }

  get diskMachines(): FixtureMachine[] {
    return this.machines.filter(({ disk }) => disk !== undefined);
  }

  /** The machine that leads and may answer. */
  get leader(): FixtureMachine {
    const leader = this.diskMachines.find(
      ({ daemon }) => daemon?.replicationNode?.holdsLease === true,
    );
    if (!leader) throw new Error("Nobody leads.");
    return leader;
  }

  /** The fleets whose record is held, by machine. */
  fleetIdOf(machine: FixtureMachine): string {
    return machine.daemon?.replicationNode?.bootstrapStatus.fleet ?? "";
  }

  boot(machine: FixtureMachine, more: Partial<Settings> = {}): void {
    if (machine.daemon) return;
    machine.settings = { ...machine.settings, ...more };
    const { gate, clock, network } = this.createEnvironment(machine);
    machine.gate = gate;
    machine.disk?.restart(clock);
    const name = machine.settings.machine;
    const runtime = virtualRuntime({
      clock,
      network,
      disk: machine.disk,
      random: this.random,
      writeLine: (line) =>
        this.logLines.push(`${this.virtualClock.nowMs().toFixed(0)} ${name} ${line}`),
    });
    machine.daemon = new Daemon(runtime, machine.settings, this.daemonOptions());
    this.startTask(machine.daemon.start());
  }

  /** What its daemons are told besides their settings. */
  protected daemonOptions(): DaemonOptions {
    return { backendClient: unreachableBackends };
  }

  /** What a machine's next life runs on. */
  protected createEnvironment({ settings }: FixtureMachine): ProcessEnvironment {
    const gate = new EventGate();
    const clock = gate.clock(this.virtualClock.clock());
    return { gate, clock, network: this.network.createInterface(settings.machine, gate) };
  }

  bootAll(): void {
    for (const machine of this.machines) this.boot(machine);
  }

  /** The process dies at once; with `wipes`, its disk is lost too. */
  kill(machine: FixtureMachine, wipes = false): void {
    machine.gate.kill();
    machine.daemon = undefined;
    machine.disk?.finishWrites();
    if (wipes) machine.disk?.wipe();
    this.network.disconnect(machine.settings.machine);
  }

  /** Cuts two machines from each other, or joins them again. */
  partition(one: FixtureMachine, other: FixtureMachine, mends = false): void {
    for (const [from, to] of [
      [one, other],
      [other, one],
    ] as const) {
      if (mends) this.network.heal(from.settings.machine, to.settings.machine);
      else this.network.partition(from.settings.machine, to.settings.machine);
    }
  }

  wait(forMs: number): void {
    this.virtualClock.runUntil(this.virtualClock.nowMs() + forMs);
  }

  /** Moves time on until something holds; tells how long that took. */
  waitUntil(holds: () => boolean, atMostMs: number): number {
    const sinceMs = this.virtualClock.nowMs();
    while (!holds()) {
      if (this.virtualClock.nowMs() - sinceMs >= atMostMs)
        throw new Error(
          `It doesn't hold after ${atMostMs} ms.\n${this.logLines.slice(-30).join("\n")}`,
        );
      this.wait(5);
    }
    return this.virtualClock.nowMs() - sinceMs;
  }

  /** Has the leader accept a config; tells whether it was acknowledged within five seconds. */
  commitConfig(sequence: number): boolean {
    const outcomes: boolean[] = [];
    const replicationNode = this.leader.daemon?.replicationNode;
    if (!replicationNode) return false;
    const text = encodeLogCommand({
      kind: "config",
      expected: sequence - 1,
      changeId: `c${sequence}`,
      acceptedAt: "",
      text: configText(sequence),
      services: [],
      routes: [],
    });
    this.startTask(
      (function* () {
        const result = yield* replicationNode.propose(text);
        outcomes.push(result.kind === "committed" && result.outcome.includes("accepted"));
      })(),
    );
    this.waitUntil(() => outcomes.length > 0, 5000);
    return outcomes[0] === true;
  }

  /** The text of an accepted config, as a machine's recorder finds it. */
  readConfig(machine: FixtureMachine, sequence: number): string | undefined {
    const texts: Array<string | undefined> = [];
    const replicationNode = machine.daemon?.replicationNode;
    if (!replicationNode) return undefined;
    this.startTask(
      (function* () {
        const read = yield* replicationNode.readConfig(sequence);
        texts.push(read.kind === "found" ? read.config.text : undefined);
      })(),
    );
    this.waitUntil(() => texts.length > 0, 5000);
    return texts[0];
  }

  startTask(task: Task<unknown>): void {
    runTask(task, throwError);
  }
}
