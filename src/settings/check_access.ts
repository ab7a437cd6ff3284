/**
 * Refuses ports that others can reach while no key is set.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import type { NodeSettings } from "./node_settings.ts";

const loopbackPattern = /^(127(\.\d{1,3}){3}|localhost|\[::1\])$/;

/** Without a key every port has to be on loopback. */
export function checkAccess(
  settings: NodeSettings,
): Result<void, LagoonError> {
  if (settings.keys.length > 0) return ok(undefined);
  const { peerAddr, callAddr, adminAddr } = settings;
  const open = [peerAddr, adminAddr, callAddr].find((address) =>
    !loopbackPattern.test(address.slice(0, address.lastIndexOf(":")))
  );
  if (open === undefined) return ok(undefined);
  return err({
    code: "LAGOON_ACCESS_NO_KEY",
    step: "open the node's ports",
    message: `no key is set, so ${open} would be open to everyone`,
    hint: "Give --key or LAGOON_KEY, or use addresses on 127.0.0.1.",
  });
}
