/**
 * Finds the home node that a request is sent to next.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import {
  type Choice,
  chooseCandidate,
} from "../load_balancing/choose_candidate.ts";
import { recordReport } from "../load_balancing/record_home.ts";
import type { Route } from "../routes/state.ts";
import { chooseVersions } from "../traffic_shift/choose_version.ts";
import type { CallContext } from "./state.ts";

/** Assumed size of a route's answers before the first answer, in bytes. */
const INITIAL_ANSWER_BYTES = 1_024;

/** Weight of the newest answer in the moving mean of a route's answer size. */
const NEWEST_ANSWER_WEIGHT = 0.1;

/** Options of `findNextHome`. */
export interface FindNextHomeOptions {
  readonly ctx: CallContext;
  readonly service: string;
  readonly versions: readonly string[];
  readonly route: Route;
  readonly tried: ReadonlySet<NodeId>;
  /** Size of the request's body, as far as it is known. */
  readonly bodyBytes: number;
  /** Time left to the end of the latency objective, in milliseconds. */
  readonly objectiveLeftMs: number;
  /** Time left to the deadline, in milliseconds. */
  readonly deadlineLeftMs: number;
  /** See `OfferedCall.deadlineRatio`. */
  readonly deadlineRatio: number | undefined;
  /** Whether homes without a slot in time are passed over. */
  readonly onlyFree: boolean;
}

/** Chooses the versions that a request may run on, once for each request. */
export function allowedVersions(
  ctx: CallContext,
  service: string,
): readonly string[] {
  const present = ctx.fleet.byService.get(service);
  if (present === undefined) return [];
  return chooseVersions(ctx.trafficShift, service, [...present.keys()]);
}

/** Returns the untried home with the lowest expected cost. */
export function findNextHome(opts: FindNextHomeOptions): Choice | undefined {
  const { ctx, service, versions, route } = opts;
  const present = ctx.fleet.byService.get(service);
  if (present === undefined) return undefined;
  const candidates = versions.length === 1
    ? present.get(versions[0] ?? "") ?? []
    : versions.flatMap((version) => present.get(version) ?? []);
  // Queue reports of other nodes arrive with their events. The report of the
  // local queue is read here.
  recordReport(ctx.loadBalancing, {
    home: ctx.self,
    report: ctx.ownReport(route.name),
    route: route.name,
    now: ctx.now(),
  });
  return chooseCandidate(ctx.loadBalancing, {
    route: route.name,
    candidates,
    tried: opts.tried,
    ownDomain: ctx.domain,
    bytes: opts.bodyBytes +
      (ctx.answerBytes.get(route.name) ?? INITIAL_ANSWER_BYTES),
    objectiveLeftMs: opts.objectiveLeftMs,
    objectiveMs: route.objectiveMs,
    deadlineLeftMs: opts.deadlineLeftMs,
    deadlineRatio: opts.deadlineRatio,
    onlyFree: opts.onlyFree,
    now: ctx.now(),
    random: ctx.random,
  });
}

/** Updates the mean size of a route's answers. */
export function recordAnswerBytes(
  ctx: CallContext,
  route: Route,
  bytes: number,
) {
  const mean = ctx.answerBytes.get(route.name) ?? bytes;
  const change = (bytes - mean) * NEWEST_ANSWER_WEIGHT;
  ctx.answerBytes.set(route.name, mean + change);
}
