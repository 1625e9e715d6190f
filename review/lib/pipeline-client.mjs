/** A client that pipelines safe requests on one connection and reads the answers at the rate of its own link. */
import { openConnection } from "./deployment.mjs";

const HEAD_END = Buffer.from("\r\n\r\n");

/** Takes complete answers out of a stream of bytes. */
class AnswerReader {
  answers = [];
  pending = Buffer.alloc(0);
  /** The answer whose body is being read, with the number of bytes that it still lacks. */
  current;

  add(bytes) {
    let rest = bytes;
    while (rest.length > 0) {
      if (!this.current) {
        this.pending = Buffer.concat([this.pending, rest]);
        const end = this.pending.indexOf(HEAD_END);
        if (end < 0) return;
        const [statusLine, ...lines] = this.pending
          .subarray(0, end)
          .toString("latin1")
          .split("\r\n");
        const headers = Object.fromEntries(
          lines.map((line) => [
            line.slice(0, line.indexOf(":")).toLowerCase(),
            line.slice(line.indexOf(":") + 1).trim(),
          ]),
        );
        rest = this.pending.subarray(end + HEAD_END.length);
        this.pending = Buffer.alloc(0);
        this.current = {
          status: Number(statusLine.split(" ")[1]),
          headers,
          missingBytes: Number(headers["content-length"] ?? 0),
        };
      }
      const taken = Math.min(rest.length, this.current.missingBytes);
      this.current.missingBytes -= taken;
      rest = rest.subarray(taken);
      if (this.current.missingBytes > 0) return;
      this.answers.push(this.current);
      this.current = undefined;
    }
  }
}

/**
 * Sends requests one behind the other on a new connection and reads at `bytesPerMs` until the connection ends or
 * all are answered. Resolves to the complete answers, the incomplete one, and how the connection ended.
 */
export const pipeline = async (address, requests, { bytesPerMs, untilMs, onRead }) => {
  const socket = await openConnection(address);
  const reader = new AnswerReader();
  return new Promise((resolve) => {
    const finish = (ending) => {
      clearTimeout(timeout);
      socket.destroy();
      resolve({ answers: reader.answers, incomplete: reader.current, ending });
    };
    const timeout = setTimeout(() => finish("the client gave up"), untilMs);
    socket.on("data", (bytes) => {
      reader.add(bytes);
      onRead(bytes.length);
      if (reader.answers.length === requests.length) return finish("all answered");
      socket.pause();
      setTimeout(() => socket.resume(), bytes.length / bytesPerMs);
    });
    socket.once("close", (hadError) => finish(hadError ? "connection reset" : "connection closed"));
    socket.write(requests.join(""));
  });
};
