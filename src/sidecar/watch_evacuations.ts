/**
 * Applies the operators' records of evacuations.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { decideEvacuation } from "../evacuation/decide_evacuation.ts";
import {
  createEvacuationState,
  type EvacuationEffect,
} from "../evacuation/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";

/** Options of `watchEvacuations`. */
export interface WatchEvacuationsOptions {
  /** Whether the deployment has a failure domain of this name. */
  readonly isKnown: (domain: string) => boolean;
  readonly log: Log;
  /** `known` is the number of evacuated domains that the deployment has. */
  readonly onChanged: (domains: ReadonlySet<string>, known: number) => void;
}

export interface EvacuationWatch {
  /** Applies the newest record of a failure domain. */
  apply(domain: string, isActive: boolean): void;
}

export function watchEvacuations(
  opts: WatchEvacuationsOptions,
): EvacuationWatch {
  const state = createEvacuationState();

  function write({ type, domain }: EvacuationEffect) {
    const fields = { domain };
    switch (type) {
      case "began":
        opts.log.write("config", LogLevel.Info, "evacuation began", fields);
        return;
      case "ended":
        opts.log.write("config", LogLevel.Info, "evacuation ended", fields);
        return;
      case "unknown-domain": {
        const text = "evacuation names an unknown failure domain";
        opts.log.write("config", LogLevel.Warn, text, fields);
        return;
      }
      default:
        exhausted(type);
    }
  }

  return {
    apply(domain, isActive) {
      const isKnown = opts.isKnown(domain);
      const event = { type: "recorded", domain, isActive, isKnown } as const;
      for (const effect of decideEvacuation(state, event)) write(effect);
      const { domains, unknown } = state;
      opts.onChanged(domains, domains.size - unknown.size);
    },
  };
}
