import { readdirSync, readFileSync } from "node:fs";

/** What the machine says of a process. */
export interface ProcessReading {
  /** Processor time of all its threads. */
  readonly cpuMs: number;
  readonly rssBytes: number;
  /** What it read and wrote by system calls: sockets, and files too. */
  readonly readBytes: number;
  readonly writtenBytes: number;
  readonly atMs: number;
}

const number = (text: string, name: RegExp): number => Number(name.exec(text)?.[1] ?? 0);
const tickMs = 10;

const cpuMs = (pid: number): number => {
  try {
    let sum = 0;
    for (const thread of readdirSync(`/proc/${pid}/task`))
      sum += Number(
        readFileSync(`/proc/${pid}/task/${thread}/schedstat`, "utf8").split(" ")[0] ?? 0,
      );
    return sum / 1e6;
  } catch {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8")
      .replace(/^.*\) /, "")
      .split(" ");
    return (Number(fields[11] ?? 0) + Number(fields[12] ?? 0)) * tickMs;
  }
};

/** A clock that all processes of one machine share. */
export const sharedMs = (): number => Number(process.hrtime.bigint()) / 1e6;

export const ProcessReading = {
  /** Reads a process that runs. */
  of(pid: number): ProcessReading {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    return {
      cpuMs: cpuMs(pid),
      rssBytes: number(status, /VmRSS:\s+(\d+)/) * 1024,
      readBytes: number(io, /rchar: (\d+)/),
      writtenBytes: number(io, /wchar: (\d+)/),
      atMs: sharedMs(),
    };
  },
};
