/** Forwards a backend's response to the client: small ones buffered and whole, large ones streamed. */
import type { ActiveRoute } from "../cluster-view/active-route.js";
import type { ClusterView } from "../cluster-view/cluster-view.js";
import type { Logger } from "../runtime/logger.js";
import type { Task } from "../runtime/task.js";
import type { Registration } from "../state/registration.js";
import type { BulkAdmission } from "./bulk-admission.js";
import type { HeaderNames } from "./header-names.js";
import { endToEndHeaders } from "./hop-by-hop-headers.js";
import { createFailureOutcome, getOutcomeRule, type FailureCause } from "./outcome-rules.js";
import type { RequestContext } from "./request-context.js";
import { type RequestOutcome, forwardedOutcome } from "./request-outcome.js";
import { RETRY_AFTER_MS } from "./retry-after.js";
import type { BackendResponse } from "./upstream/backend-client.js";
import { responseBodyFraming, findResponseHeadFault } from "./upstream/response-validation.js";

/** Responses up to this size are buffered whole before they are forwarded. */
export const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024;

/** The attempt that a response belongs to. */
export interface ResponseTarget {
  readonly context: RequestContext;
  readonly route: ActiveRoute;
  readonly registration: Registration;
  /** The request's name toward the backend, which the response must repeat. */
  readonly requestId: string;
}

/** A response whose head was accepted. */
interface AcceptedResponse {
  readonly response: BackendResponse;
  /** The headers that the client gets. */
  readonly headers: Record<string, string>;
  /** The body's length where it is stated; undefined where its chunks end it. */
  readonly lengthBytes: number | undefined;
  /** It has no body, whatever its headers say. */
  readonly isBodiless: boolean;
}

/** What the response forwarder depends on. */
export interface ResponseForwarderOptions {
  readonly clusterView: ClusterView;
  readonly bulkAdmission: BulkAdmission;
  readonly headerNames: HeaderNames;
  readonly log: Logger;
}

/** Validates responses and forwards them. */
export class ResponseForwarder {
  private readonly options: ResponseForwarderOptions;

  constructor(options: ResponseForwarderOptions) {
    this.options = options;
  }

  /** Forwards a response, or refuses it where it is no valid answer to the request. */
  *forward(response: BackendResponse, target: ResponseTarget): Task<RequestOutcome> {
    const { headerNames } = this.options;
    const { context, route, registration, requestId } = target;
    const echoHeader =
      headerNames.proof === "connection" ? route.stampHeader : headerNames.requestIdEcho;
    const fault = findResponseHeadFault(response, { headerNames, requestId, echoHeader });
    if (response.headers[echoHeader] === undefined) response.markUnidentified?.();
    if (fault !== undefined) return yield* this.refuse(response, registration, fault);
    const end = responseBodyFraming(context.clientRequest.method, response);
    if (end === "unknown") return yield* this.refuse(response, registration, "noLength");
    const isBodiless = end === "bodiless";
    const headers = endToEndHeaders(response.headers);
    if (headerNames.proof === "connection") delete headers[route.stampHeader];
    const lengthBytes = isBodiless ? 0 : end === "chunked" ? undefined : end.lengthBytes;
    const accepted = { response, headers, lengthBytes, isBodiless };
    if (lengthBytes !== undefined && lengthBytes > MAX_BUFFERED_RESPONSE_BYTES)
      return yield* this.stream(context, accepted, []);
    return yield* this.buffer(context, accepted);
  }

