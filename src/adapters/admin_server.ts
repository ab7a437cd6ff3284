/**
 * The operators' port: lists, edits, status, and upstreams' announcements.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Polka } from "polka";
import * as v from "valibot";
import { RecordKind } from "../config_log/messages.ts";
import { parseEnvelope } from "../config_log/parse_envelope.ts";
import type { ConfigState, Verdict } from "../config_log/state.ts";
import { EndpointState } from "../core/types.ts";
import { entryOfRow } from "../lists/entry_of_row.ts";
import { nameSchema } from "../lists/schemas.ts";
import { readBody } from "./calls.ts";
import type { Control } from "./create_control.ts";
import { isAuthorized } from "./is_authorized.ts";

const maxSlots = 10_000;

const announcementSchema = v.strictObject({
  endpoint: v.pipe(v.string(), v.regex(/^[^\s/]+:\d{1,5}$/)),
  service: nameSchema,
  version: nameSchema,
  slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxSlots)),
  connections: v.pipe(v.number(), v.integer(), v.minValue(1)),
  state: v.picklist(Object.values(EndpointState)),
  load: v.pipe(v.number(), v.minValue(0)),
  healthy: v.boolean(),
});

/** Options of `setUpAdmin`. */
export interface SetUpAdminOptions {
  readonly app: Polka;
  readonly control: Control;
  readonly keys: readonly string[];
  readonly domain: string;
  readonly nodeId: string;
}

/** Adds the operators' routes. */
export function setUpAdmin(opts: SetUpAdminOptions) {
  const { app, control, keys } = opts;
  app.use((req, res, next) => {
    if (isAuthorized(req.headers.authorization, keys)) return next();
    sendError(res as ServerResponse, 401, "LAGOON_ADMIN_KEY", "wrong key");
  });
  app.get(
    "/v1/lists",
    (_req, res) => send(res, 200, listsOf(control.config())),
  );
  app.get("/v1/status", (_req, res) => send(res, 200, statusOf(opts)));
  app.get("/v1/rollouts", (_req, res) => {
    send(res, 200, { rollouts: [...control.config().rollouts.values()] });
  });
  app.get("/v1/audit", (_req, res) => {
    send(res, 200, { entries: control.config().audit });
  });
  app.post("/v1/edits", (req, res) => takeEdit(opts, req, res));
  app.post("/v1/reinstatements", (req, res) => takeReinstate(opts, req, res));
  app.put("/v1/announcements", (req, res) => takeAnnouncement(opts, req, res));
}

function listsOf(config: ConfigState) {
  return {
    version: config.version,
    customers: [...config.customers.values()].map((row) => ({
      revision: row.revision,
      entry: row.entry,
    })),
    uses: [...config.uses.values()].map((row) => ({
      revision: row.revision,
      entry: entryOfRow(row),
    })),
  };
}

/** Versions in force, by failure domain, as this node knows them. */
function statusOf(opts: SetUpAdminOptions) {
  const { control, domain } = opts;
  const { membership } = control;
  const rows = [...membership.members.values()].map((known) => known.row);
  const others = [...membership.summaries.values()].map(({ summary }) => ({
    domain: summary.domain,
    nodes: summary.nodes,
    applied: summary.applied,
  }));
  const own = {
    domain,
    nodes: rows.length,
    applied: Math.min(...rows.map((row) => row.applied)),
  };
  const serving = control.serving();
  return {
    node: opts.nodeId,
    version: control.config().version,
    applied: serving?.version ?? 0,
    next: control.config().next,
    digest: control.config().digest,
    inactive: [...serving?.inactive ?? []],
    domains: [own, ...others],
    members: rows.map((row) => ({ node: row.info.id, applied: row.applied })),
  };
}

async function takeEdit(
  opts: SetUpAdminOptions,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const body = await readJson(req) as Record<string, unknown>;
  const record = { ...body, kind: RecordKind.Edit };
  await submitChecked(opts, record, res);
}

async function takeReinstate(
  opts: SetUpAdminOptions,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const body = await readJson(req) as Record<string, unknown>;
  const record = { ...body, kind: RecordKind.Reinstate };
  await submitChecked(opts, record, res);
}

/** Checks a record as the fold will, so that nonsense never reaches the log. */
async function submitChecked(
  opts: SetUpAdminOptions,
  record: unknown,
  res: ServerResponse,
) {
  const envelope = { writer: "check", seq: 1, at: "", record };
  const checked = parseEnvelope(JSON.stringify(envelope));
  if (checked.isErr()) {
    return sendError(res, 400, checked.error.code, checked.error.message);
  }
  const verdict = await opts.control.submit(checked.value.record);
  send(res, statusOfVerdict(verdict), verdict);
}

function statusOfVerdict(verdict: Verdict): number {
  return verdict.type === "refused" ? 409 : 200;
}

async function takeAnnouncement(
  opts: SetUpAdminOptions,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const parsed = v.safeParse(announcementSchema, await readJson(req));
  if (!parsed.success) {
    const path = v.getDotPath(parsed.issues[0]) ?? "announcement";
    const message = `${path}: ${parsed.issues[0].message}`;
    return sendError(res, 400, "LAGOON_ANNOUNCEMENT_MALFORMED", message);
  }
  opts.control.announce(parsed.output);
  send(res, 200, { domain: opts.domain, home: opts.nodeId });
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req);
  try {
    return JSON.parse(body?.toString() ?? "");
  } catch {
    return {};
  }
}

function sendError(
  res: ServerResponse,
  status: number,
  code: string,
  message: string,
) {
  send(res, status, { code, message });
}

function send(res: ServerResponse, status: number, body: unknown) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(`${JSON.stringify(body)}\n`);
}
