/**
 * Compiles the folded state into the configuration that one proxy serves.
 * @module
 */
import type { ConfigState, UseRow } from "../config_log/state.ts";
import type { Directory } from "../core/types.ts";
import type { ServedService, ServingConfig, VersionSplit } from "./state.ts";

/** Options of `compileConfig`. */
export interface CompileConfigOptions {
  readonly state: ConfigState;
  readonly directory: Directory;
}

/**
 * Compiles a whole configuration. A service without any endpoint that this
 * proxy can reach is left out, so no active route points at nothing.
 */
export function compileConfig(opts: CompileConfigOptions): ServingConfig {
  const { state } = opts;
  const services = new Map<string, ServedService>();
  const inactive = new Set<string>();
  for (const [key, row] of state.uses) {
    const split = compileSplit(opts, row);
    if (split === undefined) {
      inactive.add(key);
      continue;
    }
    const { plan, service, routes } = row;
    services.set(key, { plan, service, routes: bySpecificity(routes), split });
  }
  return {
    version: state.version,
    digest: state.digest,
    planOf: new Map(
      [...state.customers].map(([key, row]) => [key, row.entry.plan]),
    ),
    services,
    inactive,
  };
}

/** Longest path first, so the most specific route matches. */
function bySpecificity(routes: UseRow["routes"]): UseRow["routes"] {
  return [...routes].sort((a, b) => b.path.length - a.path.length);
}

function compileSplit(
  opts: CompileConfigOptions,
  row: UseRow,
): VersionSplit | undefined {
  const isPresent = (version: string) =>
    opts.directory.isPresent(row.service, version);
  const rollout = row.rollout === undefined
    ? undefined
    : opts.state.rollouts.get(row.rollout);
  const { stable } = row;
  if (!isPresent(stable)) {
    // A version under trial never answers for an absent old one.
    const isFullShare = rollout?.perMille === 1000;
    return isFullShare && isPresent(rollout.version)
      ? { stable: rollout.version }
      : undefined;
  }
  if (rollout === undefined || rollout.perMille === 0) return { stable };
  if (!isPresent(rollout.version)) return { stable };
  const { id, version, perMille } = rollout;
  return { stable, candidate: { rollout: id, version, perMille } };
}
