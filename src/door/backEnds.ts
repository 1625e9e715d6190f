import { Pool, errors } from "undici";
import type { Clock } from "../machine/clock.js";
import { Task } from "../machine/task.js";

/** One request as it goes to a back end, its body held whole. */
export interface BackJob {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
}

/** The head of a back end's return, and its body piece by piece. */
export interface BackReturn {
  readonly code: number;
  readonly headers: Record<string, string>;
  /** The next piece, the end, or word that the body was cut short or came too late. */
  next(): Task<Uint8Array | "end" | "cut">;
  cancel(): void;
}

/** How a try began: with a head, or why not. Refused: nobody listens there. Unreached: no connection came about. */
export type Opened = BackReturn | "refused" | "unreached" | "lost" | "late";

/** The back ends as a daemon reaches them. A pool is the connections under one contract. */
export interface BackEnds {
  send(address: string, pool: string, job: BackJob, untilMs: number): Task<Opened>;
  /** Closes the connections of pools that are no longer wanted. */
  keepOnly(pools: ReadonlySet<string>): void;
  close(): void;
}

const neverConnected = new Set(["EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT", "EADDRNOTAVAIL"]);

const codeOf = (error: unknown): string => (error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : "");

export const BackEnds = {
  /** Over HTTP/1.1, by undici, whose own repeating and pipelining stay off. */
  http(clock: Clock): BackEnds {
    const pools = new Map<string, Pool>();
    const poolOf = (address: string, name: string): Pool => {
      const known = pools.get(name);
      if (known) return known;
      const pool = new Pool(`http://${address}`, { pipelining: 1, connect: { timeout: 1000 }, keepAliveTimeout: 3000 });
      pools.set(name, pool);
      return pool;
    };
    return {
      *send(address, name, job, untilMs) {
        const stop = new AbortController();
        const cancelTimer = clock.after(untilMs - clock.nowMs(), () => stop.abort());
        const outcome = yield* Task.settle(
          poolOf(address, name).request({
            method: job.method,
            path: job.path,
            headers: job.headers,
            body: job.body.length > 0 ? job.body : null,
            signal: stop.signal,
            headersTimeout: 0,
            bodyTimeout: 0,
          }),
        );
        if ("error" in outcome) {
          cancelTimer();
          if (stop.signal.aborted) return "late";
          const code = codeOf(outcome.error);
          if (code === "ECONNREFUSED") return "refused";
          if (neverConnected.has(code) || outcome.error instanceof errors.ClientDestroyedError) return "unreached";
          return "lost";
        }
        const { statusCode, headers, body } = outcome.value;
        const pieces = body[Symbol.asyncIterator]();
        const flat: Record<string, string> = {};
        for (const [key, value] of Object.entries(headers)) if (value !== undefined) flat[key] = Array.isArray(value) ? value.join(", ") : value;
        return {
          code: statusCode,
          headers: flat,
          *next() {
            const piece = yield* Task.settle(pieces.next());
            if ("error" in piece) {
              cancelTimer();
              return "cut";
            }
            if (piece.value.done === true) {
              cancelTimer();
              return "end";
            }
            const bytes: unknown = piece.value.value;
            return bytes instanceof Uint8Array ? bytes : "cut";
          },
          cancel() {
            cancelTimer();
            stop.abort();
            body.on("error", () => undefined).destroy();
          },
        };
      },
      keepOnly(wanted) {
        for (const [name, pool] of pools) {
          if (wanted.has(name)) continue;
          pools.delete(name);
          void pool.close().catch(() => undefined);
        }
      },
      close() {
        for (const pool of pools.values()) void pool.destroy().catch(() => undefined);
        pools.clear();
      },
    };
  },
};
