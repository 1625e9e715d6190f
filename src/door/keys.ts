import { createHash } from "node:crypto";
import { ClaimReturn, type Order } from "../contract/order.js";
import type { Ferry } from "../contract/ferry.js";
import { Clock } from "../machine/clock.js";
import type { Task } from "../machine/task.js";
import { World } from "../machine/world.js";
import { Job } from "./job.js";
import { Ending, type Return } from "./verdict.js";

/** A key that this daemon holds: it may send until a moment of its own clock. */
export interface Claim {
  readonly scope: string;
  readonly job: string;
  readonly sendUntilMs: number;
}

const claimWaitMs = 2500;
const sendMs = 3000;
const inHandWaitMs = 1500;
const settleMs = 8000;
const keptBodyBytes = 16 * 1024;
const keptHeaders = ["content-type", "location", "etag"];

const hash = (...parts: Array<string | Uint8Array>): string => {
  const sum = createHash("sha256");
  for (const part of parts) sum.update(part).update("\0");
  return sum.digest("hex");
};

/** Claims keys in the record before the first send, and settles or releases them after. */
export class Keys {
  private readonly world: World;
  private readonly ferry: Ferry;
  private readonly incarnation: string;
  private claims = 0;
  /** Settlements and releases under way. */
  inHand = 0;

  constructor(world: World, ferry: Ferry, incarnation: string) {
    this.world = world;
    this.ferry = ferry;
    this.incarnation = incarnation;
  }

  /** Claims a request's key; an ending where another holds it or nobody can tell. */
  *claim(job: Job, key: string): Task<Claim | Ending> {
    const { clock } = this.world;
    const startedMs = clock.nowMs();
    this.claims += 1;
    const scope = hash(job.method, Job.path(job), key);
    const bodyHash = hash(job.target, job.body);
    const name = `${this.incarnation}/${this.claims}`;
    for (;;) {
      const askedMs = clock.nowMs();
      const text = yield* this.ferry.command({ kind: "claim", scope, bodyHash, job: name }, claimWaitMs);
      if (text === undefined) {
        this.release({ scope, job: name });
        return Ending.drop("The key could not be claimed in the record.", 2);
      }
      const ret = ClaimReturn.read(text);
      if ("claimed" in ret) return { scope, job: name, sendUntilMs: askedMs + sendMs };
      if ("full" in ret) return Ending.drop("Too many keys are held.", 30);
      if (ret.held.bodyHash !== bodyHash) return Ending.refusal(422, "This key came before with another body.");
      if (ret.held.verdict === "mayHaveRun") return Ending.breakdown(409, "The first request with this key may have run; its return was lost.", "mayHaveRun", 120);
      if (ret.held.verdict === "ran") {
        const kept = ret.held.return;
        if (!kept) return Ending.breakdown(409, "The first request with this key ran; its return was not kept.", "ran", 120);
        const headers = { ...kept.headers, "x-daledoor-repeated": "true" };
        return Ending.returned({ code: kept.code, headers, body: Buffer.from(kept.body, "base64") });
      }
      if (clock.nowMs() - startedMs > inHandWaitMs) return Ending.breakdown(409, "The first request with this key is still in hand.", "mayHaveRun", 2);
      yield* Clock.rest(clock, 100);
    }
  }

  /** Says in the record how the request ended. */
  conclude(claim: Claim, ending: Ending): void {
    const { scope, job } = claim;
    if (ending.verdict === "neverRan") return this.release(claim);
    const kept = ending.verdict === "ran" && typeof ending.ret !== "string" ? this.keep(ending.ret) : undefined;
    this.tell({ kind: "settle", scope, job, verdict: ending.verdict, ...(kept ? { return: kept } : {}) });
  }

  private release({ scope, job }: Pick<Claim, "scope" | "job">): void {
    this.tell({ kind: "release", scope, job });
  }

  private keep(ret: Return): { code: number; headers: Record<string, string>; body: string } | undefined {
    if (ret.body.length > keptBodyBytes) return undefined;
    const headers: Record<string, string> = {};
    for (const name of keptHeaders) {
      const value = ret.headers[name];
      if (value !== undefined) headers[name] = value;
    }
    return { code: ret.code, headers, body: Buffer.from(ret.body).toString("base64") };
  }

