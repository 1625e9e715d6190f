/** Durable files in a daemon's data folder. */
import { open, mkdir, readFile, readdir, unlink, type FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { type Task, fromPromise } from "./task.js";

/** Thrown when the disk is full, stalled or failing. */
export class DiskError extends Error {}

/** The files of one data folder. Each change is synced, and therefore durable, when its task ends. */
export interface Disk {
  /** Content of a file; `undefined` if it does not exist. */
  read(name: string): Task<Uint8Array | undefined>;
  /** Names of all files in the folder. */
  list(): Task<string[]>;
  /** Replaces a file and syncs it and the folder. */
  write(name: string, bytes: Uint8Array): Task;
  /** Appends to a file and syncs it; the first append to a file syncs the folder too. */
  append(name: string, bytes: Uint8Array): Task;
  /** Truncates a file to `size` bytes and syncs it. */
  truncate(name: string, size: number): Task;
  /** Removes a file and syncs the folder. */
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

const writeFully = async (handle: FileHandle, bytes: Uint8Array): Promise<void> => {
  for (let offset = 0; offset < bytes.length;)
    offset += (await handle.write(bytes, offset, bytes.length - offset)).bytesWritten;
};

/** Waits for a file system operation; throws a `DiskError` with its error as the cause. */
const awaitDisk = function* <T>(promise: Promise<T>): Task<T> {
  const outcome = yield* fromPromise(promise);
  if ("value" in outcome) return outcome.value;
  throw new DiskError("disk operation failed", { cause: outcome.error });
};

/** A folder of the file system. Appended files stay open until they are truncated or removed. */
class DataFolder implements Disk {
  private readonly folder: string;
  private readonly appendHandles = new Map<string, FileHandle>();

  constructor(folder: string) {
    this.folder = folder;
  }

  *read(name: string): Task<Uint8Array | undefined> {
    const names = yield* awaitDisk(readdir(this.folder));
    if (!names.includes(name)) return undefined;
    return yield* awaitDisk(readFile(this.path(name)));
  }

  *list(): Task<string[]> {
    return yield* awaitDisk(readdir(this.folder));
  }

  *write(name: string, bytes: Uint8Array): Task {
    yield* awaitDisk(this.replaceFile(name, bytes));
  }

  *append(name: string, bytes: Uint8Array): Task {
    yield* awaitDisk(this.appendToFile(name, bytes));
  }

  *truncate(name: string, size: number): Task {
    yield* awaitDisk(this.truncateFile(name, size));
  }

  *remove(name: string): Task {
    yield* awaitDisk(this.removeFile(name));
  }

  private path(name: string): string {
    return join(this.folder, name);
  }

  private async replaceFile(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await open(this.path(name), "w");
    try {
      await writeFully(handle, bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await syncFolder(this.folder);
  }

  private async appendToFile(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.appendHandle(name);
    await writeFully(handle, bytes);
    await handle.datasync();
  }

  private async truncateFile(name: string, size: number): Promise<void> {
    await this.closeAppendHandle(name);
    const handle = await open(this.path(name), "r+");
    try {
      await handle.truncate(size);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  private async removeFile(name: string): Promise<void> {
    await this.closeAppendHandle(name);
    await unlink(this.path(name));
    await syncFolder(this.folder);
  }

  private async appendHandle(name: string): Promise<FileHandle> {
    const known = this.appendHandles.get(name);
    if (known) return known;
    const handle = await open(this.path(name), "a");
    await syncFolder(this.folder);
    this.appendHandles.set(name, handle);
    return handle;
  }

  private async closeAppendHandle(name: string): Promise<void> {
    const handle = this.appendHandles.get(name);
    this.appendHandles.delete(name);
    await handle?.close();
  }
}

/** Opens a data folder of this machine; creates it if it is missing. */
export function* openDisk(folder: string): Task<Disk> {
  yield* awaitDisk(mkdir(folder, { recursive: true }));
  return new DataFolder(folder);
}
