/** One call on a register, as its client saw it. Values of writes differ from one another. */
export interface Operation {
  readonly kind: "read" | "write";
  /** What was written, or what a read gave. */
  readonly value: number;
  /** When the call was sent, on one clock for all calls. */
  readonly beganAt: number;
  /** When its answer came; undefined where its outcome isn't known, so that it may take effect at any time or never. */
  readonly endedAt: number | undefined;
}
