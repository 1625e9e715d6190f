/** Puts the leader's services together: they share the replicated state, and follow its changes and those of the leadership. */
import { sleep } from "../runtime/clock.js";
import type { Runtime } from "../runtime/runtime.js";
import { StepTimer } from "../runtime/step-timer.js";
import type { Task } from "../runtime/task.js";
import type { LogCommand } from "../state/log-command.js";
import type { StateMachine } from "../state/state-machine.js";
import { ClaimService } from "./claim-service.js";
import { clusterStatus } from "./cluster-status.js";
import { CommandMetrics } from "./command-metrics.js";
import { CommandRouter } from "./command-router.js";
import { ConfigChangeLog } from "./config-change-log.js";
import { ConfigService } from "./config-service.js";
import type { ControlPlaneTimeouts } from "./control-plane-timeouts.js";
import { DaemonRegistry } from "./daemon-registry.js";
import { EndpointChangeLog } from "./endpoint-change-log.js";
import { EndpointRegistry } from "./endpoint-registry.js";
import { LeaderLog, type LeaderReplica } from "./leader-log.js";
import { LeaseManager } from "./lease-manager.js";
import { MembershipService } from "./membership-service.js";
import { QuotaService } from "./quota-service.js";
import type { RetryCapacityAllocator } from "./retry-capacity-allocator.js";

/** The interval between two rounds of maintenance. */
const MAINTENANCE_INTERVAL_MS = 500;

/** What only the leader does: processes commands, maintains registrations and claims, and gives daemons their leased views. */
export class ControlPlane {
  private readonly runtime: Runtime;
  private readonly log: LeaderLog;
  private readonly configs: ConfigService;
  private readonly endpoints: EndpointRegistry;
  private readonly claims: ClaimService;
  private readonly quotas: QuotaService;
  private readonly daemons: DaemonRegistry;
  private readonly leases: LeaseManager;
  private readonly router: CommandRouter;

  constructor(
    runtime: Runtime,
    replica: LeaderReplica,
    stateMachine: StateMachine,
    timeouts: ControlPlaneTimeouts,
    allocator: RetryCapacityAllocator,
  ) {
    const { clock } = runtime;
    const logger = runtime.loggers.component("control-plane");
    const steps = new StepTimer(clock, logger);
    const log = new LeaderLog(runtime, replica);
    const endpointChanges = new EndpointChangeLog(stateMachine);
    const shared = { runtime, clock, logger, steps, log, replica, stateMachine, timeouts };
    this.runtime = runtime;
    this.log = log;
    this.configs = new ConfigService({ ...shared, idQuarantineMs: timeouts.idQuarantineMs });
    this.endpoints = new EndpointRegistry({ ...shared, endpointChanges });
    this.claims = new ClaimService({ ...shared, claimTtlMs: timeouts.keyMs });
    this.quotas = new QuotaService({ ...shared, allocator });
    this.daemons = new DaemonRegistry({
      ...shared,
      unresponsiveAfterMs: timeouts.unresponsiveAfterMs,
    });
    const { configs, endpoints, claims, quotas, daemons } = this;
    this.leases = new LeaseManager({
      ...shared,
      configChanges: new ConfigChangeLog(stateMachine, () => configs.active),
      endpointChanges,
      daemons,
      endpoints,
      quotas,
    });
    this.router = new CommandRouter({
      clock,
      steps,
      metrics: new CommandMetrics(clock, logger),
      configs,
      endpoints,
      claims,
      membership: new MembershipService(log, replica),
      clusterStatus: () =>
        log.respond(() => clusterStatus({ ...shared, daemons, endpoints, nowMs: clock.nowMs() })),
    });
    stateMachine.onApplied((command, index) => this.onApplied(command, index));
    replica.onLeadershipChange((leads) => {
      if (leads) this.startTerm();
      this.leases.onLeadershipChange();
    });
  }

  /** Processes the text of a command at the leader; returns the text of the response. */
  *command(text: string): Task<string> {
    return yield* this.router.route(text);
  }

  /** Processes the text of a daemon's watch request; returns the text of its leased view. */
  *watch(text: string): Task<string> {
    return yield* this.leases.watch(text);
  }

  /** Processes configuration changes, one after another, for ever. */
  *runConfigChanges(): Task {
    yield* this.configs.run();
  }

  /** Ends what has expired and marks daemons that are unresponsive, in intervals, for ever. */
  *runMaintenance(): Task {
    for (;;) {
      yield* sleep(this.runtime.clock, MAINTENANCE_INTERVAL_MS);
      if (!this.log.holdsLease) continue;
      const nowMs = this.runtime.clock.nowMs();
      this.endpoints.expireRegistrations(nowMs);
      this.endpoints.expireTombstones(nowMs);
      this.daemons.markUnresponsive(nowMs);
      this.quotas.removeLapsedHolders(nowMs);
      this.claims.expireClaims(nowMs);
    }
  }

  private onApplied(command: LogCommand, index: number): void {
    this.claims.onApplied(command, index);
    this.endpoints.onApplied(command);
    this.leases.onApplied(command);
    this.quotas.onApplied(command);
  }

  private startTerm(): void {
    const nowMs = this.runtime.clock.nowMs();
    this.configs.startTerm();
    this.endpoints.startTerm(nowMs);
    this.claims.startTerm(nowMs);
    this.quotas.startTerm();
    this.daemons.startTerm();
    this.leases.startTerm(nowMs);
  }
}
