import { createHash } from "node:crypto";
import { hostName } from "../contract/mappings.js";
import { ClaimReturn, type Order } from "../contract/order.js";
import type { Ferry } from "../contract/ferry.js";
import { Clock } from "../runtime/clock.js";
import type { Task } from "../runtime/task.js";
import { World } from "../runtime/world.js";
import { Job } from "./job.js";
import { Ending, type Return } from "./verdict.js";

/** A key that this daemon holds: it may send until a moment of its own clock. */
export interface Claim {
  readonly scope: string;
  readonly job: string;
  readonly sendUntilMs: number;
}

const claimWaitMs = 2500;
/** Which part of the time that is left a claim may take. */
const claimPart = 0.5;
const sendMs = 3000;
const inHandWaitMs = 1500;
const settleMs = 8000;
const keptBodyBytes = 64 * 1024;

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
  private readonly afterMs: number | undefined;
  private claims = 0;
  /** Settlements and releases under way. */
  inHand = 0;

  constructor(world: World, ferry: Ferry, incarnation: string, afterMs?: number) {
    this.world = world;
    this.ferry = ferry;
    this.incarnation = incarnation;
    this.afterMs = afterMs;
  }

  /** Claims a request's key; an ending where another holds it or nobody can tell. */
  *claim(job: Job, key: string, untilMs = Infinity, mostMs = claimWaitMs): Task<Claim | Ending> {
    const { clock } = this.world;
    const startedMs = clock.nowMs();
    this.claims += 1;
    const scope = hash(hostName(job.headers["host"] ?? ""), job.method, Job.path(job), key);
    const bodyHash = hash(job.target, job.body);
    const name = `${this.incarnation}/${this.claims}`;
    for (;;) {
      const askedMs = clock.nowMs();
      const waitMs = Math.min(mostMs, (untilMs - askedMs) * claimPart);
      const text = yield* this.ferry.command({ kind: "claim", scope, bodyHash, job: name }, waitMs);
      if (text === undefined) {
        this.release({ scope, job: name });
        return Ending.drop("The key could not be claimed in the record.", this.afterMs ?? 2000);
      }
      const ret = ClaimReturn.read(text);
      if ("claimed" in ret) return { scope, job: name, sendUntilMs: askedMs + sendMs };
      if ("full" in ret) return Ending.drop("Too many keys are held.", 30_000);
      if (ret.held.bodyHash !== bodyHash)
        return Ending.refusal(422, "This key came before with another body.");
      if (ret.held.verdict === "mayHaveRun")
        return Ending.breakdown(
          502,
          "The first request with this key may have run; its return was lost.",
          "mayHaveRun",
          120_000,
        );
      if (ret.held.verdict === "ran") {
        const kept = ret.held.return;
        if (!kept)
          return Ending.breakdown(
            502,
            "The first request with this key ran; its return was not kept.",
            "ran",
            120_000,
          );
        const headers = { ...kept.headers, "x-daledoor-repeated": "true" };
        return Ending.returned({
          code: kept.code,
          headers,
          body: Buffer.from(kept.body, "base64"),
        });
      }
      if (clock.nowMs() - startedMs > Math.min(inHandWaitMs, (untilMs - startedMs) / 2))
        return Ending.breakdown(
          409,
          "The first request with this key is still in hand.",
          "mayHaveRun",
          this.afterMs ?? 2000,
        );
      yield* Clock.rest(clock, 100);
    }
  }

  /** Says in the record how the request ended. */
  conclude(claim: Claim, ending: Ending): void {
    const { scope, job } = claim;
    if (ending.verdict === "neverRan") return this.release(claim);
    const kept =
      ending.verdict === "ran" && typeof ending.ret !== "string"
        ? this.keep(ending.ret)
        : undefined;
    this.tell({
      kind: "settle",
      scope,
      job,
      verdict: ending.verdict,
      ...(kept ? { return: kept } : {}),
    });
  }

  private release({ scope, job }: Pick<Claim, "scope" | "job">): void {
    this.tell({ kind: "release", scope, job });
  }

  private keep(
    ret: Return,
  ): { code: number; headers: Record<string, string>; body: string } | undefined {
    if (ret.body.length > keptBodyBytes) return undefined;
    return { code: ret.code, headers: ret.headers, body: Buffer.from(ret.body).toString("base64") };
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
