/** The interface between a member and the group that it is explored in. */
import type { Members } from "../consensus/members.js";
import type { GroupSettings } from "./group-settings.js";
import type { ModelReply, ModelRequest } from "./message.js";
import type { ModelMember } from "./model-member.js";

/** What a member needs of its group. */
export interface GroupEnvironment {
  readonly settings: GroupSettings;
  /** The global time; each member's clock runs at its own rate. */
  readonly nowMs: number;
  /** Sends a request; returns the id that its reply carries. */
  send(from: string, to: string, request: ModelRequest): string;
  reply(from: string, to: string, requestId: string, reply: ModelReply): void;
  /** A number from 0 up to 1 for an election timeout. */
  draw(member: string): number;
  /** Called when a member has applied the entry at an index. */
  applied(member: ModelMember, index: number, term: number, text: string): void;
  /** Called when a member has become leader. */
  elected(member: ModelMember): void;
  /** The members as a member with an empty disk learns them; undefined where no other is up. */
  knownMembers(): Members | undefined;
  nonce(): string;
}
