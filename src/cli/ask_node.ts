/**
 * Sends the request of a command to a node's operators' port.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { callAdmin } from "../adapters/admin_client.ts";
import type { LagoonError } from "../core/errors.ts";
import type { CommandContext } from "./command.ts";

/** Options of `askNode`. */
export interface AskNodeOptions<T extends v.GenericSchema> {
  readonly context: CommandContext;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
  /** Schema of the answers whose HTTP status is in `expectedStatuses`. */
  readonly schema: T;
  readonly expectedStatuses: readonly number[];
}

const errorSchema = v.object({ code: v.string(), message: v.string() });

/** Returns the validated answer, or an error that names the node. */
export async function askNode<T extends v.GenericSchema>(
  opts: AskNodeOptions<T>,
): Promise<Result<v.InferOutput<T>, LagoonError>> {
  const { values } = opts.context;
  const node = values.get("node") ?? "";
  const key = values.get("key");
  const reply = await callAdmin({
    node,
    method: opts.method,
    path: opts.path,
    ...(key === undefined ? {} : { key }),
    ...(opts.body === undefined ? {} : { body: opts.body }),
  });
  if (reply.isErr()) return err(reply.error);
  const { status, body } = reply.value;
  const step = `${opts.method} ${opts.path}`;
  if (!opts.expectedStatuses.includes(status)) {
    return err(createRefusalError(step, node, status, body));
  }
  const parsed = v.safeParse(opts.schema, body);
  if (parsed.success) return ok(parsed.output);
  const path = v.getDotPath(parsed.issues[0]) ?? "answer";
  return err({
    code: "LAGOON_NODE_ANSWER",
    step,
    peer: node,
    message: `${path}: ${parsed.issues[0].message}`,
    hint: "Check that --node is the operators' port of a node of this version.",
  });
}

function createRefusalError(
  step: string,
  peer: string,
  status: number,
  body: unknown,
): LagoonError {
  const parsedError = v.safeParse(errorSchema, body);
  return {
    code: parsedError.success && parsedError.output.code.startsWith("LAGOON_")
      ? parsedError.output.code as LagoonError["code"]
      : "LAGOON_NODE_ANSWER",
    step,
    peer,
    message: parsedError.success
      ? `status ${status}: ${parsedError.output.message}`
      : `status ${status}`,
  };
}
