/** Configuration changes at the leader, one after another, and reading accepted configurations back. */
import { number, object, union } from "superstruct";
import { applyItemChanges, mergePatch } from "../configuration/config-changes.js";
import { type Config, EMPTY_CONFIG } from "../configuration/config.js";
import { checkConfig, ConfigReader } from "../configuration/config-validation.js";
import { configText } from "../configuration/config-serializer.js";
import type { ConfigCommand } from "../control-protocol/command.js";
import { completed, failed, type CommandResult } from "../control-protocol/command-response.js";
import { type CompressedText, encodeCompressedText } from "../control-protocol/compressed-text.js";
import { sleep } from "../runtime/clock.js";
import { Queue } from "../runtime/queue.js";
import type { Runtime } from "../runtime/runtime.js";
import type { StepTimer } from "../runtime/step-timer.js";
import { type Task, waitFor } from "../runtime/task.js";
import { encodeConfigPayload } from "../state/config-payload.js";
import { IdAllocator, type NameChanges } from "../state/id-allocator.js";
import { versionOf, type AcceptedConfig } from "../state/accepted-config.js";
import type { StateMachine } from "../state/state-machine.js";
import { ConfigVersionLookup, type ConfigLookup } from "./config-version-lookup.js";
import { NO_LEASE, type LeaderLog, type LeaderReplica } from "./leader-log.js";
import { IdQuarantine } from "./resting-ids.js";

/** How often a change without a base is applied anew where another change was accepted meanwhile. */
const MAX_ATTEMPTS = 5;

/** The outcome of the log entry of a configuration. */
const configOutcomeShape = union([object({ accepted: number() }), object({ lost: number() })]);

interface PendingChange {
  readonly command: ConfigCommand;
  readonly onResult: (result: CommandResult) => void;
}

/** What the configuration service needs. */
export interface ConfigServiceOptions {
  readonly runtime: Runtime;
  readonly log: LeaderLog;
  readonly replica: Pick<LeaderReplica, "readConfig">;
  readonly stateMachine: StateMachine;
  readonly steps: StepTimer;
  /** How long an id rests before another name may take it, in milliseconds. */
  readonly idQuarantineMs: number;
}

/** Checks, versions and proposes configurations, and reads accepted ones back. */
export class ConfigService {
  private readonly runtime: Runtime;
  private readonly log: LeaderLog;
  private readonly stateMachine: StateMachine;
  private readonly steps: StepTimer;
  private readonly restingIds: IdQuarantine;
  private readonly versions: ConfigVersionLookup;
  private readonly pending = new Queue<PendingChange>();
  /** The configuration that was parsed last, with its text. */
  private parsed: { text: string; value: Config } = { text: "", value: EMPTY_CONFIG };
  /** The text of the configuration that was read back last, as it travels. */
  private encoded: { sequence: number; text: CompressedText } = { sequence: -1, text: {} };

  constructor({
    runtime,
    log,
    replica,
    stateMachine,
    steps,
    idQuarantineMs: idRestMs,
  }: ConfigServiceOptions) {
    this.runtime = runtime;
    this.log = log;
    this.stateMachine = stateMachine;
    this.steps = steps;
    this.restingIds = new IdQuarantine(stateMachine, idRestMs);
    this.versions = new ConfigVersionLookup(stateMachine, replica);
  }

  /** The active configuration, parsed once for each change. */
  get active(): Config {
    const text = this.stateMachine.activeConfig?.text;
    if (text === undefined) return EMPTY_CONFIG;
    if (this.parsed.text !== text) this.parsed = { text, value: new ConfigReader().read(text) };
    return this.parsed.value;
  }

  /** Begins a term. */
  startTerm(): void {
    this.restingIds.startTerm();
  }

  /** Processes queued changes, one after another, for ever. */
  *run(): Task {
    for (;;) {
      const { command, onResult: done } = yield* this.pending.take();
      done(yield* this.apply(command));
    }
  }

  /** Queues a change and waits for its result. */
  *change(command: ConfigCommand): Task<CommandResult> {
    return yield* waitFor<CommandResult>((done) => this.pending.put({ command, onResult: done }));
  }

