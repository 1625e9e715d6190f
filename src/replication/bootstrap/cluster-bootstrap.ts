/**
 * Brings the daemons of a fleet together. Where the whole fleet starts for the first time, the first seed chooses the members
 * of the replicated log and has them form it; an empty node that finds a formed log rejoins it.
 */
import type { Members } from "../../consensus/members.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { rpcMethods } from "../../rpc/rpc-method.js";
import { sleep } from "../../runtime/clock.js";
import type { Logger } from "../../runtime/logger.js";
import { type Runtime, randomNonce, startTask } from "../../runtime/runtime.js";
import { type Task, runAll } from "../../runtime/task.js";
import {
  encodePeerState,
  hasFormed,
  type BootstrapMember,
  type BootstrapStatus,
  type PeerState,
  type PeerStatus,
  type ProbeRequest,
  type ProbeResponse,
} from "./bootstrap-status.js";
import { type NodeLocation, chooseMembers, wantedVoterCount } from "./node-location.js";
import { PeerProber, PROBE_TIMEOUT_MS } from "./peer-prober.js";

/** What a daemon knows besides: who leads, and which nodes of the replicated log there are. */
export interface ClusterHints {
  leader(): string;
  knownNodes(): readonly string[];
}

/** How long the reply of a node that is to form the log is awaited; it writes to its disk first. */
const FORM_TIMEOUT_MS = 2000;
/** The shortest time between two rounds of probes before the log is formed; the longest is twice that. */
const ROUND_INTERVAL_MS = 100;
/** How often a loading node looks whether it has loaded. */
const LOADING_INTERVAL_MS = ROUND_INTERVAL_MS / 5;
/** The time until the next round once daemons were discovered that haven't been probed. */
const DISCOVERY_INTERVAL_MS = 10;
/** The time between two probes of the seeds once the log is formed. */
const FORMED_INTERVAL_MS = 1000;
/** How long a daemon that probed this one counts as present. */
const PRESENCE_MS = 3000;
/** How many discovered addresses are retained. */
const MAX_DISCOVERED = 64;
/** How long the initiator waits for more candidates to choose from, where all seeds reply and where some don't. */
const CANDIDATE_WAIT_MS = { allSeedsReplied: 500, seedsMissing: 3000 };
/** How long the initiator stays with the members that it chose. */
const FORMATION_TIMEOUT_MS = 10_000;
/** The shortest time between two warnings that the bootstrap waits. */
const WARNING_INTERVAL_MS = 5000;

/** The members that an initiator chose, and when. */
interface Formation {
  readonly fleet: string;
  readonly members: Members;
  readonly startedMs: number;
}

/** The bootstrap of one daemon: replies to probes, probes others, and forms, opens or rejoins the log. */
export class ClusterBootstrap {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly location: NodeLocation;
  private readonly hints: ClusterHints;
  private readonly log: Logger;
  private readonly prober: PeerProber;
  /** Names this process, so that what was meant for an earlier one isn't carried out. */
  private readonly incarnation: string;
  /** Nodes that probed this daemon, and when. */
  private readonly presentSinceMs = new Map<string, number>();
  /** Addresses that were named in the statuses of the last round. */
  private discovered: string[] = [];
  private member: BootstrapMember | undefined;
  /** Set once a formed log is known to exist: from then on none is initiated. */
  private isLogKnown = false;
  private candidatesSinceMs: number | undefined;
  private formation: Formation | undefined;
  private lastWarningMs = -Infinity;

