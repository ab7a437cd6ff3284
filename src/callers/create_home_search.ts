/**
 * The homes that one call has been offered to, and which comes next.
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
  "bodyBytes" | "objectiveLeftMs"
>;

export interface HomeSearch {
  /** The cheapest home that was not tried. */
  find(opts: FindOptions): Choice | undefined;
  noteTried(home: NodeId): void;
  /** The home refused because its answer would be late. */
  noteLate(home: NodeId): void;
  /**
   * Lets homes that refused a late answer be found again, for one that may be
   * late. False when there are none.
   */
  welcomeLate(): boolean;
  tried(): readonly NodeId[];
}

/** Creates a search. The versions are chosen once, with the first home. */
export function createHomeSearch(opts: CreateHomeSearchOptions): HomeSearch {
  const { ctx, service, route } = opts;
  const tried = new Set<NodeId>();
  const refusedLate = new Set<NodeId>();
  let versions: readonly string[] = [];

  return {
    find(wanted) {
      if (versions.length === 0) versions = allowedVersions(ctx, service);
      return findNextHome({ ctx, service, versions, route, tried, ...wanted });
    },
    noteTried: (home) => tried.add(home),
    noteLate: (home) => refusedLate.add(home),
    welcomeLate() {
      const hasLate = refusedLate.size > 0;
      for (const home of refusedLate) tried.delete(home);
      refusedLate.clear();
      return hasLate;
    },
    tried: () => [...tried],
  };
}
