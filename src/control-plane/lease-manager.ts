/** Responds to watch requests with leased views: what changed of the configuration, the endpoints and the cluster. */
import { COMPRESSION_THRESHOLD_CHARS } from "../control-protocol/compressed-text.js";
import { type WatchRequest, readWatchRequest } from "../control-protocol/watch-request.js";
import type { LeasedView } from "../control-protocol/leased-view.js";
import { encodeCommandResult } from "../control-protocol/command-response.js";
import type { Runtime } from "../runtime/runtime.js";
import type { StepTimer } from "../runtime/step-timer.js";
import type { Task } from "../runtime/task.js";
import type { LogCommand } from "../state/log-command.js";
import type { StateMachine } from "../state/state-machine.js";
import type { ConfigChangeLog } from "./config-change-log.js";
import type { ControlPlaneTimeouts } from "./control-plane-timeouts.js";
import type { DaemonRegistry } from "./daemon-registry.js";
import type { EndpointChangeLog } from "./endpoint-change-log.js";
import type { EndpointRegistry } from "./endpoint-registry.js";
import { LargeViewLimiter } from "./large-view-limiter.js";
import { NO_LEASE, type LeaderLog } from "./leader-log.js";
import type { CapacityAllocation, QuotaService } from "./quota-service.js";
import { WatchHub } from "./watch-hub.js";

/** The kinds of log commands that update the configuration or the endpoints. */
const UPDATING_KINDS: ReadonlySet<LogCommand["kind"]> = new Set([
  "config",
  "contract",
  "leave",
  "end",
  "purge",
]);

/** The response to a watch request whose large view was sent just before. */
const VIEW_IN_TRANSIT = JSON.stringify({ granted: false, why: "the view is under way" });

/** What the lease manager needs. */
export interface LeaseManagerOptions {
  readonly runtime: Runtime;
  readonly log: LeaderLog;
  readonly stateMachine: StateMachine;
  readonly steps: StepTimer;
  readonly configChanges: ConfigChangeLog;
  readonly endpointChanges: EndpointChangeLog;
  readonly daemons: DaemonRegistry;
  readonly endpoints: EndpointRegistry;
  readonly quotas: QuotaService;
  readonly timeouts: Pick<ControlPlaneTimeouts, "leaseMs" | "heartbeatMs" | "holdMs">;
}

/** Gives daemons their views under a lease, as soon as there is an update for them. */
export class LeaseManager {
  private readonly options: LeaseManagerOptions;
  private readonly hub: WatchHub;
  private readonly largeViews: LargeViewLimiter;
  private leadsSinceMs = Infinity;

  constructor(options: LeaseManagerOptions) {
    this.options = options;
    this.hub = new WatchHub(options.runtime.clock, options.timeouts.maxWatchWaitMs);
    this.largeViews = new LargeViewLimiter(options.timeouts.leaseMs);
  }

  /** Begins a term. */
  startTerm(nowMs: number): void {
    this.leadsSinceMs = nowMs;
    this.options.configChanges.reset();
    this.largeViews.reset();
  }

  /** Releases the buffered watch requests where a command updated what views contain. */
  onApplied(command: LogCommand): void {
    if (UPDATING_KINDS.has(command.kind)) this.hub.notify();
  }

  /** Releases the buffered watch requests, since the leader has changed. */
  onLeadershipChange(): void {
    this.hub.notify();
  }

  /** Processes the text of a watch request; returns the text of the response. */
  *watch(text: string): Task<string> {
    const { runtime, log, daemons, endpoints, quotas } = this.options;
    const request = readWatchRequest(text);
    if (!log.holdsLease) return encodeCommandResult(NO_LEASE);
    const nowMs = runtime.clock.nowMs();
    quotas.startAllocations(nowMs);
    daemons.recordWatchRequest(request.machine, nowMs);
    endpoints.observeWatchRequest(request, nowMs);
    const allocation = quotas.allocate(request, this.services(), nowMs);
    if (this.mustWait(request, allocation)) {
      yield* this.hub.nextUpdate();
      if (!log.holdsLease) return encodeCommandResult(NO_LEASE);
    }
    return this.limited(request, this.viewText(request, allocation));
  }

  private services(): readonly string[] {
    return this.options.steps.run("observeConfig", () => this.options.configChanges.services);
  }

  private mustWait(request: WatchRequest, allocation: CapacityAllocation): boolean {
    return (
      this.hub.isEnabled &&
      allocation.number === request.grantNumber &&
      request.configSequence === this.configSequence &&
      request.directorySequence === this.options.stateMachine.endpointSequence
    );
  }

  private get configSequence(): number {
    return this.options.stateMachine.activeConfig?.sequence ?? 0;
  }

  private viewText(request: WatchRequest, allocation: CapacityAllocation): string {
    const { stateMachine, steps, configChanges, endpointChanges } = this.options;
    const parts = [JSON.stringify(this.viewHead(request, allocation)).slice(0, -1)];
    const { activeConfig, endpointSequence } = stateMachine;
    if (activeConfig && request.configSequence !== activeConfig.sequence)
      parts.push(steps.run("configView", () => configChanges.viewPart(request.configSequence)));
    if (request.directorySequence !== endpointSequence)
      parts.push(
        steps.run("endpointView", () => endpointChanges.viewPart(request.directorySequence)),
      );
    return `${parts.join(",")}}`;
  }

  /** The view without the changes of the configuration and the endpoints. */
  private viewHead(request: WatchRequest, allocation: CapacityAllocation): LeasedView {
    const { stateMachine, endpointChanges, daemons, timeouts } = this.options;
    const members = daemons.peers();
    return {
      granted: true,
      grantMs: timeouts.leaseMs,
      announceMs: timeouts.heartbeatMs,
      configSequence: this.configSequence,
      directorySequence: stateMachine.endpointSequence,
      directoryDigest: endpointChanges.digest,
      grantNumber: allocation.number,
      ...(allocation.number === request.grantNumber
        ? {}
        : {
            capacities: [...allocation.capacities]
              .filter(([, capacity]) => capacity > 0)
              .map(([service, capacity]) => ({ service, capacity })),
          }),
      ...(members.digest === request.membersDigest ? {} : { members }),
      ...this.placementFor(request.machine.name),
    };
  }

  /** An edge's placement, once this member has led for a lease, so that every live edge has sent it a watch request. */
  private placementFor(name: string): Pick<LeasedView, "place"> {
    const { runtime, timeouts, daemons } = this.options;
    if (runtime.clock.nowMs() - this.leadsSinceMs < timeouts.leaseMs) return {};
    const placement = daemons.findPlacement(name);
    return placement === undefined ? {} : { place: placement };
  }

  /** The view's text, or a refusal where it is large and the same was sent a short while ago. */
  private limited(request: WatchRequest, viewText: string): string {
    if (viewText.length <= COMPRESSION_THRESHOLD_CHARS) return viewText;
    const nowMs = this.options.runtime.clock.nowMs();
    if (this.largeViews.isInTransit(request, nowMs)) return VIEW_IN_TRANSIT;
    this.largeViews.recordSent(request, nowMs);
    return viewText;
  }
}
