/** The state of one request while it passes through the filters and its attempts. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { HeldClaim } from "./idempotency/idempotency-claims.js";
import type { ClientConnection, ProxyRequest } from "./proxy-request.js";

/** One request in progress. */
export interface RequestContext {
  readonly clientRequest: ProxyRequest;
  readonly client: ClientConnection;
  readonly arrivedMs: number;
  /** The request's name toward backends, where the client gave it one. */
  readonly requestId: string | undefined;
  /** From 0 up to 1; chooses among the services of a route with split traffic. */
  readonly splitDraw: number;
  /** Set by the routing filter. */
  route: ActiveRoute | undefined;
  /** The service that serves it, set by the routing filter; a retry may change it after a change of the configuration. */
  service: string;
  /** The earlier of the client's and the route's deadline. */
  deadlineMs: number;
  /** The claim of its idempotency key, set by the idempotency filter. */
  claim: HeldClaim | undefined;
  /** The streamed part of its body went to a backend and can't be sent again. */
  isBodyConsumed: boolean;
  /** The response's head was sent and its body is being streamed. */
  isStreaming: boolean;
  /** It got its final response before its attempts ended. */
  isAbandoned: boolean;
  /** Ends the reservation of link capacity for its response; may be called more than once. */
  releaseBulkReservation: () => void;
}

/** What is known of a request when it arrives. */
export type ArrivedRequest = Pick<
  RequestContext,
  "clientRequest" | "client" | "arrivedMs" | "requestId" | "splitDraw"
>;

/** The context of a request that just arrived, before any filter. */
export const newRequestContext = (arrived: ArrivedRequest): RequestContext => ({
  ...arrived,
  route: undefined,
  service: "",
  deadlineMs: Infinity,
  claim: undefined,
  isBodyConsumed: false,
  isStreaming: false,
  isAbandoned: false,
  releaseBulkReservation: () => undefined,
});
