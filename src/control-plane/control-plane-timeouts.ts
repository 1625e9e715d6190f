/** The intervals and timeouts of the control plane, which src/daemon/bounds.ts derives from the settings. */

/** The intervals and timeouts of leases, registrations and idempotency claims at the leader, in milliseconds. */
export interface ControlPlaneTimeouts {
  /** Duration of a view's lease. */
  leaseMs: number;
  /** Interval between two heartbeats of a backend. */
  heartbeatMs: number;
  /** Time without a heartbeat after which a registration ends. */
  expiryMs: number;
  /** Time after a deregistration without an instance during which heartbeats, which may be delayed, don't revive it. */
  holdDownMs: number;
  /** Retention time of the registration of a backend that left. */
  purgeMs: number;
  /** Retention time of an idempotency claim. */
  keyMs: number;
  /** Time without a watch request after which a daemon counts as unresponsive. */
  unresponsiveAfterMs: number;
  /** Quarantine of an unused id before another name may get it: three windows of the sketches that count by it. */
  idQuarantineMs: number;
  /** Maximum time for which a watch request without an update is buffered; well below the lease. */
  maxWatchWaitMs: number;
  /** Minimum retention time of the tombstone of an instance. */
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
