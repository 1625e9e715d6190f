/** A simulated cluster whose machines have limited processors and links. */
import type { Settings } from "../../src/daemon/settings.js";
import { ControlFixture } from "../platform/command-stage.js";
import type { ProcessEnvironment, FixtureMachine } from "../replication/fleet-stage.js";
import {
  LimitedGate,
  limitNetwork,
  LinkQueue,
  Processor,
  estimatedCpuCosts,
  type MachineLimits,
} from "./machine-limits.js";

/** Limits of the machines with a disk in the grown deployments. */
const memberLimits: MachineLimits = { cpuShare: 0.675, linkMbps: 100 };
/** Limits of the edges in the grown deployments. */
const edgeLimits: MachineLimits = { cpuShare: 0.27, linkMbps: 3.5 };

/** A simulated cluster in which every machine has a share of a core and a link with a limited rate. */
export class LimitedCluster extends ControlFixture {
  private readonly processors = new Map<FixtureMachine, Processor>();

  constructor(
    machines: readonly string[],
    seeds: readonly number[],
    extraSettings: Partial<Settings> = {},
  ) {
    super(machines, seeds, extraSettings);
    for (const machine of this.machines) {
      const { linkMbps } = this.limitsOf(machine);
      machine.settings = { ...machine.settings, limits: { linkMbps } };
    }
  }

  /** The processor of a machine's current process. */
  processor(machine: FixtureMachine): Processor {
    const processor = this.processors.get(machine);
    if (!processor) throw new Error(`${machine.settings.machine} was never started`);
    return processor;
  }

  /** Number of times that a leader was elected. */
  get electionCount(): number {
    return this.logLines.filter((line) => line.includes("leader elected")).length;
  }

  protected override createEnvironment(machine: FixtureMachine): ProcessEnvironment {
    const ungatedClock = this.virtualClock.clock();
    const { cpuShare, linkMbps } = this.limitsOf(machine);
    const processor = new Processor(ungatedClock, cpuShare);
    this.processors.set(machine, processor);
    const gate = new LimitedGate(ungatedClock, processor, estimatedCpuCosts);
    const clock = gate.clock(ungatedClock);
    const network = limitNetwork(this.network.createInterface(machine.settings.machine, gate), {
      clock,
      processor,
      egress: new LinkQueue(clock, linkMbps),
      ingress: new LinkQueue(clock, linkMbps),
      costs: estimatedCpuCosts,
    });
    return { gate, clock, network };
  }

  private limitsOf(machine: FixtureMachine): MachineLimits {
    return machine.disk ? memberLimits : edgeLimits;
  }
}
