import { Client, buildConnector, errors } from "undici";
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

/**
 * How a try began: with a head, or why not. Refused: nobody listens there. Foreign: who listens there is not of the service.
 * Unreached: no connection came about in time. Withdrawn: it might no longer be sent once the connection stood.
 * In these four nothing was sent. Lost and late: it was.
 */
export type Opened = BackReturn | "refused" | "foreign" | "unreached" | "withdrawn" | "lost" | "late";

/** One try at a back end. */
export interface BackTry {
  readonly address: string;
  readonly service: string;
  /** The connections under one contract. */
  readonly pool: string;
  readonly job: BackJob;
  readonly untilMs: number;
  /** Whether it may still be sent; asked when the connection stands, right before the first byte. */
  mayStill(): boolean;
}

/** The back ends as a daemon reaches them. Each connection has proven the service behind it before it carries a request. */
export interface BackEnds {
  send(one: BackTry): Task<Opened>;
  /** Closes the connections of pools that are no longer wanted. */
  keepOnly(pools: ReadonlySet<string>): void;
  close(): void;
}

/** What a back end serves its proof at: any return whose `serviceHeader` names its service. */
export const proofPath = "/.well-known/daledoor";
export const serviceHeader = "x-daledoor-service";
/** How long a connection and its proof may take. */
export const connectMs = 1000;

/** Raised where a connection that has ended is asked to open again. */
class ConnectionOverError extends Error {}

/** One connection; it never opens a second time, so that its proof holds for as long as it does. */
interface Line {
  readonly client: Client;
  reset(): void;
}

const codeOf = (error: unknown): string => (error instanceof Error && "code" in error && typeof error.code === "string" ? error.code : "");

const lineTo = (address: string, over: (line: Line) => void): Line => {
  let opened = false;
  let reset = (): unknown => undefined;
  const connect = buildConnector({ timeout: connectMs });
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    keepAliveTimeout: 3000,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect(options, done) {
      if (opened) return done(new ConnectionOverError("The connection has ended."), null);
      opened = true;
      connect(options, (...outcome) => {
        const [, socket] = outcome;
        if (socket) reset = () => socket.resetAndDestroy();
        done(...outcome);
      });
    },
  });
  const line: Line = {
    client,
    reset() {
      reset();
      void client.destroy().catch(() => undefined);
    },
  };
  client.on("disconnect", () => over(line));
  return line;
};

