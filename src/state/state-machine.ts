import { matchesStruct } from "../runtime/fast-validator.js";
import { Map as Table } from "immutable";
import {
  array,
  boolean,
  create,
  defaulted,
  define,
  literal,
  number,
  object,
  optional,
  string,
  tuple,
  type,
  union,
  type Infer,
} from "superstruct";
import { kindField } from "../runtime/kind-of.js";
import { IdAllocator } from "./id-allocator.js";
import type { Members } from "../consensus/members.js";
import { ConfigPayload, configPayloadFields } from "./config-payload.js";
import type { TextDelta } from "./text-delta.js";

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
  /** One life of a back end; empty where it names none. */
  instance: defaulted(string(), ""),
  /** How many requests it works on at a time; 0 where that is unknown. */
  capacity: defaulted(number(), 0),
  /** How much longer it said it would be slow when it announced itself. */
  warmMs: defaulted(number(), 0),
  /** The place of the announcement that it came about by among all of its instance. */
  order: defaulted(number(), 0),
});

/** What the record holds about one back end. */
export type Registration = Infer<typeof contractShape>;

const isContract = (value: unknown): value is Registration =>
  typeof value === "object" &&
  value !== null &&
  "address" in value &&
  typeof value.address === "string" &&
  "service" in value &&
  typeof value.service === "string" &&
  "zone" in value &&
  typeof value.zone === "string" &&
  "warmth" in value &&
  typeof value.warmth === "number" &&
  "number" in value &&
  typeof value.number === "number" &&
  "leaving" in value &&
  typeof value.leaving === "boolean" &&
  "leftAt" in value &&
  typeof value.leftAt === "number" &&
  "drained" in value &&
  typeof value.drained === "boolean" &&
  "instance" in value &&
  typeof value.instance === "string" &&
  "capacity" in value &&
  typeof value.capacity === "number" &&
  "warmMs" in value &&
  typeof value.warmMs === "number" &&
  "order" in value &&
  typeof value.order === "number";

export const Registration = {
  /** Whether a value is a whole list of contracts; it travels often, so that it is checked in one go. */
  areAll: (value: unknown): value is Registration[] =>
    Array.isArray(value) && value.every(isContract),
};

const goneShape = define<Array<[string, number]>>(
  "gone instances",
  (value) =>
    Array.isArray(value) &&
    value.every(
      (one: unknown) =>
        Array.isArray(one) &&
        one.length === 2 &&
        typeof one[0] === "string" &&
        typeof one[1] === "number",
    ),
);

/** How many instances that are gone for good are kept at most; beyond that the oldest go. */
export const MAX_TOMBSTONES = 20_000;

/** A key that is claimed, and who knows what became of its request. */
export interface IdempotencyClaim {
  bodyHash: string;
  job: string;
  /** How the request ended where a former build noted it here; else in hand. */
  verdict: "inHand" | "ran" | "mayHaveRun";
  /** The daemons that know what became of the request: that is no part of the agreed state. */
  holders?: readonly string[];
  atIndex: number;
}

export const acceptedConfigShape = object({
  sequence: number(),
  version: optional(number()),
  index: number(),
  changeId: string(),
  acceptedAt: string(),
  text: string(),
});

/** A configuration as it was accepted; it names its version where that isn't its sequence. */
export type AcceptedConfig = Infer<typeof acceptedConfigShape> & {
  /** How its text came from the one before, where the entry said so; in memory only. */
  readonly delta?: TextDelta;
};

/** A configuration without what is held in memory only. */
export const storedConfig = ({
  sequence,
  version,
  index,
  changeId,
  acceptedAt,
  text,
}: AcceptedConfig): Infer<typeof acceptedConfigShape> => ({
  sequence,
  ...(version === undefined ? {} : { version }),
  index,
  changeId,
  acceptedAt,
  text,
});

/** The version under which operators know a config: always above the one before. */
export const versionOf = ({
  sequence,
  version,
}: Pick<AcceptedConfig, "sequence" | "version">): number => version ?? sequence;

/** A config's sequence, and its version where that is another. */
const numbersOf = (
  sequence: number,
  version: number,
): Pick<AcceptedConfig, "sequence" | "version"> =>
  version === sequence ? { sequence } : { sequence, version };

