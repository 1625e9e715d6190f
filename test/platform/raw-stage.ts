import { HttpBackendClient } from "../../src/proxy/upstream/http-backend-client.js";
import type { BackendClient } from "../../src/proxy/upstream/backend-client.js";
import { DoorStage, type Seen } from "./proxy-stage.js";
import { RawBackEnd, type RawRequest } from "./raw-backend.js";

/** How much simulated time passes for each turn of the real event loop. */
const turnMs = 1;

/** A whole door whose back ends are real connections: simulated time goes on with each turn of the event loop. */
export class RawStage {
  readonly stage: DoorStage;
  readonly backEnds: readonly RawBackEnd[];
  readonly connections: BackendClient;

  private constructor(
    stage: DoorStage,
    backEnds: readonly RawBackEnd[],
    connections: BackendClient,
  ) {
    this.stage = stage;
    this.backEnds = backEnds;
    this.connections = connections;
  }

  /** A door before so many back ends. */
  static async ready(count = 2): Promise<RawStage> {
    const opened: BackendClient[] = [];
    const stage = DoorStage.ready(0, {
      backEnds: (clock) => {
        const connections = new HttpBackendClient(clock, { proof: "request" });
        opened.push(connections);
        return connections;
      },
    });
    const [connections] = opened;
    if (!connections) throw new Error("The door took no back ends.");
    const backEnds: RawBackEnd[] = [];
    for (let place = 0; place < count; place += 1) {
      const one = await RawBackEnd.open();
      backEnds.push(one);
      stage.announcing.set(one.address, `i-${place}`);
    }
    stage.wait(4000);
    return new RawStage(stage, backEnds, connections);
  }

  /** What all back ends heard of, in no order among them. */
  get heads(): RawRequest[] {
    return this.backEnds.flatMap(({ heads }) => heads);
  }

  /** Has all back ends do the same with requests. */
  set act(act: RawBackEnd["act"]) {
    for (const one of this.backEnds) one.act = act;
  }

  /** Lets real and simulated time go on until something holds. */
  async until(holds: () => boolean, atMostMs = 12_000): Promise<void> {
    for (let passedMs = 0; !holds(); passedMs += turnMs) {
      if (passedMs >= atMostMs) throw new Error(`It doesn't hold after ${atMostMs} ms.`);
      await this.turn();
    }
  }

  async wait(forMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += turnMs) await this.turn();
  }

  /** Has a request be answered over one connection to each back end, so that none of the next goes over a new one. */
  async useConnections(): Promise<void> {
    const isUsed = (): boolean => this.backEnds.every(({ requests }) => requests.length > 0);
    for (let round = 0; !isUsed(); round += 1) {
      if (round > 100) throw new Error("Some back end gets no request.");
      await this.ask("GET", "/safe/use");
    }
  }

  /** Sends a request and waits for its end. */
  async ask(
    method: string,
    target: string,
    headers: Record<string, string | undefined> = {},
    body: Uint8Array = new Uint8Array(),
  ): Promise<Seen> {
    const seen = this.stage.send(method, target, headers, body);
    await this.until(() => seen.ending !== "open");
    return seen;
  }

  async close(): Promise<void> {
    this.connections.close();
    for (const one of this.backEnds) await one.close();
  }

  private async turn(): Promise<void> {
    await new Promise<void>((done) => setTimeout(done, turnMs));
    this.stage.wait(turnMs);
  }
}
