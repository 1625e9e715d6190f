/** The server side of the links between daemons: requests that arrive, and the responses to them. */
import { startTask } from "../runtime/runtime.js";
import type { Task } from "../runtime/task.js";
import { decodeExactly, type Frame, encodeFrame, FrameError, FrameReader } from "./frame.js";
import { PacedConnection } from "./paced-connection.js";
import type { RpcContext } from "./rpc-context.js";
import type { RpcMethod } from "./rpc-method.js";

/** For how long a large response may give way to large requests. */
const RESPONSE_PATIENCE_MS = 1000;

/** Handles the requests of one method. */
interface MethodHandler {
  readonly handle: (body: Uint8Array) => Task<Uint8Array>;
  /** How long after a request its response is of use. */
  readonly waitMs: number;
}

/** Serves the requests of peers. */
export class RpcServer {
  private readonly context: RpcContext;
  private readonly handlers = new Map<number, MethodHandler>();

  constructor(context: RpcContext) {
    this.context = context;
  }

  /** Sets the handler of a method; a former one is replaced. */
  setHandler<A, R>(method: RpcMethod<A, R>, handle: (request: A) => Task<R>): void {
    this.handlers.set(method.id, {
      *handle(body) {
        return method.response.toBuffer(yield* handle(decodeExactly(method.request, body)));
      },
      waitMs: method.waitMs ?? Infinity,
    });
  }

  /** Accepts connections at an address. */
  *listen(address: string): Task {
    const { runtime, pacers } = this.context;
    yield* runtime.network.listen(address, (accepted) => {
      const connection = new PacedConnection(
        accepted,
        pacers.egress,
        runtime.clock,
        RESPONSE_PATIENCE_MS,
      );
      startTask(runtime, "rpc", this.serve(connection));
    });
  }

  /** Starts a task for each request of a connection, until that ends. */
  private *serve(connection: PacedConnection): Task {
    const { runtime, pacers, guard, newestVersion } = this.context;
    const reader = new FrameReader(newestVersion);
    for (;;) {
      const piece = yield* connection.incoming.take();
      if (piece === "closed") return connection.close();
      pacers.ingress.recordBytes(piece.length);
      try {
        for (const frame of reader.read(piece))
          startTask(runtime, "rpc", this.respond(connection, frame, this.handlerOf(frame)));
      } catch (error) {
        guard.closeOnViolation(connection, error);
        return;
      }
    }
  }

  private handlerOf({ methodId, isResponse }: Frame): MethodHandler {
    const handler = this.handlers.get(methodId);
    if (!handler || isResponse) throw new FrameError(`Nothing here serves kind ${methodId}.`);
    return handler;
  }

  private *respond(connection: PacedConnection, frame: Frame, handler: MethodHandler): Task {
    const { runtime, guard } = this.context;
    const expiresMs = runtime.clock.nowMs() + handler.waitMs;
    try {
      const body = yield* handler.handle(frame.body);
      connection.send(encodeFrame({ ...frame, isResponse: true, body }), expiresMs);
    } catch (error) {
      guard.closeOnViolation(connection, error);
    }
  }
}
