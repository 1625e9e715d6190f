/** Configuration changes at the leader, processed one at a time, and reads of accepted configurations. */
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

/** Maximum attempts of a change without a base, which is applied again where another change was accepted meanwhile. */
const MAX_ATTEMPTS = 5;

/** The outcome of the log entry of a configuration. */
const configOutcomeShape = union([object({ accepted: number() }), object({ lost: number() })]);

interface PendingChange {
  readonly command: ConfigCommand;
  readonly onResult: (result: CommandResult) => void;
}

/** The dependencies and settings of the configuration service. */
export interface ConfigServiceOptions {
  readonly runtime: Runtime;
  readonly log: LeaderLog;
  readonly replica: Pick<LeaderReplica, "readConfig">;
  readonly stateMachine: StateMachine;
  readonly steps: StepTimer;
  /** Time for which an unused id is quarantined before another name may get it, in milliseconds. */
  readonly idQuarantineMs: number;
}

/** Checks, versions and proposes configurations, and reads accepted ones. */
export class ConfigService {
  private readonly runtime: Runtime;
  private readonly log: LeaderLog;
  private readonly stateMachine: StateMachine;
  private readonly steps: StepTimer;
  private readonly idQuarantine: IdQuarantine;
  private readonly versions: ConfigVersionLookup;
  private readonly pending = new Queue<PendingChange>();
  /** The last parsed configuration, with its text. */
  private parsed: { text: string; value: Config } = { text: "", value: EMPTY_CONFIG };
  /** The encoded text of the last configuration that was read. */
  private encoded: { sequence: number; text: CompressedText } = { sequence: -1, text: {} };

  constructor({
    runtime,
    log,
    replica,
    stateMachine,
    steps,
    idQuarantineMs,
  }: ConfigServiceOptions) {
    this.runtime = runtime;
    this.log = log;
    this.stateMachine = stateMachine;
    this.steps = steps;
    this.idQuarantine = new IdQuarantine(stateMachine, idQuarantineMs);
    this.versions = new ConfigVersionLookup(stateMachine, replica);
  }

  /** The active configuration, parsed once per change. */
  get active(): Config {
    const text = this.stateMachine.activeConfig?.text;
    if (text === undefined) return EMPTY_CONFIG;
    if (this.parsed.text !== text) this.parsed = { text, value: new ConfigReader().read(text) };
    return this.parsed.value;
  }

  /** Starts a term. */
  startTerm(): void {
    this.idQuarantine.startTerm();
  }

  /** Processes queued changes one at a time; never returns. */
  *run(): Task {
    for (;;) {
      const { command, onResult } = yield* this.pending.take();
      onResult(yield* this.applyWithRetries(command));
    }
  }

  /** Queues a change and waits for its result. */
  *change(command: ConfigCommand): Task<CommandResult> {
    return yield* waitFor<CommandResult>((onResult) => this.pending.put({ command, onResult }));
  }

  /** Reads an accepted configuration: that of a version, or the active one. */
  *read(version: number | undefined): Task<CommandResult> {
    if (!this.log.holdsLease) return NO_LEASE;
    const { activeConfig, version: activeVersion } = this.stateMachine;
    const requestedVersion = version ?? activeVersion;
    if (!activeConfig || requestedVersion > activeVersion || requestedVersion < 1)
      return completed({ found: null });
    const lookup: ConfigLookup =
      requestedVersion === activeVersion
        ? { kind: "found", config: activeConfig }
        : yield* this.versions.find(requestedVersion, activeConfig.sequence);
    switch (lookup.kind) {
      case "unknown":
        return failed("unknown");
      case "removed":
        return this.log.respond(() => ({ found: null, noLongerKept: true }));
      case "missing":
        return this.log.respond(() => ({ found: null }));
      case "found":
        return this.log.respond(() => ({ found: this.formatResponse(lookup.config) }));
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

  private *applyWithRetries(command: ConfigCommand): Task<CommandResult> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const knownResult = this.resultWithoutProposal(command);
      if (knownResult) return knownResult;
      const result = yield* this.proposeChange(command);
      if (result !== "conflict") return result;
    }
    return failed("notLeader");
  }

