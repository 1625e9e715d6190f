import { connect as connectSocket, type Socket } from "node:net";
import { Readable } from "node:stream";
import { Client, errors, type Dispatcher } from "undici";
import { Address } from "../../runtime/network.js";
import type { Clock } from "../../runtime/clock.js";
import { LinkPacers, type LinkPacer, type Transfer } from "../../runtime/link-pacer.js";
import { Task } from "../../runtime/task.js";
import type { HeaderNames } from "../header-names.js";

/** One request as it goes to a back end: the part of its body that is held, and what is still to come. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Uint8Array;
  readonly rest?: AsyncIterable<Uint8Array> | undefined;
}

/** The head of a back end's return, and its body piece by piece. */
export interface BackendResponse {
  readonly code: number;
  readonly headers: Record<string, string>;
  /** The next piece, the end, or word that the body was cut short or came too late. */
  next(): Task<Uint8Array | "end" | "cut">;
  cancel(): void;
  /** Notes that it names no request: a duplicate of it could pass for the next one's. */
  noteUnnamed?(): void;
}

/**
 * How a try began: with a head, or why not. Refused: nobody listens there. Foreign: who listens there is not of the service.
 * Unreached: no connection came about in time. Withdrawn: it might no longer be sent once the connection stood.
 * In these four nothing was sent. Lost and late: it was.
 */
export type OpenResult =
  BackendResponse | "refused" | "foreign" | "unreached" | "withdrawn" | "lost" | "late";

/** One try at a back end. */
export interface BackendAttempt {
  readonly address: string;
  readonly service: string;
  /** The connections under one contract. */
  readonly pool: string;
  readonly request: BackendRequest;
  readonly untilMs: number;
  /** When its response should have ended; of two large ones, that which is due first goes first. */
  readonly dueMs?: number | undefined;
  /** Whether it must run once at most: it then uses no connection on which a response named no request. */
  readonly isOnce?: boolean;
  /** Calls back once nobody waits for the response any more, where it may then be broken off; returns a cancel function. */
  onUnwanted?(run: () => void): () => void;
  /** Whether it may still be sent; asked when the connection stands, right before the first byte. */
  maySend(): boolean;
}

/** The back ends as a daemon reaches them. */
export interface BackendClient {
  send(one: BackendAttempt): Task<OpenResult>;
  /** Closes the connections of pools that are no longer wanted. */
  retainPools(pools: ReadonlySet<string>): void;
  close(): void;
}

/** What a back end serves its proof at: any return whose `serviceHeader` names its service. */
export const SERVICE_PROOF_PATH = "/.well-known/daledoor";
export const SERVICE_HEADER = "x-daledoor-service";
/** How long a connection and its proof may take. */
export const CONNECT_TIMEOUT_MS = 1000;
/** How long a connection may rest where the back end says nothing of it. */
const idleMs = 4000;
/** How long a response that is late may still end, so that its connection can be used again. */
const drainMs = 250;
/** How much of a response is held before the back end is made to wait. */
const heldLimitBytes = 256 * 1024;
/** How much is held of a response that ends its connection and so can't be made to wait; a larger one is broken off. */
const closingHeldLimitBytes = 8 * 1024 * 1024;

/** About how many bytes a request's head takes beside its headers. */
const requestHeadBytes = 100;

/** How back ends are reached over HTTP. */
export interface HttpOptions {
  readonly proof?: HeaderNames["proof"] | undefined;
  readonly connectWaitMs?: number;
  /** Both directions of the machine's link, where its rate is to be kept. */
  readonly pacers?: LinkPacers;
}

/** Raised where a connection that has ended is asked to open again. */
class ConnectionOverError extends Error {}

/** One connection; it never opens a second time, so that its proof holds for as long as it does. */
interface Line {
  readonly client: Client;
  readonly socket: Socket;
  readonly pool: string;
  /** A response came on it that named no request. */
  hasUnnamed: boolean;
}

type Connected = Socket | "refused" | "unreached";

/** Whether a connection goes on after a response with these headers, so that its end is no part of the response. */
const isKeptOpenAfter = (headers: Record<string, string>): boolean => {
  const says = (headers["connection"] ?? "").toLowerCase().split(",");
  if (says.some((word) => word.trim() === "close")) return false;
  const isChunked = headers["transfer-encoding"]?.toLowerCase().trim() === "chunked";
  return isChunked || headers["content-length"] !== undefined;
};