const holdersShape = array(string());

const isKeyClaim = (value: unknown): value is IdempotencyClaim =>
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
  (!("holders" in value) || holdersShape.is(value.holders));

/** A claim without what a former build put beside it. */
const storedClaim = ({
  bodyHash,
  job,
  verdict,
  holders,
  atIndex,
}: IdempotencyClaim): IdempotencyClaim => ({
  bodyHash,
  job,
  verdict,
  ...(holders ? { holders } : {}),
  atIndex,
});

/** The table of keys is large, so that it is checked in one go. */
const keysShape = define<Array<{ scope: string; claim: IdempotencyClaim }>>(
  "keys",
  (value) =>
    Array.isArray(value) &&
    value.every(
      (one: unknown) =>
        typeof one === "object" &&
        one !== null &&
        "scope" in one &&
        typeof one.scope === "string" &&
        "claim" in one &&
        isKeyClaim(one.claim),
    ),
);

/** How many keys are held at most; then claims are dropped, so that a checkpoint fits a frame and is made within a leader's grant. */
export const MAX_IDEMPOTENCY_CLAIMS = 40_000;

const deedShapes = {
  leads: object({ kind: literal("leads"), machine: string(), term: number() }),
  members: object({ kind: literal("members"), voters: array(string()), learners: array(string()) }),
  rejoined: object({ kind: literal("rejoined"), machine: string(), nonce: string() }),
  config: object({
    kind: literal("config"),
    expected: number(),
    version: optional(number()),
    changeId: string(),
    acceptedAt: string(),
    ...configPayloadFields,
    /** All names in force; entries that name only changes leave them out. */
    services: optional(array(string())),
    routes: optional(array(string())),
    /** Names of services and routes, as the numbering has them, that come into force and that go. */
    names: optional(object({ added: array(string()), removed: array(string()) })),
    rested: optional(array(number())),
  }),
  contract: object({
    kind: literal("contract"),
    address: string(),
    service: string(),
    zone: string(),
    warmth: number(),
    instance: optional(string()),
    capacity: optional(number()),
    warmMs: optional(number()),
    order: optional(number()),
  }),
  leave: object({
    kind: literal("leave"),
    address: string(),
    service: string(),
    drained: boolean(),
    instance: optional(string()),
  }),
  end: object({ kind: literal("end"), address: string(), number: number(), why: string() }),
  purge: object({ kind: literal("purge"), address: string(), number: number() }),
  forgetGone: object({ kind: literal("forgetGone"), instances: array(string()) }),
  claim: object({
    kind: literal("claim"),
    scope: string(),
    bodyHash: string(),
    job: string(),
    holders: optional(holdersShape),
    replaces: optional(string()),
  }),
  /** How a keyed request ended; only logs of a former build have it. */
  settle: object({
    kind: literal("settle"),
    scope: string(),
    job: string(),
    verdict: union([literal("ran"), literal("mayHaveRun")]),
    /** The response itself; it is let go. */
    return: optional(type({ code: number() })),
  }),
  release: object({ kind: literal("release"), scope: string(), job: string() }),
  forget: object({ kind: literal("forget"), scopes: array(string()), upTo: number() }),
  note: object({ kind: literal("note"), text: string() }),
  holder: object({ kind: literal("holder"), edge: string() }),
  holdersPast: object({ kind: literal("holdersPast"), edges: array(string()) }),
};

/** One entry of the record, as it is written. */
export type LogCommand = Infer<(typeof deedShapes)[keyof typeof deedShapes]>;

type ConfigDeed = Extract<LogCommand, { kind: "config" }>;

const isDeedKind = (kind: string): kind is keyof typeof deedShapes =>
  Object.hasOwn(deedShapes, kind);

const isDeed = (kind: keyof typeof deedShapes, value: unknown): value is LogCommand =>
  matchesStruct(deedShapes[kind], value);

export const LogCommand = {
  text: (command: LogCommand): string => JSON.stringify(command),

  /** Reads an entry's text; one of an unknown kind can't be applied, so it stops this recorder. */
  read(text: string): LogCommand {
    const value: unknown = JSON.parse(text);
    const kind = kindField(value);
    if (!isDeedKind(kind))
      throw new Error(`The record holds an entry of the unknown kind "${kind}".`);
    return isDeed(kind, value) ? value : deedShapes[kind].create(value);
  },
};

