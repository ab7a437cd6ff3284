/**
 * Decides how far the moves of services to new versions are.
 *
 * Every node judges the evidence of all nodes and stops using a faulty version
 * by itself. Only the holder of the lease gives a version more, and only it
 * records how a move ended.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { createInbox, createJudge } from "../rollout/create_track.ts";
import { judgeEvidence } from "../rollout/judge_evidence.ts";
import { mergeReport } from "../rollout/merge_report.ts";
import { type Finding, ReportLevel } from "../rollout/messages.ts";
import type { Judgement } from "../rollout/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import { reportOf } from "./describe_moves.ts";
import { judgeBake } from "./judge_bake.ts";
import { fullShare, mayComplete, planShare } from "./plan_share.ts";
import { measureRate } from "./measure_rate.ts";
import { sumRuns } from "./sum_runs.ts";
import {
  type Move,
  type MoveFault,
  type MoveOrder,
  MovePhase,
  type MoveReport,
  type MoveStatus,
  type MoveStep,
  type TakeoverEffect,
  type TakeoverEvent,
  type TakeoverState,
  type VersionLoad,
} from "./state.ts";

/**
 * Log-likelihood ratio above which a version is faulty. Under a small share
 * there is time to be surer than under full load.
 */
const faultyAbove = { trial: Math.log(1e5), full: Math.log(1e3) } as const;

/** Rise of the failure rate that a stage has to rule out. */
const ruleOut = 0.2;

/**
 * Time after the deadline in which a version that took over is still judged, in
 * milliseconds.
 */
const bakeMs = 6_000;

/** Time between reports of a small share's evidence, in milliseconds. */
const trialReportMs = 400;

type Ticked = Extract<TakeoverEvent, { type: "ticked" }>;

/** Takes one event of the moves in turn. */
export function decideTakeover(
  state: TakeoverState,
  event: TakeoverEvent,
): readonly TakeoverEffect[] {
  switch (event.type) {
    case "ordered":
      takeOrder(state, event.order, event.now);
      return [];
    case "status-read":
      takeStatus(state, event.status);
      return [];
    case "step-heard":
      takeStep(state, event.step, event.now);
      return [];
    case "report-heard":
      takeReport(state, event.report);
      return [];
    case "fault-heard":
      takeFault(state, event.fault);
      return [];
    case "recorded":
      return confirm(state, event.service, event.phase, event.now);
    case "record-failed": {
      const move = state.moves.get(event.service);
      if (move !== undefined) move.recording = undefined;
      return [];
    }
    case "leased":
      state.epoch = event.epoch;
      return [];
    case "ticked":
      return [...state.moves.values()]
        .flatMap((move) => tick(state, move, event));
    default:
      return exhausted(event);
  }
}

function takeOrder(state: TakeoverState, order: MoveOrder, now: MonotonicMs) {
  const known = state.moves.get(order.service);
  if (known?.order.target === order.target) return;
  const status = state.statuses.get(order.service);
  const isOver = status?.target === order.target;
  const step: MoveStep = {
    service: order.service,
    target: order.target,
    epoch: 0,
    seq: 0,
    phase: isOver ? status.phase : MovePhase.Running,
    share: 0,
    elapsedMs: 0,
  };
  state.moves.set(order.service, {
    order,
    orderedAt: now,
    step,
    stepAt: now,
    runsAtStep: 0,
    rate: { since: now, runs: 0, perMs: 0 },
    targetReadyAt: undefined,
    fault: undefined,
    recorded: isOver ? status.phase : undefined,
    recording: undefined,
    credit: 0,
    local: new Map(),
    localSeq: 0,
    reportedAt: -Infinity,
    inbox: createInbox(),
    judge: createJudge(now),
    bake: { windowAt: undefined, runs: new Map(), badWindows: 0 },
  });
}

function takeStatus(state: TakeoverState, status: MoveStatus) {
  state.statuses.set(status.service, status);
  if (status.phase === MovePhase.Completed) {
    state.base.set(status.service, status.target);
  }
  const move = state.moves.get(status.service);
  if (move === undefined || move.order.target !== status.target) return;
  move.recorded = status.phase;
  if (!mayFollow(move.step.phase, status.phase)) return;
  enterPhase(move, { ...move.step, phase: status.phase });
}

