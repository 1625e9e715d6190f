/** Assignment of edges to collectors by the root, so that no edge is counted twice. */
import { childKey, isSameChild, type ChildReport, type CountPush } from "./count-messages.js";

/** Parent sequence of an assigned edge that has moved to another collector while its previous one still includes it. */
const MOVED_AWAY = -1;

/** The collector that counts an edge, and the time of the last renewal. */
interface Assignment {
  child: ChildReport;
  readonly collector: string;
  readonly atMs: number;
}

/** The root's decision on a collector's push. */
export interface AssignmentDecision {
  /** Children that the collector may include in its next pushes. */
  readonly granted: ChildReport[];
  /** Whether the push includes only children that are assigned to the collector. */
  readonly isAcceptable: boolean;
}

/** Table of the collector that counts each edge. */
export class ChildAssignments {
  private readonly byChild = new Map<string, Assignment>();

  /** Decides on the children of a push. `includes` returns whether a collector's last accepted push included a child. */
  decide(
    push: CountPush,
    includes: (collector: string, child: ChildReport) => boolean,
    nowMs: number,
  ): AssignmentDecision {
    const assigned = [...push.includes, ...push.wants].filter((child) =>
      this.assign(child, push.from, includes, nowMs),
    );
    const revoked = push.includes.filter((child) => !this.isAssigned(child, push.from));
    return {
      granted: assigned.filter(
        (child) => !revoked.some((revokedChild) => isSameChild(revokedChild, child)),
      ),
      isAcceptable: revoked.length === 0,
    };
  }

  /** Drops assignments that were not renewed since `sinceMs`. */
  expire(sinceMs: number): void {
    for (const [key, { atMs }] of this.byChild) if (atMs < sinceMs) this.byChild.delete(key);
  }

  /** Assigns a child to a collector unless another collector may still count it; returns whether it is assigned. */
  private assign(
    child: ChildReport,
    collector: string,
    includes: (collector: string, child: ChildReport) => boolean,
    nowMs: number,
  ): boolean {
    const key = childKey(child);
    const current = this.byChild.get(key);
    const isFree = current === undefined || current.collector === collector;
    const hasMoved = !isFree && current.child.parentSequence < child.parentSequence;
    if (isFree || (hasMoved && !includes(current.collector, child))) {
      this.byChild.set(key, { child, collector, atMs: nowMs });
      return true;
    }
    if (hasMoved) current.child = { ...current.child, parentSequence: MOVED_AWAY };
    return false;
  }

  private isAssigned(child: ChildReport, collector: string): boolean {
    const current = this.byChild.get(childKey(child));
    return current?.collector === collector && current.child.parentSequence !== MOVED_AWAY;
  }
}
