/** A client's connection to a daemon: requests one behind the other, responses in their order. */
import { connect, type Socket } from "node:net";
import { epochMs } from "./event-log.js";

/** One request on a connection, and what became of it. */
export interface ClientTry {
  readonly id: string;
  readonly bytes: Buffer;
  readonly timeoutMs: number;
  /** Called once: the status, or how the connection ended; and whether an earlier response had closed it. */
  readonly onEnd: (result: string, isBehindClose: boolean) => void;
}

interface SentTry {
  readonly sent: ClientTry;
  readonly deadlineMs: number;
}

const HEAD_END = "\r\n\r\n";

/** Sends requests and matches the responses to them. */
export class DeploymentClientConnection {
  private readonly socket: Socket;
  private readonly sent: SentTry[] = [];
  private pending = Buffer.alloc(0);
  /** The status of the response whose body is being read, and the bytes that it still lacks. */
  private current: { status: number; missingBytes: number; closes: boolean } | undefined;
  private isClosedByResponse = false;
  private isConnected = false;
  isOver = false;

  constructor(host: string, port: number) {
    this.socket = connect({ host, port, noDelay: true });
    this.socket.once("connect", () => {
      this.isConnected = true;
    });
    this.socket.on("data", (bytes) => this.onData(bytes));
    this.socket.once("error", (error) => this.finishAll(this.describe(error)));
    this.socket.once("end", () => this.finishAll("cut"));
    this.socket.once("close", () => this.finishAll("cut"));
  }

  /** Number of requests without a response. */
  get pendingCount(): number {
    return this.sent.length;
  }

  /** Sends a request. */
  send(request: ClientTry): void {
    const entry = { sent: request, deadlineMs: epochMs() + request.timeoutMs };
    this.sent.push(entry);
    this.socket.write(request.bytes);
    setTimeout(() => {
      if (this.sent.includes(entry)) this.finishAll("timeout");
    }, request.timeoutMs);
  }

  /** Closes the connection if it is idle. */
  closeIfIdle(): void {
    if (this.sent.length === 0) this.finishAll("closed");
  }

  private describe(error: Error): string {
    if (!this.isConnected) return "refused";
    return "code" in error && error.code === "ECONNRESET" ? "reset" : "cut";
  }

  private onData(bytes: Buffer): void {
    let rest = bytes;
    while (rest.length > 0 && !this.isOver) {
      if (!this.current) {
        rest = this.readHead(rest);
        if (!this.current) return;
      }
      const taken = Math.min(rest.length, this.current.missingBytes);
      this.current.missingBytes -= taken;
      rest = rest.subarray(taken);
      if (this.current.missingBytes > 0) return;
      this.finishCurrent();
    }
  }

  /** Reads a head; returns the bytes behind it. */
  private readHead(bytes: Buffer): Buffer {
    this.pending = Buffer.concat([this.pending, bytes]);
    const end = this.pending.indexOf(HEAD_END);
    if (end < 0) return Buffer.alloc(0);
    const head = this.pending.subarray(0, end).toString("latin1");
    const rest = this.pending.subarray(end + HEAD_END.length);
    this.pending = Buffer.alloc(0);
    this.current = {
      status: Number(head.split(" ")[1]),
      missingBytes: Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0),
      closes: /\r\nconnection: close/i.test(head),
    };
    return rest;
  }

  private finishCurrent(): void {
    const { current } = this;
    this.current = undefined;
    this.sent.shift()?.sent.onEnd(String(current?.status ?? 0), false);
    if (!current?.closes) return;
    this.isClosedByResponse = true;
    this.finishAll("cut");
  }

  private finishAll(result: string): void {
    if (this.isOver) return;
    this.isOver = true;
    this.socket.destroy();
    for (const { sent } of this.sent.splice(0)) sent.onEnd(result, this.isClosedByResponse);
  }
}
