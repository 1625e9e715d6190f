/** One request of a simulated client to a daemon's proxy, over the virtual network. */
import type { ClientConnection, ProxyRequest } from "../proxy/proxy-request.js";
import { type Clock, withTimeout } from "../runtime/clock.js";
import { type Task, waitFor } from "../runtime/task.js";
import type { ClientOutcome } from "./client-transport.js";
import { EventGate } from "./event-gate.js";
import type { SimulatedMachine } from "./simulated-machine.js";
import type { VirtualNetwork } from "./virtual-network.js";
import { CLIENT_TIMEOUT_MS } from "./workload.js";

/** The location of clients on the virtual network. */
export const CLIENTS_LOCATION = "callers";

/** The fraction of response chunks that are delayed by backpressure. */
const BACKPRESSURE_FRACTION = 0.2;
const BACKPRESSURE_MS = 2;

/** The gate of clients, backends and operators, which are never killed. */
const outsideGate = new EventGate();

const noResponse = (failure: ClientOutcome["failure"]): ClientOutcome => ({
  code: 0,
  failure,
  body: Buffer.alloc(0),
  contentLength: undefined,
  retryAfterS: undefined,
});

const completed = (code: number, headers: Record<string, string>, body: Buffer): ClientOutcome => ({
  code,
  failure: "",
  body,
  contentLength: Number(headers["content-length"] ?? body.length),
  retryAfterS: headers["retry-after"] === undefined ? undefined : Number(headers["retry-after"]),
});

/** The parts of a simulation that a client request uses. */
export interface CallEnvironment {
  readonly clock: Clock;
  readonly network: VirtualNetwork;
  readonly random: () => number;
}

/** One client request; `run` sends it and returns the outcome that the client observes. */
export class ClientCall {
  private readonly environment: CallEnvironment;
  private readonly name: string;
  private readonly machine: SimulatedMachine | undefined;
  private readonly clientRequest: ProxyRequest;
  private hangUp = (): void => undefined;

  constructor(
    environment: CallEnvironment,
    name: string,
    machine: SimulatedMachine | undefined,
    clientRequest: ProxyRequest,
  ) {
    this.environment = environment;
    this.name = name;
    this.machine = machine;
    this.clientRequest = clientRequest;
  }

  /** Sends the request; the client hangs up if it has no response within `timeoutMs`. */
  *run(timeoutMs: number): Task<ClientOutcome> {
    const { clock, network } = this.environment;
    const outcome = yield* withTimeout<ClientOutcome>(clock, timeoutMs, (done) => {
      const arriveAtMachine = (): void => this.arriveAtMachine(done);
      clock.after(network.drawConnectDelayMs(), () =>
        network.deliver(CLIENTS_LOCATION, this.name, outsideGate, arriveAtMachine, () =>
          done(noResponse("silent")),
        ),
      );
    });
    if (outcome) return outcome;
    this.hangUp();
    return noResponse(timeoutMs < CLIENT_TIMEOUT_MS ? "hungUp" : "silent");
  }

  /** Sends the outcome back to the client over the network. */
  private deliverBack(outcome: ClientOutcome, done: (outcome: ClientOutcome) => void): void {
    this.environment.network.deliver(
      this.name,
      CLIENTS_LOCATION,
      outsideGate,
      () => done(outcome),
      () => done(noResponse("silent")),
    );
  }

  /** Passes the request to the machine's daemon, or refuses the connection where no daemon runs. */
  private arriveAtMachine(done: (outcome: ClientOutcome) => void): void {
    const { machine, clientRequest } = this;
    if (!machine?.daemon || !machine.gate.isAlive)
      return this.deliverBack(noResponse("refused"), done);
    const { daemon, gate } = machine;
    const client = this.connect(machine, gate, (outcome) => this.deliverBack(outcome, done));
    gate.pass(() => daemon.clientRequests.emit({ clientRequest, client }));
  }

  /** Creates the daemon's side of the connection, which closes when the process ends or the client hangs up. */
  private connect(
    machine: SimulatedMachine,
    gate: EventGate,
    deliver: (outcome: ClientOutcome) => void,
  ): ClientConnection {
    const { clock, network, random } = this.environment;
    let isClosed = false;
    let pendingResponse:
      { code: number; headers: Record<string, string>; chunks: Buffer[] } | undefined;
    const close = (): void => {
      isClosed = true;
      machine.exitListeners.delete(onExit);
    };
    const finish = (outcome: ClientOutcome): void => {
      close();
      deliver(outcome);
    };
    const onExit = (): void => finish(noResponse("broken"));
    machine.exitListeners.add(onExit);
    this.hangUp = () => network.deliver(CLIENTS_LOCATION, this.name, gate, close, () => undefined);
    return {
      get isClosed() {
        return isClosed;
      },
      respond: ({ code, headers, body }) => {
        if (!isClosed) finish(completed(code, headers, Buffer.from(body)));
      },
      writeHead: (code, headers) => {
        pendingResponse = { code, headers, chunks: [] };
      },
      *writeChunk(bytes) {
        pendingResponse?.chunks.push(Buffer.from(bytes));
        if (random() < BACKPRESSURE_FRACTION)
          yield* waitFor<boolean>((drained) =>
            clock.after(BACKPRESSURE_MS, () => gate.pass(() => drained(true))),
          );
        return !isClosed;
      },
      end: () => {
        if (!isClosed && pendingResponse)
          finish(
            completed(
              pendingResponse.code,
              pendingResponse.headers,
              Buffer.concat(pendingResponse.chunks),
            ),
          );
      },
      abort: () => {
        if (!isClosed) finish(noResponse("broken"));
      },
    };
  }
}
