/** The members of the replicated log. */
import { array, create, enums, object, string, type Infer } from "superstruct";

const membersShape = object({
  kind: enums(["members"]),
  voters: array(string()),
  learners: array(string()),
});

/** Who votes on the log and who only learns it. */
export type Members = Omit<Infer<typeof membersShape>, "kind">;

/** The members that an entry of the log sets, or undefined where it sets none. */
export const parseMembersEntry = (text: string): Members | undefined =>
  text.startsWith('{"kind":"members"') ? create(JSON.parse(text), membersShape) : undefined;
