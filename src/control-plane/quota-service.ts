/** Retry capacity at the leader: which edges may hold a part of it, as agreed in the replicated log. */
import type { DaemonInfo, WatchRequest } from "../control-protocol/watch-request.js";
import { type Runtime, randomNonce } from "../runtime/runtime.js";
import type { LogCommand } from "../state/log-command.js";
import type { StateMachine } from "../state/state-machine.js";
import type { LeaderLog } from "./leader-log.js";
import type { RetryCapacityAllocator } from "./retry-capacity-allocator.js";

/** The capacities of an edge under the number of their allocation. */
export interface CapacityAllocation {
  readonly number: string;
  /** The retry capacity by service. */
  readonly capacities: ReadonlyMap<string, number>;
}

/** What the quota service needs. */
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
  /** Edges whose registration as holders is proposed; none of them is allocated any capacity. */
  private readonly entering = new Set<string>();
  /** Edges whose removal as holders is proposed; none of them is allocated any capacity. */
  private readonly parting = new Set<string>();
  /** Whether the allocator has begun this term: it does with the first watch request. */
  private hasBegun = false;

  constructor({ runtime, log, stateMachine, allocator }: QuotaServiceOptions) {
    this.runtime = runtime;
    this.log = log;
    this.stateMachine = stateMachine;
    this.allocator = allocator;
  }

  /** Begins a term. */
  startTerm(): void {
    this.hasBegun = false;
    this.entering.clear();
    this.parting.clear();
  }

  /** Begins the term's allocations, if none was made yet. */
  startAllocations(nowMs: number): void {
    if (this.hasBegun) return;
    this.hasBegun = true;
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
    const edge = QuotaService.holderName(machine);
    const isHolder = this.stateMachine.retryCapacityHolders.has(edge);
    if (isEdge && !isHolder && !this.entering.has(edge)) {
      this.entering.add(edge);
      this.log.submit({ kind: "holder", edge });
    }
    if (!isEdge || !isHolder || this.parting.has(edge))
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

  /** Follows the registrations and removals of holders in the replicated log. */
  onApplied(command: LogCommand): void {
    if (command.kind === "holder") this.entering.delete(command.edge);
    if (command.kind === "holdersPast") for (const edge of command.edges) this.parting.delete(edge);
  }

  /** Proposes to remove the holders whose capacities lapsed. */
  removeLapsedHolders(nowMs: number): void {
    if (!this.hasBegun) return;
    const lapsed = this.allocator
      .expiredEdges(nowMs, this.stateMachine.retryCapacityHolders)
      .filter((edge) => !this.parting.has(edge));
    if (lapsed.length === 0) return;
    this.log.submit({ kind: "holdersPast", edges: lapsed });
    for (const edge of lapsed) this.parting.add(edge);
  }

  /** One life of an edge, as the replicated log names it. */
  private static holderName({ name, incarnation }: DaemonInfo): string {
    return `${name} ${incarnation}`;
  }
}
