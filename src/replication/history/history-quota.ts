/** The history's part of a disk. The rest takes two snapshots, the log after the newer one, and one that is being written. */
const diskPart = 1 / 4;
const bytesInMb = 1_000_000;
/** What the history may take where the settings don't say how large the disk is. */
const usualBytes = 1024 * bytesInMb;

/** How many bytes the history of configs may take on a disk of so many megabytes. */
export const historyQuotaBytes = (diskMb: number | undefined): number =>
  diskMb === undefined ? usualBytes : diskMb * bytesInMb * diskPart;
