/** The HTTP server of one test backend. */
import { createServer, type IncomingMessage, type Server } from "node:http";
import { SERVICE_HEADER, SERVICE_PROOF_PATH } from "../proxy/upstream/backend-client.js";
import type { Clock } from "../runtime/clock.js";
import { Address } from "../runtime/network.js";
import type { TestBackend } from "../simulation/test-backend.js";

const flattenHeaders = (request: IncomingMessage): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers))
    headers[name] = (Array.isArray(value) ? value[0] : value) ?? "";
  return headers;
};

/** Opens the server of a backend at its address; resolves once it listens. */
export const openTestBackendServer = async (
  testBackend: TestBackend,
  clock: Clock,
): Promise<Server> => {
  const server = createServer((incoming, outgoing) => {
    if (incoming.url === SERVICE_PROOF_PATH)
      return void outgoing.writeHead(204, { [SERVICE_HEADER]: testBackend.service }).end();
    const chunks: Buffer[] = [];
    incoming.on("data", (chunk: Buffer) => chunks.push(chunk));
    incoming.on("error", () => undefined);
    outgoing.on("error", () => undefined);
    incoming.on("end", () => {
      const request = {
        method: incoming.method ?? "",
        path: incoming.url ?? "",
        headers: flattenHeaders(incoming),
        body: Buffer.concat(chunks),
      };
      const reply = testBackend.handleRequest(request, clock.nowMs());
      clock.after(reply.delayMs, () => {
        if (reply.isLost) return outgoing.destroy();
        outgoing.writeHead(reply.code, reply.headers);
        if (reply.truncateAt === undefined) return outgoing.end(reply.body);
        outgoing.write(reply.body.subarray(0, reply.truncateAt), () => outgoing.destroy());
      });
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(Address.parse(testBackend.address), resolve);
  });
  return server;
};
