/** Removal of the headers that belong to a single connection (RFC 9110, section 7.6.1) or to the proxy itself. */

/** Prefix of the headers that only the proxy may set. */
const RESERVED_HEADER_PREFIX = "x-daledoor-";

/** Headers that belong to one connection and are never forwarded; the proxy states lengths itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
  "proxy-connection",
]);

/** The headers that the `Connection` header declares as hop-by-hop too. */
const connectionOptions = (headers: Record<string, string>): ReadonlySet<string> | undefined => {
  const options = headers["connection"];
  if (options === undefined) return undefined;
  return new Set(
    options
      .toLowerCase()
      .split(",")
      .map((name) => name.trim()),
  );
};

/** A copy of the headers without those that must not be forwarded; names are in lower case. */
export const endToEndHeaders = (headers: Record<string, string>): Record<string, string> => {
  const forwarded: Record<string, string> = {};
  const options = connectionOptions(headers);
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || name.startsWith(RESERVED_HEADER_PREFIX)) continue;
    if (options?.has(name)) continue;
    forwarded[name] = value;
  }
  return forwarded;
};
