/** The state of one request during the filter chain and its attempts. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { HeldClaim } from "./idempotency/idempotency-claims.js";
import type { ClientConnection, ProxyRequest } from "./proxy-request.js";

/** One request in progress. */
export interface RequestContext {
  readonly clientRequest: ProxyRequest;
  readonly client: ClientConnection;
  readonly arrivedMs: number;
  /** The id that the client gave the request, which backends get too. */
  readonly requestId: string | undefined;
  /** Random number from 0 up to 1 that chooses among the services of a route with split traffic. */
  readonly splitDraw: number;
  /** Set by the routing filter. */
  route: ActiveRoute | undefined;
  /** The service that serves it, set by the routing filter. A retry may change it if the configuration has changed. */
  service: string;
  /** The earlier of the client's and the route's deadline. */
  deadlineMs: number;
  /** The claim of its idempotency key, set by the idempotency filter. */
  claim: HeldClaim | undefined;
  /** Whether the streamed part of its body was sent to a backend, so that it can't be sent again. */
  isBodyConsumed: boolean;
  /** Whether the response head was sent and its body is streamed. */
  isStreaming: boolean;
  /** Whether it got its final response before its attempts ended. */
  isAbandoned: boolean;
  /** Releases the link capacity reserved for its response. Idempotent. */
  releaseBulkReservation: () => void;
}

/** The fields that are known when a request arrives. */
export type ArrivedRequest = Pick<
  RequestContext,
  "clientRequest" | "client" | "arrivedMs" | "requestId" | "splitDraw"
>;

/** Creates the context of a request before the first filter. */
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
