/**
 * Reads a call from a caller's request or from a request that another node
 * forwarded.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  FINGERPRINT_HEADER,
  fingerprintOf,
} from "../quarantine/fingerprint_of.ts";
import { chooseVersion } from "../routing/choose_version.ts";
import {
  CUSTOMER_HEADER,
  DEADLINE_HEADER,
  HOPS_HEADER,
  IDEMPOTENCY_HEADER,
  PLAN_HEADER,
  ROUTE_HEADER,
  SERVICE_HEADER,
  VERSION_HEADER,
} from "../routing/headers.ts";
import { matchRoute, type RouteMatch } from "../routing/match_route.ts";
import { parseCallUrl } from "../routing/parse_call_url.ts";
import { parseDeadline } from "../routing/parse_deadline.ts";
import { type CallBody, MAX_HELD_BYTES, openBody } from "./call_body.ts";
import type { CallWatch, Watched } from "./call_watch.ts";
import { type CallRequest, refuseNotRun, sendableHeaders } from "./calls.ts";
import type { Control } from "./create_control.ts";
import type { HeldBodies } from "./held_bodies.ts";
import { FORWARD_PREFIX } from "./home_links.ts";
import { contentDigest } from "./run_with_claim.ts";

const MAX_KEY_CHARS = 256;

/**
 * Maximum number of times that a call is forwarded: from the entry node to a
 * gateway of another failure domain, then to a home node.
 */
const MAX_HOPS = 2;

export type ReadResult =
  | { readonly type: "read"; readonly call: CallRequest }
  | Extract<RouteMatch, { type: "refused" }>;

/** Options of `readForward`. */
export interface ReadForwardOptions {
  readonly held: HeldBodies;
  readonly watch: CallWatch;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Options of `readCall`. */
export interface ReadCallOptions extends ReadForwardOptions {
  readonly control: Control;
}

/** Checks a caller's request and reads its body when it is small. */
export async function readCall(opts: ReadCallOptions): Promise<ReadResult> {
  const { control, req } = opts;
  const config = control.serving();
  if (config === undefined) {
    const reason = "this node has no configuration yet";
    return refuse(503, "LAGOON_CALL_NO_CONFIG", reason);
  }
  const url = parseCallUrl(req.url ?? "");
  if (url.type === "refused") {
    return refuse(400, "LAGOON_CALL_URL", url.reason);
  }
  const requestedMs = parseDeadline(req.headers[DEADLINE_HEADER]);
  if (requestedMs === undefined) {
    const reason = `${DEADLINE_HEADER} is no number of milliseconds`;
    return refuse(400, "LAGOON_CALL_DEADLINE_MALFORMED", reason);
  }
  if (hasLongKey(req)) {
    const reason = `a key is longer than ${MAX_KEY_CHARS} characters`;
    return refuse(400, "LAGOON_CALL_KEY_TOO_LONG", reason);
  }
  const method = req.method ?? "GET";
  const customer = req.headers[CUSTOMER_HEADER];
  const match = matchRoute({
    config,
    customer: typeof customer === "string" ? customer : undefined,
    method,
    service: url.service,
    path: url.path,
  });
  if (match.type === "refused") return match;
  const { served, route } = match;
  const deadlineAt = performance.now() + Math.min(route.timeoutMs, requestedMs);
  const body = await readBodyInTime(opts, deadlineAt);
  if (body === undefined) return memoryRefusal;
  const headers = sendableHeaders(req.headers);
  const { service, target: path } = url;
  return {
    type: "read",
    call: {
      method,
      service,
      version: chooseVersion({
        served,
        held: control.held,
        random: Math.random(),
      }),
      route: route.name,
      plan: served.plan,
      isRepeatable: route.repeatable,
      path,
      headers,
      body,
      deadlineAt,
      hopsLeft: MAX_HOPS,
      fingerprint: fingerprintOf({
        customer: String(customer),
        service,
        method,
        path,
        content: contentDigest({ body, headers }),
      }),
    },
  };
}

/** Reads a call that another node forwarded. */
export async function readForward(
  opts: ReadForwardOptions,
): Promise<ReadResult> {
  const { req } = opts;
  const { headers } = req;
  const text = (name: string) => String(headers[name] ?? "");
  const deadlineAt = performance.now() + (Number(text(DEADLINE_HEADER)) || 0);
  const body = await readBodyInTime(opts, deadlineAt);
  if (body === undefined) return memoryRefusal;
  return {
    type: "read",
    call: {
      method: req.method ?? "GET",
      service: text(SERVICE_HEADER),
      version: text(VERSION_HEADER),
      route: text(ROUTE_HEADER).slice(2),
      plan: text(PLAN_HEADER),
      isRepeatable: text(ROUTE_HEADER).startsWith("r "),
      path: (req.url ?? "").slice(FORWARD_PREFIX.length),
      headers: sendableHeaders(headers),
      body,
      deadlineAt,
      // Limits the value of the header: a forwarded call has used at least one
      // hop.
      hopsLeft: Math.min(Number(text(HOPS_HEADER)) || 0, MAX_HOPS - 1),
      fingerprint: text(FINGERPRINT_HEADER),
    },
  };
}

function hasLongKey(req: IncomingMessage): boolean {
  return [CUSTOMER_HEADER, IDEMPOTENCY_HEADER].some((name) =>
    String(req.headers[name] ?? "").length > MAX_KEY_CHARS
  );
}

/**
 * Reads the body. Resolves with undefined when held bodies already fill the
 * memory reserved for them.
 */
async function readBodyInTime(
  opts: ReadForwardOptions,
  deadlineAt: number,
): Promise<CallBody | undefined> {
  const { req, res, watch, held } = opts;
  const length = Number(req.headers["content-length"] ?? 0);
  if (length === 0 || length > MAX_HELD_BYTES) return openBody(req, res);
  if (!held.reserve(length)) return undefined;
  res.once("close", () => held.release(length));
  const watched: Watched = {
    deadlineAt,
    progressAt: Infinity,
    overdueAt: Infinity,
    onDeadline: () => {
      watch.delete(watched);
      const reason = "the body did not come in time";
      refuseNotRun(res, "LAGOON_CALL_BODY_LATE", reason, 408);
    },
    onStalled: () => {},
    onOverdue: () => {},
  };
  watch.add(watched);
  try {
    return await openBody(req, res);
  } finally {
    watch.delete(watched);
  }
}

const memoryRefusal = refuse(
  503,
  "LAGOON_CALL_MEMORY",
  "this node holds too many bodies",
);

function refuse(
  status: number,
  code: `LAGOON_${string}`,
  reason: string,
): Extract<RouteMatch, { type: "refused" }> {
  return { type: "refused", status, code, reason };
}