  /** Reads a body whole before it is forwarded; streams it once it proves too large. */
  private *buffer(context: RequestContext, accepted: AcceptedResponse): Task<RequestOutcome> {
    const { response, lengthBytes, isBodiless } = accepted;
    const chunks: Uint8Array[] = [];
    let bufferedBytes = 0;
    for (;;) {
      const chunk = yield* response.nextChunk();
      if (typeof chunk === "string" && isBodiless) break;
      if (chunk === "cut") return createFailureOutcome("bodyCut", RETRY_AFTER_MS.soon);
      if (chunk === "end") {
        if (lengthBytes !== undefined && bufferedBytes !== lengthBytes)
          return createFailureOutcome("bodyCut", RETRY_AFTER_MS.soon);
        break;
      }
      bufferedBytes += chunk.length;
      if (lengthBytes !== undefined && bufferedBytes > lengthBytes)
        return this.discard(response, "bodyTooLong");
      chunks.push(chunk);
      if (bufferedBytes > MAX_BUFFERED_RESPONSE_BYTES)
        return yield* this.stream(context, accepted, chunks);
    }
    return this.bufferedOutcome(accepted, chunks);
  }

  private bufferedOutcome(
    { response, headers, isBodiless }: AcceptedResponse,
    chunks: readonly Uint8Array[],
  ): RequestOutcome {
    const contentLength = response.headers["content-length"];
    if (isBodiless && contentLength !== undefined && response.code !== 204)
      headers["content-length"] = contentLength;
    const [first] = chunks;
    const body = chunks.length === 1 && first ? first : Buffer.concat(chunks);
    return forwardedOutcome({ code: response.code, headers, body });
  }

  /** Forwards a body as it arrives, first what was buffered of it; cuts the client's connection where it fails. */
  private *stream(
    context: RequestContext,
    { response, headers, lengthBytes }: AcceptedResponse,
    buffered: readonly Uint8Array[],
  ): Task<RequestOutcome> {
    const { client } = context;
    if (context.isAbandoned) return this.discard(response, "answered");
    context.isStreaming = true;
    context.releaseBulkReservation();
    client.writeHead(
      response.code,
      lengthBytes === undefined ? headers : { ...headers, "content-length": String(lengthBytes) },
    );
    const pending = [...buffered];
    let sentBytes = 0;
    for (;;) {
      const chunk = pending.shift() ?? (yield* response.nextChunk());
      if (chunk === "cut") return this.cutStream(context, response);
      if (chunk === "end") {
        if (lengthBytes !== undefined && sentBytes !== lengthBytes)
          return this.cutStream(context, response);
        return this.endStream(context, sentBytes);
      }
      if (lengthBytes !== undefined && sentBytes + chunk.length > lengthBytes)
        return this.cutStream(context, response);
      if (!(yield* client.writeChunk(chunk))) return this.cutStream(context, response);
      sentBytes += chunk.length;
    }
  }

  private endStream({ client, route }: RequestContext, sentBytes: number): RequestOutcome {
    client.end();
    this.options.bulkAdmission.recordSize(route?.name ?? "", sentBytes);
    return { execution: getOutcomeRule("streamed").execution, response: "streamed", reason: "" };
  }

  private cutStream({ client, route }: RequestContext, response: BackendResponse): RequestOutcome {
    response.cancel();
    client.abort();
    this.options.log.warn("response cut short", { route: route?.name });
    return { execution: getOutcomeRule("streamCut").execution, response: "cut", reason: "" };
  }

  /** Refuses a response. Its connection is reused once the rest of it arrived, where the cause allows that. */
  private *refuse(
    response: BackendResponse,
    registration: Registration,
    cause: FailureCause,
  ): Task<RequestOutcome> {
    if (cause === "otherInstance") this.options.clusterView.markRefused(registration);
    if (getOutcomeRule(cause).connection !== "keep") return this.discard(response, cause);
    let chunk = yield* response.nextChunk();
    while (typeof chunk !== "string") chunk = yield* response.nextChunk();
    return createFailureOutcome(cause, RETRY_AFTER_MS.soon);
  }

  private discard(response: BackendResponse, cause: FailureCause): RequestOutcome {
    response.cancel();
    return createFailureOutcome(cause, RETRY_AFTER_MS.soon);
  }
}
