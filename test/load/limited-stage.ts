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

/** Machines with a disk, and those without, as the grown deployments have them. */
const memberLimits: MachineLimits = { cpuShare: 0.675, linkMbps: 100 };
const edgeLimits: MachineLimits = { cpuShare: 0.27, linkMbps: 3.5 };

/** A staged fleet in which every machine has a share of a core and a link of its own rate. */
export class LimitedCluster extends ControlFixture {
  private readonly processors = new Map<FixtureMachine, Processor>();

  constructor(machines: readonly string[], seeds: readonly number[], more: Partial<Settings> = {}) {
    super(machines, seeds, more);
    for (const machine of this.machines) {
      const { linkMbps } = this.limitsOf(machine);
      machine.settings = { ...machine.settings, limits: { linkMbps } };
    }
  }

  /** The processor of a machine's present life. */
  processor(machine: FixtureMachine): Processor {
    const known = this.processors.get(machine);
    if (!known) throw new Error("The machine was never started.");
    return known;
  }

  /** How often another machine has come to lead. */
  get electionCount(): number {
    return this.logLines.filter((line) => line.includes("leader elected")).length;
  }

  protected override createEnvironment(machine: FixtureMachine): ProcessEnvironment {
    const time = this.virtualClock.clock();
    const { cpuShare, linkMbps } = this.limitsOf(machine);
    const processor = new Processor(time, cpuShare);
    this.processors.set(machine, processor);
    const gate = new LimitedGate(time, processor, estimatedCpuCosts);
    const clock = gate.clock(time);
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
