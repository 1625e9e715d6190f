/** The simulated fleet: starts, stops and removes machines, and sends requests to their daemons. */
import type { BackendClient } from "../proxy/upstream/backend-client.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { type Clock, sleep, withTimeout } from "../runtime/clock.js";
import { Daemon } from "../daemon/daemon.js";
import type { Settings } from "../daemon/settings.js";
import type { ReplicationTimeouts } from "../replication/replication-timeouts.js";
import { type Task, runTask, waitFor } from "../runtime/task.js";
import { Workload } from "./workload.js";
import type { ClientOutcome, ClientTransport } from "./client-transport.js";
import { RandomDraw } from "./random-draw.js";
import { ClientCall } from "./client-call.js";
import { EventGate } from "./event-gate.js";
import { EventRecorder } from "./event-recorder.js";
import type { Profile } from "./profile.js";
import type { SimulatedMachine } from "./simulated-machine.js";
import { TestBackend } from "./test-backend.js";
import { virtualBackends } from "./virtual-backends.js";
import { VirtualClock } from "./virtual-clock.js";
import { VirtualDisk } from "./virtual-disk.js";
import { VirtualNetwork } from "./virtual-network.js";
import { virtualRuntime } from "./virtual-runtime.js";

/** What determines the layout of a machine. */
interface MachineLayout {
  readonly index: number;
  readonly zone: string;
  readonly hasDisk: boolean;
  readonly isReplacement?: boolean;
}

/** The location of operators on the virtual network. */
export const OPERATORS_LOCATION = "operators";
/** The default timeout of an admin request. */
const ADMIN_TIMEOUT_MS = 5000;
/** How often an operator reads the configuration. */
const CONFIG_READ_INTERVAL_MS = 300;
/** How often a backend sends heartbeats. */
const HEARTBEAT_INTERVAL_MS = 1000;
const PROBES_PER_SECOND = 5;
const PEER_PORT = 7000;
/** Responses of test backends are smaller than in the profiles, so that a run is simulated in seconds. */
const MAX_SIMULATED_BODY_BYTES = 300_000;
const outsideGate = new EventGate();
/** Small, so that a run includes many snapshots. */
const SNAPSHOT_BYTES = 60_000;

/** A fleet with its clients, backends and operators, simulated in one process on virtual time, reproducible by seed. */
export class Simulation {
  readonly virtualClock = new VirtualClock();
  readonly clock: Clock;
  readonly random: () => number;
  readonly network: VirtualNetwork;
  readonly recorder = new EventRecorder();
  readonly machines: SimulatedMachine[];
  readonly testBackends: TestBackend[] = [];
  readonly workload: Workload;
  readonly profile: Profile;
  readonly logLines: string[] = [];
  /** The fraction of responses to operators that the network loses. */
  lostResponseFraction = 0;
  /** Called with the machine that has just acknowledged an operator's change. */
  onAcknowledged: (machine: SimulatedMachine) => void = () => undefined;
  /** Whether a fault that loses a member's disk is in progress; there is one at a time. */
  isLosingDisk = false;
  private readonly replicationTimeouts: Partial<ReplicationTimeouts>;

  constructor(
    profile: Profile,
    seed: number,
    rateFactor: number,
    replicationTimeouts: Partial<ReplicationTimeouts> = {},
  ) {
    this.profile = profile;
    this.replicationTimeouts = { snapshotBytes: SNAPSHOT_BYTES, ...replicationTimeouts };
    this.clock = this.virtualClock.clock();
    this.random = RandomDraw.of(seed);
    this.network = new VirtualNetwork(this.clock, this.random);
    const count = profile.diskMachines + profile.disklessMachines;
    this.machines = Array.from({ length: count }, (_, index) => {
      const zone = profile.zones[index % profile.zones.length] ?? "";
      return this.createMachine({ index, zone, hasDisk: index < profile.diskMachines });
    });
    const bodyBytes = new Map(
      profile.traffic.map(({ method, path, bodyBytes: profileBytes }) => [
        `${method} /${path(0).split("/")[1] ?? ""}`,
        Math.min(profileBytes, MAX_SIMULATED_BODY_BYTES),
      ]),
    );
    let port = 9000;
    for (const [service, count] of Object.entries(profile.backends))
      for (let index = 0; index < count; index += 1)
        this.testBackends.push(
          new TestBackend(
            `10.1.0.1:${(port += 1)}`,
            profile.zones[index % profile.zones.length] ?? "",
            service,
            this.recorder,
            this.random,
            bodyBytes,
          ),
        );
    this.workload = new Workload(this.createTransport(), profile, this.recorder, rateFactor);
  }

