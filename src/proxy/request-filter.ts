/** The chain of filters that a request passes before it is forwarded. */
import type { Task } from "../runtime/task.js";
import type { RequestContext } from "./request-context.js";
import type { RequestOutcome } from "./request-outcome.js";

/** Runs the rest of the chain. A filter that doesn't call it ends the request with its own outcome. */
export type NextHandler = () => Task<RequestOutcome>;

/** One filter of the chain. */
export interface RequestFilter {
  handle(context: RequestContext, next: NextHandler): Task<RequestOutcome>;
}

/** Passes a request through the filters in order, then to `last`. */
export const runFilters = (
  context: RequestContext,
  filters: readonly RequestFilter[],
  last: (context: RequestContext) => Task<RequestOutcome>,
): Task<RequestOutcome> => {
  const [filter, ...rest] = filters;
  if (!filter) return last(context);
  return filter.handle(context, () => runFilters(context, rest, last));
};