/** One response as it arrives. */
class Receiving implements Dispatcher.DispatchHandler {
  /** Whether the library has begun to write the request: before that, and only before that, nothing of it can have left. */
  hasBegun = false;
  private readonly pieces: Uint8Array[] = [];
  private heldBytes = 0;
  private receivedBytes = 0;
  private last: "end" | "cut" | undefined;
  /** Nobody reads any more: what still comes is thrown away. */
  private isDraining = false;
  private waiting: (() => void) | undefined;
  private readonly ingress: LinkPacer;
  private readonly transfer: Transfer;
  /** What may come before the next turn; it is counted already. */
  private creditBytes = 0;
  /**
   * Whether the back end may be made to wait. The library raises an assertion, which ends the process, where the connection
   * of a paused response ends, if that response said that it would: such a response is read as it comes.
   */
  private mayPause = false;
  /** Undone once the link may take more; set while the back end is made to wait for that. */
  private cancelTurn: (() => void) | undefined;
  private controller: Dispatcher.DispatchController | undefined;
  private readonly head: (
    outcome: { code: number; headers: Record<string, string> } | { error: Error },
  ) => void;
  private readonly over: (isWhole: boolean) => void;

  constructor(
    head: (outcome: { code: number; headers: Record<string, string> } | { error: Error }) => void,
    over: (isWhole: boolean) => void,
    ingress: LinkPacer,
    dueMs: number,
  ) {
    this.head = head;
    this.over = over;
    this.ingress = ingress;
    this.transfer = ingress.begin({ transferClass: "response", dueMs });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.hasBegun = true;
    this.controller = controller;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    code: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (code < 200) return;
    const flat: Record<string, string> = {};
    for (const name in headers) {
      const value = headers[name];
      if (value !== undefined) flat[name] = typeof value === "string" ? value : value.join(", ");
    }
    this.mayPause = isKeptOpenAfter(flat);
    this.head({ code, headers: flat });
  }

  onResponseData(controller: Dispatcher.DispatchController, piece: Uint8Array): void {
    if (!this.isDraining) this.pieces.push(piece);
    this.heldBytes += piece.length;
    this.receivedBytes += piece.length;
    this.ingress.note(Math.max(0, piece.length - this.creditBytes));
    this.creditBytes = Math.max(0, this.creditBytes - piece.length);
    if (this.mayPause) this.makeWait(controller);
    else if (this.heldBytes > closingHeldLimitBytes) this.breakOff(controller);
    this.wake();
  }

  onResponseEnd(): void {
    this.last ??= "end";
    this.cancelTurn?.();
    this.over(true);
    this.wake();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.last = "cut";
    this.cancelTurn?.();
    this.over(false);
    this.head({ error });
    this.wake();
  }

  /** The next piece, the end, or word that it was cut. */
  *next(): Task<Uint8Array | "end" | "cut"> {
    for (;;) {
      const piece = this.pieces.shift();
      if (piece) {
        this.heldBytes -= piece.length;
        this.resume();
        return piece;
      }
      if (this.last !== undefined) return this.last;
      yield* Task.wait<true>((done) => {
        this.waiting = () => done(true);
      });
    }
  }

  /** Lets the rest arrive unread; whoever still reads hears that the response is cut short. */
  drain(): void {
    this.isDraining = true;
    this.last ??= "cut";
    this.cancelTurn?.();
    this.cancelTurn = undefined;
    this.pieces.length = 0;
    this.heldBytes = -Infinity;
    this.resume();
    this.wake();
  }

  /** Makes the back end wait while too much is held here, or until the link may take more. */
  private makeWait(controller: Dispatcher.DispatchController): void {
    if (this.receivedBytes > this.ingress.smallBytes && this.creditBytes === 0) this.awaitTurn();
    if (this.heldBytes > heldLimitBytes || this.cancelTurn) controller.pause();
  }

  /** Gives up on a response that can't be made to wait and grows over what may be held. */
  private breakOff(controller: Dispatcher.DispatchController): void {
    queueMicrotask(() => {
      if (this.last === undefined)
        controller.abort(new ConnectionOverError("More than may be held of a closing response."));
    });
  }

  /** Makes the back end wait for a turn among all that is received over the link. */
  private awaitTurn(): void {
    if (this.cancelTurn) return;
    let isGiven = false;
    const { turnBytes } = this.ingress;
    const cancel = this.transfer.onTurn(turnBytes, () => {
      isGiven = true;
      this.cancelTurn = undefined;
      this.creditBytes += turnBytes;
      this.resume();
    });
    if (!isGiven) this.cancelTurn = cancel;
  }

