import { describe, expect, test } from "vitest";
import { StateMachine } from "../../src/state/state-machine.js";
import { type LogCommand, encodeLogCommand } from "../../src/state/log-command.js";

const members = { voters: ["a"], learners: [] };
describe("StateMachine", () => {
  test("one of two concurrent configurations is rejected, a retried change gets its original outcome, and a snapshot restores the whole state", () => {
    const stateMachine = new StateMachine();
    const put = (index: number, expected: number, changeId: string) =>
      stateMachine.apply(
        index,
        encodeLogCommand({
          kind: "config",
          expected,
          changeId,
          acceptedAt: "",
          text: `{"n":"${changeId}"}`,
          services: ["s"],
          routes: ["r"],
        }),
      );
    expect(
      [put(1, 0, "x"), put(2, 0, "y"), put(3, 0, "x")].map((text) => JSON.parse(text)),
    ).toEqual([{ accepted: 1 }, { lost: 1 }, { accepted: 1 }]);
    const copy = new StateMachine();
    expect(copy.restore(stateMachine.snapshot(members))).toEqual(members);
    expect(copy.snapshot(members)).toBe(stateMachine.snapshot(members));
  });
  const holders = ["10.0.0.1:7000", "10.0.0.2:7000"];
  const createClaim = (job: string, replaces?: string): LogCommand => ({
    kind: "claim",
    scope: "k",
    bodyHash: "h",
    job,
    holders,
    ...(replaces === undefined ? {} : { replaces }),
  });

  test("an idempotency key is held by one request until its release or expiry, and the claim names the daemons that store the outcome", () => {
    const stateMachine = new StateMachine();
    const apply = (index: number, command: LogCommand): unknown =>
      JSON.parse(stateMachine.apply(index, encodeLogCommand(command)));
    expect(apply(1, createClaim("one"))).toEqual({ claimed: true });
    expect(apply(2, createClaim("one"))).toEqual({ claimed: true });
    const held = { bodyHash: "h", job: "one", verdict: "inHand", holders, atIndex: 1 };
    expect(apply(3, createClaim("two"))).toEqual({ held });
    apply(4, { kind: "release", scope: "k", job: "two" });
    expect(apply(5, createClaim("two"))).toEqual({ held });
    apply(6, { kind: "release", scope: "k", job: "one" });
    expect(apply(7, createClaim("two"))).toEqual({ claimed: true });
    apply(8, { kind: "forget", scopes: ["k"], upTo: 7 });
    expect(apply(9, createClaim("three"))).toEqual({ claimed: true });
  });

  test("a claim is taken over only from the request that it replaces", () => {
    const stateMachine = new StateMachine();
    const apply = (index: number, command: LogCommand): unknown =>
      JSON.parse(stateMachine.apply(index, encodeLogCommand(command)));
    apply(1, createClaim("one"));
    expect(apply(2, createClaim("two", "zero"))).toMatchObject({ held: { job: "one" } });
    expect(apply(3, createClaim("two", "one"))).toEqual({ claimed: true });
    expect(apply(4, createClaim("three", "one"))).toMatchObject({ held: { job: "two" } });
    expect(apply(5, createClaim("one"))).toMatchObject({ held: { job: "two" } });
    apply(6, { kind: "release", scope: "k", job: "one" });
    expect(apply(7, createClaim("three"))).toMatchObject({ held: { job: "two" } });
  });

  test("a claim that an older build settled remains settled when its request claims the key again", () => {
    const stateMachine = new StateMachine();
    const apply = (index: number, command: LogCommand): unknown =>
      JSON.parse(stateMachine.apply(index, encodeLogCommand(command)));
    apply(1, createClaim("one"));
    apply(2, { kind: "settle", scope: "k", job: "one", verdict: "ran" });
    expect(apply(3, createClaim("one"))).toEqual({ claimed: true });
    expect(apply(4, createClaim("other"))).toMatchObject({ held: { verdict: "ran", holders } });
  });

  test("responses in log entries and snapshots of an older build are ignored", () => {
    const stateMachine = new StateMachine();
    const claim = { kind: "claim", scope: "k", bodyHash: "h", job: "one" };
    const response = { code: 201, headers: {}, body: "x".repeat(64 * 1024) };
    const settle = { kind: "settle", scope: "k", job: "one", verdict: "ran", return: response };
    stateMachine.apply(1, JSON.stringify(claim));
    stateMachine.apply(2, JSON.stringify(settle));
    expect(stateMachine.snapshot(members).length).toBeLessThan(1000);
    const copy = new StateMachine();
    const snapshotFields: unknown = JSON.parse(stateMachine.snapshot(members));
    if (typeof snapshotFields !== "object" || snapshotFields === null)
      throw new Error("the snapshot isn't an object");
    const atIndex = 1;
    const held = { bodyHash: "h", job: "one", verdict: "ran", return: response, atIndex };
    copy.restore(
      JSON.stringify({ ...snapshotFields, returns: ["k"], keys: [{ scope: "k", claim: held }] }),
    );
    expect(copy.snapshot(members)).toBe(stateMachine.snapshot(members));
    expect(JSON.parse(copy.apply(3, JSON.stringify({ ...claim, job: "other" })))).toEqual({
      held: { bodyHash: "h", job: "one", verdict: "ran", atIndex },
    });
  });
});
