import type { HeaderNames } from "../proxy/header-names.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";

/** A request in the product's own words, and the way back to those of whoever sent it. */
export interface TranslatedRequest {
  readonly clientRequest: ProxyRequest;
  back(response: ClientResponse): ClientResponse;
}

/** Where the product meets a platform that has words of its own; it translates and decides nothing. */
export interface Adapter {
  /** The headers of callers and back ends. */
  readonly headerNames: HeaderNames;
  /** What operators, back ends and whoever asks for readiness say; a return where it can't be understood. */
  readonly control: { into(clientRequest: ProxyRequest): TranslatedRequest | ClientResponse };
}