  constructor(
    runtime: Runtime,
    rpc: RpcEndpoint,
    location: NodeLocation,
    hints: ClusterHints = { leader: () => "", knownNodes: () => [] },
  ) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.location = location;
    this.hints = hints;
    this.log = runtime.loggers.component("replication");
    this.prober = new PeerProber(runtime, rpc, location.self);
    this.incarnation = randomNonce(runtime);
  }

  /** Has a node take part; called before the bootstrap runs. */
  register(member: BootstrapMember): void {
    this.member = member;
  }

  /** The addresses of the nodes known here: members of the log, and those that probed this daemon lately. */
  get knownNodes(): string[] {
    const nowMs = this.runtime.clock.nowMs();
    for (const [peer, probedMs] of this.presentSinceMs)
      if (nowMs - probedMs > PRESENCE_MS) this.presentSinceMs.delete(peer);
    const { voters, learners } = this.member?.bootstrapStatus ?? { voters: [], learners: [] };
    return [...new Set([...voters, ...learners, ...this.presentSinceMs.keys()])];
  }

  /** Serves the probes of other daemons. */
  serve(): void {
    const respond = (request: ProbeRequest): Task<ProbeResponse> => this.onProbe(request);
    this.rpc.serve(rpcMethods.discover, (request) => respond(request));
  }

  /** Probes others for as long as the daemon runs. */
  *run(): Task {
    const { clock } = this.runtime;
    for (;;) {
      const { state } = this;
      if (state === "loading") yield* sleep(clock, LOADING_INTERVAL_MS);
      else if (state === "formed") {
        this.isLogKnown = true;
        yield* this.prober.probeAll(this.location.seeds(), this.probeRequest);
        yield* sleep(clock, FORMED_INTERVAL_MS);
      } else {
        const known = this.discovered;
        if (state !== "none" || this.mayInitiate) yield* this.runRound();
        const isNew = this.discovered.some((peer) => !known.includes(peer));
        const intervalMs = isNew
          ? DISCOVERY_INTERVAL_MS
          : ROUND_INTERVAL_MS * (1 + this.runtime.random());
        yield* sleep(clock, intervalMs);
      }
    }
  }

  private get state(): PeerState {
    return this.member?.bootstrapStatus.state ?? "none";
  }

  /** Whether this daemon may choose the members of a new log. */
  private get mayInitiate(): boolean {
    const { mayBootstrap: founds, self } = this.location;
    return (
      founds &&
      this.location.seeds()[0] === self &&
      !this.isLogKnown &&
      this.hints.leader() === "" &&
      (this.state === "none" || this.state === "empty")
    );
  }

  private *onProbe(request: ProbeRequest): Task<ProbeResponse> {
    if (request.peer) this.presentSinceMs.set(request.peer, this.runtime.clock.nowMs());
    if (request.fleet && request.open) this.member?.open(request.fleet);
    else if (this.member && this.isFormRequest(request))
      yield* this.member.form(request.fleet, request);
    return this.probeResponse;
  }

  private isFormRequest({ fleet, incarnation }: ProbeRequest): boolean {
    return (
      fleet !== "" &&
      incarnation === this.incarnation &&
      this.location.mayBootstrap &&
      this.state === "empty"
    );
  }

  private get probeRequest(): ProbeRequest {
    return {
      peer: this.member ? this.location.self : "",
      fleet: "",
      incarnation: "",
      voters: [],
      learners: [],
      open: false,
    };
  }

  private get probeResponse(): ProbeResponse {
    const { state, ...status } = this.ownStatus;
    return { ...status, state: encodePeerState(state) };
  }

  private get ownStatus(): PeerStatus & { state: BootstrapStatus["state"] | "none" } {
    const { machine, zone, mayBootstrap: founds } = this.location;
    const { state, fleet, voters, learners } = this.member?.bootstrapStatus ?? {
      state: "none" as const,
      fleet: "",
      voters: [],
      learners: [],
    };
    return {
      machine,
      zone,
      state,
      fleet,
      leader: this.hints.leader(),
      founds,
      incarnation: this.incarnation,
      voters: [...voters],
      learners: [...learners],
      recorders: [...new Set([...this.knownNodes, ...this.hints.knownNodes()])],
    };
  }

  /** Probes all that are known; then rejoins, forms or opens the log, or waits. */
  private *runRound(): Task {
    const seeds = this.location.seeds();
    const peers = new Set([
      ...seeds,
      ...this.knownNodes,
      ...this.hints.knownNodes(),
      ...this.discovered,
    ]);
    // An empty node has only to find a formed log; daemons that don't reply must not cost it time.
    const suffices = (status: PeerStatus): boolean =>
      this.state === "empty" && status.state === "formed";
    const statuses = yield* this.prober.probeAll([...peers], this.probeRequest, suffices);
    this.discover(statuses);
    const own = this.member?.bootstrapStatus;
    if (own?.state === "formed") return;
    const all = [...statuses.values()];
    const formed = all.find(({ state }) => state === "formed");
    if (formed || all.some(({ leader }) => leader !== "")) this.isLogKnown = true;
    if (this.member) statuses.set(this.location.self, this.ownStatus);
    if (own?.state === "forming") return yield* this.continueForming(own, statuses);
    if (this.member && formed) return yield* this.member.rejoin(formed.fleet, formed);
    if (this.mayInitiate) return yield* this.initiate(seeds, statuses);
    this.warnWaiting("waiting for a formed log", { probed: statuses.size });
  }

  private discover(statuses: ReadonlyMap<string, PeerStatus>): void {
    const named = [...statuses.values()].flatMap(({ leader, recorders, voters }) => [
      leader,
      ...recorders,
      ...voters,
    ]);
    this.discovered = [...new Set(named)].filter((peer) => peer !== "").slice(0, MAX_DISCOVERED);
  }

  /** Completes what was formed here, unless one of its voters has formed another log meanwhile. */
  private *continueForming(own: BootstrapStatus, statuses: Map<string, PeerStatus>): Task {
    const other = [...statuses.values()].find(
      ({ state, fleet, voters }) =>
        state === "formed" &&
        fleet !== own.fleet &&
        voters.some((voter) => own.voters.includes(voter)),
    );
    if (!other || !this.member) return yield* this.complete(own.fleet, own, statuses);
    this.log.warn("formation abandoned", { fleet: own.fleet, other: other.fleet });
    yield* this.member.rejoin(other.fleet, other);
  }

  /** Completes a formation under way, else chooses the members of a new log once there are enough candidates. */
  private *initiate(seeds: readonly string[], statuses: Map<string, PeerStatus>): Task {
    const nowMs = this.runtime.clock.nowMs();
    const [forming] = [...statuses.values()]
      .filter(({ state }) => state === "forming")
      .sort((a, b) => (a.fleet < b.fleet ? -1 : 1));
    if (forming) return yield* this.complete(forming.fleet, forming, statuses);
    if (this.formation && nowMs - this.formation.startedMs < FORMATION_TIMEOUT_MS)
      return yield* this.complete(this.formation.fleet, this.formation.members, statuses);
    this.formation = undefined;
    const members = this.chooseMembers(statuses);
    if (!members) {
      this.candidatesSinceMs = undefined;
      return;
    }
    this.candidatesSinceMs ??= nowMs;
    const haveAll = seeds.every((seed) => seed === this.location.self || statuses.has(seed));
    const waitMs = haveAll ? CANDIDATE_WAIT_MS.allSeedsReplied : CANDIDATE_WAIT_MS.seedsMissing;
    if (nowMs - this.candidatesSinceMs < waitMs) return;
    const fleet = randomNonce(this.runtime);
    this.formation = { fleet, members, startedMs: nowMs };
    this.log.info("forming the log", { fleet, ...members });
    yield* this.complete(fleet, members, statuses);
  }

  private chooseMembers(statuses: ReadonlyMap<string, PeerStatus>): Members | undefined {
    const damaged = [...statuses.values()].some(({ state }) => state === "damaged");
    const candidates = [...statuses]
      .filter(([, { state, founds }]) => state === "empty" && founds)
      .map(([peer, { machine, zone }]) => ({ peer, machine, zone }));
    const members = damaged ? undefined : chooseMembers(this.location, candidates);
    if (!members)
      this.warnWaiting("waiting for candidates to form the log", {
        candidates: candidates.map(({ machine }) => machine),
        voters: wantedVoterCount(this.location),
        damaged,
      });
    return members;
  }

  /**
   * Has the members of a fleet form its log, and opens it once all voters have. None is requested to form unless every voter
   * replied, and none of them had opened: an emptied voter must not come back as if it had never acknowledged anything.
   */
  private *complete(fleet: string, members: Members, statuses: Map<string, PeerStatus>): Task {
    const { member } = this;
    const { voters } = members;
    const isOpen = ({ fleet: id, state }: PeerStatus): boolean =>
      id === fleet && state === "formed";
    if ([...statuses.values()].some(isOpen)) return member?.open(fleet);
    const isUnavailable = (voter: string): boolean => {
      const status = statuses.get(voter);
      return !hasFormed(status, fleet) && status?.state !== "empty";
    };
    if (voters.some(isUnavailable))
      return this.warnWaiting("waiting for the voters to form the log", { fleet, voters });
    if (this.location.mayBootstrap) yield* this.requestForming(fleet, members, statuses);
    if (!voters.every((voter) => hasFormed(statuses.get(voter), fleet))) return;
    this.isLogKnown = true;
    member?.open(fleet);
    this.requestOpening(fleet, members, statuses);
  }

  /** Has all empty members of a fleet form its log, this node among them. */
  private *requestForming(
    fleet: string,
    { voters, learners }: Members,
    statuses: Map<string, PeerStatus>,
  ): Task {
    const { member, prober } = this;
    const { self } = this.location;
    const tasks: Task[] = [];
    for (const peer of [...voters, ...learners]) {
      const status = statuses.get(peer);
      if (status?.state !== "empty") continue;
      const { incarnation } = status;
      const request = { ...this.probeRequest, fleet, incarnation, voters, learners };
      if (peer !== self) tasks.push(prober.probe(peer, request, FORM_TIMEOUT_MS, statuses));
      else if (member) tasks.push(member.form(fleet, { voters, learners }));
    }
    yield* runAll((task) => startTask(this.runtime, "replication", task), tasks);
    if (member) statuses.set(self, this.ownStatus);
  }

  /** Tells all other members that all voters have formed the log. */
  private requestOpening(
    fleet: string,
    { voters, learners }: Members,
    statuses: Map<string, PeerStatus>,
  ): void {
    const request = { ...this.probeRequest, fleet, open: true };
    const others = [...voters, ...learners].filter((peer) => peer !== this.location.self);
    for (const peer of others) {
      const opening = this.prober.probe(peer, request, PROBE_TIMEOUT_MS, statuses);
      startTask(this.runtime, "replication", opening);
    }
  }

  private warnWaiting(message: string, fields: Record<string, unknown>): void {
    const nowMs = this.runtime.clock.nowMs();
    if (nowMs - this.lastWarningMs < WARNING_INTERVAL_MS) return;
    this.lastWarningMs = nowMs;
    this.log.warn(message, fields);
  }
}