  /**
   * Lets the back end go on, once the calls that led here have returned: they may come from within the parser of another
   * connection, and the library raises an error where one parser runs inside another.
   */
  private resume(): void {
    queueMicrotask(() => {
      const { controller } = this;
      if (controller?.paused !== true || this.cancelTurn || this.last !== undefined) return;
      if (this.heldBytes <= heldLimitBytes / 2) controller.resume();
    });
  }

  private wake(): void {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.();
  }
}

const connected = function* (clock: Clock, address: string, waitMs: number): Task<Connected> {
  return yield* Task.wait<Connected>((done) => {
    const socket = connectSocket({ ...Address.parts(address), noDelay: true });
    const cancel = clock.after(waitMs, () => {
      socket.destroy();
      done("unreached");
    });
    socket.on("error", (error) => {
      cancel();
      done("code" in error && error.code === "ECONNREFUSED" ? "refused" : "unreached");
    });
    socket.once("connect", () => {
      cancel();
      done(socket);
    });
  });
};

/** Bytes in parts, each once its turn on the link has come. */
const inTurns = async function* (
  bytes: Uint8Array,
  transfer: Transfer,
  turnBytes: number,
): AsyncGenerator<Uint8Array> {
  for (let at = 0; at < bytes.length; at += turnBytes) {
    const part = bytes.subarray(at, at + turnBytes);
    await new Promise<void>((done) => transfer.onTurn(part.length, done));
    yield part;
  }
};

/** A request's body as it is sent: a large one in turns with all others on the link. */
const bodyOf = (
  { body, rest }: BackendRequest,
  egress: LinkPacer,
  dueMs: number,
): Uint8Array | Readable | null => {
  if (!rest && body.length <= egress.smallBytes) {
    egress.note(body.length);
    return body.length > 0 ? body : null;
  }
  return Readable.from(
    (async function* () {
      const transfer = egress.begin({ transferClass: "request", dueMs }, body.length);
      try {
        yield* inTurns(body, transfer, egress.turnBytes);
        if (rest) for await (const piece of rest) yield* inTurns(piece, transfer, egress.turnBytes);
      } finally {
        transfer.end();
      }
    })(),
    { objectMode: false },
  );
};

/** The headers of a request as it is sent; a body that goes in turns has its length stated. */
const headersOf = (
  { headers, body, rest }: BackendRequest,
  { smallBytes }: LinkPacer,
): BackendRequest["headers"] =>
  !rest && body.length > smallBytes
    ? { ...headers, "content-length": String(body.length) }
    : headers;

const headBytesOf = ({ path, headers }: BackendRequest): number => {
  let bytes = requestHeadBytes + path.length;
  for (const name in headers) bytes += name.length + (headers[name]?.length ?? 0) + 4;
  return bytes;
};

const methods = new Set<string>([
  "GET",
  "HEAD",
  "POST",
  "PUT",
  "DELETE",
  "CONNECT",
  "OPTIONS",
  "TRACE",
  "PATCH",
]);
const isMethod = (method: string): method is Dispatcher.HttpMethod => methods.has(method);

