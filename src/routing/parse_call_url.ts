/**
 * Splits a call's URL into service and path, and refuses ambiguous paths.
 * @module
 */

export type CallUrl =
  | {
    readonly type: "parsed";
    readonly service: string;
    /** Path below the service with its query, as the caller wrote it. */
    readonly target: string;
    /** Decoded path without a query, for matching routes. */
    readonly path: string;
  }
  | { readonly type: "refused"; readonly reason: string };

const MAX_URL_LENGTH = 8_192;
const SERVICE_PATTERN = /^[A-Za-z0-9._-]+$/;
const ENCODED_SEPARATOR = /%(2f|5c|00)/i;

/** Parses `/service/rest?query`. */
export function parseCallUrl(url: string): CallUrl {
  if (url.length > MAX_URL_LENGTH) return refuse("the URL is too long");
  if (!url.startsWith("/")) return refuse("the URL is not a path");
  const end = url.indexOf("?");
  const fullPath = end < 0 ? url : url.slice(0, end);
  const query = end < 0 ? "" : url.slice(end);
  const slash = fullPath.indexOf("/", 1);
  const service = fullPath.slice(1, slash < 0 ? undefined : slash);
  if (!SERVICE_PATTERN.test(service) || /^\.+$/.test(service)) {
    return refuse("the URL names no service");
  }
  const path = slash < 0 ? "/" : fullPath.slice(slash);
  const decoded = path.includes("%") ? decode(path) : path;
  if (decoded === undefined || isAmbiguous(decoded)) {
    return refuse("the path is ambiguous");
  }
  return { type: "parsed", service, target: path + query, path: decoded };
}

/**
 * Decodes the path. Returns undefined when an escape is malformed or encodes a
 * separator or NUL.
 */
function decode(path: string): string | undefined {
  if (ENCODED_SEPARATOR.test(path)) return undefined;
  try {
    return decodeURIComponent(path);
  } catch {
    return undefined;
  }
}

/** Returns whether an upstream might interpret the path as a different path. */
function isAmbiguous(path: string): boolean {
  if (path.includes("\\") || path.includes("#")) return true;
  // An upstream that decodes twice would see a different path.
  if (/%[0-9a-f]{2}/i.test(path)) return true;
  return path.includes("//") || /\/\.{1,2}(\/|;|$)/.test(path);
}

function refuse(reason: string): CallUrl {
  return { type: "refused", reason };
}
