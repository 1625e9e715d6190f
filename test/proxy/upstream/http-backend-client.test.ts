import { createServer, type Server } from "node:http";
import { describe, expect, test } from "vitest";
import { SERVICE_HEADER, SERVICE_PROOF_PATH } from "../../../src/proxy/upstream/backend-client.js";
import { HttpBackendClient } from "../../../src/proxy/upstream/http-backend-client.js";
import { systemClock } from "../../../src/runtime/clock.js";
import { createAttempt, exchangeText, listen, stopServer } from "./http-fixtures.js";

const TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 20_000;

/** A backend on one port, whose service changes with each start; it can delay its service proofs. */
class ProvenBackend {
  /** All requests besides proofs, each after the service that received it. */
  readonly requests: string[] = [];
  /** Proofs that wait until a test sends them; undefined where they are sent at once. */
  delayedProofs: Array<() => void> | undefined;
  private service = "";
  private server: Server | undefined;
  private port = 0;

  async start(service: string): Promise<string> {
    this.service = service;
    this.server = createServer((incoming, outgoing) => {
      if (incoming.url === SERVICE_PROOF_PATH) {
        const prove = (): unknown =>
          outgoing.writeHead(204, { [SERVICE_HEADER]: this.service }).end();
        if (this.delayedProofs) this.delayedProofs.push(prove);
        else prove();
        return;
      }
      this.requests.push(`${this.service} ${incoming.url ?? ""}`);
      outgoing.end("whole");
    });
    const address = await listen(this.server, this.port);
    this.port = Number(address.split(":")[1]);
    return address;
  }

  async stop(): Promise<void> {
    if (this.server) await stopServer(this.server);
  }
}

describe("connections that prove their service", () => {
  test("a request is sent only where its service is proven, and not once it is withdrawn", async () => {
    const clock = systemClock();
    const client = new HttpBackendClient(clock);
    const backend = new ProvenBackend();
    const address = await backend.start("issues");
    const send = (path: string, maySend = (): boolean => true): Promise<string> =>
      exchangeText(client, createAttempt(address, clock.nowMs() + TIMEOUT_MS, { path, maySend }));
    expect(await send("/1")).toBe("whole end");
    expect(await send("/2")).toBe("whole end");

    await backend.stop();
    await backend.start("triage");
    await expect.poll(() => send("/3"), { timeout: POLL_TIMEOUT_MS }).toBe("foreign");

    await backend.stop();
    await expect.poll(() => send("/4"), { timeout: POLL_TIMEOUT_MS }).toBe("refused");

    await backend.start("issues");
    const delayedProofs: Array<() => void> = [];
    backend.delayedProofs = delayedProofs;
    let isAllowed = true;
    const withdrawn = send("/5", () => isAllowed);
    await expect.poll(() => delayedProofs.length).toBe(1);
    isAllowed = false;
    delayedProofs[0]?.();
    expect(await withdrawn).toBe("withdrawn");

    backend.delayedProofs = undefined;
    expect(await send("/6")).toBe("whole end");
    client.close();
    await backend.stop();
    expect(backend.requests).toEqual(["issues /1", "issues /2", "issues /6"]);
  });
});
