/** The members of the replicated log, as log entries store them. */
import { array, create, enums, object, string, type Infer } from "superstruct";

const membersShape = object({
  kind: enums(["members"]),
  voters: array(string()),
  learners: array(string()),
});

/** The voters, and the learners, which receive the log without voting. */
export type Members = Omit<Infer<typeof membersShape>, "kind">;

/** Parses the text of a log entry that sets the members; `undefined` for any other entry. */
export const parseMembersEntry = (text: string): Members | undefined =>
  text.startsWith('{"kind":"members"') ? create(JSON.parse(text), membersShape) : undefined;
