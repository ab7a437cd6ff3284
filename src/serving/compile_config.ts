/**
 * Compiles the folded state into the configuration that one proxy serves.
 * @module
 */
import type { ConfigState, UseRow } from "../config_log/state.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Directory } from "../core/types.ts";
import type { ServedService, ServingConfig, VersionSplit } from "./state.ts";

/** Options of `compileConfig`. */
export interface CompileConfigOptions {
  readonly state: ConfigState;
  readonly directory: Pick<Directory, "isPresent">;
  /** Configuration in force. Unchanged parts of it are reused. */
  readonly previous?: ServingConfig | undefined;
}

type IsPresent = (service: string, version: string) => boolean;

/**
 * Compiles a complete configuration. A service without any ready endpoint that
 * this proxy can reach is listed as inactive, so that no active route lacks an
 * endpoint.
 */
export function compileConfig(opts: CompileConfigOptions): ServingConfig {
  const { state, previous } = opts;
  const isPresent = cachePresence(opts.directory);
  const services = new Map<string, ServedService>();
  const inactive = new Set<string>();
  for (const [key, row] of state.uses) {
    const split = compileSplit(state, row, isPresent);
    if (split === undefined) inactive.add(key);
    else services.set(key, compileUse(row, split, previous?.services.get(key)));
  }
  return {
    version: state.version,
    digest: state.digest,
    customersAt: state.customersAt,
    ...compileCustomers(state, previous),
    services,
    inactive,
  };
}

/**
 * Caches presence by service version. Many plans use the same service, so each
 * version is looked up only once.
 */
function cachePresence(directory: Pick<Directory, "isPresent">): IsPresent {
  const known = new Map<string, boolean>();
  return (service, version) => {
    const key = keyOfVersion(service, version);
    const found = known.get(key) ?? directory.isPresent(service, version);
    known.set(key, found);
    return found;
  };
}

function compileCustomers(
  state: ConfigState,
  previous: ServingConfig | undefined,
): Pick<ServingConfig, "planOf" | "plansHeld"> {
  if (previous?.customersAt === state.customersAt) {
    const { planOf, plansHeld } = previous;
    return { planOf, plansHeld };
  }
  const planOf = new Map<string, string>();
  for (const [key, row] of state.customers) planOf.set(key, row.entry.plan);
  return { planOf, plansHeld: new Set(planOf.values()) };
}

function compileUse(
  row: UseRow,
  split: VersionSplit,
  before: ServedService | undefined,
): ServedService {
  const { plan, service } = row;
  const isSameRow = before?.rules === row.routes;
  if (isSameRow && isSameSplit(before.split, split)) return before;
  const routes = isSameRow ? before.routes : sortBySpecificity(row.routes);
  return { plan, service, rules: row.routes, routes, split };
}

function isSameSplit(a: VersionSplit, b: VersionSplit): boolean {
  return a.stable === b.stable &&
    a.candidate?.rollout === b.candidate?.rollout &&
    a.candidate?.perMille === b.candidate?.perMille;
}

/**
 * Sorts by path, the longest first, so that the most specific route matches.
 */
function sortBySpecificity(routes: UseRow["routes"]): UseRow["routes"] {
  return [...routes].sort((a, b) => b.path.length - a.path.length);
}

function compileSplit(
  state: ConfigState,
  row: UseRow,
  isPresent: IsPresent,
): VersionSplit | undefined {
  const { service, stable } = row;
  const rollout = row.rollout === undefined
    ? undefined
    : state.rollouts.get(row.rollout);
  if (!isPresent(service, stable)) {
    // While the old version is absent, only a new version with the full share
    // may serve its calls.
    const isFullShare = rollout?.perMille === 1000;
    return isFullShare && isPresent(service, rollout.version)
      ? { stable: rollout.version }
      : undefined;
  }
  if (rollout === undefined || rollout.perMille === 0) return { stable };
  if (!isPresent(service, rollout.version)) return { stable };
  const { id, version, perMille } = rollout;
  return { stable, candidate: { rollout: id, version, perMille } };
}
