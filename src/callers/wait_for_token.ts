/**
 * Waits until a request is admitted by the quota of its account.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { AllowanceResult } from "../sidecar/create_allowance_service.ts";
import type { ServedCall } from "./serve_call.ts";
import type { CallContext } from "./state.ts";

/** Options of `waitForToken`. */
export interface WaitForTokenOptions {
  readonly ctx: Pick<CallContext, "admitAccount">;
  /** Name of the request's account. Undefined if no quota applies. */
  readonly account: string | undefined;
  /** `giveBack` returns the token of a request that reached no endpoint. */
  readonly onAdmitted: (giveBack: () => void) => void;
  readonly onRefused: (waitMs: number) => void;
  /** Called if the node stops sending calls while the request waits. */
  readonly onStopped: () => void;
}

/** Returns the request while it waits, undefined if it was answered at once. */
export function waitForToken(
  opts: WaitForTokenOptions,
): ServedCall | undefined {
  if (opts.account === undefined) {
    opts.onAdmitted(() => {});
    return undefined;
  }
  let isOver = false;

  function end() {
    isOver = true;
  }

  function handleResult(result: AllowanceResult) {
    const wasOver = isOver;
    isOver = true;
    switch (result.type) {
      case "admitted":
        // The caller closed its connection, or the node stops.
        if (wasOver) return result.giveBack();
        return opts.onAdmitted(result.giveBack);
      case "refused":
        return wasOver ? undefined : opts.onRefused(result.waitMs);
      default:
        exhausted(result);
    }
  }

  opts.ctx.admitAccount(opts.account, handleResult);
  if (isOver) return undefined;
  return {
    abandon: end,
    // It has not been sent to a home node.
    limitAnswer() {},
    refuseUnsent() {
      if (isOver) return;
      end();
      opts.onStopped();
    },
    // The key is checked again before the request is sent.
    recheckUnsent() {},
    abort: end,
  };
}
