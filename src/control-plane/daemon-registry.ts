/** The daemons of the cluster as the leader observes them by their watch requests. */
import type { ControlPlanePeers } from "../control-protocol/leased-view.js";
import type { DaemonInfo } from "../control-protocol/watch-request.js";
import { computeEdgePlacements, type EdgePlacement } from "../control-protocol/edge-placement.js";
import { itemHash } from "../configuration/set-digest.js";
import type { Logger } from "../runtime/logger.js";
import type { LeaderLog, LeaderReplica } from "./leader-log.js";

/** A daemon with the time of its last watch request. */
export interface ObservedDaemon {
  readonly info: DaemonInfo;
  /** By the leader's clock. */
  readonly lastSeenMs: number;
  readonly isUnresponsive: boolean;
}

/** What the daemon registry needs. */
export interface DaemonRegistryOptions {
  readonly log: LeaderLog;
  readonly replica: Pick<LeaderReplica, "self" | "currentMembers">;
  readonly logger: Logger;
  /** The time without a watch request after which a daemon counts as unresponsive, in milliseconds. */
  readonly unresponsiveAfterMs: number;
}

/** Knows when each daemon was last seen, and from that the control plane's peers and the placement of edges. */
export class DaemonRegistry {
  private readonly log: LeaderLog;
  private readonly replica: DaemonRegistryOptions["replica"];
  private readonly logger: Logger;
  private readonly unresponsiveMs: number;
  private readonly daemons = new Map<string, ObservedDaemon>();
  /** The placements of all edges, until an edge appears or disappears. */
  private placements: ReadonlyMap<string, EdgePlacement> | undefined;

  constructor({
    log,
    replica,
    logger,
    unresponsiveAfterMs: unresponsiveMs,
  }: DaemonRegistryOptions) {
    this.log = log;
    this.replica = replica;
    this.logger = logger;
    this.unresponsiveMs = unresponsiveMs;
  }

  /** All daemons that were seen in this term. */
  get all(): readonly ObservedDaemon[] {
    return [...this.daemons.values()];
  }

  /** Begins a term: no daemon has been seen. */
  startTerm(): void {
    this.placements = undefined;
    this.daemons.clear();
  }

  /** Takes in that a daemon sent a watch request. */
  recordWatchRequest(info: DaemonInfo, nowMs: number): void {
    const former = this.daemons.get(info.name);
    const isAppearing = !former || former.isUnresponsive;
    if (isAppearing || former.info.draining !== info.draining) this.placements = undefined;
    if (isAppearing || former.info.incarnation !== info.incarnation)
      this.logger.info("daemon appeared", { machine: info.name, zone: info.zone });
    this.daemons.set(info.name, { info, lastSeenMs: nowMs, isUnresponsive: false });
  }

  /** Marks the daemons that sent no watch request for long, and notes them in the replicated journal. */
  markUnresponsive(nowMs: number): void {
    for (const [name, daemon] of this.daemons) {
      if (daemon.isUnresponsive || nowMs - daemon.lastSeenMs < this.unresponsiveMs) continue;
      this.daemons.set(name, { ...daemon, isUnresponsive: true });
      this.placements = undefined;
      this.logger.warn("daemon unresponsive", { machine: name });
      this.log.submit({
        kind: "note",
        text: `Machine ${name} of zone ${daemon.info.zone} fell silent.`,
      });
    }
  }

  /** The collectors and members that daemons reach, as observed and agreed now. */
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

  /** The placement of an edge among all that are responsive. */
  findPlacement(name: string): EdgePlacement | undefined {
    this.placements ??= computeEdgePlacements(this.responsive);
    return this.placements.get(name);
  }

  private get responsive(): DaemonInfo[] {
    return this.all.filter(({ isUnresponsive }) => !isUnresponsive).map(({ info }) => info);
  }

  /** Where followers serve operators; the leader is spared that load. */
  private followerAdminAddresses(members: ReadonlySet<string>): string[] {
    return this.responsive
      .filter(({ draining, peer }) => !draining && members.has(peer))
      .filter(({ peer }) => peer !== this.replica.self)
      .flatMap(({ operators }) => operators ?? [])
      .sort();
  }
}
