/**
 * Decides which configuration a proxy serves after the operators' lists or the
 * upstreams changed.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import { compileConfig } from "./compile_config.ts";
import { decideSwap } from "./decide_swap.ts";
import type { ServingEffect, ServingEvent, ServingState } from "./state.ts";

/**
 * Compiles and checks a complete configuration, then replaces the one in force
 * by a single assignment. Changes nothing if the check fails.
 */
export function decideServing(
  state: ServingState,
  event: ServingEvent,
): readonly ServingEffect[] {
  const { current } = state;
  const { config, present, floor } = event;
  if (config.version === 0 || floor === undefined) return [];
  const candidate = compileConfig({
    state: config,
    directory: {
      isPresent: (service, versionName) =>
        present.has(keyOfVersion(service, versionName)),
    },
    previous: current,
  });
  const { version } = candidate;
  const decision = decideSwap({ current, candidate, floor });
  switch (decision.type) {
    case "swap":
      state.current = candidate;
      return [
        { type: "swapped", config: candidate },
        ...(version === current?.version
          ? []
          : [{ type: "applied", version } as const]),
      ];
    case "older":
    case "broken":
      return [{ type: decision.type, version, reason: decision.reason }];
    default:
      return exhausted(decision);
  }
}
