/**
 * The admin interface: lists, edits, status, and announcements of upstreams.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import createDebug from "debug";
import type { Polka } from "polka";
import * as v from "valibot";
import { RecordKind } from "../config_log/messages.ts";
import { leaseNameOf } from "../config_log/rollout_rows.ts";
import { parseEnvelope } from "../config_log/parse_envelope.ts";
import type { ConfigState, SubmitOutcome } from "../config_log/state.ts";
import { exhausted } from "../core/exhausted.ts";
import { EndpointState } from "../core/types.ts";
import { entryOfRow } from "../lists/entry_of_row.ts";
import { nameSchema } from "../lists/schemas.ts";
import {
  MAX_EDIT_BYTES,
  MAX_SMALL_BODY_BYTES,
  readJson,
  send,
  sendError,
} from "./admin_json.ts";
import { statusOf } from "./admin_status.ts";
import type { Control } from "./create_control.ts";
import { isAuthorized } from "./is_authorized.ts";
import type { NodeUsage } from "./node_usage.ts";

const log = createDebug("lagoon:admin");

/** Maximum number of slots that an upstream may announce. */
const MAX_SLOTS = 10_000;

const announcementSchema = v.strictObject({
  endpoint: v.pipe(v.string(), v.regex(/^[^\s/]+:\d{1,5}$/)),
  service: nameSchema,
  version: nameSchema,
  slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_SLOTS)),
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
  readonly usage: () => NodeUsage;
}

type Handle = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Adds the routes of the admin interface. */
export function setUpAdmin(opts: SetUpAdminOptions) {
  const { app, control, keys } = opts;
  app.use((req, res, next) => {
    if (isAuthorized(req.headers.authorization, keys)) return next();
    const error = { code: "LAGOON_ADMIN_KEY", message: "wrong key" } as const;
    sendError(res as ServerResponse, 401, error);
  });
  app.get(
    "/v1/lists",
    (_req, res) => send(res, 200, listsOf(control.config())),
  );
  app.get("/v1/usage", (_req, res) => send(res, 200, opts.usage()));
  app.get("/v1/status", (_req, res) => send(res, 200, statusOf(opts)));
  app.get("/v1/rollouts", (_req, res) => {
    send(res, 200, { rollouts: [...control.config().rollouts.values()] });
  });
  app.get("/v1/rollouts/:id/history", (req, res) => {
    sendHistory(control, String(req.params["id"]), res);
  });
  app.get("/v1/audit", (_req, res) => {
    send(res, 200, { entries: control.config().audit });
  });
  app.post("/v1/edits", guard((req, res) => handleEdit(opts, req, res)));
  app.post(
    "/v1/reinstatements",
    guard((req, res) => handleReinstatement(opts, req, res)),
  );
  app.put(
    "/v1/announcements",
    guard((req, res) => handleAnnouncement(opts, req, res)),
  );
  // Polka's default 404 answer is plain text.
  app.all("*", (req, res) => {
    const message = `there is no ${req.method} ${req.path}`;
    sendError(res, 404, { code: "LAGOON_ADMIN_PATH", message });
  });
}

/** Sends the evidence that this node collected while it led the rollout. */
function sendHistory(control: Control, param: string, res: ServerResponse) {
  const id = decodeParam(param);
  if (!control.config().rollouts.has(id)) {
    const code = "LAGOON_ROLLOUT_UNKNOWN";
    const message = `no rollout ${id} is on record`;
    return sendError(res, 404, { code, message });
  }
  const holder = control.config().leases.get(leaseNameOf(id))?.holder;
  const points = control.rolloutHistory(id);
  send(res, 200, { ...(holder === undefined ? {} : { holder }), points });
}

/** Decodes a path parameter, which Polka leaves encoded. */
function decodeParam(param: string): string {
  try {
    return decodeURIComponent(param);
  } catch {
    return param;
  }
}

/** Catches errors: a client that disconnects must not end the process. */
function guard(handle: Handle) {
  return (req: IncomingMessage, res: ServerResponse) => {
    handle(req, res).catch((err) => {
      log("%s %s failed: %s.", req.method, req.url, String(err));
      res.destroy();
    });
  };
}

/**
 * Returns whether a list names the service. Without a configuration the lists
 * are unknown, so every service is accepted.
 */
function isListed(config: ConfigState, service: string): boolean {
  if (config.version === 0) return true;
  for (const row of config.uses.values()) {
    if (row.service === service) return true;
  }
  return false;
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

async function handleEdit(
  opts: SetUpAdminOptions,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const body = await readJson(req, MAX_EDIT_BYTES);
  if (body.isErr()) return sendError(res, body.error.status, body.error.error);
  await submitChecked(opts, { ...body.value, kind: RecordKind.Edit }, res);
}

async function handleReinstatement(
  opts: SetUpAdminOptions,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const body = await readJson(req, MAX_SMALL_BODY_BYTES);
  if (body.isErr()) return sendError(res, body.error.status, body.error.error);
  const record = { ...body.value, kind: RecordKind.Reinstate };
  await submitChecked(opts, record, res);
}

/**
 * Validates a record as the fold does and submits it. Only valid records reach
 * the log.
 */
async function submitChecked(
  opts: SetUpAdminOptions,
  record: unknown,
  res: ServerResponse,
) {
  const envelope = { writer: "check", seq: 1, at: "", record };
  const checked = parseEnvelope(JSON.stringify(envelope));
  if (checked.isErr()) return sendError(res, 400, checked.error);
  const outcome = await opts.control.submit(checked.value.record);
  send(res, statusOfOutcome(outcome), outcome);
}

function statusOfOutcome(outcome: SubmitOutcome): number {
  switch (outcome.type) {
    case "accepted":
    case "repeated":
      return 200;
    case "refused":
      return 409;
    case "unsettled":
      return outcome.mayTakeEffect ? 504 : 503;
    default:
      return exhausted(outcome);
  }
}

async function handleAnnouncement(
  opts: SetUpAdminOptions,
  req: IncomingMessage,
  res: ServerResponse,
) {
  const body = await readJson(req, MAX_SMALL_BODY_BYTES);
  if (body.isErr()) return sendError(res, body.error.status, body.error.error);
  const parsed = v.safeParse(announcementSchema, body.value);
  if (!parsed.success) {
    const path = v.getDotPath(parsed.issues[0]) ?? "announcement";
    const message = `${path}: ${parsed.issues[0].message}`;
    const code = "LAGOON_ANNOUNCEMENT_MALFORMED";
    return sendError(res, 400, { code, message });
  }
  const { service } = parsed.output;
  if (!isListed(opts.control.config(), service)) {
    const message = `no list names service ${service}`;
    const code = "LAGOON_ANNOUNCEMENT_UNLISTED";
    return sendError(res, 404, { code, message });
  }
  opts.control.announce(parsed.output);
  send(res, 200, { domain: opts.domain, home: opts.nodeId });
}
