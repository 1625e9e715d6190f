/** A client connection of a test, which records what it receives. */
import { connect, type Socket } from "node:net";

/** A connection on which a test sends bytes of its own. */
export class RecordingClient {
  readonly socket: Socket;
  isClosed = false;
  /** The error that ended the connection, such as a reset. */
  error: Error | undefined;
  private readonly chunks: Buffer[] = [];

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1").setNoDelay(true);
    this.socket.on("error", (error) => {
      this.error = error;
    });
    this.socket.on("data", (bytes: Buffer) => this.chunks.push(bytes));
    this.socket.once("close", () => {
      this.isClosed = true;
    });
  }

  /** All bytes received so far, as text. */
  get received(): string {
    return Buffer.concat(this.chunks).toString("latin1");
  }

  /** The status codes of all responses received so far. */
  get statuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? "");
  }

  /** Sends requests without a body, one behind the other. */
  get(...targets: string[]): void {
    this.socket.write(
      targets.map((target) => `GET ${target} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
    );
  }
}
