import { open, mkdir, readFile, readdir, unlink, type FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { Task } from "./task.js";

/** A breakdown of the disk: full, stalled or failing. */
export class DiskError extends Error {}

/** Files under one data folder. Nothing lasts until its wish has ended: both synced it. */
export interface Disk {
  read(name: string): Task<Uint8Array | undefined>;
  list(): Task<string[]>;
  /** Replaces a file whole and syncs it and the folder. */
  write(name: string, bytes: Uint8Array): Task;
  /** Adds to a file's end and syncs it; a file's first addition syncs the folder too. */
  append(name: string, bytes: Uint8Array): Task;
  truncate(name: string, size: number): Task;
  remove(name: string): Task;
}

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

const whole = async (handle: FileHandle, bytes: Uint8Array): Promise<void> => {
  for (let at = 0; at < bytes.length;)
    at += (await handle.write(bytes, at, bytes.length - at)).bytesWritten;
};

const awaitDisk = function* <T>(promise: Promise<T>): Task<T> {
  const outcome = yield* Task.fromPromise(promise);
  if ("value" in outcome) return outcome.value;
  throw new DiskError("The disk broke down.", { cause: outcome.error });
};

export const Disk = {
  /** The data folder of a real machine. */
  *open(folder: string): Task<Disk> {
    yield* awaitDisk(mkdir(folder, { recursive: true }));
    const appending = new Map<string, FileHandle>();
    const opened = async (name: string): Promise<FileHandle> => {
      const known = appending.get(name);
      if (known) return known;
      const handle = await open(join(folder, name), "a");
      await syncFolder(folder);
      appending.set(name, handle);
      return handle;
    };
    const closed = async (name: string): Promise<void> => {
      const handle = appending.get(name);
      appending.delete(name);
      await handle?.close();
    };
    return {
      *read(name) {
        const names = yield* awaitDisk(readdir(folder));
        if (!names.includes(name)) return undefined;
        return yield* awaitDisk(readFile(join(folder, name)));
      },
      *list() {
        return yield* awaitDisk(readdir(folder));
      },
      *write(name, bytes) {
        yield* awaitDisk(
          (async () => {
            const handle = await open(join(folder, name), "w");
            try {
              await whole(handle, bytes);
              await handle.sync();
            } finally {
              await handle.close();
            }
            await syncFolder(folder);
          })(),
        );
      },
      *append(name, bytes) {
        yield* awaitDisk(
          (async () => {
            const handle = await opened(name);
            await whole(handle, bytes);
            await handle.datasync();
          })(),
        );
      },
      *truncate(name, size) {
        yield* awaitDisk(
          (async () => {
            await closed(name);
            const handle = await open(join(folder, name), "r+");
            try {
              await handle.truncate(size);
              await handle.sync();
            } finally {
              await handle.close();
            }
          })(),
        );
      },
      *remove(name) {
        yield* awaitDisk(
          (async () => {
            await closed(name);
            await unlink(join(folder, name));
            await syncFolder(folder);
          })(),
        );
      },
    };
  },
};
