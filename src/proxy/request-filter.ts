/** The chain of filters that a request passes before it is forwarded. */
import type { Task } from "../runtime/task.js";
import type { RequestContext } from "./request-context.js";
import type { RequestOutcome } from "./request-outcome.js";

/** The rest of the chain; a filter that returns without it answers the request itself. */
export type NextHandler = () => Task<RequestOutcome>;

/** One stage of a request. */
export interface RequestFilter {
  handle(context: RequestContext, next: NextHandler): Task<RequestOutcome>;
}

/** Passes a request through the filters in their order, then to `last`. */
export const runFilters = (
  context: RequestContext,
  filters: readonly RequestFilter[],
  last: (context: RequestContext) => Task<RequestOutcome>,
): Task<RequestOutcome> => {
  const [filter, ...rest] = filters;
  if (!filter) return last(context);
  return filter.handle(context, () => runFilters(context, rest, last));
};
