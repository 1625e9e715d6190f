/** A leader's replication to each of its peers: progress, the request in flight, and when the next is due. */
import type { AppendReply } from "../consensus/append.js";
import { progressAfter, type Progress } from "../consensus/replication.js";

/** The replication to one peer. */
export interface PeerReplication {
  readonly progress: Progress;
  /** The request in flight, if any. */
  readonly requestId: string | undefined;
  /** When the next request is due, by the member's clock. */
  readonly dueMs: number;
}

/** The replications of one leader, by peer. */
export class PeerReplications {
  private readonly replications = new Map<string, PeerReplication>();

  get all(): ReadonlyMap<string, PeerReplication> {
    return this.replications;
  }

  /** The replication to a peer; one that is new is due at once. */
  getOrCreate(peer: string, initial: () => Progress, nowMs: number): PeerReplication {
    const known = this.replications.get(peer);
    if (known !== undefined) return known;
    const replication = { progress: initial(), requestId: undefined, dueMs: nowMs };
    this.replications.set(peer, replication);
    return replication;
  }

  /** Notes the request in flight to a peer. */
  begin(peer: string, requestId: string): void {
    this.update(peer, { requestId });
  }

  /** The request in flight has ended; false where it was another one. */
  end(peer: string, requestId: string, nextDueMs: number): void {
    if (this.isInFlight(peer, requestId))
      this.update(peer, { requestId: undefined, dueMs: nextDueMs });
  }

  isInFlight(peer: string, requestId: string): boolean {
    return this.replications.get(peer)?.requestId === requestId;
  }

  /** Advances the progress by the reply to the request in flight. */
  advance(peer: string, requestId: string, reply: AppendReply): void {
    const replication = this.replications.get(peer);
    if (replication !== undefined && replication.requestId === requestId)
      this.update(peer, { progress: progressAfter(replication.progress, reply) });
  }

  /** Continues after the snapshot that a peer installed. */
  continueAfter(peer: string, requestId: string, index: number): void {
    const replication = this.replications.get(peer);
    if (replication !== undefined && replication.requestId === requestId)
      this.update(peer, { progress: { ...replication.progress, next: index + 1 } });
  }

  /** Makes the next request to every peer due now. */
  expedite(nowMs: number): void {
    for (const peer of [...this.replications.keys()]) this.update(peer, { dueMs: nowMs });
  }

  /** Removes the replications to all others. */
  retain(peers: readonly string[]): void {
    for (const peer of [...this.replications.keys()])
      if (!peers.includes(peer)) this.replications.delete(peer);
  }

  clear(): void {
    this.replications.clear();
  }

  copyFrom(other: PeerReplications): void {
    for (const [peer, replication] of other.replications) this.replications.set(peer, replication);
  }

  private update(peer: string, change: Partial<PeerReplication>): void {
    const replication = this.replications.get(peer);
    if (replication !== undefined) this.replications.set(peer, { ...replication, ...change });
  }
}
