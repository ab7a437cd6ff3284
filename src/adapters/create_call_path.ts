/**
 * The way of a call: from the caller's request to a home and back.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import createDebug from "debug";
import type { Polka } from "polka";
import { Agent } from "undici";
import type { NodeId } from "../core/types.ts";
import { CallOutcome } from "../rollout/state.ts";
import { chooseHome } from "../routing/choose_home.ts";
import { chooseVersion } from "../routing/choose_version.ts";
import {
  customerHeader,
  deadlineHeader,
  notRunHeader,
  versionHeader,
} from "../routing/headers.ts";
import { matchRoute, type RouteMatch } from "../routing/match_route.ts";
import {
  type CallRequest,
  readBody,
  refuseNotRun,
  sendableHeaders,
} from "./calls.ts";
import type { Control } from "./create_control.ts";
import { createHome } from "./create_home.ts";
import { isAuthorized } from "./is_authorized.ts";

const log = createDebug("lagoon:calls");

const forwardPrefix = "/forward";
const serviceHeader = "lagoon-service";
const maxAttempts = 3;

/** Options of `createCallPath`. */
export interface CreateCallPathOptions {
  readonly control: Control;
  readonly keys: readonly string[];
}

export interface CallPath {
  /** Adds the callers' routes. */
  setUpCalls(app: Polka): void;
  /** Adds the routes for calls that other nodes pass on. */
  setUpForwards(app: Polka): void;
  close(): Promise<void>;
}

type Matched = Extract<RouteMatch, { type: "matched" }>;

