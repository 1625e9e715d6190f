/** A client's record of one request. */
export interface ClientRecord {
  readonly id: string;
  readonly daemon: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly sentMs: number;
  endedMs: number;
  /** The response's status code; 0 if the connection failed or was refused. */
  code: number;
  /** How the request failed, for code 0. */
  failure: "" | "refused" | "broken" | "silent" | "hungUp";
  /** The id of the request that the response's body echoes. */
  echoedId: string;
  /** Whether the body is as long as its content-length. */
  isComplete: boolean;
  isGarbage: boolean;
  retryAfterS: number | undefined;
  /** Whether the request ran, as stated by the daemon's error response; empty where it states nothing. */
  executionStatus: string;
}

/** A backend's record of one request that it ran. */
export interface RunRecord {
  readonly atMs: number;
  /** How long a partition or packet loss delayed it after it was sent. */
  readonly delayedMs: number;
  readonly address: string;
  readonly service: string;
  readonly incarnation: number;
  readonly requestId: string;
  readonly path: string;
  readonly method: string;
  readonly key: string | undefined;
  /** The service that the daemon routed it to. */
  readonly intendedService: string;
}

/** One attempt to send a config change to a daemon. */
export interface CommandAttempt {
  /** The daemon that it was sent to; undefined for a random one. */
  readonly daemon: string | undefined;
  readonly startMs: number;
  readonly endMs: number;
  /** The response's status code; 0 without a response. */
  readonly code: number;
}

/** A config change of one operator, with all its attempts. */
export interface ConfigCommandRecord {
  readonly startMs: number;
  /** When the response with its outcome arrived; Infinity if none did. */
  endMs: number;
  readonly base: number;
  readonly probe: number;
  /** `lost`: another version is current (412). `refused`: another 4xx states that it will never be accepted. */
  outcome: "accepted" | "lost" | "refused" | "unknown";
  /** Its own version if accepted, the current version if lost. */
  version: number;
  readonly attempts: CommandAttempt[];
}

/** A successful read of the latest config. */
export interface ConfigReadRecord {
  readonly startMs: number;
  readonly endMs: number;
  readonly version: number;
}

/** An event outside of client requests: config changes, backends' registrations, and injected faults. */
export type EnvironmentRecord =
  | { kind: "sent"; atMs: number; probe: number; text: string }
  | { kind: "accepted"; atMs: number; sequence: number; probe: number; text: string }
  | { kind: "rejected"; atMs: number; probe: number }
  | { kind: "malformedAccepted"; atMs: number; text: string }
  | { kind: "readBack"; atMs: number; sequence: number; text: string | undefined }
  | { kind: "left"; atMs: number; address: string; service: string; incarnation: number }
  | { kind: "announced"; atMs: number; address: string; service: string }
  | { kind: "reused"; atMs: number; address: string; service: string }
  | { kind: "killed"; atMs: number; daemon: string }
  | { kind: "stopped"; atMs: number; daemon: string; endedMs: number }
  | { kind: "memberPartitioned"; atMs: number; endMs: number; daemon: string }
  | { kind: "membersLost"; atMs: number; cause: string; machines: readonly string[] }
  | {
      kind: "commandTimed";
      atMs: number;
      during: string;
      outcome: ConfigCommandRecord["outcome"];
      waitedMs: number;
    }
  | { kind: "fault"; atMs: number; name: string }
  | { kind: "recovered"; atMs: number };

/** The records of clients, backends and operators of one run, with times of one clock. */
export class EventRecorder {
  readonly clientRecords: ClientRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly environmentRecords: EnvironmentRecord[] = [];
  readonly configCommands: ConfigCommandRecord[] = [];
  readonly configReads: ConfigReadRecord[] = [];
  endMs = 0;

  /** Adds the record of a config change, whose outcome is unknown until a response states it. */
  addCommand(
    command: Pick<ConfigCommandRecord, "startMs" | "base" | "probe">,
  ): ConfigCommandRecord {
    const record: ConfigCommandRecord = {
      ...command,
      endMs: Infinity,
      outcome: "unknown",
      version: 0,
      attempts: [],
    };
    this.configCommands.push(record);
    return record;
  }

  /** The environment records of one kind. */
  ofKind<K extends EnvironmentRecord["kind"]>(
    kind: K,
  ): Array<Extract<EnvironmentRecord, { kind: K }>> {
    const isKind = (record: EnvironmentRecord): record is Extract<EnvironmentRecord, { kind: K }> =>
      record.kind === kind;
    return this.environmentRecords.filter(isKind);
  }
}
