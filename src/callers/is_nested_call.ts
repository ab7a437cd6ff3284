/**
 * Distinguishes nested calls from the calls of clients.
 * @module
 */
import type { CallerHead } from "../sidecar/platform_port.ts";

/**
 * Whether the endpoint on this VM made the call while running another call.
 *
 * Clients and the endpoint call from the same address, so the address does not
 * distinguish them. A client can't pass for the endpoint: the parent call that
 * it names has to run here.
 */
export function isNestedCall(
  caller: CallerHead,
  isRunningHere: (callId: string) => boolean,
): boolean {
  return caller.parentId !== undefined && isRunningHere(caller.parentId);
}
