/** The requests of a member that have no response yet. */
import type { ModelRequest } from "./message.js";

/** A request in flight. */
export interface PendingRequest {
  readonly peer: string;
  readonly request: ModelRequest;
  readonly sentMs: number;
  readonly deadlineMs: number;
}

/** The requests in flight, by id. */
export class PendingRequests {
  private readonly requests = new Map<string, PendingRequest>();

  add(id: string, request: PendingRequest): void {
    this.requests.set(id, request);
  }

  /** Removes and returns a request; returns undefined if the id is unknown or its deadline has passed. */
  complete(id: string, nowMs: number): PendingRequest | undefined {
    const request = this.requests.get(id);
    if (request === undefined || nowMs >= request.deadlineMs) return undefined;
    this.requests.delete(id);
    return request;
  }

  /** Removes and returns the requests whose deadlines have passed. */
  expire(nowMs: number): Array<[id: string, request: PendingRequest]> {
    const expired = [...this.requests].filter(([, { deadlineMs }]) => nowMs >= deadlineMs);
    for (const [id] of expired) this.requests.delete(id);
    return expired;
  }

  clear(): void {
    this.requests.clear();
  }

  copyFrom(other: PendingRequests): void {
    for (const [id, request] of other.requests) this.requests.set(id, request);
  }
}