  /** Reads an accepted configuration back: the one of a version, or the active one. */
  *read(version: number | undefined): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    const { activeConfig, version: activeVersion } = this.stateMachine;
    const wanted = version ?? activeVersion;
    if (!activeConfig || wanted > activeVersion || wanted < 1) return completed({ found: null });
    const lookup: ConfigLookup =
      wanted === activeVersion
        ? { kind: "found", config: activeConfig }
        : yield* this.versions.find(wanted, activeConfig.sequence);
    switch (lookup.kind) {
      case "unknown":
        return failed("unknown");
      case "removed":
        return this.log.respond(() => ({ found: null, noLongerKept: true }));
      case "missing":
        return this.log.respond(() => ({ found: null }));
      case "found":
        return this.log.respond(() => ({ found: this.responseOf(lookup.config) }));
    }
  }

  /** The recent configurations, without their texts, and the journal. */
  history(): CommandResult {
    return this.log.respond(() => ({
      configs: this.stateMachine.recentConfigs.map((config) => ({
        ...config,
        sequence: versionOf(config),
        version: versionOf(config),
      })),
      journal: this.stateMachine.journal,
    }));
  }

  private *apply(command: ConfigCommand): Task<CommandResult> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const early = this.resultWithoutProposal(command);
      if (early) return early;
      const result = yield* this.attempt(command);
      if (result !== "conflict") return result;
    }
    return failed("notLeader");
  }

  /** The result of a change that was accepted before or can't be accepted; `undefined` where it must be tried. */
  private resultWithoutProposal({
    changeId,
    base,
    version,
  }: ConfigCommand): CommandResult | undefined {
    if (!this.log.holdsLease) return NO_LEASE;
    const accepted = this.stateMachine.findVersionOfChange(changeId);
    if (accepted !== undefined) return completed({ accepted });
    const { version: activeVersion, changesForgottenUpTo: forgottenUpTo } = this.stateMachine;
    const wanted = version ?? (base === undefined ? Infinity : base + 1);
    if (wanted <= forgottenUpTo) return completed({ forgottenUpTo });
    if (base !== undefined && base !== activeVersion) return completed({ lost: activeVersion });
    if (version === undefined || (Number.isSafeInteger(version) && version > activeVersion))
      return undefined;
    const expected = `a version above ${activeVersion}`;
    return completed({ faults: [{ path: "version", expected }] });
  }

  /** Proposes a change upon the active configuration; a conflict is a change without a base that another one overtook. */
  private *attempt(command: ConfigCommand): Task<CommandResult | "conflict"> {
    const { activeConfig } = this.stateMachine;
    const changed = this.steps.run("applyChange", () => this.changed(command));
    yield* this.yieldToOthers();
    const checked = this.steps.run("checkConfig", () => checkConfig(changed));
    if ("faults" in checked) return completed({ faults: checked.faults });
    const { config } = checked;
    yield* this.yieldToOthers();
    const text = this.steps.run("serializeConfig", () => configText(config));
    yield* this.yieldToOthers();
    const payload = this.steps.run("computeDelta", () =>
      encodeConfigPayload(activeConfig?.text, text),
    );
    yield* this.yieldToOthers();
    const result = yield* this.log.propose({
      kind: "config",
      expected: activeConfig?.sequence ?? 0,
      ...(command.version === undefined ? {} : { version: command.version }),
      changeId: command.changeId,
      acceptedAt: this.runtime.wallTime().toISOString(),
      ...payload,
      names: this.nameChanges(config),
      rested: this.restingIds.findReusableIds(this.runtime.clock.nowMs()),
    });
    if (result.kind === "failed") return result;
    const [error, outcome] = configOutcomeShape.validate(JSON.parse(result.json));
    if (error) return result;
    if ("accepted" in outcome) {
      this.parsed = { text, value: config };
      return result;
    }
    return command.base === undefined ? "conflict" : result;
  }

  /** Lets heartbeats and other waiting work run between the steps of a change, each of which may take long. */
  private *yieldToOthers(): Task {
    yield* sleep(this.runtime.clock, 0);
  }

  /** The configuration that a command makes of the active one. */
  private changed(command: ConfigCommand): unknown {
    if (command.kind === "put") return command.value;
    const current = this.active;
    return command.kind === "patch"
      ? mergePatch(current, command.value)
      : applyItemChanges(current, command.put, command.remove);
  }

  /** How a configuration changes the names that have ids; a name for which no id was left before is tried again. */
  private nameChanges({ services, routes }: Config): NameChanges {
    const { activeIds: inForce } = this.stateMachine.idAllocator;
    const present = new Set([
      ...Object.keys(services).map((service) => IdAllocator.serviceName(service)),
      ...Object.keys(routes).map((route) => IdAllocator.routeName(route)),
    ]);
    return {
      added: [...present].filter((name) => !inForce.has(name)),
      removed: [...inForce.keys()].filter((name) => !present.has(name)),
    };
  }

  private responseOf(config: AcceptedConfig): Record<string, unknown> {
    return {
      sequence: config.sequence,
      version: versionOf(config),
      changeId: config.changeId,
      acceptedAt: config.acceptedAt,
      ...this.encodedText(config),
    };
  }

  /** The text of a configuration as it travels, compressed once for all readers where it is long. */
  private encodedText({ sequence, text }: AcceptedConfig): CompressedText {
    if (this.encoded.sequence !== sequence)
      this.encoded = { sequence, text: encodeCompressedText(text) };
    return this.encoded.text;
  }
}
