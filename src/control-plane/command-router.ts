/** Routes commands to the leader's services. */
import { type Command, readCommand } from "../control-protocol/command.js";
import { encodeCommandResult, type CommandResult } from "../control-protocol/command-response.js";
import type { Clock } from "../runtime/clock.js";
import type { StepTimer } from "../runtime/step-timer.js";
import type { Task } from "../runtime/task.js";
import type { ClaimService } from "./claim-service.js";
import type { CommandMetrics } from "./command-metrics.js";
import type { ConfigService } from "./config-service.js";
import type { EndpointRegistry } from "./endpoint-registry.js";
import type { MembershipService } from "./membership-service.js";

/** The services that commands are routed to. */
export interface CommandRouterOptions {
  readonly clock: Clock;
  readonly steps: StepTimer;
  readonly metrics: CommandMetrics;
  readonly configs: ConfigService;
  readonly endpoints: EndpointRegistry;
  readonly claims: ClaimService;
  readonly membership: MembershipService;
  readonly clusterStatus: () => CommandResult;
}

/** Decodes commands, hands each to the service that is responsible for it, and encodes the results. */
export class CommandRouter {
  private readonly options: CommandRouterOptions;

  constructor(options: CommandRouterOptions) {
    this.options = options;
  }

  /** Processes the text of a command; returns the text of the response. */
  *route(text: string): Task<string> {
    const { clock, steps, metrics } = this.options;
    const startedMs = clock.nowMs();
    const command = steps.run("decodeCommand", () => readCommand(text));
    const result = yield* this.dispatch(command);
    metrics.record(command.kind, startedMs);
    return encodeCommandResult(result);
  }

  private *dispatch(command: Command): Task<CommandResult> {
    const { configs, endpoints, claims } = this.options;
    switch (command.kind) {
      case "announce":
        return yield* endpoints.heartbeat(command);
      case "leave":
        return yield* endpoints.deregister(command);
      case "drainBackEnd":
        return yield* endpoints.drain(command.address);
      case "claim":
        return yield* claims.claim(command);
      case "release":
        return yield* claims.release(command);
      case "put":
      case "patch":
      case "amend":
        return yield* configs.change(command);
      case "get":
        return yield* configs.read(command.version);
      case "history":
        return configs.history();
      default:
        return yield* this.dispatchToCluster(command);
    }
  }

  private *dispatchToCluster(
    command: Extract<Command, { kind: "rejoin" | "join" | "stopping" | "fleet" }>,
  ): Task<CommandResult> {
    const { membership, clusterStatus } = this.options;
    switch (command.kind) {
      case "rejoin":
        return yield* membership.rejoin(command.machine, command.nonce);
      case "join":
        return yield* membership.join(command.machine, command.fleet);
      case "stopping":
        return yield* membership.stop(command.machine, command.lastIndex);
      case "fleet":
        return clusterStatus();
    }
  }
}