  /** Creates a machine, not yet started; its index determines its address. */
  private createMachine({
    index,
    zone,
    hasDisk,
    isReplacement = false,
  }: MachineLayout): SimulatedMachine {
    const address = (port: number): string => `10.0.0.${index + 1}:${port}`;
    const { tolerate, bounds } = this.profile;
    const settings: Settings = {
      machine: `${hasDisk ? "disk" : "small"}-${index + 1}`,
      zone,
      operators: address(7070),
      peers: address(PEER_PORT),
      seeds: isReplacement
        ? this.currentSeeds()
        : [0, 1, 2].map((seed) => `10.0.0.${seed + 1}:${PEER_PORT}`),
      ...(hasDisk ? { dataFolder: "data" } : { callers: address(8080) }),
      ...(isReplacement ? { bootstrap: false } : {}),
      ...(tolerate === undefined ? {} : { tolerate }),
      ...(bounds === undefined ? {} : { bounds }),
    };
    const gate = new EventGate();
    const clockOffsetMs = this.random() * 1e7;
    const clockRate = 1 + (this.random() - 0.5) * 0.002;
    const disk = hasDisk
      ? new VirtualDisk(this.machineClock(gate, clockOffsetMs, clockRate), this.random)
      : undefined;
    return {
      settings,
      disk,
      clockOffsetMs,
      clockRate,
      wallClockJumpMs: 0,
      gate,
      daemon: undefined,
      isStopping: false,
      isRemoved: false,
      hasLostDisk: false,
      exitListeners: new Set(),
    };
  }

  /** The peer addresses of up to three machines of the current fleet, as a new settings file would list them. */
  private currentSeeds(): string[] {
    return this.machines
      .filter(({ isRemoved }) => !isRemoved)
      .slice(0, 3)
      .map(({ settings }) => settings.peers);
  }

  /** Starts a new machine in a zone, with an empty disk and an unused address. */
  addReplacement(zone: string): SimulatedMachine {
    const machine = this.createMachine({
      index: this.machines.length,
      zone,
      hasDisk: true,
      isReplacement: true,
    });
    this.machines.push(machine);
    this.boot(machine);
    return machine;
  }

  /** Removes a machine and its disk for good. */
  remove(machine: SimulatedMachine): void {
    this.kill(machine, true);
    machine.disk?.wipe();
    machine.isRemoved = true;
  }

  /** Starts all machines, backends and clients. */
  startAll(): void {
    for (const machine of this.machines) this.boot(machine);
    for (const testBackend of this.testBackends)
      this.start(this.workload.sendHeartbeats(testBackend, HEARTBEAT_INTERVAL_MS));
    for (const traffic of this.profile.traffic) this.start(this.workload.runClients(traffic));
    this.start(this.workload.runProbes(PROBES_PER_SECOND));
    this.start(this.workload.operators.readPeriodically(CONFIG_READ_INTERVAL_MS));
  }

  /** Starts a task; its failure ends the simulation. */
  start(task: Task<unknown>): void {
    runTask(task, (error) => {
      throw error;
    });
  }

  /** Starts a machine's process, unless it runs. */
  boot(machine: SimulatedMachine): void {
    if (machine.daemon || machine.isRemoved) return;
    const gate = new EventGate();
    machine.gate = gate;
    machine.isStopping = false;
    const clock = this.machineClock(gate, machine.clockOffsetMs, machine.clockRate);
    machine.disk?.restart(clock);
    const runtime = virtualRuntime({
      clock,
      network: this.network.createInterface(machine.settings.machine, gate),
      disk: machine.disk,
      writeLine: (line) =>
        this.logLines.push(
          `${(this.virtualClock.nowMs() / 1000).toFixed(3)} ${machine.settings.machine} ${line}`,
        ),
      random: this.random,
      wallTime: () =>
        new Date(
          1.8e12 + this.virtualClock.nowMs() + machine.clockOffsetMs + machine.wallClockJumpMs,
        ),
    });
    const settings = {
      ...machine.settings,
      seeds: this.currentSeeds(),
      ...(machine.hasLostDisk ? { bootstrap: false } : {}),
    };
    const daemon = new Daemon(runtime, settings, {
      backendClient: this.createBackendClient(machine, gate, clock),
      replicationTimeouts: this.replicationTimeouts,
    });
    machine.daemon = daemon;
    this.start(daemon.start());
  }

