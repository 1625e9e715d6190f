/** The status that daemons exchange during bootstrap, to find each other and to form the replicated log. */
import type { Members } from "../../consensus/members.js";
import type { MemberStage } from "../../consensus/member-rights.js";
import type { DecodedMessage } from "../../rpc/rpc-endpoint.js";
import type { rpcMethods } from "../../rpc/rpc-method.js";
import type { Task } from "../../runtime/task.js";

/** A node's own status: its stage, the fleet whose log it has, and the members with which that log was formed. */
export interface BootstrapStatus extends Members {
  readonly state: MemberStage;
  /** The id of the fleet, or an empty string. */
  readonly fleet: string;
}

/** A node that participates in the bootstrap. */
export interface BootstrapMember {
  readonly bootstrapStatus: BootstrapStatus;
  /** Forms the log on an empty disk: stores the fleet's id and its members. */
  form(fleet: string, members: Members): Task;
  /** Opens the log once all voters of the fleet have formed it: the node may campaign and vote from then on. */
  open(fleet: string): void;
  /** Rejoins the formed log of a fleet with an empty disk. */
  rejoin(fleet: string, members: Members): Task;
}

/** The request of a probe. */
export type ProbeRequest = DecodedMessage<typeof rpcMethods.discover.request>;

/** The response to a probe, as it is transmitted. */
export type ProbeResponse = DecodedMessage<typeof rpcMethods.discover.response>;

/**
 * The state of a probed daemon: its node's stage, `none` if it has no node, `unknown` if this build doesn't know the
 * value.
 */
export type PeerState = MemberStage | "none" | "unknown";

/** The status of a probed daemon. */
export type PeerStatus = Omit<ProbeResponse, "state"> & { readonly state: PeerState };

/** The states by their names in responses and in a daemon's status. */
const stateBySpelling = new Map<string, PeerState>([
  ["none", "none"],
  ["loading", "loading"],
  ["empty", "empty"],
  ["damaged", "damaged"],
  ["unborn", "forming"],
  ["formed", "formed"],
]);

/** Returns the name of a state in responses and in a daemon's status. */
export const encodePeerState = (state: MemberStage | "none"): string =>
  state === "forming" ? "unborn" : state;

/** Decodes the status in a response. */
export const decodePeerStatus = (response: ProbeResponse): PeerStatus => ({
  ...response,
  state: stateBySpelling.get(response.state) ?? "unknown",
});

/** Whether a daemon has formed the log of a fleet, even if other members haven't yet. */
export const hasFormed = (status: PeerStatus | undefined, fleet: string): boolean =>
  status?.fleet === fleet && (status.state === "forming" || status.state === "formed");
