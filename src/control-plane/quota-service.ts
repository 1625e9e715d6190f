/** Retry capacity at the leader: the replicated log decides which edges may hold a part of it. */
import type { DaemonInfo, WatchRequest } from "../control-protocol/watch-request.js";
import { type Runtime, randomNonce } from "../runtime/runtime.js";
import type { LogCommand } from "../state/log-command.js";
import type { StateMachine } from "../state/state-machine.js";
import type { LeaderLog } from "./leader-log.js";
import type { RetryCapacityAllocator } from "./retry-capacity-allocator.js";

/** The capacities of an edge, with the number of their allocation. */
export interface CapacityAllocation {
  readonly number: string;
  /** The retry capacity by service. */
  readonly capacities: ReadonlyMap<string, number>;
}

/** The dependencies of the quota service. */
export interface QuotaServiceOptions {
  readonly runtime: Runtime;
  readonly log: LeaderLog;
  readonly stateMachine: StateMachine;
  readonly allocator: RetryCapacityAllocator;
}

/** Registers edges as holders of retry capacity, allocates capacities to them and removes holders whose capacities lapsed. */
export class QuotaService {
  private readonly runtime: Runtime;
  private readonly log: LeaderLog;
  private readonly stateMachine: StateMachine;
  private readonly allocator: RetryCapacityAllocator;
  /** Edges whose registration as holders is proposed; they get no capacity yet. */
  private readonly pendingRegistrations = new Set<string>();
  /** Edges whose removal as holders is proposed; they get no capacity any more. */
  private readonly pendingRemovals = new Set<string>();
  /** Whether the allocator has started this term; the first watch request starts it. */
  private hasStartedAllocations = false;

  constructor({ runtime, log, stateMachine, allocator }: QuotaServiceOptions) {
    this.runtime = runtime;
    this.log = log;
    this.stateMachine = stateMachine;
    this.allocator = allocator;
  }

  /** Starts a term. */
  startTerm(): void {
    this.hasStartedAllocations = false;
    this.pendingRegistrations.clear();
    this.pendingRemovals.clear();
  }

  /** Starts the term's allocations, unless they have started. */
  startAllocations(nowMs: number): void {
    if (this.hasStartedAllocations) return;
    this.hasStartedAllocations = true;
    this.allocator.beginTerm(
      nowMs,
      randomNonce(this.runtime),
      this.stateMachine.retryCapacityHolders,
    );
  }

  /** The capacities of the daemon that sent a watch request; none where it isn't an edge or isn't a registered holder yet. */
  allocate(request: WatchRequest, services: readonly string[], nowMs: number): CapacityAllocation {
    const { machine } = request;
    const isEdge = machine.roles.includes("edge") && !machine.draining;
    const edge = QuotaService.formatHolder(machine);
    const isHolder = this.stateMachine.retryCapacityHolders.has(edge);
    if (isEdge && !isHolder && !this.pendingRegistrations.has(edge)) {
      this.pendingRegistrations.add(edge);
      this.log.submit({ kind: "holder", edge });
    }
    if (!isEdge || !isHolder || this.pendingRemovals.has(edge))
      return { number: "", capacities: new Map() };
    return this.allocator.allocate(
      edge,
      {
        number: request.grantNumber,
        capacities: new Map(request.capacities.map(({ service, capacity }) => [service, capacity])),
      },
      new Map(request.wished.map(({ service, count }) => [service, count])),
      services,
      nowMs,
    );
  }

  /** Tracks the holders that log commands register and remove. */
  onApplied(command: LogCommand): void {
    if (command.kind === "holder") this.pendingRegistrations.delete(command.edge);
    if (command.kind === "holdersPast")
      for (const edge of command.edges) this.pendingRemovals.delete(edge);
  }

  /** Proposes to remove the holders whose capacities have lapsed. */
  removeLapsedHolders(nowMs: number): void {
    if (!this.hasStartedAllocations) return;
    const lapsed = this.allocator
      .expiredEdges(nowMs, this.stateMachine.retryCapacityHolders)
      .filter((edge) => !this.pendingRemovals.has(edge));
    if (lapsed.length === 0) return;
    this.log.submit({ kind: "holdersPast", edges: lapsed });
    for (const edge of lapsed) this.pendingRemovals.add(edge);
  }

  /** The name of an edge's incarnation in the replicated log. */
  private static formatHolder({ name, incarnation }: DaemonInfo): string {
    return `${name} ${incarnation}`;
  }
}