  /** Kills a machine's process; with `losesPower`, unsynced writes are lost or torn. */
  kill(machine: SimulatedMachine, losesPower = false): void {
    if (!machine.gate.isAlive) return;
    machine.gate.kill();
    machine.daemon = undefined;
    if (losesPower) machine.disk?.losePower();
    else machine.disk?.finishWrites();
    this.network.disconnect(machine.settings.machine);
    for (const listener of [...machine.exitListeners]) listener();
    machine.exitListeners.clear();
    this.recorder.environmentRecords.push({
      kind: "killed",
      atMs: this.virtualClock.nowMs(),
      daemon: machine.settings.machine,
    });
  }

  /** Drains a machine's daemon, then ends its process. */
  *stop(machine: SimulatedMachine): Task {
    const { daemon, gate } = machine;
    if (!daemon || machine.isStopping) return;
    const atMs = this.virtualClock.nowMs();
    machine.isStopping = true;
    yield* waitFor<boolean>((done) => {
      machine.exitListeners.add(() => done(false));
      runTask(daemon.drain(), this.fail, () => gate.pass(() => done(true)));
    });
    if (!gate.isAlive) return;
    yield* sleep(this.clock, 50);
    this.recorder.environmentRecords.push({
      kind: "stopped",
      atMs,
      daemon: machine.settings.machine,
      endedMs: this.virtualClock.nowMs(),
    });
    this.kill(machine);
  }

  private readonly fail = (error: unknown): void => {
    throw error;
  };

  private machineClock(gate: EventGate, offsetMs: number, rate: number): Clock {
    return gate.clock(this.virtualClock.clock(offsetMs, rate));
  }

  private findMachine(name: string): SimulatedMachine | undefined {
    return this.machines.find(({ settings }) => settings.machine === name);
  }

  private createTransport(): ClientTransport {
    return {
      clock: this.clock,
      random: this.random,
      start: (task) => this.start(task),
      readyDaemons: () =>
        this.machines
          .filter(
            ({ settings, daemon, isStopping }) =>
              settings.callers !== undefined && daemon !== undefined && !isStopping,
          )
          .map(({ settings }) => settings),
      isUp: (daemon) => this.findMachine(daemon)?.daemon !== undefined,
      sendRequest: (daemon, clientRequest, timeoutMs) =>
        this.sendRequest(daemon, clientRequest, timeoutMs),
      sendAdminRequest: (daemon, clientRequest, from, timeoutMs) =>
        this.sendAdminRequest(daemon, clientRequest, from, timeoutMs),
    };
  }

  /** Sends one client request to a daemon's proxy; the client hangs up after a timeout. */
  sendRequest(name: string, clientRequest: ProxyRequest, timeoutMs: number): Task<ClientOutcome> {
    return new ClientCall(this, name, this.findMachine(name), clientRequest).run(timeoutMs);
  }

  /** Sends one request to a daemon's admin API, or to a random daemon's; returns undefined without a response. */
  private *sendAdminRequest(
    name: string | undefined,
    clientRequest: ProxyRequest,
    from = OPERATORS_LOCATION,
    timeoutMs = ADMIN_TIMEOUT_MS,
  ): Task<ClientResponse | undefined> {
    const runningMachines = this.machines.filter(({ daemon }) => daemon !== undefined);
    const machine =
      name === undefined
        ? runningMachines[Math.floor(this.random() * runningMachines.length)]
        : this.findMachine(name);
    if (!machine) return undefined;
    const { network } = this;
    const location = machine.settings.machine;
    return yield* withTimeout<ClientResponse | undefined>(this.clock, timeoutMs, (done) => {
      const sendBack = (response: ClientResponse | undefined): void => {
        if (from === OPERATORS_LOCATION && response && this.random() < this.lostResponseFraction)
          return;
        network.deliver(
          location,
          from,
          outsideGate,
          () => done(response),
          () => done(undefined),
        );
      };
      const respond = (response: ClientResponse): void => {
        sendBack(response);
        if (response.code === 200 && clientRequest.method === "PUT") this.onAcknowledged(machine);
      };
      const arrive = (): void => {
        if (!machine.daemon || !machine.gate.isAlive) return sendBack(undefined);
        const { daemon, gate } = machine;
        machine.exitListeners.add(() => done(undefined));
        gate.pass(() => daemon.adminRequests.emit({ clientRequest, respond }));
      };
      network.deliver(from, location, outsideGate, arrive, () => done(undefined));
    });
  }

  private createBackendClient(
    machine: SimulatedMachine,
    gate: EventGate,
    machineClock: Clock,
  ): BackendClient {
    return virtualBackends({
      location: machine.settings.machine,
      gate,
      machineClock,
      clock: this.clock,
      network: this.network,
      random: this.random,
      findTestBackend: (address) =>
        this.testBackends.find((testBackend) => testBackend.address === address),
    });
  }
}
