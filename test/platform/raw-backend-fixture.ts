/** A fixture of the proxy before backends on real connections, whose bytes a test writes. */
import { HttpBackendClient } from "../../src/proxy/upstream/http-backend-client.js";
import type { BackendClient } from "../../src/proxy/upstream/backend-client.js";
import { ProxyFixture, type RecordingClient } from "./proxy-fixture.js";
import { RawBackend, type RawRequest } from "./raw-backend.js";

/** How much simulated time passes for each turn of the real event loop. */
const TURN_MS = 1;

/** A proxy whose backends are real connections: simulated time advances with each turn of the event loop. */
export class RawBackendFixture {
  readonly proxy: ProxyFixture;
  readonly backends: readonly RawBackend[];
  readonly backendClient: BackendClient;

  private constructor(
    proxy: ProxyFixture,
    backends: readonly RawBackend[],
    backendClient: BackendClient,
  ) {
    this.proxy = proxy;
    this.backends = backends;
    this.backendClient = backendClient;
  }

  /** A proxy before so many backends. */
  static async create(count = 2): Promise<RawBackendFixture> {
    const opened: BackendClient[] = [];
    const proxy = ProxyFixture.create(0, {
      backendClient: (clock) => {
        const backendClient = new HttpBackendClient(clock, { proof: "request" });
        opened.push(backendClient);
        return backendClient;
      },
    });
    const [backendClient] = opened;
    if (!backendClient) throw new Error("The daemon created no backend client.");
    const backends: RawBackend[] = [];
    for (let index = 0; index < count; index += 1) {
      const one = await RawBackend.open();
      backends.push(one);
      proxy.registered.set(one.address, `i-${index}`);
    }
    proxy.advance(4000);
    return new RawBackendFixture(proxy, backends, backendClient);
  }

  /** The heads of all requests that reached a backend, in no order among backends. */
  get requestHeads(): RawRequest[] {
    return this.backends.flatMap(({ requestHeads: heads }) => heads);
  }

  /** Sets the reply of all backends. */
  set reply(reply: RawBackend["reply"]) {
    for (const one of this.backends) one.reply = reply;
  }

  /** Advances real and simulated time until a condition holds; throws after `timeoutMs`. */
  async advanceUntil(holds: () => boolean, timeoutMs = 12_000): Promise<void> {
    for (let passedMs = 0; !holds(); passedMs += TURN_MS) {
      if (passedMs >= timeoutMs) throw new Error(`It doesn't hold after ${timeoutMs} ms.`);
      await this.turn();
    }
  }

  /** Advances real and simulated time. */
  async advance(forMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += TURN_MS) await this.turn();
  }

  /** Has a request answered over one connection to each backend, so that the next requests reuse those. */
  async warmConnections(): Promise<void> {
    const isUsed = (): boolean => this.backends.every(({ requests }) => requests.length > 0);
    for (let round = 0; !isUsed(); round += 1) {
      if (round > 100) throw new Error("Some backend gets no request.");
      await this.exchange("GET", "/safe/use");
    }
  }

  /** Sends a request and waits for its end. */
  async exchange(
    method: string,
    target: string,
    headers: Record<string, string | undefined> = {},
    body: Uint8Array = new Uint8Array(),
  ): Promise<RecordingClient> {
    const client = this.proxy.send(method, target, headers, body);
    await this.advanceUntil(() => client.ending !== "open");
    return client;
  }

  /** Closes all connections and the backends. */
  async close(): Promise<void> {
    this.backendClient.close();
    for (const one of this.backends) await one.close();
  }

  private async turn(): Promise<void> {
    await new Promise<void>((done) => setTimeout(done, TURN_MS));
    this.proxy.advance(TURN_MS);
  }
}
