/** The third filter: keeps requests on one client connection in order where they must not run twice. */
import type { Task } from "../runtime/task.js";
import type { RequestContext } from "./request-context.js";
import type { NextHandler, RequestFilter } from "./request-filter.js";
import { type RequestOutcome, unavailableOutcome } from "./request-outcome.js";
import { RETRY_AFTER_MS } from "./retry-after.js";

/**
 * Delays a request that must run at most once until all pipelined before it are answered: a response that closes the
 * connection would let its client take the request for unread and send it again.
 */
export class PipeliningFilter implements RequestFilter {
  *handle({ route, client }: RequestContext, next: NextHandler): Task<RequestOutcome> {
    const isRepeatable = route?.repeatable === true;
    if (!isRepeatable && client.awaitEarlierResponses && !(yield* client.awaitEarlierResponses()))
      return unavailableOutcome(
        "The answer before this one closed the connection.",
        RETRY_AFTER_MS.otherDaemon,
      );
    return yield* next();
  }
}
