/** The share of a member's disk that the history of configs may use. */

/** The history's share of a disk. The rest is for two snapshots, the log after the newer one, and one being written. */
const HISTORY_DISK_FRACTION = 1 / 4;
const BYTES_PER_MB = 1_000_000;
/** The quota if the settings don't give the size of the disk. */
const DEFAULT_QUOTA_BYTES = 1024 * BYTES_PER_MB;

/** Returns the quota of the history in bytes, for the size of a disk in MB. */
export const historyQuotaBytes = (diskMb: number | undefined): number =>
  diskMb === undefined ? DEFAULT_QUOTA_BYTES : diskMb * BYTES_PER_MB * HISTORY_DISK_FRACTION;