  /** The result of a change that was accepted before or can't be accepted; `undefined` where the change must be proposed. */
  private resultWithoutProposal({
    changeId,
    base,
    version,
  }: ConfigCommand): CommandResult | undefined {
    if (!this.log.holdsLease) return NO_LEASE;
    const accepted = this.stateMachine.findVersionOfChange(changeId);
    if (accepted !== undefined) return completed({ accepted });
    const { version: activeVersion, changesForgottenUpTo: forgottenUpTo } = this.stateMachine;
    const requestedVersion = version ?? (base === undefined ? Infinity : base + 1);
    if (requestedVersion <= forgottenUpTo) return completed({ forgottenUpTo });
    if (base !== undefined && base !== activeVersion) return completed({ lost: activeVersion });
    if (version === undefined || (Number.isSafeInteger(version) && version > activeVersion))
      return undefined;
    const expected = `a version above ${activeVersion}`;
    return completed({ faults: [{ path: "version", expected }] });
  }

  /** Proposes a change of the active configuration; `conflict` where another change preceded one that has no base. */
  private *proposeChange(command: ConfigCommand): Task<CommandResult | "conflict"> {
    const { activeConfig } = this.stateMachine;
    const changedConfig = this.steps.run("applyChange", () => this.computeChangedConfig(command));
    yield* this.yieldToEventLoop();
    const checked = this.steps.run("checkConfig", () => checkConfig(changedConfig));
    if ("faults" in checked) return completed({ faults: checked.faults });
    const { config } = checked;
    yield* this.yieldToEventLoop();
    const text = this.steps.run("serializeConfig", () => configText(config));
    yield* this.yieldToEventLoop();
    const payload = this.steps.run("computeDelta", () =>
      encodeConfigPayload(activeConfig?.text, text),
    );
    yield* this.yieldToEventLoop();
    const result = yield* this.log.propose({
      kind: "config",
      expected: activeConfig?.sequence ?? 0,
      ...(command.version === undefined ? {} : { version: command.version }),
      changeId: command.changeId,
      acceptedAt: this.runtime.wallTime().toISOString(),
      ...payload,
      names: this.nameChanges(config),
      rested: this.idQuarantine.findReusableIds(this.runtime.clock.nowMs()),
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

  /** Lets heartbeats and other pending work run between the steps of a change, each of which may take long. */
  private *yieldToEventLoop(): Task {
    yield* sleep(this.runtime.clock, 0);
  }

  /** The configuration that results from applying a command to the active one. */
  private computeChangedConfig(command: ConfigCommand): unknown {
    if (command.kind === "put") return command.value;
    const current = this.active;
    return command.kind === "patch"
      ? mergePatch(current, command.value)
      : applyItemChanges(current, command.put, command.remove);
  }

  /** The names that a configuration adds and removes. A name that got no id, since none was free, counts as added again. */
  private nameChanges({ services, routes }: Config): NameChanges {
    const { activeIds } = this.stateMachine.idAllocator;
    const names = new Set([
      ...Object.keys(services).map((service) => IdAllocator.serviceName(service)),
      ...Object.keys(routes).map((route) => IdAllocator.routeName(route)),
    ]);
    return {
      added: [...names].filter((name) => !activeIds.has(name)),
      removed: [...activeIds.keys()].filter((name) => !names.has(name)),
    };
  }

  private formatResponse(config: AcceptedConfig): Record<string, unknown> {
    return {
      sequence: config.sequence,
      version: versionOf(config),
      changeId: config.changeId,
      acceptedAt: config.acceptedAt,
      ...this.encodedText(config),
    };
  }

  /** The encoded text of a configuration; a long text is compressed once for all readers. */
  private encodedText({ sequence, text }: AcceptedConfig): CompressedText {
    if (this.encoded.sequence !== sequence)
      this.encoded = { sequence, text: encodeCompressedText(text) };
    return this.encoded.text;
  }
}
