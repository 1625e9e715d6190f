/** The status of the cluster as its leader reports it to operators. */
import type { StateMachine } from "../state/state-machine.js";
import type { DaemonRegistry } from "./daemon-registry.js";
import type { EndpointRegistry } from "./endpoint-registry.js";
import type { LeaderReplica } from "./leader-log.js";

/** The sources of the status, and the current time, from which ages are computed. */
export interface ClusterStatusSources {
  readonly replica: Pick<LeaderReplica, "self" | "currentMembers">;
  readonly stateMachine: StateMachine;
  readonly daemons: DaemonRegistry;
  readonly endpoints: EndpointRegistry;
  readonly nowMs: number;
}

/** The body of the response to a `fleet` command; its field names are part of the protocol. */
export const clusterStatus = ({
  replica,
  stateMachine,
  daemons,
  endpoints,
  nowMs,
}: ClusterStatusSources): Record<string, unknown> => ({
  leader: replica.self,
  voters: replica.currentMembers.voters,
  learners: replica.currentMembers.learners,
  machines: daemons.all.map(({ info, lastSeenMs, isUnresponsive }) => ({
    name: info.name,
    zone: info.zone,
    roles: info.roles,
    peer: info.peer,
    draining: info.draining,
    silent: isUnresponsive,
    heardMsAgo: Math.round(nowMs - lastSeenMs),
  })),
  backEnds: [...stateMachine.registrations.values()].map(({ address, service, zone, leaving }) => ({
    address,
    service,
    zone,
    leaving,
    heardMsAgo: Math.round(nowMs - (endpoints.lastHeartbeatMs(address) ?? nowMs)),
  })),
  directorySequence: stateMachine.endpointSequence,
  keys: stateMachine.claims.size,
  configs: stateMachine.version,
});