const bookShape = type({
  voters: array(string()),
  learners: array(string()),
  configs: array(acceptedConfigShape),
  recent: optional(
    array(
      object({
        sequence: number(),
        version: optional(number()),
        changeId: string(),
        acceptedAt: string(),
      }),
    ),
  ),
  changes: array(object({ changeId: string(), sequence: number(), version: optional(number()) })),
  contracts: array(contractShape),
  gone: optional(goneShape),
  directorySequence: number(),
  keys: keysShape,
  numbering: type({
    inForce: array(tuple([string(), number()])),
    resting: array(tuple([string(), number()])),
    free: array(number()),
    next: number(),
  }),
  journal: array(object({ index: number(), text: string() })),
  holders: optional(array(string())),
});

const keptRecent = 200;
/** How many accepted changes are kept in mind by their ids, so that each is known when it is sent again. */
const keptChanges = 2000;
const keptJournal = 1000;

/** The tables that the record keeps, the same on every recorder that has applied the same entries. */
export class StateMachine {
  /** The config in force last, and before it those that this recorder's history may not yet hold. */
  configs: AcceptedConfig[] = [];
  /** What is told of the last configs. */
  recent: Array<Omit<AcceptedConfig, "text" | "index">> = [];
  registrations = Table<string, Registration>();
  /** The instances that left, were drained or were replaced, by the entry that says so: they never come back. */
  tombstones = new Map<string, number>();
  endpointSequence = 0;
  claims = new Map<string, IdempotencyClaim>();
  /** The numbers of services and routes, by which sketches count them. */
  readonly idAllocator = new IdAllocator();
  journal: Array<{ index: number; text: string }> = [];
  /** The edges that may hold a part of a pool of further tries, so that a new leader knows whom to wait for. */
  holders = new Set<string>();
  private changes = new Map<string, Pick<AcceptedConfig, "sequence" | "version">>();
  private applied = new Set<(command: LogCommand, index: number) => void>();

  /** The config in force. */
  get activeConfig(): AcceptedConfig | undefined {
    return this.configs.at(-1);
  }

  /** The contracts of an instance: one that stands, and others that it left behind. */
  registrationsOf(instance: string): Registration[] {
    return instance === ""
      ? []
      : [...this.registrations.values()].filter(
          (registration) => registration.instance === instance,
        );
  }

  /** The version in force, or 0 for none yet. */
  get version(): number {
    return this.activeConfig ? versionOf(this.activeConfig) : 0;
  }

  /** The version that a change id was accepted under, if it was. */
  changeVersion(changeId: string): number | undefined {
    const known = this.changes.get(changeId);
    return known && versionOf(known);
  }

  /** The version up to which it isn't known any more which changes were taken, or 0. */
  get forgottenUpTo(): number {
    if (this.changes.size < keptChanges) return 0;
    const [oldest] = this.changes.values();
    return oldest ? versionOf(oldest) - 1 : 0;
  }

  /** Hears of each entry once it is applied. */
  onApplied(hook: (command: LogCommand, index: number) => void): void {
    this.applied.add(hook);
  }

  /** Applies one entry and tells its outcome, as JSON. */
  apply(index: number, text: string): string {
    const command = LogCommand.read(text);
    const outcome = this.take(index, command);
    for (const hook of this.applied) hook(command, index);
    return JSON.stringify(outcome);
  }

  /** Lets go of configs that the history holds, save the one in force. */
  releaseConfigs(upTo: number): void {
    this.configs = this.after(upTo);
  }

  /** All tables as one text, without the configs up to one that the history holds. */
  snapshot(members: Members, historyUpTo = 0): string {
    return JSON.stringify({
      ...members,
      configs: this.after(historyUpTo).map(storedConfig),
      recent: this.recent,
      changes: [...this.changes].map(([changeId, numbers]) => ({ changeId, ...numbers })),
      contracts: [...this.registrations.values()],
      gone: [...this.tombstones],
      directorySequence: this.endpointSequence,
      keys: [...this.claims].map(([scope, claim]) => ({ scope, claim })),
      numbering: this.idAllocator.state,
      journal: this.journal,
      holders: [...this.holders],
    });
  }