/** Moves only go forward: a version may still be taken back once it is done. */
function mayFollow(before: MovePhase, next: MovePhase): boolean {
  switch (before) {
    case MovePhase.Running:
      return true;
    case MovePhase.Completed:
      return next === MovePhase.RolledBack;
    case MovePhase.RolledBack:
      return false;
  }
}

/** Once a version has taken over, only a fault that is found then counts. */
function enterPhase(move: Move, step: MoveStep) {
  const isNew = step.phase !== move.step.phase;
  if (isNew && step.phase === MovePhase.Completed) move.fault = undefined;
  move.step = step;
}

function takeStep(state: TakeoverState, step: MoveStep, now: MonotonicMs) {
  const move = state.moves.get(step.service);
  if (move === undefined || move.order.target !== step.target) return;
  // A restarted node learns from others how long ago the order was given.
  move.orderedAt = Math.min(move.orderedAt, now - step.elapsedMs);
  const isNewer = step.epoch > move.step.epoch ||
    (step.epoch === move.step.epoch && step.seq > move.step.seq);
  if (!isNewer || !mayFollow(move.step.phase, step.phase)) return;
  if (step.share !== move.step.share) beginStage(move, now);
  enterPhase(move, step);
}

function takeReport(state: TakeoverState, report: MoveReport) {
  const move = state.moves.get(report.service);
  if (move === undefined || move.order.target !== report.target) return;
  const { target, source, seq, counts } = report;
  mergeReport(move.inbox, {
    rollout: target,
    level: ReportLevel.Node,
    source,
    seq,
    domain: "fleet",
    receiver: "all",
    counts,
  });
}

/** A node that has just started has no evidence, and takes others' word. */
function takeFault(state: TakeoverState, fault: MoveFault) {
  const move = state.moves.get(fault.service);
  if (move === undefined || move.order.target !== fault.target) return;
  if (move.step.phase === fault.phase) move.fault ??= fault.finding;
}

function confirm(
  state: TakeoverState,
  service: string,
  phase: MovePhase,
  now: MonotonicMs,
): readonly TakeoverEffect[] {
  const move = state.moves.get(service);
  if (move === undefined) return [];
  move.recorded = phase;
  move.recording = undefined;
  const { target } = move.order;
  state.statuses.set(service, { service, target, phase });
  if (phase === MovePhase.Running) return [];
  if (phase === MovePhase.Completed) state.base.set(service, target);
  const share = phase === MovePhase.Completed ? 1 : 0;
  return [setStep(state, move, { phase, share }, now)];
}

function tick(
  state: TakeoverState,
  move: Move,
  event: Ticked,
): readonly TakeoverEffect[] {
  switch (move.step.phase) {
    case MovePhase.Running:
      return tickRunning(state, move, event);
    case MovePhase.Completed:
      return tickCompleted(state, move, event);
    case MovePhase.RolledBack:
      return [];
  }
}

function tickRunning(
  state: TakeoverState,
  move: Move,
  event: Ticked,
): readonly TakeoverEffect[] {
  const { now } = event;
  const { service, target } = move.order;
  const load = event.loadOf(service, target);
  if (load.ready > 0) move.targetReadyAt ??= now;
  const isFull = move.step.share === fullShare;
  const effects: TakeoverEffect[] = reportLocal(state, move, now);
  const judgement = judgeEvidence({
    judge: move.judge,
    evidence: move.inbox.total,
    faultyAbove: isFull ? faultyAbove.full : faultyAbove.trial,
    ruleOut,
    now,
  });
  if (judgement.type === "faulty" && move.fault === undefined) {
    effects.push(blame(move, judgement.finding));
  }
  if (!event.mayLead) return effects;
  if (state.epoch === undefined) return [...effects, { type: "lease" }];
  return [...effects, ...lead({ state, move, load, judgement, event })];
}