export const BackEnds = {
  /** Over HTTP/1.1, by undici, whose own pools, repeating and pipelining stay unused. */
  http(clock: Clock): BackEnds {
    const idle = new Map<string, Set<Line>>();
    const lines = new Map<Line, string>();
    let wanted: ReadonlySet<string> | undefined;

    const over = (line: Line): void => {
      idle.get(lines.get(line) ?? "")?.delete(line);
      lines.delete(line);
      void line.client.destroy().catch(() => undefined);
    };
    const rest = (line: Line): void => {
      const pool = lines.get(line);
      if (pool === undefined) return;
      if (wanted && !wanted.has(pool)) return over(line);
      const known = idle.get(pool);
      if (known) known.add(line);
      else idle.set(pool, new Set([line]));
    };

    /** Opens a connection and has the back end say which service it is. */
    const proven = function* ({ address, service, pool }: BackTry): Task<Line | "refused" | "foreign" | "unreached"> {
      const line = lineTo(address, over);
      lines.set(line, pool);
      const cancelTimer = clock.after(connectMs, () => line.reset());
      const proof = yield* Task.settle(line.client.request({ method: "GET", path: proofPath }).then(async ({ headers, body }) => body.dump().then(() => headers[serviceHeader])));
      cancelTimer();
      if ("value" in proof && proof.value === service && lines.has(line)) return line;
      line.reset();
      over(line);
      if ("value" in proof) return proof.value === service ? "unreached" : "foreign";
      return codeOf(proof.error) === "ECONNREFUSED" ? "refused" : "unreached";
    };

    return {
      *send(one) {
        const { job, untilMs, pool } = one;
        for (;;) {
          const [known] = idle.get(pool) ?? [];
          if (known) idle.get(pool)?.delete(known);
          const line = known ?? (yield* proven(one));
          if (typeof line === "string") return line;
          if (!one.mayStill()) {
            rest(line);
            return "withdrawn";
          }
          let isLate = false;
          const cancelTimer = clock.after(untilMs - clock.nowMs(), () => {
            isLate = true;
            line.reset();
          });
          const outcome = yield* Task.settle(line.client.request({ method: job.method, path: job.path, headers: job.headers, body: job.body.length > 0 ? job.body : null }));
          if ("error" in outcome) {
            cancelTimer();
            over(line);
            if (isLate) return "late";
            if (outcome.error instanceof ConnectionOverError || outcome.error instanceof errors.ClientDestroyedError) {
              if (known) continue;
              return "unreached";
            }
            return "lost";
          }
          const { statusCode, headers, body } = outcome.value;
          const pieces = body[Symbol.asyncIterator]();
          const flat: Record<string, string> = {};
          for (const [key, value] of Object.entries(headers)) if (value !== undefined) flat[key] = Array.isArray(value) ? value.join(", ") : value;
          const drop = (): void => {
            cancelTimer();
            body.on("error", () => undefined).destroy();
            line.reset();
            over(line);
          };
          return {
            code: statusCode,
            headers: flat,
            *next() {
              const piece = yield* Task.settle(pieces.next());
              if ("error" in piece) {
                drop();
                return "cut";
              }
              if (piece.value.done === true) {
                cancelTimer();
                if (isLate) return "cut";
                rest(line);
                return "end";
              }
              const bytes: unknown = piece.value.value;
              return bytes instanceof Uint8Array ? bytes : "cut";
            },
            cancel: drop,
          };
        }
      },
      keepOnly(pools) {
        wanted = pools;
        for (const [pool, resting] of idle) {
          if (pools.has(pool)) continue;
          idle.delete(pool);
          for (const line of resting) over(line);
        }
      },
      close() {
        for (const line of [...lines.keys()]) over(line);
        idle.clear();
      },
    };
  },
};

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const { createServer } = await import("node:http");
  const { Clock: Clocks } = await import("../machine/clock.js");

  test("real connections: a request goes only where its service was proven, and not once it may no longer be sent", async () => {
    const seen: string[] = [];
    let service = "issues";
    let proofWaits: Array<() => void> | undefined;
    const open = async (port: number) => {
      const server = createServer((incoming, outgoing) => {
        if (incoming.url === proofPath) {
          const prove = (): unknown => outgoing.writeHead(204, { [serviceHeader]: service }).end();
          if (proofWaits) proofWaits.push(prove);
          else prove();
          return;
        }
        seen.push(`${service} ${incoming.url ?? ""}`);
        outgoing.end("whole");
      });
      await new Promise<void>((done) => server.listen(port, "127.0.0.1", done));
      const bound = server.address();
      return { server, port: bound !== null && typeof bound === "object" ? bound.port : 0 };
    };
    const ended = (server: { close: (done: () => void) => unknown; closeAllConnections: () => void }) =>
      new Promise<void>((done) => {
        server.close(() => done());
        server.closeAllConnections();
      });
    const clock = Clocks.real();
    const backEnds = BackEnds.http(clock);
    const first = await open(0);
    const address = `127.0.0.1:${first.port}`;
    const sending = (path: string, mayStill = (): boolean => true): Promise<string> =>
      new Promise((done, fail) =>
        Task.start(
          (function* () {
            const opened = yield* backEnds.send({ address, service: "issues", pool: "one", job: { method: "GET", path, headers: {}, body: new Uint8Array() }, untilMs: clock.nowMs() + 5000, mayStill });
            if (typeof opened === "string") return opened;
            let text = "";
            for (;;) {
              const piece = yield* opened.next();
              if (typeof piece === "string") return `${text} ${piece}`;
              text += Buffer.from(piece).toString();
            }
          })(),
          fail,
          done,
        ),
      );
    expect(await sending("/1")).toBe("whole end");
    expect(await sending("/2")).toBe("whole end");
    await ended(first.server);
    service = "triage";
    const second = await open(first.port);
    await expect.poll(() => sending("/3"), { timeout: 20_000 }).toBe("foreign");
    await ended(second.server);
    await expect.poll(() => sending("/4"), { timeout: 20_000 }).toBe("refused");
    service = "issues";
    const third = await open(first.port);
    proofWaits = [];
    let isGranted = true;
    const slow = sending("/5", () => isGranted);
    await expect.poll(() => proofWaits?.length).toBe(1);
    isGranted = false;
    proofWaits[0]?.();
    expect(await slow).toBe("withdrawn");
    proofWaits = undefined;
    expect(await sending("/6")).toBe("whole end");
    backEnds.close();
    await ended(third.server);
    expect(seen).toEqual(["issues /1", "issues /2", "issues /6"]);
  });
}