  /** Takes all tables from a checkpoint and tells the members that it names. */
  restore(text: string): Members {
    const kept = create(JSON.parse(text), bookShape);
    this.configs = kept.configs;
    this.recent =
      kept.recent ??
      kept.configs.map(({ sequence, version, changeId, acceptedAt }) => ({
        ...numbersOf(sequence, version ?? sequence),
        changeId,
        acceptedAt,
      }));
    this.changes = new Map(
      kept.changes.map(({ changeId, sequence, version }) => [
        changeId,
        numbersOf(sequence, version ?? sequence),
      ]),
    );
    this.registrations = Table(
      kept.contracts.map((registration) => [registration.address, registration]),
    );
    this.tombstones = new Map(kept.gone ?? []);
    this.endpointSequence = kept.directorySequence;
    this.claims = new Map(kept.keys.map(({ scope, claim }) => [scope, storedClaim(claim)]));
    this.idAllocator.restore(kept.numbering);
    this.journal = kept.journal;
    this.holders = new Set(kept.holders ?? []);
    return { voters: kept.voters, learners: kept.learners };
  }

  private after(upTo: number): AcceptedConfig[] {
    return this.configs.filter(
      (config, at) => config.sequence > upTo || at === this.configs.length - 1,
    );
  }

  private take(index: number, command: LogCommand): Record<string, unknown> {
    switch (command.kind) {
      case "leads":
        return this.note(index, `${command.machine} leads the record in term ${command.term}.`);
      case "members":
        return this.note(
          index,
          `Voters: ${command.voters.join(", ")}; learners: ${command.learners.join(", ") || "none"}.`,
        );
      case "rejoined":
        return this.note(index, `${command.machine} rejoined the record.`);
      case "note":
        return this.note(index, command.text);
      case "config": {
        const current = this.activeConfig?.sequence ?? 0;
        const known = this.changeVersion(command.changeId);
        if (known !== undefined) return { accepted: known };
        const version = command.version ?? this.version + 1;
        if (command.expected !== current || version <= this.version) return { lost: this.version };
        const numbers = numbersOf(current + 1, version);
        this.configs.push({
          ...numbers,
          index,
          changeId: command.changeId,
          acceptedAt: command.acceptedAt,
          ...ConfigPayload.read(command, this.activeConfig?.text),
        });
        this.recent = [
          ...this.recent.slice(1 - keptRecent),
          { ...numbers, changeId: command.changeId, acceptedAt: command.acceptedAt },
        ];
        this.changes.set(command.changeId, numbers);
        for (const changeId of this.changes.keys()) {
          if (this.changes.size <= keptChanges) break;
          this.changes.delete(changeId);
        }
        this.numberNames(command);
        this.note(index, `Config ${version} is in force (change ${command.changeId}).`);
        return { accepted: version };
      }
      case "contract":
        return this.enterContract(index, command);
      case "leave":
        return command.instance === undefined || command.instance === ""
          ? this.leaveAddress(index, command)
          : this.leaveInstance(index, command.instance, command.drained);
      case "end": {
        const registration = this.registrations.get(command.address);
        if (!registration || registration.number !== command.number) return { known: false };
        this.registrations = this.registrations.set(command.address, {
          ...registration,
          leaving: true,
          leftAt: index,
        });
        this.endpointSequence = index;
        this.note(index, `${command.address} of ${registration.service} ended: ${command.why}.`);
        return { known: true };
      }
      case "purge":
        if (this.registrations.get(command.address)?.number === command.number)
          this.registrations = this.registrations.delete(command.address);
        this.endpointSequence = index;
        return { known: true };
      case "forgetGone":
        for (const instance of command.instances) this.tombstones.delete(instance);
        return { known: true };
      case "claim": {
        const known = this.claims.get(command.scope);
        if (known?.job === command.job) return { claimed: true };
        if (known && known.job !== command.replaces) return { held: known };
        this.claims.set(command.scope, {
          bodyHash: command.bodyHash,
          job: command.job,
          verdict: "inHand",
          ...(command.holders ? { holders: command.holders } : {}),
          atIndex: index,
        });
        return { claimed: true };
      }
      case "settle": {
        const known = this.claims.get(command.scope);
        if (known?.job !== command.job) return { known: false };
        this.claims.set(command.scope, {
          ...known,
          verdict: command.verdict,
        });
        return { known: true };
      }
      case "release": {
        const known = this.claims.get(command.scope);
        if (known?.job === command.job && known.verdict === "inHand")
          this.claims.delete(command.scope);
        return { known: true };
      }
      case "holder":
        this.holders.add(command.edge);
        return {};
      case "holdersPast":
        for (const edge of command.edges) this.holders.delete(edge);
        return {};
      case "forget":
        for (const scope of command.scopes)
          if ((this.claims.get(scope)?.atIndex ?? Infinity) <= command.upTo)
            this.claims.delete(scope);
        return { known: true };
    }
  }

