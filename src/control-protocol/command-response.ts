/**
 * The response to a command: what the leader's services return inside, and the one codec for the JSON text in which a response
 * travels. A failure travels as `{"breakdown":"<reason>"}`.
 */

/** The command was carried out; the response's body as JSON text. */
export interface CompletedCommand {
  readonly kind: "completed";
  readonly json: string;
}

/** The command wasn't carried out, or its outcome is unknown. */
export interface FailedCommand {
  readonly kind: "failed";
  readonly reason: string;
}

/** The result of a command at the leader. */
export type CommandResult = CompletedCommand | FailedCommand;

/** The result of a command whose response has this body. */
export const completed = (body: unknown): CompletedCommand => ({
  kind: "completed",
  json: JSON.stringify(body),
});

/** The result of a command that failed, or whose outcome is unknown. */
export const failed = (reason: string): FailedCommand => ({ kind: "failed", reason });

/** The text of a response that reports a failure. */
export const failureResponse = (reason: string): string => JSON.stringify({ breakdown: reason });

/** Whether the text of a response reports a failure: the command wasn't carried out, or its outcome is unknown. */
export const isFailureResponse = (text: string): boolean => text.startsWith('{"breakdown":');

/** The text in which a result travels. */
export const encodeCommandResult = (result: CommandResult): string =>
  result.kind === "completed" ? result.json : failureResponse(result.reason);

/** The reason of a leader that refuses a command since it couldn't commit it in time. */
export const OVERLOADED = "overloaded";

/** The response of a leader that refuses a command since it couldn't commit it in time; a retry would only add to its load. */
export const overloadedResponse = failureResponse(OVERLOADED);