export const BackendClient = {
  /** Over HTTP/1.1, by undici, whose own pools, repeating and pipelining stay unused. */
  http(
    clock: Clock,
    {
      proof = "connection",
      connectWaitMs = CONNECT_TIMEOUT_MS,
      pacers = LinkPacers.of(clock, undefined),
    }: HttpOptions = {},
  ): BackendClient {
    const idle = new Map<string, Line[]>();
    const lines = new Set<Line>();
    let wanted: ReadonlySet<string> | undefined;
    let isClosed = false;

    const over = (line: Line): void => {
      if (!lines.delete(line)) return;
      const resting = idle.get(line.pool);
      const at = resting?.indexOf(line) ?? -1;
      if (at >= 0) resting?.splice(at, 1);
      void line.client.destroy().catch(() => undefined);
    };
    const reset = (line: Line): void => {
      line.socket.resetAndDestroy();
      over(line);
    };
    const rest = (line: Line): void => {
      if (!lines.has(line)) return;
      if (wanted && !wanted.has(line.pool)) return over(line);
      const known = idle.get(line.pool);
      if (known) known.push(line);
      else idle.set(line.pool, [line]);
    };
    /** An idle connection that a request may use. */
    const idleFor = ({ pool, isOnce = false }: BackendAttempt): Line | undefined => {
      const resting = idle.get(pool) ?? [];
      const at = resting.findLastIndex(({ hasUnnamed }) => !isOnce || !hasUnnamed);
      return at < 0 ? undefined : resting.splice(at, 1)[0];
    };
    const lineOn = (socket: Socket, address: string, pool: string): Line => {
      let isTaken = false;
      const client = new Client(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: idleMs,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect(_options, done) {
          if (isTaken || socket.destroyed)
            return done(new ConnectionOverError("The connection has ended."), null);
          isTaken = true;
          queueMicrotask(() => done(null, socket));
        },
      });
      const line: Line = { client, socket, pool, hasUnnamed: false };
      lines.add(line);
      client.on("disconnect", () => over(line));
      socket.once("close", () => over(line));
      return line;
    };

    /** Opens a connection and has the back end say which service it is, where that is asked of it. */
    const opened = function* ({
      address,
      service,
      pool,
      untilMs,
    }: BackendAttempt): Task<Line | "refused" | "foreign" | "unreached"> {
      const socket = yield* connected(
        clock,
        address,
        Math.min(connectWaitMs, untilMs - clock.nowMs()),
      );
      if (typeof socket === "string") return socket;
      const line = lineOn(socket, address, pool);
      if (proof === "request") return line;
      const cancelTimer = clock.after(connectWaitMs, () => reset(line));
      const proven = yield* Task.fromPromise(
        line.client
          .request({ method: "GET", path: SERVICE_PROOF_PATH })
          .then(async ({ headers, body }) => body.dump().then(() => headers[SERVICE_HEADER])),
      );
      cancelTimer();
      if ("value" in proven && proven.value === service && lines.has(line)) return line;
      reset(line);
      return "value" in proven && proven.value !== service ? "foreign" : "unreached";
    };

    const dispatched = function* (
      line: Line,
      { request: job, untilMs, dueMs = untilMs, onUnwanted }: BackendAttempt,
    ): Task<OpenResult | "over"> {
      return yield* Task.wait<OpenResult | "over">((done) => {
        let isLate = false;
        let isOver = false;
        let cancelDrain = (): void => undefined;
        let cancelUnwanted = (): void => undefined;
        const receiving = new Receiving(
          (outcome) => {
            if ("error" in outcome) {
              const isRefusedByLibrary = outcome.error instanceof errors.InvalidArgumentError;
              if (receiving.hasBegun) done(isLate ? "late" : "lost");
              else done(isRefusedByLibrary ? "unreached" : "over");
              return;
            }
            const noteUnnamed = (): void => {
              line.hasUnnamed = true;
            };
            done({ ...outcome, next: () => receiving.next(), cancel: drop, noteUnnamed });
          },
          (isWhole) => {
            isOver = true;
            cancelTimer();
            cancelUnwanted();
            cancelDrain();
            if (isWhole) rest(line);
            else over(line);
          },
          pacers.ingress,
          dueMs,
        );
        const drop = (): void => {
          cancelTimer();
          receiving.drain();
          if (!isOver) reset(line);
        };
        const cancelTimer = clock.after(untilMs - clock.nowMs(), () => {
          isLate = true;
          if (proof === "connection") return drop();
          receiving.drain();
          cancelDrain = clock.after(drainMs, drop);
          done("late");
        });
        if (!isMethod(job.method)) {
          cancelTimer();
          rest(line);
          return done("unreached");
        }
        cancelUnwanted = onUnwanted?.(drop) ?? cancelUnwanted;
        pacers.egress.note(headBytesOf(job));
        line.client.dispatch(
          {
            method: job.method,
            path: job.path,
            headers: headersOf(job, pacers.egress),
            body: bodyOf(job, pacers.egress, dueMs),
          },
          receiving,
        );
      });
    };

    return {
      *send(one) {
        for (;;) {
          if (isClosed) return "unreached";
          const known = idleFor(one);
          if (known && !lines.has(known)) continue;
          const line = known ?? (yield* opened(one));
          if (typeof line === "string") return line;
          if (!one.maySend()) {
            rest(line);
            return "withdrawn";
          }
          const outcome = yield* dispatched(line, one);
          if (outcome !== "over") return outcome;
          over(line);
          if (!known) return "unreached";
        }
      },
      retainPools(pools) {
        wanted = pools;
        for (const [pool, resting] of idle) {
          if (pools.has(pool)) continue;
          idle.delete(pool);
          for (const line of resting) over(line);
        }
      },
      close() {
        isClosed = true;
        for (const line of [...lines]) over(line);
        idle.clear();
      },
    };
  },
};
