/** A cluster of virtual machines for tests of the replicated log and of what depends on it. */
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

/** Returns the text of the config that `commitConfig` commits under a sequence. */
export const configText = (sequence: number): string =>
  `{"services":{"service-${sequence}":{}},"routes":{}}`;

/** One machine of a fixture's cluster; its daemon is `undefined` while the machine is down. */
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

  /** The status of the machine's replication node. */
  get status() {
    return this.daemon?.replicationNode?.status;
  }
}

/** The environment of one process on a machine of the fixture. */
export interface ProcessEnvironment {
  readonly gate: EventGate;
  readonly clock: Clock;
  readonly network: Network;
}

/** A cluster of daemons on a virtual clock, network and disks, run in one process. */
export class ClusterFixture {
  readonly virtualClock = new VirtualClock();
  readonly random = RandomDraw.of(7);
  readonly network = new VirtualNetwork(this.virtualClock.clock(), this.random);
  readonly logLines: string[] = [];
  readonly machines: FixtureMachine[];

  /** Machines are written as "d:a" (with a disk, in zone a) or "e:b" (an edge in zone b); seeds are positions in the list. */
  constructor(machines: readonly string[], seeds: readonly number[], more: Partial<Settings> = {}) {
    const peer = (position: number): string => `10.0.0.${position + 1}:7000`;
    this.machines = machines.map((spec, position) => {
      const [kind, zone = ""] = spec.split(":");
      const settings: Settings = {
        machine: `${kind === "d" ? "disk" : "edge"}-${position + 1}`,
        zone,
        operators: `10.0.0.${position + 1}:7070`,
        peers: peer(position),
        seeds: seeds.map(peer),
        ...(kind === "d" ? { dataFolder: "data" } : { callers: `10.0.0.${position + 1}:8080` }),
        ...more,
      };
      return new FixtureMachine(
        settings,
        kind === "d" ? new VirtualDisk(this.virtualClock.clock(), this.random) : undefined,
      );
    });
  }

  /** Returns the machine at a position of the list. */
  machineAt(position: number): FixtureMachine {
    const machine = this.machines[position];
    if (!machine) throw new Error(`no machine at position ${position} of ${this.machines.length}`);
    return machine;
  }

  /** The machines with a disk. */
  get diskMachines(): FixtureMachine[] {
    return this.machines.filter(({ disk }) => disk !== undefined);
  }

  /** The machine of the leader that holds a lease. */
  get leader(): FixtureMachine {
    const leader = this.diskMachines.find(
      ({ daemon }) => daemon?.replicationNode?.holdsLease === true,
    );
    if (!leader) throw new Error("No node leads under a lease.");
    return leader;
  }

  /** Returns the id of the fleet whose log a machine has, or an empty string. */
  fleetIdOf(machine: FixtureMachine): string {
    return machine.daemon?.replicationNode?.bootstrapStatus.fleet ?? "";
  }

  /** Starts a machine's daemon unless it runs, with changed settings if any are given. */
  boot(machine: FixtureMachine, settings: Partial<Settings> = {}): void {
    if (machine.daemon) return;
    machine.settings = { ...machine.settings, ...settings };
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

  /** The daemons' options, in addition to their settings. */
  protected daemonOptions(): DaemonOptions {
    return { backendClient: unreachableBackends };
  }

  /** Creates the environment of a machine's next process. */
  protected createEnvironment({ settings }: FixtureMachine): ProcessEnvironment {
    const gate = new EventGate();
    const clock = gate.clock(this.virtualClock.clock());
    return { gate, clock, network: this.network.createInterface(settings.machine, gate) };
  }

  bootAll(): void {
    for (const machine of this.machines) this.boot(machine);
  }

  /** Ends a machine's process without a shutdown; with `wipesDisk`, its disk is wiped as well. */
  kill(machine: FixtureMachine, wipesDisk = false): void {
    machine.gate.kill();
    machine.daemon = undefined;
    machine.disk?.finishWrites();
    if (wipesDisk) machine.disk?.wipe();
    this.network.disconnect(machine.settings.machine);
  }

  /** Partitions the network between two machines, in both directions. */
  partition(one: FixtureMachine, other: FixtureMachine): void {
    this.network.partition(one.settings.machine, other.settings.machine);
    this.network.partition(other.settings.machine, one.settings.machine);
  }

  /** Heals the partition between two machines. */
  heal(one: FixtureMachine, other: FixtureMachine): void {
    this.network.heal(one.settings.machine, other.settings.machine);
    this.network.heal(other.settings.machine, one.settings.machine);
  }

  /** Advances the clock. */
  wait(durationMs: number): void {
    this.virtualClock.runUntil(this.virtualClock.nowMs() + durationMs);
  }

  /** Advances the clock until a condition holds; returns the elapsed time in ms, and throws after the timeout. */
  waitUntil(condition: () => boolean, timeoutMs: number): number {
    const startedMs = this.virtualClock.nowMs();
    while (!condition()) {
      if (this.virtualClock.nowMs() - startedMs >= timeoutMs)
        throw new Error(
          `condition not met after ${timeoutMs} ms\n${this.logLines.slice(-30).join("\n")}`,
        );
      this.wait(5);
    }
    return this.virtualClock.nowMs() - startedMs;
  }

  /** Proposes a config to the leader; returns whether it was accepted, and throws if there is no result within 5 s. */
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

  /** Reads the text of an accepted config through a machine's node; `undefined` if it isn't found. */
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
