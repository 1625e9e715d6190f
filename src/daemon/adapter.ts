/** The interface of a platform adapter, which translates between daledoor's HTTP formats and those of a platform. */
import type { HeaderNames } from "../proxy/header-names.js";
import type { ProxyRequest } from "../proxy/proxy-request.js";
import type { ClientResponse } from "../proxy/request-outcome.js";

/** An admin request in daledoor's format, with the translation of its response. */
export interface TranslatedRequest {
  readonly clientRequest: ProxyRequest;
  /** The response in the platform's format. */
  translateResponse(response: ClientResponse): ClientResponse;
}

/** Translates for a platform with formats of its own; it makes no decisions. */
export interface Adapter {
  /** The headers exchanged with clients and backends. */
  readonly headerNames: HeaderNames;
  /** Translates admin requests and readiness checks; a response where a request can't be translated. */
  readonly control: {
    translateRequest(clientRequest: ProxyRequest): TranslatedRequest | ClientResponse;
  };
}