  /** Gives numbers to the names that a configuration brings into force. */
  private numberNames({ services = [], routes = [], names, rested = [] }: ConfigDeed): void {
    if (names) return this.idAllocator.change(names, rested);
    this.idAllocator.adopt(
      [
        ...services.map((service) => IdAllocator.serviceName(service)),
        ...routes.map((route) => IdAllocator.routeName(route)),
      ],
      rested,
    );
  }

  private enterContract(
    index: number,
    command: Extract<LogCommand, { kind: "contract" }>,
  ): Record<string, unknown> {
    const {
      address,
      service,
      zone,
      warmth,
      instance = "",
      capacity = 0,
      warmMs = 0,
      order = 0,
    } = command;
    if (this.tombstones.has(instance)) return { gone: true };
    const former = this.registrations.get(address);
    const isSame = former?.instance === instance && former.service === service;
    const staysSame = isSame && instance !== "" && !former.leaving && former.zone === zone;
    if (former && former.instance !== instance) this.goForGood(index, former.instance);
    for (const other of this.registrationsOf(instance))
      if (other.address !== address && !other.leaving)
        this.registrations = this.registrations.set(other.address, {
          ...other,
          leaving: true,
          leftAt: index,
        });
    const number = staysSame ? former.number : index;
    this.registrations = this.registrations.set(address, {
      address,
      service,
      zone,
      warmth,
      number,
      leaving: false,
      leftAt: 0,
      drained: false,
      instance,
      capacity,
      warmMs,
      order,
    });
    this.endpointSequence = index;
    if (former && former.service !== service)
      this.note(index, `${address} now serves ${service}, no longer ${former.service}.`);
    return { number };
  }

  private leaveAddress(
    index: number,
    { address, service, drained }: Extract<LogCommand, { kind: "leave" }>,
  ): Record<string, unknown> {
    const registration = this.registrations.get(address) ?? {
      address,
      service,
      zone: "",
      warmth: 0,
      number: index,
      leaving: true,
      leftAt: index,
      drained: false,
      instance: "",
      capacity: 0,
      warmMs: 0,
      order: 0,
    };
    if (registration.service !== service) return { known: false };
    this.goForGood(index, registration.instance);
    this.registrations = this.registrations.set(address, {
      ...registration,
      leaving: true,
      leftAt: index,
      drained: registration.drained || drained,
    });
    if (drained) this.note(index, `${address} of ${service} is drained by an operator.`);
    this.endpointSequence = index;
    return { known: true };
  }

  private leaveInstance(
    index: number,
    instance: string,
    drained: boolean,
  ): Record<string, unknown> {
    this.goForGood(index, instance);
    const registrations = this.registrationsOf(instance);
    for (const registration of registrations)
      this.registrations = this.registrations.set(registration.address, {
        ...registration,
        leaving: true,
        leftAt: index,
        drained: registration.drained || drained,
      });
    if (registrations.length > 0) this.endpointSequence = index;
    return { known: registrations.length > 0 };
  }

  private goForGood(index: number, instance: string): void {
    if (instance === "" || this.tombstones.has(instance)) return;
    this.tombstones.set(instance, index);
    for (const oldest of this.tombstones.keys()) {
      if (this.tombstones.size <= MAX_TOMBSTONES) return;
      this.tombstones.delete(oldest);
    }
  }

  private note(index: number, text: string): Record<string, unknown> {
    this.journal.push({ index, text });
    if (this.journal.length > keptJournal)
      this.journal.splice(0, this.journal.length - keptJournal);
    return {};
  }
}
