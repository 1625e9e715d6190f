/** Draws losses of a deployment's machines in series: kills, lost disks and stops, one after the other and overlapping. */
import type { Deployment } from "./deployment.js";
import type { DeploymentMachine } from "./deployment-machine.js";
import { epochMs } from "./event-log.js";

/** One kind of loss, and how often it is drawn among all. */
interface LossKind {
  readonly weight: number;
  readonly run: (losses: DeploymentLosses) => Promise<void>;
}

const MIN_PAUSE_MS = 1500;
const MAX_PAUSE_MS = 5000;
const MIN_DOWN_MS = 300;
const MAX_DOWN_MS = 3000;
const KILLED_EDGES_FRACTION = 0.4;

/** Loses machines until the time is over. */
export class DeploymentLosses {
  private readonly deployment: Deployment;
  private readonly random: () => number;
  private readonly pending: Array<Promise<void>> = [];

  constructor(deployment: Deployment, random: () => number) {
    this.deployment = deployment;
    this.random = random;
  }

  /** Draws one loss after the other; resolves when all machines run again or are being started. */
  async run(untilMs: number): Promise<void> {
    while (epochMs() < untilMs) {
      await this.pause(MIN_PAUSE_MS, MAX_PAUSE_MS);
      this.pending.push(this.draw().run(this));
    }
    await Promise.all(this.pending);
  }

  /** Kills one member; `losesDisk` with its disk. */
  async killMember(losesDisk: boolean): Promise<void> {
    await this.kill(this.pick(this.members), losesDisk);
  }

  /** Kills all members at the same time; their disks remain. */
  async killAllMembers(): Promise<void> {
    const downMs = this.between(MIN_DOWN_MS, 2 * MIN_DOWN_MS);
    await Promise.all(
      this.members.map((machine) =>
        this.deployment.killMachine(machine, { downMs, losesDisk: false }),
      ),
    );
  }

  /** The end of a day: right after a change all members are killed at the same time, and one of them loses its disk. */
  async loseAllMembersAndOneDisk(): Promise<void> {
    const wiped = this.pick(this.members);
    const downMs = this.between(MIN_DOWN_MS, MAX_DOWN_MS);
    await Promise.all(
      this.members.map((machine) =>
        this.deployment.killMachine(machine, { downMs, losesDisk: machine === wiped }),
      ),
    );
  }

  /** Kills some machines without disks. */
  async killEdges(): Promise<void> {
    const edges = this.deployment.machines.filter(({ isMember }) => !isMember);
    await Promise.all(
      edges
        .filter(() => this.random() < KILLED_EDGES_FRACTION)
        .map((machine) => this.kill(machine, false)),
    );
  }

  /** Stops one member as the platform does. */
  async stopMember(): Promise<void> {
    const member = this.pick(this.members);
    if (member) await this.deployment.stopMachine(member);
  }

  private get members(): DeploymentMachine[] {
    return this.deployment.machines.filter(({ isMember }) => isMember);
  }

  private async kill(machine: DeploymentMachine | undefined, losesDisk: boolean): Promise<void> {
    const downMs = this.between(MIN_DOWN_MS, MAX_DOWN_MS);
    if (machine) await this.deployment.killMachine(machine, { downMs, losesDisk });
  }

  private draw(): LossKind {
    let rest = this.random() * LOSS_KINDS.reduce((sum, { weight }) => sum + weight, 0);
    for (const kind of LOSS_KINDS) {
      if (rest < kind.weight) return kind;
      rest -= kind.weight;
    }
    return KILL_MEMBER;
  }

  private pick<T>(items: readonly T[]): T | undefined {
    return items[Math.floor(this.random() * items.length)];
  }

  private between(minimum: number, maximum: number): number {
    return minimum + (maximum - minimum) * this.random();
  }

  private pause(minimumMs: number, maximumMs: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, this.between(minimumMs, maximumMs)));
  }
}

const KILL_MEMBER: LossKind = { weight: 3, run: (losses) => losses.killMember(false) };
const LOSS_KINDS: readonly LossKind[] = [
  KILL_MEMBER,
  { weight: 2, run: (losses) => losses.killMember(true) },
  { weight: 2, run: (losses) => losses.killAllMembers() },
  { weight: 1, run: (losses) => losses.killEdges() },
  { weight: 2, run: (losses) => losses.stopMember() },
];
