/** One operation on a register as seen by its client. All written values differ. */
export interface Operation {
  readonly kind: "read" | "write";
  /** The written value, or the value that a read returned. */
  readonly value: number;
  /** When the request was sent, on one clock for all operations. */
  readonly beganAt: number;
  /** When the response arrived; undefined if the outcome is unknown: a write may then take effect at any later time or never. */
  readonly endedAt: number | undefined;
}
