/**
 * Refuses to open ports to other hosts while no shared key is set.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import type { NodeSettings } from "./node_settings.ts";

const LOOPBACK_PATTERN = /^(127(\.\d{1,3}){3}|localhost|\[::1\])$/;

/**
 * Checks that all ports are on loopback addresses if no key is set. Fails with
 * `LAGOON_ACCESS_NO_KEY`.
 */
export function checkAccess(
  settings: NodeSettings,
): Result<void, LagoonError> {
  if (settings.keys.length > 0) return ok(undefined);
  const { peerAddr, callAddr, adminAddr } = settings;
  const open = [peerAddr, adminAddr, callAddr].find((address) =>
    !LOOPBACK_PATTERN.test(address.slice(0, address.lastIndexOf(":")))
  );
  if (open === undefined) return ok(undefined);
  return err({
    code: "LAGOON_ACCESS_NO_KEY",
    step: "open the node's ports",
    message: `no key is set, so ${open} would be open to everyone`,
    hint: "Give --key or LAGOON_KEY, or use addresses on 127.0.0.1.",
  });
}
