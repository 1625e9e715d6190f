/** The root's decision which collector counts which edge, so that none is counted twice. */
import { childKey, isSameChild, type ChildReport, type CountPush } from "./count-messages.js";

/** Stands for the parent sequence of an edge that has moved away from the collector that still includes it. */
const MOVED_AWAY = -1;

interface Assignment {
  child: ChildReport;
  readonly collector: string;
  readonly atMs: number;
}

/** What the root decides on a collector's push. */
export interface AssignmentDecision {
  /** Children that the collector may include from now on. */
  readonly granted: ChildReport[];
  /** Whether the push includes none that it may not. */
  readonly isAcceptable: boolean;
}

/** Which collector counts which edge. */
export class ChildAssignments {
  private readonly byChild = new Map<string, Assignment>();

  /** Decides on the children of a push; `includes` tells what a collector's last accepted push included. */
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

  /** Forgets assignments that weren't renewed since a moment. */
  expire(sinceMs: number): void {
    for (const [key, { atMs }] of this.byChild) if (atMs < sinceMs) this.byChild.delete(key);
  }

  /** Assigns a child to a collector, unless another one may still count it; returns whether it is assigned. */
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
