/**
 * Tells the calls of running calls from those of clients.
 * @module
 */
import type { CallerHead } from "../sidecar/platform_port.ts";

/**
 * Whether the endpoint on this VM makes the call for one that it runs.
 *
 * Clients and the endpoint call from the same address, so the address tells
 * nothing. A client can't claim to be the endpoint: the parent that it names has
 * to run here.
 */
export function isNestedCall(
  caller: CallerHead,
  runsHere: (callId: string) => boolean,
): boolean {
  return caller.parentId !== undefined && runsHere(caller.parentId);
}
