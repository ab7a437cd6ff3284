/**
 * Folds the log as a decision, so that a trace can record and replay it.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { EncodedSnapshot } from "./encode_snapshot.ts";
import { foldRecord } from "./fold_record.ts";
import type { LogRecord } from "./messages.ts";
import type { ConfigState, Verdict } from "./state.ts";

export type ConfigEvent =
  | { readonly type: "record"; readonly record: LogRecord }
  /** A snapshot replaces the whole state. */
  | { readonly type: "snapshot"; readonly snapshot: EncodedSnapshot };

/**
 * Folds a record and returns its verdict. A snapshot has no verdict: the caller
 * replaces the state by the decoded snapshot.
 */
export function decideConfig(
  state: ConfigState,
  event: ConfigEvent,
): readonly Verdict[] {
  switch (event.type) {
    case "record":
      return [foldRecord({ state, record: event.record })];
    case "snapshot":
      return [];
    default:
      return exhausted(event);
  }
}
