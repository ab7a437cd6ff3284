/**
 * Forwards calls to other nodes: to home nodes (on the endpoints' VMs) and to
 * gateways of other failure domains.
 * @module
 */
import type { ServerResponse } from "node:http";
import Pool from "undici/lib/dispatcher/pool.js";
import type { NodeId } from "../core/types.ts";
import { MAX_IN_FLIGHT } from "../routing/choose_home.ts";
import { FINGERPRINT_HEADER } from "../quarantine/fingerprint_of.ts";
import {
  DEADLINE_HEADER,
  HOPS_HEADER,
  PLAN_HEADER,
  ROUTE_HEADER,
  SERVICE_HEADER,
  VERSION_HEADER,
} from "../routing/headers.ts";
import type { CallWatch } from "./call_watch.ts";
import type { CallRequest, SentHeaders } from "./calls.ts";
import type { Attempt } from "./create_relay.ts";
import { dispatchCall } from "./dispatch_call.ts";
import { dispatchUpload } from "./dispatch_upload.ts";

/** Path prefix of calls between nodes. */
export const FORWARD_PREFIX = "/forward";

/**
 * Added to the deadline of a forwarded call at the node that forwards it. The
 * home node therefore ends a late call first, and its answer still arrives.
 */
const DEADLINE_GRACE_MS = 50;

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** Options of `createHomeLinks`. */
export interface CreateHomeLinksOptions {
  readonly keys: readonly string[];
  readonly watch: CallWatch;
}

/** Options of `HomeLinks.forward`. */
export interface ForwardOptions {
  readonly to: NodeId;
  readonly call: CallRequest;
  readonly res: ServerResponse;
  /** How many more times the receiver may forward the call. */
  readonly hopsLeft: number;
  readonly overdueMs: number;
  readonly onOverdue: () => void;
}

export interface HomeLinks {
  forward(opts: ForwardOptions): Attempt;
  /** Closes the connections to a node that receives no more calls. */
  drop(to: NodeId): void;
  close(): Promise<void>;
}

/** Creates the links. The first call to a node creates its connection pool. */
export function createHomeLinks(opts: CreateHomeLinksOptions): HomeLinks {
  const { keys, watch } = opts;
  const pools = new Map<NodeId, Pool>();
  const auth: SentHeaders = keys[0] === undefined
    ? {}
    : { "proxy-authorization": `Bearer ${keys[0]}` };

  function poolOf(to: NodeId): Pool {
    const known = pools.get(to);
    if (known !== undefined) return known;
    const pool = new Pool(`http://${to}`, {
      connections: MAX_IN_FLIGHT,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    pools.set(to, pool);
    return pool;
  }

  return {
    forward({ to, call, res, hopsLeft, overdueMs, onOverdue }) {
      const leftMs = call.deadlineAt - performance.now();
      const common = {
        watch,
        res,
        method: call.method,
        path: FORWARD_PREFIX + call.path,
        headers: {
          ...call.headers,
          ...auth,
          [SERVICE_HEADER]: call.service,
          [VERSION_HEADER]: call.version,
          [PLAN_HEADER]: call.plan,
          [ROUTE_HEADER]: `${call.isRepeatable ? "r" : "n"} ${call.route}`,
          [HOPS_HEADER]: String(hopsLeft),
          [FINGERPRINT_HEADER]: call.fingerprint,
          [DEADLINE_HEADER]: String(Math.max(1, Math.floor(leftMs))),
        },
        deadlineAt: call.deadlineAt + DEADLINE_GRACE_MS,
        isPeer: true,
        extra: () => ({ [VERSION_HEADER]: call.version }),
        overdueMs,
        onOverdue,
        ...(call.capture === undefined ? {} : { capture: call.capture }),
      };
      const { body } = call;
      return body.type === "streamed"
        ? dispatchUpload({ ...common, to, body })
        : dispatchCall({ ...common, pool: poolOf(to), body });
    },
    drop(to) {
      pools.get(to)?.close();
      pools.delete(to);
    },
    async close() {
      await Promise.all([...pools.values()].map((pool) => pool.close()));
    },
  };
}
