/** The periods and timeouts of the control plane; settings derive them in src/daemon/bounds.ts. */

/** The periods and timeouts by which the leader maintains leases, registrations and idempotency claims, in milliseconds. */
export interface ControlPlaneTimeouts {
  /** How long a view's lease is valid. */
  leaseMs: number;
  /** The interval between two heartbeats of a backend. */
  heartbeatMs: number;
  /** The time without a heartbeat after which a registration ends. */
  expiryMs: number;
  /** How long a registration without an instance stays ended after its backend left, whatever heartbeats arrive late. */
  holdDownMs: number;
  /** How long the registration of a backend that left is retained. */
  purgeMs: number;
  /** How long an idempotency claim is retained. */
  keyMs: number;
  /** The time without a watch request after which a daemon counts as unresponsive. */
  unresponsiveAfterMs: number;
  /** How long an id rests before another name may take it: three windows of the sketches that count by it. */
  idQuarantineMs: number;
  /** How long a watch request is buffered at most while there is no update for it; well below the lease. */
  maxWatchWaitMs: number;
  /** How long the tombstone of an instance is retained at least. */
  tombstoneMs: number;
}

/** The defaults. */
const defaults: ControlPlaneTimeouts = {
  leaseMs: 1600,
  heartbeatMs: 1000,
  expiryMs: 4300,
  holdDownMs: 2500,
  purgeMs: 30_000,
  keyMs: 120_000,
  unresponsiveAfterMs: 2500,
  idQuarantineMs: 60_000,
  maxWatchWaitMs: 320,
  tombstoneMs: 600_000,
};

export { defaults as defaultControlPlaneTimeouts };
