/** What a caller recorded of one request that it sent. */
export interface ClientRecord {
  readonly id: string;
  readonly daemon: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly key: string | undefined;
  readonly sentMs: number;
  endedMs: number;
  /** The return's code; 0 when the connection broke or was refused. */
  code: number;
  /** How the connection ended, for code 0. */
  failure: "" | "refused" | "broken" | "silent" | "hungUp";
  /** Whose request the return speaks of, read from its body. */
  echoedId: string;
  /** Whether the body was as long as stated, and looked whole to the caller. */
  isComplete: boolean;
  isGarbage: boolean;
  retryAfterS: number | undefined;
  /** What a daemon said of whether it ran; empty where it said nothing. */
  executionStatus: string;
}

/** What a back end recorded of one request that reached it. */
export interface RunRecord {
  readonly atMs: number;
  /** How long a cut or lossy network kept it back after it was sent. */
  readonly delayedMs: number;
  readonly address: string;
  readonly service: string;
  readonly incarnation: number;
  readonly requestId: string;
  readonly path: string;
  readonly method: string;
  readonly key: string | undefined;
  /** The service that the daemon meant. */
  readonly intendedService: string;
}

/** One attempt at an order, at one daemon. */
export interface CommandAttempt {
  /** The daemon it was sent to; any where none was named. */
  readonly daemon: string | undefined;
  readonly startMs: number;
  readonly endMs: number;
  /** The code of the answer; 0 where none came. */
  readonly code: number;
}

/** One operator's change of the configuration, with all attempts at it. */
export interface ConfigCommandRecord {
  readonly startMs: number;
  /** When its clear answer came; never, where none did. */
  endMs: number;
  readonly base: number;
  readonly probe: number;
  /** Lost: another version is current. Refused: told by another 4xx that it will never be taken. */
  outcome: "accepted" | "lost" | "refused" | "unknown";
  /** Its own version where accepted, the current one where lost. */
  version: number;
  readonly attempts: CommandAttempt[];
}

/** One answered read of the newest configuration. */
export interface ConfigReadRecord {
  readonly startMs: number;
  readonly endMs: number;
  readonly version: number;
}

/** What operators and the world recorded. */
export type EnvironmentRecord =
  | { kind: "sent"; atMs: number; probe: number; text: string }
  | { kind: "accepted"; atMs: number; sequence: number; probe: number; text: string }
  | { kind: "rejected"; atMs: number; probe: number }
  | { kind: "tookMalformed"; atMs: number; text: string }
  | { kind: "readBack"; atMs: number; sequence: number; text: string | undefined }
  | { kind: "left"; atMs: number; address: string; service: string; incarnation: number }
  | { kind: "announced"; atMs: number; address: string; service: string }
  | { kind: "reused"; atMs: number; address: string; service: string }
  | { kind: "killed"; atMs: number; daemon: string }
  | { kind: "stopped"; atMs: number; daemon: string; endedMs: number }
  | { kind: "memberCut"; atMs: number; endMs: number; daemon: string }
  | { kind: "membersLost"; atMs: number; cause: string; machines: readonly string[] }
  | {
      kind: "orderedDuring";
      atMs: number;
      during: string;
      outcome: ConfigCommandRecord["outcome"];
      waitedMs: number;
    }
  | { kind: "fault"; atMs: number; name: string }
  | { kind: "recovered"; atMs: number };

/** All that callers, back ends and operators recorded of one run, on one clock. */
export class EventRecorder {
  readonly clientRecords: ClientRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly environmentRecords: EnvironmentRecord[] = [];
  readonly configCommands: ConfigCommandRecord[] = [];
  readonly configReads: ConfigReadRecord[] = [];
  endMs = 0;

  /** Begins the record of an order, whose outcome is unknown until it is told. */
  addCommand(begun: Pick<ConfigCommandRecord, "startMs" | "base" | "probe">): ConfigCommandRecord {
    const record: ConfigCommandRecord = {
      ...begun,
      endMs: Infinity,
      outcome: "unknown",
      version: 0,
      attempts: [],
    };
    this.configCommands.push(record);
    return record;
  }

  /** The records of one kind. */
  ofKind<K extends EnvironmentRecord["kind"]>(
    kind: K,
  ): Array<Extract<EnvironmentRecord, { kind: K }>> {
    const isKind = (record: EnvironmentRecord): record is Extract<EnvironmentRecord, { kind: K }> =>
      record.kind === kind;
    return this.environmentRecords.filter(isKind);
  }
}
