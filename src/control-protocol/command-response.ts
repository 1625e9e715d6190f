/**
 * The response to a command: the result type of the leader's services, and the codec of its JSON text. A failure is encoded as
 * `{"breakdown":"<reason>"}`.
 */

/** The command was executed; `json` is the response's body. */
export interface CompletedCommand {
  readonly kind: "completed";
  readonly json: string;
}

/** The command wasn't executed, or its outcome is unknown. */
export interface FailedCommand {
  readonly kind: "failed";
  readonly reason: string;
}

/** The result of a command at the leader. */
export type CommandResult = CompletedCommand | FailedCommand;

/** The result of a command with this response body. */
export const completed = (body: unknown): CompletedCommand => ({
  kind: "completed",
  json: JSON.stringify(body),
});

/** The result of a command that failed, or whose outcome is unknown. */
export const failed = (reason: string): FailedCommand => ({ kind: "failed", reason });

/** The text of a response that reports a failure. */
export const failureResponse = (reason: string): string => JSON.stringify({ breakdown: reason });

/** Whether the text of a response reports a failure: the command wasn't executed, or its outcome is unknown. */
export const isFailureResponse = (text: string): boolean => text.startsWith('{"breakdown":');

/** The response text of a result. */
export const encodeCommandResult = (result: CommandResult): string =>
  result.kind === "completed" ? result.json : failureResponse(result.reason);

/** The reason with which a leader refuses a command that it couldn't commit in time. */
export const OVERLOADED = "overloaded";

/** The response of a leader to a command that it couldn't commit in time; a retry would only increase its load. */
export const overloadedResponse = failureResponse(OVERLOADED);