/** The version has everything, and may still turn out to be bad. */
function tickCompleted(
  state: TakeoverState,
  move: Move,
  event: Ticked,
): readonly TakeoverEffect[] {
  const { now } = event;
  const { durationMs } = move.order;
  const isBaked = now - move.orderedAt > durationMs + bakeMs;
  if (isBaked && move.fault === undefined) return [];
  const effects: TakeoverEffect[] = reportLocal(state, move, now);
  if (!event.mayLead) return effects;
  const finding = judgeBake({
    bake: move.bake,
    sources: move.inbox.sources,
    runs: sumRuns(move.inbox.total),
    now,
  });
  if (finding !== undefined && move.fault === undefined) {
    effects.push(blame(move, finding));
  }
  if (move.fault === undefined) return effects;
  if (state.epoch === undefined) return [...effects, { type: "lease" }];
  return [...effects, ...record(state, move, MovePhase.RolledBack)];
}

/** This node sends the target nothing from now on, and tells others why. */
function blame(move: Move, finding: Finding): TakeoverEffect {
  const { service, target } = move.order;
  const { phase } = move.step;
  move.fault = finding;
  return { type: "faulty", fault: { service, target, phase, finding } };
}

/** Sums of this node, when they have grown. */
function reportLocal(
  state: TakeoverState,
  move: Move,
  now: MonotonicMs,
): TakeoverEffect[] {
  const isFull = move.step.share === fullShare;
  if (!isFull && now - move.reportedAt < trialReportMs) return [];
  let calls = 0;
  for (const counts of move.local.values()) calls += counts.calls;
  if (calls === move.localSeq) return [];
  move.localSeq = calls;
  move.reportedAt = now;
  const report = reportOf(state, move);
  takeReport(state, report);
  return [{ type: "report", report }];
}

interface LeadOptions {
  readonly state: TakeoverState;
  readonly move: Move;
  readonly load: VersionLoad;
  readonly judgement: Judgement;
  readonly event: Ticked;
}

function lead(opts: LeadOptions): readonly TakeoverEffect[] {
  const { state, move, load, judgement, event } = opts;
  const { now, exposure } = event;
  const { step, order } = move;
  if (move.fault !== undefined) {
    const stop = step.share === 0 ? [] : [setStep(state, move, {
      share: 0,
    }, now)];
    return [...stop, ...record(state, move, MovePhase.RolledBack)];
  }
  const effects = move.recorded === undefined
    ? record(state, move, MovePhase.Running)
    : [];
  if (load.ready === 0) return effects;
  const runs = sumRuns(move.inbox.total);
  const elapsedMs = now - move.orderedAt;
  const plan = {
    share: step.share,
    elapsedMs,
    durationMs: order.durationMs,
    stageMs: now - move.stepAt,
    judgement,
    runs,
    ratePerMs: measureRate({ rate: move.rate, runs, elapsedMs, now }),
    exposure,
  };
  const share = planShare(plan);
  if (share !== step.share) {
    return [...effects, setStep(state, move, { share }, now)];
  }
  const stageRuns = runs.targetRuns - move.runsAtStep;
  const { otherCalls } = load;
  if (!mayComplete({ ...plan, stageRuns, otherCalls })) return effects;
  return [...effects, ...record(state, move, MovePhase.Completed)];
}

function beginStage(move: Move, now: MonotonicMs) {
  move.stepAt = now;
  move.runsAtStep = sumRuns(move.inbox.total).targetRuns;
}

function record(
  state: TakeoverState,
  move: Move,
  phase: MovePhase,
): TakeoverEffect[] {
  if (move.recording !== undefined || move.recorded === phase) return [];
  if (state.epoch === undefined) return [];
  move.recording = phase;
  const { service, target } = move.order;
  const status = { service, target, phase };
  const runs = sumRuns(move.inbox.total);
  return [{ type: "record", epoch: state.epoch, status, runs }];
}

function setStep(
  state: TakeoverState,
  move: Move,
  change: Partial<Pick<MoveStep, "share" | "phase">>,
  now: MonotonicMs,
): TakeoverEffect {
  const epoch = Math.max(state.epoch ?? 0, move.step.epoch);
  const step = {
    ...move.step,
    ...change,
    epoch,
    seq: move.step.seq + 1,
    elapsedMs: now - move.orderedAt,
  };
  enterPhase(move, step);
  beginStage(move, now);
  return { type: "tell", step, runs: sumRuns(move.inbox.total) };
}
