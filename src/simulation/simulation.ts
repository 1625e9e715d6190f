import type { BackendClient } from "../proxy/upstream/backend-client.js";
import type { ClientConnection, ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";
import { Clock } from "../runtime/clock.js";
import { Daemon } from "../daemon/daemon.js";
import type { Settings } from "../daemon/settings.js";
import type { ReplicationTimeouts } from "../replication/replication-node.js";
import { Task } from "../runtime/task.js";
import { CLIENT_TIMEOUT_MS, Workload } from "./workload.js";
import type { ClientSide, ClientTransport } from "./client-transport.js";
import { RandomDraw } from "./random-draw.js";
import { EventGate } from "./event-gate.js";
import { EventRecorder } from "./event-recorder.js";
import type { Profile } from "./profile.js";
import { TestBackend } from "./test-backend.js";
import { virtualBackends } from "./virtual-backends.js";
import { VirtualClock } from "./virtual-clock.js";
import { VirtualDisk } from "./virtual-disk.js";
import { VirtualNetwork } from "./virtual-network.js";
import { virtualRuntime } from "./virtual-runtime.js";

/** One machine of a simulated fleet. */
export interface SimulatedMachine {
  readonly settings: Settings;
  readonly disk: VirtualDisk | undefined;
  readonly offsetMs: number;
  readonly rate: number;
  /** How far its wall clock has jumped. */
  wallJumpMs: number;
  gate: EventGate;
  daemon: Daemon | undefined;
  isStopping: boolean;
  /** Whether it is gone for good, so that it never starts again. */
  isRemoved: boolean;
  /** Whether its disk was lost once, after which it never forms a log. */
  isEmptied: boolean;
  /** Hears that the process is gone: every connection to it breaks. */
  readonly gone: Set<() => void>;
}

/** What a machine is laid out by. */
interface Laying {
  readonly at: number;
  readonly zone: string;
  readonly hasDisk: boolean;
  readonly isSpare?: boolean;
}

/** Where callers are, as the network names it. */
export const CLIENTS_LOCATION = "callers";
/** Where operators are. */
export const OPERATORS_LOCATION = "operators";
/** How long a call of an operator or a back end waits for its answer where it says nothing else. */
const deskWaitMs = 5000;
/** How often an operator reads the configuration. */
const readEveryMs = 300;
const peerPort = 7000;
const outsideGate = new EventGate();
/** Small, so that a day sees many checkpoints. */
const simCheckpointBytes = 60_000;

/** A whole fleet with its callers, back ends and operators in one process, on virtual time, repeatable by seed. */
export class Simulation {
  readonly time = new VirtualClock();
  readonly clock: Clock;
  readonly random: () => number;
  readonly network: VirtualNetwork;
  readonly recorder = new EventRecorder();
  readonly machines: SimulatedMachine[];
  readonly testBackends: TestBackend[] = [];
  readonly day: Workload;
  readonly profile: Profile;
  readonly lines: string[] = [];
  /** The part of answers to operators that is lost on the way. */
  lostAnswerPart = 0;
  /** Hears which machine has just sent an operator a 200 to an order. */
  onAcknowledged: (machine: SimulatedMachine) => void = () => undefined;
  /** Whether a failure that takes a member's disk away is under way; only one may be at once. */
  isLosingDisk = false;
  private readonly waits: Partial<ReplicationTimeouts>;

  constructor(
    profile: Profile,
    seed: number,
    rateFactor: number,
    waits: Partial<ReplicationTimeouts> = {},
  ) {
    this.profile = profile;
    this.waits = { snapshotBytes: simCheckpointBytes, ...waits };
    this.clock = this.time.clock();
    this.random = RandomDraw.of(seed);
    this.network = new VirtualNetwork(this.clock, this.random);
    const count = profile.diskMachines + profile.smallMachines;
    this.machines = Array.from({ length: count }, (_, at) => {
      const zone = profile.zones[at % profile.zones.length] ?? "";
      return this.laid({ at, zone, hasDisk: at < profile.diskMachines });
    });
    const bodyBytes = new Map(
      profile.traffic.map((one) => [
        `${one.method} /${one.path(0).split("/")[1] ?? ""}`,
        Math.min(one.bodyBytes, 300_000),
      ]),
    );
    let port = 9000;
    for (const [service, many] of Object.entries(profile.backEnds))
      for (let at = 0; at < many; at += 1)
        this.testBackends.push(
          new TestBackend(
            `10.1.0.1:${(port += 1)}`,
            profile.zones[at % profile.zones.length] ?? "",
            service,
            this.recorder,
            this.random,
            bodyBytes,
          ),
        );
    this.day = new Workload(this.outside(), profile, this.recorder, rateFactor);
  }

  /** A machine as it is before its first start, at the address that its number gives it. */
  private laid({ at, zone, hasDisk, isSpare = false }: Laying): SimulatedMachine {
    const address = (port: number): string => `10.0.0.${at + 1}:${port}`;
    const { tolerate, bounds } = this.profile;
    const settings: Settings = {
      machine: `${hasDisk ? "disk" : "small"}-${at + 1}`,
      zone,
      operators: address(7070),
      peers: address(peerPort),
      seeds: isSpare ? this.seeds() : [0, 1, 2].map((seed) => `10.0.0.${seed + 1}:${peerPort}`),
      ...(hasDisk ? { dataFolder: "data" } : { callers: address(8080) }),
      ...(isSpare ? { bootstrap: false } : {}),
      ...(tolerate === undefined ? {} : { tolerate }),
      ...(bounds === undefined ? {} : { bounds }),
    };
    const gate = new EventGate();
    const offsetMs = this.random() * 1e7;
    const rate = 1 + (this.random() - 0.5) * 0.002;
    const disk = hasDisk
      ? new VirtualDisk(this.machineClock(gate, offsetMs, rate), this.random)
      : undefined;
    return {
      settings,
      disk,
      offsetMs,
      rate,
      wallJumpMs: 0,
      gate,
      daemon: undefined,
      isStopping: false,
      isRemoved: false,
      isEmptied: false,
      gone: new Set(),
    };
  }

  /** The peer addresses that a settings file written now would name. */
  private seeds(): string[] {
    return this.machines
      .filter(({ isRemoved }) => !isRemoved)
      .slice(0, 3)
      .map(({ settings }) => settings.peers);
  }

  /** A new machine comes up in a zone, with an empty disk, at an address that none had before. */
  addSpare(zone: string): SimulatedMachine {
    const machine = this.laid({ at: this.machines.length, zone, hasDisk: true, isSpare: true });
    this.machines.push(machine);
    this.boot(machine);
    return machine;
  }

  /** A machine is gone for good, and its disk with it. */
  remove(machine: SimulatedMachine): void {
    this.kill(machine, true);
    machine.disk?.wipe();
    machine.isRemoved = true;
  }

  /** Starts all machines, back ends and callers. */
  begin(): void {
    for (const machine of this.machines) this.boot(machine);
    for (const testBackend of this.testBackends) this.start(this.day.announcing(testBackend, 1000));
    for (const traffic of this.profile.traffic) this.start(this.day.callers(traffic));
    this.start(this.day.probers(5));
    this.start(this.day.operators.reading(readEveryMs));
  }

  start(task: Task<unknown>): void {
    Task.start(task, (error) => {
      throw error;
    });
  }

  /** Starts a machine's process, unless it runs. */
  boot(machine: SimulatedMachine): void {
    if (machine.daemon || machine.isRemoved) return;
    const gate = new EventGate();
    machine.gate = gate;
    machine.isStopping = false;
    const clock = this.machineClock(gate, machine.offsetMs, machine.rate);
    machine.disk?.restart(clock);
    const runtime = virtualRuntime({
      clock,
      network: this.network.wire(machine.settings.machine, gate),
      disk: machine.disk,
      lines: (line) =>
        this.lines.push(
          `${(this.time.nowMs() / 1000).toFixed(3)} ${machine.settings.machine} ${line}`,
        ),
      random: this.random,
      wallTime: () => new Date(1.8e12 + this.time.nowMs() + machine.offsetMs + machine.wallJumpMs),
    });
    const settings = {
      ...machine.settings,
      seeds: this.seeds(),
      ...(machine.isEmptied ? { bootstrap: false } : {}),
    };
    const daemon = new Daemon(runtime, settings, {
      backendClient: this.backEnds(machine, gate, clock),
      waits: this.waits,
    });
    machine.daemon = daemon;
    this.start(daemon.start());
  }

  /** The process dies at once; with `power`, what was not synced is lost or torn. */
  kill(machine: SimulatedMachine, power = false): void {
    if (!machine.gate.isAlive) return;
    machine.gate.kill();
    machine.daemon = undefined;
    if (power) machine.disk?.losePower();
    else machine.disk?.finishWrites();
    this.network.drop(machine.settings.machine);
    for (const hear of [...machine.gone]) hear();
    machine.gone.clear();
    this.recorder.world.push({
      kind: "killed",
      atMs: this.time.nowMs(),
      daemon: machine.settings.machine,
    });
  }

  /** The machine is told to stop, and its process ends once drained. */
  *stop(machine: SimulatedMachine): Task {
    const { daemon, gate } = machine;
    if (!daemon || machine.isStopping) return;
    const atMs = this.time.nowMs();
    machine.isStopping = true;
    yield* Task.wait<boolean>((done) => {
      machine.gone.add(() => done(false));
      Task.start(daemon.drain(), this.fail, () => gate.pass(() => done(true)));
    });
    if (!gate.isAlive) return;
    yield* Clock.sleep(this.clock, 50);
    this.recorder.world.push({
      kind: "stopped",
      atMs,
      daemon: machine.settings.machine,
      endedMs: this.time.nowMs(),
    });
    this.kill(machine);
  }

  private readonly fail = (error: unknown): void => {
    throw error;
  };

  private machineClock(gate: EventGate, offsetMs: number, rate: number): Clock {
    return gate.clock(this.time.clock(offsetMs, rate));
  }

  private machine(name: string): SimulatedMachine | undefined {
    return this.machines.find(({ settings }) => settings.machine === name);
  }

  private outside(): ClientTransport {
    return {
      clock: this.clock,
      random: this.random,
      start: (task) => this.start(task),
      ready: () =>
        this.machines
          .filter(
            (one) =>
              one.settings.callers !== undefined && one.daemon !== undefined && !one.isStopping,
          )
          .map(({ settings }) => settings),
      isUp: (daemon) => this.machine(daemon)?.daemon !== undefined,
      call: (daemon, clientRequest, patienceMs) => this.call(daemon, clientRequest, patienceMs),
      desk: (daemon, clientRequest, from, patienceMs) =>
        this.desk(daemon, clientRequest, from, patienceMs),
    };
  }

  /** Sends one request to a daemon as a caller does, who hangs up after a while. */
  *call(name: string, clientRequest: ProxyRequest, patienceMs: number): Task<ClientSide> {
    const machine = this.machine(name);
    const { network, clock, random } = this;
    const broken = (broke: ClientSide["broke"]): ClientSide => ({
      code: 0,
      broke,
      body: Buffer.alloc(0),
      statedBytes: undefined,
      retryAfterS: undefined,
    });
    let hangUp = (): void => undefined;
    const end = yield* Clock.withTimeout<ClientSide>(clock, patienceMs, (done) => {
      const back = (outcome: ClientSide): void =>
        network.deliver(
          name,
          CLIENTS_LOCATION,
          outsideGate,
          () => done(outcome),
          () => done(broken("silent")),
        );
      const arrive = (): void => {
        if (!machine?.daemon || !machine.gate.isAlive) return back(broken("refused"));
        const { daemon, gate } = machine;
        let isGone = false;
        let open: { code: number; headers: Record<string, string>; pieces: Buffer[] } | undefined;
        const finish = (outcome: ClientSide): void => {
          isGone = true;
          machine.gone.delete(gone);
          back(outcome);
        };
        const gone = (): void => finish(broken("broken"));
        machine.gone.add(gone);
        hangUp = () =>
          network.deliver(
            CLIENTS_LOCATION,
            name,
            gate,
            () => {
              isGone = true;
              machine.gone.delete(gone);
            },
            () => undefined,
          );
        const ended = (
          code: number,
          headers: Record<string, string>,
          body: Buffer,
        ): ClientSide => ({
          code,
          broke: "",
          body,
          statedBytes: Number(headers["content-length"] ?? body.length),
          retryAfterS:
            headers["retry-after"] === undefined ? undefined : Number(headers["retry-after"]),
        });
        const client: ClientConnection = {
          get isClosed() {
            return isGone;
          },
          respond: ({ code, headers, body }) => {
            if (!isGone) finish(ended(code, headers, Buffer.from(body)));
          },
          writeHead: (code, headers) => {
            open = { code, headers, pieces: [] };
          },
          *writeChunk(bytes) {
            open?.pieces.push(Buffer.from(bytes));
            if (random() < 0.2)
              yield* Task.wait<boolean>((drained) =>
                clock.after(2, () => gate.pass(() => drained(true))),
              );
            return !isGone;
          },
          end: () => {
            if (!isGone && open) finish(ended(open.code, open.headers, Buffer.concat(open.pieces)));
          },
          abort: () => {
            if (!isGone) finish(broken("broken"));
          },
        };
        gate.pass(() => daemon.callers.emit({ clientRequest, client }));
      };
      clock.after(network.connectMs(), () =>
        network.deliver(CLIENTS_LOCATION, name, outsideGate, arrive, () => done(broken("silent"))),
      );
    });
    if (end) return end;
    hangUp();
    return broken(patienceMs < CLIENT_TIMEOUT_MS ? "hungUp" : "silent");
  }

  private *desk(
    name: string | undefined,
    clientRequest: ProxyRequest,
    from = OPERATORS_LOCATION,
    patienceMs = deskWaitMs,
  ): Task<ClientResponse | undefined> {
    const open = this.machines.filter((one) => one.daemon !== undefined);
    const machine =
      name === undefined ? open[Math.floor(this.random() * open.length)] : this.machine(name);
    if (!machine) return undefined;
    const { network } = this;
    const place = machine.settings.machine;
    return yield* Clock.withTimeout<ClientResponse | undefined>(this.clock, patienceMs, (done) => {
      const back = (response: ClientResponse | undefined): void => {
        if (from === OPERATORS_LOCATION && response && this.random() < this.lostAnswerPart) return;
        network.deliver(
          place,
          from,
          outsideGate,
          () => done(response),
          () => done(undefined),
        );
      };
      const give = (response: ClientResponse): void => {
        back(response);
        if (response.code === 200 && clientRequest.method === "PUT") this.onAcknowledged(machine);
      };
      const arrive = (): void => {
        if (!machine.daemon || !machine.gate.isAlive) return back(undefined);
        const { daemon, gate } = machine;
        machine.gone.add(() => done(undefined));
        gate.pass(() => daemon.operators.emit({ clientRequest, give }));
      };
      network.deliver(from, place, outsideGate, arrive, () => done(undefined));
    });
  }

  private backEnds(machine: SimulatedMachine, gate: EventGate, own: Clock): BackendClient {
    return virtualBackends({
      place: machine.settings.machine,
      gate,
      own,
      clock: this.clock,
      network: this.network,
      random: this.random,
      standInAt: (address) => this.testBackends.find((one) => one.address === address),
    });
  }
}
