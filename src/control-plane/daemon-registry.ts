/** The daemons of the cluster, which the leader tracks by their watch requests. */
import type { ControlPlanePeers } from "../control-protocol/leased-view.js";
import type { DaemonInfo } from "../control-protocol/watch-request.js";
import { computeEdgePlacements, type EdgePlacement } from "../control-protocol/edge-placement.js";
import { itemHash } from "../configuration/set-digest.js";
import type { Logger } from "../runtime/logger.js";
import type { LeaderLog, LeaderReplica } from "./leader-log.js";

/** A daemon with the time of its last watch request. */
export interface ObservedDaemon {
  readonly info: DaemonInfo;
  /** Time of the last watch request, by the leader's clock. */
  readonly lastSeenMs: number;
  readonly isUnresponsive: boolean;
}

/** The dependencies and settings of the daemon registry. */
export interface DaemonRegistryOptions {
  readonly log: LeaderLog;
  readonly replica: Pick<LeaderReplica, "self" | "currentMembers">;
  readonly logger: Logger;
  /** Time without a watch request after which a daemon counts as unresponsive, in milliseconds. */
  readonly unresponsiveAfterMs: number;
}

/** Tracks each daemon's last watch request, from which it derives the control plane's peers and the placement of edges. */
export class DaemonRegistry {
  private readonly log: LeaderLog;
  private readonly replica: DaemonRegistryOptions["replica"];
  private readonly logger: Logger;
  private readonly unresponsiveAfterMs: number;
  private readonly observedDaemons = new Map<string, ObservedDaemon>();
  /** The cached placements of all edges; cleared when an edge appears or becomes unresponsive. */
  private placements: ReadonlyMap<string, EdgePlacement> | undefined;

  constructor({ log, replica, logger, unresponsiveAfterMs }: DaemonRegistryOptions) {
    this.log = log;
    this.replica = replica;
    this.logger = logger;
    this.unresponsiveAfterMs = unresponsiveAfterMs;
  }

  /** All daemons that sent a watch request in this term. */
  get all(): readonly ObservedDaemon[] {
    return [...this.observedDaemons.values()];
  }

  /** Starts a term without any daemons. */
  startTerm(): void {
    this.placements = undefined;
    this.observedDaemons.clear();
  }

  /** Records the watch request of a daemon. */
  recordWatchRequest(info: DaemonInfo, nowMs: number): void {
    const previous = this.observedDaemons.get(info.name);
    const hasAppeared = !previous || previous.isUnresponsive;
    if (hasAppeared || previous.info.draining !== info.draining) this.placements = undefined;
    if (hasAppeared || previous.info.incarnation !== info.incarnation)
      this.logger.info("daemon appeared", { machine: info.name, zone: info.zone });
    this.observedDaemons.set(info.name, { info, lastSeenMs: nowMs, isUnresponsive: false });
  }

  /** Marks the daemons that sent no watch request in time, and adds them to the replicated journal. */
  markUnresponsive(nowMs: number): void {
    for (const [name, daemon] of this.observedDaemons) {
      if (daemon.isUnresponsive || nowMs - daemon.lastSeenMs < this.unresponsiveAfterMs) continue;
      this.observedDaemons.set(name, { ...daemon, isUnresponsive: true });
      this.placements = undefined;
      this.logger.warn("daemon unresponsive", { machine: name });
      this.log.submit({
        kind: "note",
        text: `Machine ${name} of zone ${daemon.info.zone} fell silent.`,
      });
    }
  }

  /** The responsive collectors and the current members of the replicated log, with their digest. */
  peers(): ControlPlanePeers {
    const collectors = this.responsive
      .filter(({ roles }) => roles.includes("collector"))
      .map(({ zone, peer }) => ({ zone, peer }))
      .sort((a, b) => (a.peer < b.peer ? -1 : 1));
    const { voters, learners } = this.replica.currentMembers;
    const recorders = [...voters, ...learners];
    const operators = this.followerAdminAddresses(new Set(recorders));
    const digest = itemHash(JSON.stringify([collectors, recorders, operators])).toString(36);
    return { digest, collectors, recorders, operators };
  }

  /** The placement of an edge among all responsive edges. */
  findPlacement(name: string): EdgePlacement | undefined {
    this.placements ??= computeEdgePlacements(this.responsive);
    return this.placements.get(name);
  }

  private get responsive(): DaemonInfo[] {
    return this.all.filter(({ isUnresponsive }) => !isUnresponsive).map(({ info }) => info);
  }

  /** The admin addresses of followers; the leader's isn't listed, to spare it that load. */
  private followerAdminAddresses(members: ReadonlySet<string>): string[] {
    return this.responsive
      .filter(({ draining, peer }) => !draining && members.has(peer))
      .filter(({ peer }) => peer !== this.replica.self)
      .flatMap(({ operators }) => operators ?? [])
      .sort();
  }
}
