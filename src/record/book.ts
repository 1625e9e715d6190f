import { Map as Table } from "immutable";
import { array, boolean, create, define, literal, number, object, optional, record, string, tuple, type, union, type Infer } from "superstruct";
import { kindOf } from "../machine/kindOf.js";
import { Numbering } from "./numbering.js";
import type { Members } from "./recorder.js";

const contractShape = object({
  address: string(),
  service: string(),
  zone: string(),
  warmth: number(),
  /** The entry by which this contract came about; no two contracts share one. */
  number: number(),
  /** It left, was drained or ended; it stays here for a while, so that a late announcement can't bring it back. */
  leaving: boolean(),
  /** The entry by which it left, or 0. */
  leftAt: number(),
  /** Set by an operator: it stays away however often it announces itself. */
  drained: boolean(),
});

/** What the record holds about one back end. */
export type Contract = Infer<typeof contractShape>;

/** A return that was kept for duplicates; the body in base 64. */
const returnShape = object({ code: number(), headers: record(string(), string()), body: string() });

/** A key that is claimed, and the return it got. */
export interface KeyClaim {
  bodyHash: string;
  job: string;
  /** What is known of the first request: in hand, or how it ended. */
  verdict: "inHand" | "ran" | "mayHaveRun";
  return?: Infer<typeof returnShape>;
  atIndex: number;
}

export const acceptedConfigShape = object({ sequence: number(), index: number(), changeId: string(), acceptedAt: string(), text: string() });

/** A configuration as it was accepted. */
export type AcceptedConfig = Infer<typeof acceptedConfigShape>;

const isKeyClaim = (value: unknown): value is KeyClaim =>
  typeof value === "object" &&
  value !== null &&
  "bodyHash" in value &&
  typeof value.bodyHash === "string" &&
  "job" in value &&
  typeof value.job === "string" &&
  "verdict" in value &&
  (value.verdict === "inHand" || value.verdict === "ran" || value.verdict === "mayHaveRun") &&
  "atIndex" in value &&
  typeof value.atIndex === "number" &&
  (!("return" in value) || returnShape.is(value.return));

/** The table of keys is large, so that it is checked in one go. */
const keysShape = define<Array<{ scope: string; claim: KeyClaim }>>(
  "keys",
  (value) => Array.isArray(value) && value.every((one: unknown) => typeof one === "object" && one !== null && "scope" in one && typeof one.scope === "string" && "claim" in one && isKeyClaim(one.claim)),
);

/** How many keys are held at most; then claims are dropped, so that a checkpoint fits a frame and is made within a leader's grant. */
export const heldKeys = 40_000;

