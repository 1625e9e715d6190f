/** Removal of the headers that belong to a single connection (RFC 9110, section 7.6.1) or to the proxy itself. */

/** Prefix of the headers that only the proxy may set. */
const RESERVED_HEADER_PREFIX = "x-daledoor-";

/** Headers that apply to one connection and are never forwarded. The proxy sets `content-length` itself. */
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

/** The names that the `Connection` header declares as hop-by-hop. */
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

/** Copies the headers that may be forwarded. Names are in lower case. */
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
