/** The third filter: runs the requests of one client connection in order if they must run at most once. */
import type { Task } from "../runtime/task.js";
import type { RequestContext } from "./request-context.js";
import type { NextHandler, RequestFilter } from "./request-filter.js";
import { type RequestOutcome, unavailableOutcome } from "./request-outcome.js";
import { RETRY_AFTER_MS } from "./retry-after.js";

/**
 * Delays a request that must run at most once until all requests pipelined before it are answered. If an earlier response
 * closed the connection, the client would assume that the request was not read and send it again.
 */
export class PipeliningFilter implements RequestFilter {
  *handle({ route, client }: RequestContext, next: NextHandler): Task<RequestOutcome> {
    const isRepeatable = route?.repeatable === true;
    if (!isRepeatable && client.awaitEarlierResponses && !(yield* client.awaitEarlierResponses()))
      return unavailableOutcome(
        "An earlier response on this connection closed it.",
        RETRY_AFTER_MS.otherDaemon,
      );
    return yield* next();
  }
}
