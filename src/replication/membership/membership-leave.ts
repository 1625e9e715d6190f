import { create, object, boolean, type Infer } from "superstruct";
import { RpcMethod } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { Clock } from "../../runtime/clock.js";
import { Task } from "../../runtime/task.js";
import type { Runtime } from "../../runtime/runtime.js";

/** How long one answer of the leader is waited for; it needs no disk and no other member. */
const askMs = 300;
/** How often a member that stops tells the leader so; the leader forgets it unless it is told again. */
const repeatMs = 100;

const answerShape = object({
  /** Whether the member votes, in a group that is committed. */
  isVoter: boolean(),
  /** Whether a majority of the voters holds all that the member may have acknowledged, without it. */
  isHeld: boolean(),
});

/** What the leader tells a member that is about to stop. */
export type LeaveStatus = Infer<typeof answerShape>;

/** A member of the replicated log that is told to stop. */
export interface LeavingMember {
  readonly self: string;
  /** Who leads as far as is known here; an empty word where nobody does, its own address where it does. */
  readonly leader: string;
  /** The last index that this member may have acknowledged. */
  readonly lastIndex: number;
}

/** Tells the leader that this member is about to stop, and learns when it may. */
export class MembershipLeave {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly leaver: LeavingMember;

  constructor(runtime: Runtime, rpc: RpcEndpoint, leaver: LeavingMember) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.leaver = leaver;
  }

  /** Repeats that this member leaves until the answer satisfies, or a moment of the clock has come; tells which. */
  *until(satisfies: (answer: LeaveStatus) => boolean, untilMs: number): Task<boolean> {
    const { clock } = this.runtime;
    while (clock.nowMs() < untilMs) {
      const answer = yield* this.telling();
      if (answer && satisfies(answer)) return true;
      yield* Clock.sleep(clock, Math.max(0, Math.min(repeatMs, untilMs - clock.nowMs())));
    }
    return false;
  }

  private *telling(): Task<LeaveStatus | undefined> {
    const { leader, self, lastIndex } = this.leaver;
    if (leader === "" || leader === self) return undefined;
    const text = JSON.stringify({ kind: "stopping", machine: self, lastIndex });
    const ret = yield* this.rpc.call(leader, RpcMethod.command, { forwarded: true, text }, askMs);
    return ret?.text.includes('"isHeld"') === true
      ? create(JSON.parse(ret.text), answerShape)
      : undefined;
  }
}
