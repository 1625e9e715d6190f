import {
  CONNECT_TIMEOUT_MS,
  openedResponse,
  openFailure,
  type BackendClient,
  type BackendAttempt,
  type OpenResult,
} from "../proxy/upstream/backend-client.js";
import type { Clock } from "../runtime/clock.js";
import { type Task, waitFor } from "../runtime/task.js";
import { EventGate } from "./event-gate.js";
import type { TestBackendResponse, TestBackend } from "./test-backend.js";
import type { VirtualNetwork } from "./virtual-network.js";

/** One connection of a daemon to the process that a stand-in was when it opened. */
interface Line {
  readonly standIn: TestBackend;
  readonly incarnation: number;
  /** Whether the daemon has heard that it broke. */
  isOver: boolean;
  /** What hears the next answer that comes on it; nobody while it rests. */
  hear: ((reply: TestBackendResponse) => void) | undefined;
}

/** What the virtual back ends of one machine are made of. */
export interface VirtualBackendOptions {
  readonly location: string;
  readonly gate: EventGate;
  /** The machine's clock, by which a try's time is over. */
  readonly machineClock: Clock;
  readonly clock: Clock;
  readonly network: VirtualNetwork;
  readonly random: () => number;
  readonly findTestBackend: (address: string) => TestBackend | undefined;
}

const outside = new EventGate();

/** The back ends as one machine of a simulated fleet reaches them: over connections that are slow, cut and broken like real ones. */
export const virtualBackends = ({
  location: place,
  gate,
  machineClock: own,
  clock,
  network,
  random,
  findTestBackend: standInAt,
}: VirtualBackendOptions): BackendClient => {
  const idle = new Map<string, Line[]>();

  const isWhole = ({ standIn: testBackend, incarnation }: Line): boolean =>
    testBackend.isUp && testBackend.incarnation === incarnation;
  const lineTo = (testBackend: TestBackend): Line => {
    const line: Line = {
      standIn: testBackend,
      incarnation: testBackend.incarnation,
      isOver: false,
      hear: undefined,
    };
    testBackend.onStop(() =>
      network.deliver(
        testBackend.address,
        place,
        gate,
        () => {
          line.isOver = true;
        },
        () => undefined,
      ),
    );
    return line;
  };

  const proven = function* ({
    address,
    service,
  }: BackendAttempt): Task<Line | "refused" | "foreign" | "unreached"> {
    return yield* waitFor<Line | "refused" | "foreign" | "unreached">((done) => {
      let isOver = false;
      const give = (outcome: Line | "refused" | "foreign" | "unreached"): void => {
        if (isOver) return;
        isOver = true;
        cancel();
        gate.pass(() => done(outcome));
      };
      const cancel = clock.after(CONNECT_TIMEOUT_MS, () => give("unreached"));
      const back = (outcome: Line | "refused" | "foreign" | "unreached"): void =>
        network.deliver(
          address,
          place,
          gate,
          () => give(outcome),
          () => undefined,
        );
      const arrive = (): void => {
        const testBackend = standInAt(address);
        if (!testBackend?.isUp) return back("refused");
        const line = lineTo(testBackend);
        const prove = (): void =>
          isWhole(line)
            ? back(testBackend.service === service ? line : "foreign")
            : back("unreached");
        network.deliver(
          address,
          place,
          gate,
          () => network.deliver(place, address, outside, prove, () => undefined),
          () => undefined,
        );
      };
      clock.after(network.drawConnectDelayMs(), () =>
        network.deliver(place, address, outside, arrive, () => undefined),
      );
    });
  };

  const sent = function* (
    line: Line,
    { request: job, deadlineMs: untilMs, pool }: BackendAttempt,
  ): Task<OpenResult> {
    const { standIn: testBackend } = line;
    const { address } = testBackend;
    return yield* waitFor<OpenResult>((done) => {
      let isOver = false;
      const give = (opened: OpenResult): void => {
        if (isOver) return;
        isOver = true;
        cancel();
        gate.pass(() => done(opened));
      };
      const cancel = clock.after(untilMs - own.nowMs(), () => give(openFailure("late")));
      const back = (opened: OpenResult): void =>
        network.deliver(
          address,
          place,
          gate,
          () => give(opened),
          () => give(openFailure("lost")),
        );
      const sentMs = clock.nowMs();
      const tripMs = network.drawLatencyMs();
      network.deliver(
        place,
        address,
        outside,
        () => {
          if (!isWhole(line)) return back(openFailure("lost"));
          const reply = testBackend.handleRequest(
            job,
            clock.nowMs(),
            Math.max(0, clock.nowMs() - sentMs - tripMs),
          );
          line.hear = (first) => back(replied(line, first, pool));
          clock.after(reply.delayMs, () => answer(line, reply, () => back(openFailure("lost"))));
        },
        () => give(openFailure("lost")),
        tripMs,
      );
    });
  };

  /** An answer goes out on its connection, to whatever request is waiting there, and perhaps once more. */
  const answer = (line: Line, reply: TestBackendResponse, lost: () => void): void => {
    if (reply.isLost || !isWhole(line)) return lost();
    const { hear } = line;
    line.hear = undefined;
    if (hear) hear(reply);
    else line.isOver = true;
    const { repeatAfterMs: againMs } = reply;
    if (againMs !== undefined)
      clock.after(againMs, () =>
        answer(line, { ...reply, repeatAfterMs: undefined }, () => undefined),
      );
  };

  const replied = (line: Line, reply: TestBackendResponse, pool: string): OpenResult => {
    const { address } = line.standIn;
    const body = reply.body.subarray(0, reply.truncateAt ?? reply.body.length);
    let at = 0;
    return openedResponse({
      code: reply.code,
      headers: reply.headers,
      *next() {
        if (at >= body.length) {
          if (reply.truncateAt !== undefined) return "cut";
          rest(line, pool);
          return "end";
        }
        const came = yield* waitFor<boolean>((done) =>
          network.deliver(
            address,
            place,
            gate,
            () => done(isWhole(line)),
            () => gate.pass(() => done(false)),
            network.drawLatencyMs() / 10,
          ),
        );
        if (!came) return "cut";
        const piece = body.subarray(at, at + 65_536);
        at += piece.length;
        return piece;
      },
      cancel: () => undefined,
    });
  };

  const rest = (line: Line, pool: string): void => {
    if (line.isOver || random() < 0.02) return;
    const known = idle.get(pool);
    if (known) known.push(line);
    else idle.set(pool, [line]);
  };

  return {
    *send(one) {
      const resting = idle.get(one.pool) ?? [];
      let line = resting.pop();
      while (line?.isOver) line = resting.pop();
      const ready = line ?? (yield* proven(one));
      if (typeof ready === "string") return openFailure(ready);
      if (!one.maySend()) {
        rest(ready, one.pool);
        return openFailure("withdrawn");
      }
      return yield* sent(ready, one);
    },
    retainPools(pools) {
      for (const pool of idle.keys()) if (!pools.has(pool)) idle.delete(pool);
    },
    close: () => idle.clear(),
  };
};
