/**
 * Records which home nodes a call was sent to, and finds the next one.
 *
 * The home node of an endpoint is the node on the same VM, the only one that
 * opens connections to it.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import type { Choice } from "../load_balancing/choose_candidate.ts";
import type { Route } from "../routes/state.ts";
import {
  allowedVersions,
  findNextHome,
  type FindNextHomeOptions,
} from "./find_next_home.ts";
import type { CallContext } from "./state.ts";

/** Options of `createHomeSearch`. */
export interface CreateHomeSearchOptions {
  readonly ctx: CallContext;
  readonly service: string;
  readonly route: Route;
}

/** What a search depends on besides the call's service and route. */
export type FindOptions = Pick<
  FindNextHomeOptions,
  | "bodyBytes"
  | "objectiveLeftMs"
  | "deadlineLeftMs"
  | "deadlineRatio"
  | "onlyFree"
>;

export interface HomeSearch {
  /** Returns the untried home with the lowest expected cost. */
  find(opts: FindOptions): Choice | undefined;
  recordTried(home: NodeId): void;
  /** Records that the home refused because its answer would be late. */
  recordLate(home: NodeId): void;
  /**
   * Makes homes that refused because of a late answer available again, for an
   * attempt whose answer may be late. Returns false if there are none.
   */
  allowLateAnswers(): boolean;
  tried(): readonly NodeId[];
}

/** Creates a search. The versions are chosen once, for the first home. */
export function createHomeSearch(opts: CreateHomeSearchOptions): HomeSearch {
  const { ctx, service, route } = opts;
  const tried = new Set<NodeId>();
  const refusedLate = new Set<NodeId>();
  let versions: readonly string[] = [];

  return {
    find(options) {
      if (versions.length === 0) versions = allowedVersions(ctx, service);
      const found = findNextHome({
        ctx,
        service,
        versions,
        route,
        tried,
        ...options,
      });
      ctx.recordDemand(service, found === undefined || found.isFull);
      return found;
    },
    recordTried: (home) => tried.add(home),
    recordLate: (home) => refusedLate.add(home),
    allowLateAnswers() {
      const hasRefusedLate = refusedLate.size > 0;
      for (const home of refusedLate) tried.delete(home);
      refusedLate.clear();
      return hasRefusedLate;
    },
    tried: () => [...tried],
  };
}
