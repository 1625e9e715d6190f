/** Reports to the leader that this node is about to stop, until it may. */
import { create, object, boolean, type Infer } from "superstruct";
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { Runtime } from "../../runtime/runtime.js";

/** How long the leader's response is awaited; it needs no disk and no other member. */
const REPORT_TIMEOUT_MS = 300;
/** How often a stopping node reports to the leader, which otherwise forgets it. */
const REPORT_INTERVAL_MS = 100;

const leaveStatusShape = object({
  /** Whether the node is a voter, or a change of the members is not committed yet. */
  isVoter: boolean(),
  /** Whether a majority of the voters has all that the node may have acknowledged, without counting it. */
  isHeld: boolean(),
});

/** The leader's response to a node that is about to stop. */
export type LeaveStatus = Infer<typeof leaveStatusShape>;

/** A node that is about to stop. */
export interface LeavingMember {
  readonly self: string;
  /** The known leader's address; an empty text where there is none, its own address where it leads. */
  readonly leader: string;
  /** The last index that this node may have acknowledged. */
  readonly lastIndex: number;
}

/** Reports that this node is about to stop, and receives its status. */
export class MembershipLeave {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly member: LeavingMember;

  constructor(runtime: Runtime, rpc: RpcEndpoint, leaver: LeavingMember) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.member = leaver;
  }

  /** Repeats the report until a status satisfies, or a moment of the clock has come; returns whether one did. */
  *reportUntil(satisfies: (status: LeaveStatus) => boolean, untilMs: number): Task<boolean> {
    const { clock } = this.runtime;
    while (clock.nowMs() < untilMs) {
      const status = yield* this.report();
      if (status && satisfies(status)) return true;
      yield* sleep(clock, Math.max(0, Math.min(REPORT_INTERVAL_MS, untilMs - clock.nowMs())));
    }
    return false;
  }

  private *report(): Task<LeaveStatus | undefined> {
    const { leader, self, lastIndex } = this.member;
    if (leader === "" || leader === self) return undefined;
    const text = JSON.stringify({ kind: "stopping", machine: self, lastIndex });
    const response = yield* this.rpc.call(
      leader,
      rpcMethods.command,
      { forwarded: true, text },
      REPORT_TIMEOUT_MS,
    );
    return response?.text.includes('"isHeld"') === true
      ? create(JSON.parse(response.text), leaveStatusShape)
      : undefined;
  }
}
