/** The status by which the daemons of a fleet find each other and form the replicated log. */
import type { Members } from "../../consensus/members.js";
import type { MemberStage } from "../../consensus/member-rights.js";
import type { DecodedMessage } from "../../rpc/rpc-endpoint.js";
import type { rpcMethods } from "../../rpc/rpc-method.js";
import type { Task } from "../../runtime/task.js";

/** A node's own status: how far it is part of a fleet's log, and which members that log began with. */
export interface BootstrapStatus extends Members {
  readonly state: MemberStage;
  /** The id of the fleet, or an empty text. */
  readonly fleet: string;
}

/** A node that takes part in the bootstrap. */
export interface BootstrapMember {
  readonly bootstrapStatus: BootstrapStatus;
  /** Writes to an empty disk which fleet's log this is and who its members are. */
  form(fleet: string, members: Members): Task;
  /** All voters of this fleet have formed the log: from now on the node may campaign and vote. */
  open(fleet: string): void;
  /** Begins to learn the log of a fleet that was formed by others. */
  rejoin(fleet: string, members: Members): Task;
}

/** What a daemon sends when it probes another. */
export type ProbeRequest = DecodedMessage<typeof rpcMethods.discover.request>;

/** What a daemon replies when it is probed, as it travels. */
export type ProbeResponse = DecodedMessage<typeof rpcMethods.discover.response>;

/** The state of a probed daemon: its node's stage, `none` where it has no node, or a value that this build doesn't know. */
export type PeerState = MemberStage | "none" | "unknown";

/** The status of a probed daemon. */
export type PeerStatus = Omit<ProbeResponse, "state"> & { readonly state: PeerState };

/** The states by their spelling in responses and in a daemon's status. */
const stateBySpelling = new Map<string, PeerState>([
  ["none", "none"],
  ["loading", "loading"],
  ["empty", "empty"],
  ["damaged", "damaged"],
  ["unborn", "forming"],
  ["formed", "formed"],
]);

/** The spelling of a state in responses and in a daemon's status. */
export const encodePeerState = (state: MemberStage | "none"): string =>
  state === "forming" ? "unborn" : state;

/** The status that a response carries. */
export const decodePeerStatus = (response: ProbeResponse): PeerStatus => ({
  ...response,
  state: stateBySpelling.get(response.state) ?? "unknown",
});

/** Whether a daemon has formed the log of a fleet, be it that others haven't yet. */
export const hasFormed = (status: PeerStatus | undefined, fleet: string): boolean =>
  status?.fleet === fleet && (status.state === "forming" || status.state === "formed");
