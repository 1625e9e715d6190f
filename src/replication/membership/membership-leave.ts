/** Reports to the leader that this node is about to stop, until it may stop. */
import { create, object, boolean, type Infer } from "superstruct";
import { rpcMethods } from "../../rpc/rpc-method.js";
import type { RpcEndpoint } from "../../rpc/rpc-endpoint.js";
import { sleep } from "../../runtime/clock.js";
import type { Task } from "../../runtime/task.js";
import type { Runtime } from "../../runtime/runtime.js";

/** Timeout of a report, in ms; the leader's response requires neither its disk nor another member. */
const REPORT_TIMEOUT_MS = 300;
/** Interval at which a stopping node reports to the leader, in ms; the leader drops a report that isn't repeated. */
const REPORT_INTERVAL_MS = 100;

const leaveStatusShape = object({
  /** Whether the node is a voter, or a membership change is not committed yet. */
  isVoter: boolean(),
  /** Whether a majority of the voters, without the node, has all entries that the node may have acknowledged. */
  isHeld: boolean(),
});

/** The leader's response to a node that is about to stop. */
export type LeaveStatus = Infer<typeof leaveStatusShape>;

/** A node that is about to stop. */
export interface LeavingMember {
  readonly self: string;
  /** The leader's address: an empty string if it isn't known, the node's own address if it leads. */
  readonly leader: string;
  /** The last index that the node may have acknowledged. */
  readonly lastIndex: number;
}

/** Reports that this node is about to stop, and receives its status. */
export class MembershipLeave {
  private readonly runtime: Runtime;
  private readonly rpc: RpcEndpoint;
  private readonly member: LeavingMember;

  constructor(runtime: Runtime, rpc: RpcEndpoint, member: LeavingMember) {
    this.runtime = runtime;
    this.rpc = rpc;
    this.member = member;
  }

  /** Repeats the report until a status satisfies the condition or the deadline has passed; returns whether one did. */
  *reportUntil(condition: (status: LeaveStatus) => boolean, deadlineMs: number): Task<boolean> {
    const { clock } = this.runtime;
    while (clock.nowMs() < deadlineMs) {
      const status = yield* this.report();
      if (status && condition(status)) return true;
      yield* sleep(clock, Math.max(0, Math.min(REPORT_INTERVAL_MS, deadlineMs - clock.nowMs())));
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
