/**
 * Chooses the node that a call goes to.
 * @module
 */
import type { Directory, NodeId } from "../core/types.ts";

/** Calls from this node now running at a home. */
export type InFlight = ReadonlyMap<NodeId, number>;

/** Options of `chooseHome`. */
export interface ChooseHomeOptions {
  readonly directory: Directory;
  readonly service: string;
  readonly version: string;
  readonly inFlight: InFlight;
  /** Homes already tried for this call. */
  readonly tried: ReadonlySet<NodeId>;
  /** Random numbers from 0 to 1, one for each choice. */
  readonly random: readonly [number, number];
}

/** Two choices by load in the own domain, else a gateway of another. */
export function chooseHome(opts: ChooseHomeOptions): NodeId | undefined {
  const { directory, service, version, tried, random } = opts;
  const homes = directory.homes(service, version)
    .filter((one) => !tried.has(one.home));
  if (homes.length > 0) {
    const a = homes[Math.floor(random[0] * homes.length)];
    const b = homes[Math.floor(random[1] * homes.length)];
    const choices = [a, b].flatMap((one) => one ?? []);
    const loads = choices.map((one) => loadOf(opts, one.home) / one.slots);
    return choices[(loads[1] ?? 0) < (loads[0] ?? 0) ? 1 : 0]?.home;
  }
  const gateways = directory.remotes(service, version)
    .flatMap((one) => one.gateways).filter((id) => !tried.has(id));
  return gateways[Math.floor(random[0] * gateways.length)];
}

function loadOf(opts: ChooseHomeOptions, home: NodeId): number {
  return opts.inFlight.get(home) ?? 0;
}
