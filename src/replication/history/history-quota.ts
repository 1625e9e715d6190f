/** How much of a member's disk the history of configs may take. */

/** The history's part of a disk. The rest takes two snapshots, the log after the newer one, and one that is being written. */
const HISTORY_DISK_FRACTION = 1 / 4;
const BYTES_PER_MB = 1_000_000;
/** The quota where the settings don't say how large the disk is. */
const DEFAULT_QUOTA_BYTES = 1024 * BYTES_PER_MB;

/** How many bytes the history of configs may take on a disk of so many megabytes. */
export const historyQuotaBytes = (diskMb: number | undefined): number =>
  diskMb === undefined ? DEFAULT_QUOTA_BYTES : diskMb * BYTES_PER_MB * HISTORY_DISK_FRACTION;