  private tell(order: Order): void {
    this.inHand += 1;
    const { ferry } = this;
    World.start(
      this.world,
      "door",
      (function* () {
        yield* ferry.command(order, settleMs);
      })(),
      () => {
        this.inHand -= 1;
      },
    );
  }
}

if (import.meta.vitest) {
  const { expect, test, beforeEach } = import.meta.vitest;
  const { Simulation } = await import("../rehearsal/simulation.js");
  const { Profile } = await import("../rehearsal/profile.js");
  const { Task: Tasks } = await import("../machine/task.js");

  const stage = () => {
    const simulation = new Simulation(Profile.all.rastro, 7, 0.0001);
    simulation.begin();
    simulation.start(simulation.day.putConfig());
    const wait = (forMs: number): void => simulation.time.runUntil(simulation.time.nowMs() + forMs);
    wait(6000);
    const [first, second] = simulation.machines.filter(({ settings }) => settings.callers !== undefined);
    if (!first || !second) throw new Error("There are too few edges.");
    const send = (through: typeof first, key: string, body = "{}"): { code: number | undefined; text: string } => {
      const seen: { code: number | undefined; text: string } = { code: undefined, text: "" };
      const job: Job = { method: "POST", target: "/issues/5/resolve", headers: { "idempotency-key": key, "x-caller": `${through.settings.machine} ${key}` }, body: Buffer.from(body) };
      Tasks.start(
        simulation.call(through.settings.machine, job, 9000),
        (error) => {
          throw error;
        },
        (end) => {
          seen.code = end.code;
          seen.text = end.body.toString();
        },
      );
      return seen;
    };
    const runs = (key: string): number => simulation.ledger.runs.filter((run) => run.key === key).length;
    const committed = (): number => Math.max(...simulation.machines.map(({ daemon }) => daemon?.recorder?.status.committed ?? 0));
    return { simulation, wait, first, second, send, runs, committed };
  };
  let staged: ReturnType<typeof stage>;
  beforeEach(() => {
    staged = stage();
  });

  test("an edge dies between the claim and the send: its key runs at most once, and a duplicate elsewhere gets a final answer", () => {
    const { simulation, wait, first, second, send, runs, committed } = staged;
    const before = committed();
    send(first, "k");
    while (committed() === before) wait(1);
    simulation.kill(first);
    const again = send(second, "k");
    wait(4000);
    expect(again.code).toBe(409);
    expect(runs("k")).toBe(0);
  });

  test("an edge dies between the send and the return: a duplicate elsewhere doesn't run", () => {
    const { simulation, wait, first, second, send, runs } = staged;
    for (const standIn of simulation.standIns) standIn.behave({ slowFactor: 60 });
    send(first, "k");
    while (runs("k") === 0) wait(1);
    simulation.kill(first);
    const again = send(second, "k");
    wait(4000);
    expect([again.code, runs("k")]).toEqual([409, 1]);
  });

  test("an edge dies after the return, and the route moves: a duplicate elsewhere gets the first return again", () => {
    const { simulation, wait, first, second, send, runs } = staged;
    const one = send(first, "k");
    wait(500);
    expect(one.code).toBe(201);
    simulation.kill(first);
    const patched: number[] = [];
    simulation.machines[0]?.daemon?.operators.put({ job: { method: "POST", target: "/ask", headers: {}, body: Buffer.from("move route resolves to issues") }, give: ({ code }) => patched.push(code) });
    wait(3000);
    expect(patched).toEqual([200]);
    const again = send(second, "k");
    const fresh = send(second, "other");
    const changed = send(second, "k", "{1}");
    wait(1500);
    expect([again.code, again.text, runs("k")]).toEqual([201, one.text, 1]);
    expect(changed.code).toBe(422);
    expect(fresh.code).toBe(201);
    expect(simulation.ledger.runs.find((run) => run.key === "other")?.service).toBe("issues");
  });

  test("a key is kept through a change of leader, and free again after its time", () => {
    const { simulation, wait, first, second, send, runs } = staged;
    send(first, "k");
    wait(300);
    for (const machine of simulation.machines) if (machine.daemon?.recorder?.status.role === "leader") simulation.kill(machine, true);
    wait(3000);
    const again = send(second, "k");
    wait(60_000);
    send(second, "k");
    wait(500);
    expect([again.code, runs("k")]).toEqual([201, 1]);
    wait(75_000);
    send(second, "k");
    wait(1000);
    expect(runs("k")).toBe(2);
  });
}
