/**
 * Builds the message that describes a request to a home node.
 * @module
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { CallAccount } from "../accounts/state.ts";
import type { HeaderList, OfferedCall } from "../calls/state.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Route } from "../routes/state.ts";
import type { RequestBody } from "./request_body.ts";
import type { CheckedCall } from "../quarantine/fingerprint_of.ts";
import type { CallContext } from "./state.ts";

/** Bodies up to this size are sent within the message of the attempt. */
export const INLINE_BODY_BYTES = 4_096;

/** Options of `describeCall`. */
export interface DescribeCallOptions {
  readonly ctx: CallContext;
  readonly req: IncomingMessage;
  readonly id: string;
  /** End-to-end headers of the request. */
  readonly headers: HeaderList;
  readonly service: string;
  readonly route: Route;
  readonly isNested: boolean;
  readonly body: RequestBody | undefined;
  readonly node: NodeId;
  readonly deadlineAt: MonotonicMs;
  readonly objectiveAt: MonotonicMs;
  readonly mayBeLate: boolean;
  readonly crashes: number;
  readonly account: CallAccount | undefined;
  /** Id of the parent call, if the endpoint on this VM runs it. */
  readonly parentId: string | undefined;
  readonly deadlineRatio: number | undefined;
  readonly isRetry: boolean;
}

/**
 * Includes a small body. A larger body is sent after the home node admits the
 * call.
 */
export function describeCall(opts: DescribeCallOptions): OfferedCall {
  const { ctx, route, body } = opts;
  const checked = describeChecked(opts);
  const isInline = checked.body !== undefined &&
    checked.body.length <= INLINE_BODY_BYTES;
  const now = ctx.now();
  // Field by field: a spread is slow, and each call passes here.
  return {
    id: opts.id,
    method: checked.method,
    target: checked.target,
    headers: opts.headers,
    service: checked.service,
    version: ctx.fleet.rows.get(opts.node)?.row.endpoint?.version ?? "",
    route: route.name,
    urgency: route.urgency,
    isNested: opts.isNested,
    callerService: checked.callerService,
    leftMs: opts.deadlineAt - now,
    objectiveLeftMs: opts.objectiveAt - now,
    mayBeLate: opts.mayBeLate,
    body: isInline ? checked.body : undefined,
    bodyBytes: body?.declaredBytes,
    crashes: opts.crashes,
    account: opts.account,
    parentUsedMs: opts.parentId === undefined
      ? undefined
      : Math.round(ctx.runMsOf(opts.parentId)),
    deadlineRatio: opts.deadlineRatio,
    isRetry: opts.isRetry,
  };
}

/** Describes what a request is recognized by when it comes again. */
export function describeChecked(
  opts: Pick<DescribeCallOptions, "ctx" | "req" | "service" | "body">,
): CheckedCall {
  const { ctx, req, service, body } = opts;
  return {
    method: req.method ?? "GET",
    target: req.url ?? "/",
    service,
    callerService: ctx.service,
    body: body === undefined ? Buffer.alloc(0) : body.complete(),
  };
}