const deedShapes = {
  leads: object({ kind: literal("leads"), machine: string(), term: number() }),
  members: object({ kind: literal("members"), voters: array(string()), learners: array(string()) }),
  rejoined: object({ kind: literal("rejoined"), machine: string(), nonce: string() }),
  config: object({ kind: literal("config"), expected: number(), changeId: string(), acceptedAt: string(), text: string(), services: array(string()), routes: array(string()), rested: optional(array(number())) }),
  contract: object({ kind: literal("contract"), address: string(), service: string(), zone: string(), warmth: number() }),
  leave: object({ kind: literal("leave"), address: string(), service: string(), drained: boolean() }),
  end: object({ kind: literal("end"), address: string(), number: number(), why: string() }),
  purge: object({ kind: literal("purge"), address: string(), number: number() }),
  claim: object({ kind: literal("claim"), scope: string(), bodyHash: string(), job: string() }),
  settle: object({ kind: literal("settle"), scope: string(), job: string(), verdict: union([literal("ran"), literal("mayHaveRun")]), return: optional(returnShape) }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  forget: object({ kind: literal("forget"), scopes: array(string()), upTo: number() }),
  note: object({ kind: literal("note"), text: string() }),
  holder: object({ kind: literal("holder"), edge: string() }),
  holdersPast: object({ kind: literal("holdersPast"), edges: array(string()) }),
};

/** One entry of the record, as it is written. */
export type Deed = Infer<(typeof deedShapes)[keyof typeof deedShapes]>;

const isDeedKind = (kind: string): kind is keyof typeof deedShapes => Object.hasOwn(deedShapes, kind);

export const Deed = {
  text: (deed: Deed): string => JSON.stringify(deed),

  /** Reads an entry's text; one of an unknown kind can't be applied, so it stops this recorder. */
  read(text: string): Deed {
    const value: unknown = JSON.parse(text);
    const kind = kindOf(value);
    if (!isDeedKind(kind)) throw new Error(`The record holds an entry of the unknown kind "${kind}".`);
    return deedShapes[kind].create(value);
  },
};

const bookShape = type({
  voters: array(string()),
  learners: array(string()),
  configs: array(acceptedConfigShape),
  recent: optional(array(object({ sequence: number(), changeId: string(), acceptedAt: string() }))),
  changes: array(object({ changeId: string(), sequence: number() })),
  contracts: array(contractShape),
  directorySequence: number(),
  keys: keysShape,
  numbering: type({ inForce: array(tuple([string(), number()])), resting: array(tuple([string(), number()])), free: array(number()), next: number() }),
  journal: array(object({ index: number(), text: string() })),
  holders: optional(array(string())),
  returns: array(string()),
});

const keptRecent = 200;
const keptChanges = 2000;
const keptJournal = 1000;
/** How many bytes of returns are kept for duplicates, all together; beyond that the oldest go. */
export const keptReturnBytes = 8 * 1024 * 1024;

/** The tables that the record keeps, the same on every recorder that has applied the same entries. */
export class Book {
  /** The config in force last, and before it those that this recorder's history may not yet hold. */
  configs: AcceptedConfig[] = [];
  /** What is told of the last configs. */
  recent: Array<Omit<AcceptedConfig, "text" | "index">> = [];
  contracts = Table<string, Contract>();
  directorySequence = 0;
  keys = new Map<string, KeyClaim>();
  /** The numbers of services and routes, by which sketches count them. */
  readonly numbering = new Numbering();
  journal: Array<{ index: number; text: string }> = [];
  /** The edges that may hold a part of a pool of further tries, so that a new leader knows whom to wait for. */
  holders = new Set<string>();
  /** The keys whose returns are kept, in the order in which they came, with the bytes of each. */
  private returns = new Map<string, number>();
  private returnBytes = 0;
  private changes = new Map<string, number>();
  private applied = new Set<(deed: Deed, index: number) => void>();

  /** The config in force. */
  get inForce(): AcceptedConfig | undefined {
    return this.configs.at(-1);
  }

  /** The sequence that a change id was accepted under, if it was. */
  changeSequence(changeId: string): number | undefined {
    return this.changes.get(changeId);
  }

  /** Hears of each entry once it is applied. */
  onApplied(hook: (deed: Deed, index: number) => void): void {
    this.applied.add(hook);
  }

  /** Applies one entry and tells its outcome, as JSON. */
  apply(index: number, text: string): string {
    const deed = Deed.read(text);
    const outcome = this.take(index, deed);
    for (const hook of this.applied) hook(deed, index);
    return JSON.stringify(outcome);
  }

  /** Lets go of configs that the history holds, save the one in force. */
  letGo(upTo: number): void {
    this.configs = this.after(upTo);
  }

  /** All tables as one text, without the configs up to one that the history holds. */
  checkpoint(members: Members, historyUpTo = 0): string {
    return JSON.stringify({
      ...members,
      configs: this.after(historyUpTo),
      recent: this.recent,
      changes: [...this.changes].map(([changeId, sequence]) => ({ changeId, sequence })),
      contracts: [...this.contracts.values()],
      directorySequence: this.directorySequence,
      keys: [...this.keys].map(([scope, claim]) => ({ scope, claim })),
      returns: [...this.returns.keys()],
      numbering: this.numbering.state,
      journal: this.journal,
      holders: [...this.holders],
    });
  }

  /** Takes all tables from a checkpoint and tells the members that it names. */
  restore(text: string): Members {
    const kept = create(JSON.parse(text), bookShape);
    this.configs = kept.configs;
    this.recent = kept.recent ?? kept.configs.map(({ sequence, changeId, acceptedAt }) => ({ sequence, changeId, acceptedAt }));
    this.changes = new Map(kept.changes.map(({ changeId, sequence }) => [changeId, sequence]));
    this.contracts = Table(kept.contracts.map((contract) => [contract.address, contract]));
    this.directorySequence = kept.directorySequence;
    this.keys = new Map(kept.keys.map(({ scope, claim }) => [scope, claim]));
    this.returns = new Map(kept.returns.map((scope) => [scope, this.keys.get(scope)?.return?.body.length ?? 0]));
    this.returnBytes = [...this.returns.values()].reduce((sum, bytes) => sum + bytes, 0);
    this.numbering.restore(kept.numbering);
    this.journal = kept.journal;
    this.holders = new Set(kept.holders ?? []);
    return { voters: kept.voters, learners: kept.learners };
  }

  private after(upTo: number): AcceptedConfig[] {
    return this.configs.filter((config, at) => config.sequence > upTo || at === this.configs.length - 1);
  }

  private take(index: number, deed: Deed): Record<string, unknown> {
    switch (deed.kind) {
      case "leads":
        return this.note(index, `${deed.machine} leads the record in term ${deed.term}.`);
      case "members":
        return this.note(index, `Voters: ${deed.voters.join(", ")}; learners: ${deed.learners.join(", ") || "none"}.`);
      case "rejoined":
        return this.note(index, `${deed.machine} rejoined the record.`);
      case "note":
        return this.note(index, deed.text);
      case "config": {
        const current = this.inForce?.sequence ?? 0;
        const known = this.changes.get(deed.changeId);
        if (known !== undefined) return { accepted: known };
        if (deed.expected !== current) return { lost: current };
        const sequence = current + 1;
        this.configs.push({ sequence, index, changeId: deed.changeId, acceptedAt: deed.acceptedAt, text: deed.text });
        this.recent = [...this.recent.slice(1 - keptRecent), { sequence, changeId: deed.changeId, acceptedAt: deed.acceptedAt }];
        this.changes.set(deed.changeId, sequence);
        for (const changeId of this.changes.keys()) {
          if (this.changes.size <= keptChanges) break;
          this.changes.delete(changeId);
        }
        this.numbering.adopt([...deed.services.map((service) => `service ${service}`), ...deed.routes.map((route) => `route ${route}`)], deed.rested ?? []);
        this.note(index, `Config ${sequence} is in force (change ${deed.changeId}).`);
        return { accepted: sequence };
      }
      case "contract": {
        const { address, service, zone, warmth } = deed;
        const former = this.contracts.get(address);
        this.contracts = this.contracts.set(address, { address, service, zone, warmth, number: index, leaving: false, leftAt: 0, drained: false });
        this.directorySequence = index;
        if (former && former.service !== service) this.note(index, `${address} now serves ${service}, no longer ${former.service}.`);
        return { number: index };
      }
      case "leave": {
        const { address, service } = deed;
        const contract = this.contracts.get(address) ?? { address, service, zone: "", warmth: 0, number: index, leaving: true, leftAt: index, drained: false };
        if (contract.service !== service) return { known: false };
        this.contracts = this.contracts.set(address, { ...contract, leaving: true, leftAt: index, drained: contract.drained || deed.drained });
        if (deed.drained) this.note(index, `${deed.address} of ${deed.service} is drained by an operator.`);
        this.directorySequence = index;
        return { known: true };
      }
      case "end": {
        const contract = this.contracts.get(deed.address);
        if (!contract || contract.number !== deed.number) return { known: false };
        this.contracts = this.contracts.set(deed.address, { ...contract, leaving: true, leftAt: index });
        this.directorySequence = index;
        this.note(index, `${deed.address} of ${contract.service} ended: ${deed.why}.`);
        return { known: true };
      }
      case "purge":
        if (this.contracts.get(deed.address)?.number === deed.number) this.contracts = this.contracts.delete(deed.address);
        this.directorySequence = index;
        return { known: true };
      case "claim": {
        const known = this.keys.get(deed.scope);
        if (known && known.job !== deed.job) return { held: known };
        this.keys.set(deed.scope, { bodyHash: deed.bodyHash, job: deed.job, verdict: "inHand", atIndex: index });
        return { claimed: true };
      }
      case "settle": {
        const known = this.keys.get(deed.scope);
        if (known?.job !== deed.job) return { known: false };
        this.keys.set(deed.scope, { ...known, verdict: deed.verdict, ...(deed.return ? { return: deed.return } : {}) });
        if (deed.return) this.boundReturns(deed.scope, deed.return.body.length);
        return { known: true };
      }
      case "release": {
        const known = this.keys.get(deed.scope);
        if (known?.job === deed.job && known.verdict === "inHand") this.forgetKey(deed.scope);
        return { known: true };
      }
      case "holder":
        this.holders.add(deed.edge);
        return {};
      case "holdersPast":
        for (const edge of deed.edges) this.holders.delete(edge);
        return {};
      case "forget":
        for (const scope of deed.scopes) if ((this.keys.get(scope)?.atIndex ?? Infinity) <= deed.upTo) this.forgetKey(scope);
        return { known: true };
    }
  }

  /** Notes a kept return; the oldest ones go where all together are too large. */
  private boundReturns(scope: string, bodyBytes: number): void {
    this.returns.set(scope, bodyBytes);
    this.returnBytes += bodyBytes;
    for (const [oldest, bytes] of this.returns) {
      if (this.returnBytes <= keptReturnBytes) return;
      this.returns.delete(oldest);
      this.returnBytes -= bytes;
      const claim = this.keys.get(oldest);
      if (claim) this.keys.set(oldest, { bodyHash: claim.bodyHash, job: claim.job, verdict: claim.verdict, atIndex: claim.atIndex });
    }
  }

  private forgetKey(scope: string): void {
    this.keys.delete(scope);
    this.returnBytes -= this.returns.get(scope) ?? 0;
    this.returns.delete(scope);
  }

  private note(index: number, text: string): Record<string, unknown> {
    this.journal.push({ index, text });
    if (this.journal.length > keptJournal) this.journal.splice(0, this.journal.length - keptJournal);
    return {};
  }
}

if (import.meta.vitest) {
  const { expect, test } = import.meta.vitest;
  const members = { voters: ["a"], learners: [] };
  test("one of two racing configs loses, a repeated change id gets its first outcome, and a checkpoint keeps all", () => {
    const book = new Book();
    const put = (index: number, expected: number, changeId: string) =>
      book.apply(index, Deed.text({ kind: "config", expected, changeId, acceptedAt: "", text: `{"n":"${changeId}"}`, services: ["s"], routes: ["r"] }));
    expect([put(1, 0, "x"), put(2, 0, "y"), put(3, 0, "x")].map((text) => JSON.parse(text))).toEqual([{ accepted: 1 }, { lost: 1 }, { accepted: 1 }]);
    const copy = new Book();
    expect(copy.restore(book.checkpoint(members))).toEqual(members);
    expect(copy.checkpoint(members)).toBe(book.checkpoint(members));
  });
  test("a key is one job's until it is released or forgotten", () => {
    const book = new Book();
    const claim = (index: number, job: string): unknown => JSON.parse(book.apply(index, Deed.text({ kind: "claim", scope: "k", bodyHash: "h", job })));
    expect(claim(1, "one")).toEqual({ claimed: true });
    expect(claim(2, "two")).toMatchObject({ held: { job: "one", verdict: "inHand" } });
    book.apply(3, Deed.text({ kind: "settle", scope: "k", job: "one", verdict: "ran", return: { code: 201, headers: {}, body: "" } }));
    book.apply(4, Deed.text({ kind: "release", scope: "k", job: "one" }));
    expect(claim(5, "two")).toMatchObject({ held: { verdict: "ran", return: { code: 201 } } });
    book.apply(6, Deed.text({ kind: "forget", scopes: ["k"], upTo: 1 }));
    expect(claim(7, "two")).toEqual({ claimed: true });
  });
  test("kept returns are bounded all together: the oldest go, their keys stay, on a restored copy too", () => {
    let book = new Book();
    const body = "x".repeat(64 * 1024);
    const many = Math.ceil(keptReturnBytes / body.length) + 40;
    for (let at = 0; at < many; at += 1) {
      book.apply(2 * at + 1, Deed.text({ kind: "claim", scope: `k${at}`, bodyHash: "h", job: "j" }));
      book.apply(2 * at + 2, Deed.text({ kind: "settle", scope: `k${at}`, job: "j", verdict: "ran", return: { code: 201, headers: {}, body } }));
      if (at !== Math.floor(many / 2)) continue;
      const copy = new Book();
      copy.restore(book.checkpoint(members));
      book = copy;
    }
    expect(book.checkpoint(members).length).toBeLessThan(keptReturnBytes * 1.1);
    expect([...book.keys.values()].filter((claim) => claim.return).length).toBe(Math.floor(keptReturnBytes / body.length));
    expect(JSON.parse(book.apply(9999, Deed.text({ kind: "claim", scope: "k0", bodyHash: "h", job: "other" })))).toEqual({ held: { bodyHash: "h", job: "j", verdict: "ran", atIndex: 1 } });
  });
}