/** Creates the call path of a node. */
export function createCallPath(opts: CreateCallPathOptions): CallPath {
  const { control, keys } = opts;
  const home = createHome({ endpoints: () => control.membership.own });
  const agent = new Agent({ connections: 64 });
  const inFlight = new Map<NodeId, number>();

  async function takeCall(req: IncomingMessage, res: ServerResponse) {
    const serving = control.serving();
    if (serving === undefined) {
      const reason = "this node has no configuration yet";
      return refuseNotRun(res, "LAGOON_CALL_NO_CONFIG", reason);
    }
    const { service, path } = splitUrl(req.url ?? "/");
    const method = req.method ?? "GET";
    const customer = req.headers[customerHeader];
    const match = matchRoute({
      config: serving,
      customer: typeof customer === "string" ? customer : undefined,
      method,
      service,
      path: path.split("?")[0] ?? path,
    });
    if (match.type === "refused") {
      return refuseNotRun(res, match.code, match.reason, match.status);
    }
    const body = await readBody(req);
    if (body === undefined) {
      const reason = "the body is too large";
      return refuseNotRun(res, "LAGOON_CALL_TOO_LARGE", reason, 413);
    }
    const asked = Number(req.headers[deadlineHeader]);
    const leftMs = Math.min(match.route.timeoutMs, asked || Infinity);
    await tryHomes(match, {
      method,
      service,
      version: chooseVersion({
        served: match.served,
        held: control.held,
        random: Math.random(),
      }),
      path,
      headers: req.headers,
      body,
      deadlineAt: performance.now() + leftMs,
    }, res);
  }

  async function tryHomes(
    match: Matched,
    call: CallRequest,
    res: ServerResponse,
  ) {
    const tried = new Set<NodeId>();
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const to = chooseHome({
        directory: control.directory,
        service: call.service,
        version: call.version,
        inFlight,
        tried,
        random: [Math.random(), Math.random()],
      });
      if (to === undefined) break;
      tried.add(to);
      const isAnswered = await passOn(match, call, to, res);
      if (isAnswered) return;
    }
    const reason = `no home of ${call.service}@${call.version} took the call`;
    refuseNotRun(res, "LAGOON_CALL_NO_HOME", reason);
  }

  /** True when the caller has its answer, false when the call did not run. */
  async function passOn(
    match: Matched,
    call: CallRequest,
    to: NodeId,
    res: ServerResponse,
  ): Promise<boolean> {
    const startedAt = performance.now();
    inFlight.set(to, (inFlight.get(to) ?? 0) + 1);
    const abort = new AbortController();
    const timer = setTimeout(
      () => abort.abort(),
      call.deadlineAt - startedAt + 50,
    );
    res.once("close", () => abort.abort());
    const note = (outcome: CallOutcome) =>
      control.noteAnswer({
        type: "answered",
        service: call.service,
        version: call.version,
        route: match.route.name,
        outcome,
        latencyMs: performance.now() - startedAt,
      });
    try {
      const answer = await agent.request({
        origin: `http://${to}`,
        method: call.method as "GET",
        path: forwardPrefix + call.path,
        headers: {
          ...sendableHeaders(call.headers),
          ...(keys[0] === undefined
            ? {}
            : { "proxy-authorization": `Bearer ${keys[0]}` }),
          [serviceHeader]: call.service,
          [versionHeader]: call.version,
          [deadlineHeader]: String(
            Math.floor(call.deadlineAt - performance.now()),
          ),
        },
        body: call.body.length > 0 ? call.body : null,
        signal: abort.signal,
      });
      if (answer.headers[notRunHeader] === "true") {
        await answer.body.dump();
        return false;
      }
      res.writeHead(answer.statusCode, {
        ...sendableHeaders(answer.headers as IncomingMessage["headers"]),
        [versionHeader]: call.version,
      });
      await pipeline(answer.body, res);
      note(answer.statusCode >= 500 ? CallOutcome.Failed : CallOutcome.Served);
      return true;
    } catch (err) {
      note(CallOutcome.Failed);
      log("Call to %s by %s failed: %s.", call.service, to, String(err));
      if (res.headersSent) res.destroy();
      else {
        res.writeHead(502, { "content-type": "text/plain" });
        res.end(`The home ${to} failed after the call was passed on.\n`);
      }
      return true;
    } finally {
      clearTimeout(timer);
      inFlight.set(to, (inFlight.get(to) ?? 1) - 1);
    }
  }

  async function takeForward(req: IncomingMessage, res: ServerResponse) {
    if (!isAuthorized(req.headers["proxy-authorization"], keys)) {
      return refuseNotRun(res, "LAGOON_PEER_KEY", "wrong key", 401);
    }
    const body = await readBody(req);
    if (body === undefined) {
      return refuseNotRun(res, "LAGOON_CALL_TOO_LARGE", "body too large", 413);
    }
    const service = String(req.headers[serviceHeader] ?? "");
    const version = String(req.headers[versionHeader] ?? "");
    const leftMs = Number(req.headers[deadlineHeader] ?? 0);
    await home.run({
      method: req.method ?? "GET",
      service,
      version,
      path: (req.url ?? "/").slice(forwardPrefix.length) || "/",
      headers: req.headers,
      body,
      deadlineAt: performance.now() + leftMs,
    }, res);
  }

  const guard = (
    handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
  ) =>
  (req: IncomingMessage, res: ServerResponse) => {
    handle(req, res).catch((err) => {
      log("Call failed: %O.", err);
      res.destroy();
    });
  };

  return {
    setUpCalls: (app) => app.use(guard(takeCall) as never),
    setUpForwards: (app) =>
      app.use((req, res, next) => {
        if (!(req.url ?? "").startsWith(`${forwardPrefix}/`)) return next();
        guard(takeForward)(req, res);
      }),
    async close() {
      await home.close();
      await agent.close();
    },
  };
}

/** `/service/rest?query` as the service and the path below it. */
function splitUrl(url: string): { service: string; path: string } {
  const rest = url.slice(1);
  const end = rest.search(/[/?]/);
  if (end < 0) return { service: rest, path: "/" };
  const path = rest.slice(end);
  return {
    service: rest.slice(0, end),
    path: path.startsWith("?") ? `/${path}` : path,
  };
}
