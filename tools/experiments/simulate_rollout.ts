/**
 * Simulates one rollout with the production decisions, a simulated clock and
 * random calls.
 * @module
 */
import { isLive, leaseNameOf } from "../../src/config_log/rollout_rows.ts";
import { type RecordedStep, RolloutPhase } from "../../src/config_log/state.ts";
import { exhausted } from "../../src/core/exhausted.ts";
import { decideRollout } from "../../src/rollout/decide_rollout.ts";
import type { RolloutMessage } from "../../src/rollout/messages.ts";
import {
  CallOutcome,
  createRolloutState,
  type RolloutEvent,
  type RolloutState,
} from "../../src/rollout/state.ts";
import { chooseVersion } from "../../src/routing/choose_version.ts";
import type { ServedService } from "../../src/serving/state.ts";
import { stepBaseline } from "./rollouts_baseline.ts";
import { drawCall } from "./rollouts_calls.ts";
import {
  createSimulatedLog,
  NEW_VERSION,
  SERVICE,
  START_WALL_MS,
} from "./create_simulated_log.ts";
import { createRandom } from "./rollouts_random.ts";
import { ExternalFault, type Scenario } from "./rollouts_scenarios.ts";

/** Step of the simulated clock, in milliseconds. */
const SLOT_MS = 50;
const SLOTS_PER_TICK = 5;
const LOG_DELAY_MS = 100;
/** Share of messages lost between nodes in a scenario with losses. */
const LOST_MESSAGE_SHARE = 0.2;
/** A rollout may exceed its time by this much before the simulation ends. */
const GRACE_MS = 30_000;
/** Calls that take at least this long are also reported when they begin. */
const SHORT_CALL_MS = 200;

/** Decisions that drive the simulated rollout. */
export const Strategy = {
  /** The production decisions. */
  Production: "real",
  /** The production decisions; calls are reported only when they end. */
  EndedCallsOnly: "ended-calls-only",
  /** Fixed steps and a fixed threshold. */
  Baseline: "baseline",
} as const;
export type Strategy = typeof Strategy[keyof typeof Strategy];

/** Result of one simulated rollout. */
export interface RolloutOutcome {
  readonly phase: RolloutPhase;
  readonly endMs: number;
  readonly steps: readonly RecordedStep[];
  readonly firstPerMille: number;
  readonly calls: number;
  readonly badCalls: number;
  /**
   * Time from the first hold of any node to the version's last call. The name
   * is printed with an unexpected outcome.
   */
  readonly alarmMs?: number;
  /** Time from the lease holder's hold order to the version's last call. */
  readonly stopMs?: number;
  /** Time from the first bad call to the version's last call. */
  readonly exposedMs?: number;
}

interface Node {
  readonly id: string;
  readonly domain: number;
  readonly state: RolloutState;
  readonly random: ReturnType<typeof createRandom>;
}

/** Simulates a scenario until its rollout ends or its time is over. */
export function simulateRollout(
  scenario: Scenario,
  strategy: Strategy,
): RolloutOutcome {
  const random = createRandom(scenario.seed);
  const { deployment, totalMs } = scenario;
  const log = createSimulatedLog({ totalMs });
  const nodes = createNodes(scenario, random);
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const scheduled = new Map<number, (() => void)[]>();
  const totals = { calls: 0, badCalls: 0, newCalls: 0, newFailures: 0 };
  let served: ServedService = log.served();
  let now = 0;
  let call = 0;
  let steppedAt = 0;
  let firstPerMille = 0;
  let evidenceAt: number | undefined;
  let firstHoldAt: number | undefined;
  let firstBadAt: number | undefined;
  let lastNewAt = 0;
  let paused: string | undefined;

  const schedule = (delayMs: number, run: () => void) => {
    const slot = Math.max(now + SLOT_MS, roundUpToSlot(now + delayMs));
    const waiting = scheduled.get(slot);
    if (waiting === undefined) scheduled.set(slot, [run]);
    else waiting.push(run);
  };

  function append(record: Parameters<typeof log.append>[0], by: string) {
    const isOut = scenario.trouble === ExternalFault.LogOutage &&
      now >= 8_000 && now < 23_000;
    schedule(isOut ? 23_000 - now : LOG_DELAY_MS, () => {
      const before = log.state.version;
      log.append(record, now);
      if (record.kind === "rollout-step") steppedAt = now;
      if (log.state.version !== before) served = log.served();
      const rollout = log.rollout();
      firstPerMille ||= rollout.perMille;
      const node = byId.get(by);
      if (node) applyEvent(node, { type: "settled", rollout: rollout.id });
    });
  }

  function deliver(from: Node, to: Node | undefined, message: RolloutMessage) {
    if (to === undefined) return;
    const isLost = scenario.trouble === ExternalFault.Loss &&
      random.uniform() < LOST_MESSAGE_SHARE;
    if (isLost) return;
    schedule(SLOT_MS, () => {
      if (to.id === paused) return;
      applyEvent(to, { type: "received", from: from.id, message, now });
    });
  }

  function applyEvent(node: Node, event: RolloutEvent) {
    for (const effect of decideRollout(node.state, event)) {
      switch (effect.type) {
        case "send":
          deliver(node, byId.get(effect.to), effect.message);
          break;
        case "tell-domain":
          recordHoldOrder(node, effect.message);
          for (const other of nodes) {
            if (other.domain !== node.domain || other === node) continue;
            deliver(node, other, effect.message);
          }
          break;
        case "append":
          append(effect.record, node.id);
          break;
        case "hold-changed":
          // A hold before the first bad call is not caused by the fault.
          if (firstBadAt !== undefined && node.state.held.size > 0) {
            firstHoldAt ??= now;
          }
          break;
        default:
          exhausted(effect);
      }
    }
  }

  /**
   * Records when the lease holder orders a hold, which is when its evidence
   * shows the fault. A release resets the time.
   */
  function recordHoldOrder(node: Node, message: RolloutMessage) {
    if (message.type === "rollout/release") evidenceAt = undefined;
    if (message.type !== "rollout/hold") return;
    const track = node.state.tracks.get(message.rollout);
    if (track?.leadership && message.origin === node.id) evidenceAt ??= now;
  }

  function startCalls(node: Node) {
    const rollout = log.rollout();
    const mean = deployment.rate * SLOT_MS / 1_000 / nodes.length;
    for (let left = node.random.poisson(mean); left > 0; left--) {
      const version = chooseVersion({
        served,
        held: node.state.held,
        random: node.random.uniform(),
      });
      const isNew = version === NEW_VERSION;
      const result = drawCall({
        random: node.random,
        scenario,
        isNew,
        domain: node.domain,
        perMille: rollout.perMille,
        isBaking: rollout.phase === RolloutPhase.Baking,
        isSharedFault: scenario.trouble === ExternalFault.SharedFault &&
          now % 20_000 > 14_000,
        now,
      });
      totals.calls++;
      if (isNew) lastNewAt = now;
      if (result.isBad) {
        totals.badCalls++;
        firstBadAt ??= now;
      }
      finishCall(node, version, result);
    }
  }

  function finishCall(
    node: Node,
    version: string,
    result: ReturnType<typeof drawCall>,
  ) {
    const { route, latencyMs } = result;
    const about = { service: SERVICE, version, route };
    const outcome = result.isFailed ? CallOutcome.Failed : CallOutcome.Served;
    const number = ++call;
    const answer = () => {
      countNewCall(version, result.isFailed);
      const event = { type: "answered", ...about, outcome, latencyMs } as const;
      if (strategy === Strategy.Baseline) return;
      applyEvent(
        node,
        latencyMs < SHORT_CALL_MS ? event : { ...event, call: number },
      );
    };
    if (latencyMs < SHORT_CALL_MS) return answer();
    if (strategy === Strategy.Production) {
      applyEvent(node, { type: "begun", call: number, ...about, now });
    }
    schedule(latencyMs, answer);
  }

  function countNewCall(version: string, isFailed: boolean) {
    if (version !== NEW_VERSION) return;
    totals.newCalls++;
    if (isFailed) totals.newFailures++;
  }

  function tickBaseline() {
    const step = stepBaseline({
      rollout: log.rollout(),
      calls: totals.newCalls,
      failures: totals.newFailures,
      waitedMs: now - steppedAt,
    });
    if (step === undefined) return;
    steppedAt = now;
    const rollout = log.rollout().id;
    append({ kind: "rollout-step", rollout, term: 0, step }, "");
  }

  const readersOf = new Map<number, { id: string; boot: string }[]>();
  for (const { domain } of nodes) {
    const own = nodes.filter((node) => node.domain === domain).slice(0, 2);
    readersOf.set(domain, own.map(({ id }) => ({ id, boot: "b" })));
  }
  const present = new Set([`${SERVICE}@${NEW_VERSION}`]);
  const endMs = totalMs + GRACE_MS;
  for (; now < endMs && isLive(log.rollout()); now += SLOT_MS) {
    for (const run of scheduled.get(now) ?? []) run();
    scheduled.delete(now);
    if (scenario.trouble === ExternalFault.HolderPause) {
      const lease = log.state.leases.get(leaseNameOf(log.rollout().id));
      if (now === 6_000) paused = lease?.holder;
      if (now === 16_000) paused = undefined;
    }
    nodes.forEach((node, index) => {
      startCalls(node);
      const isDue = (now / SLOT_MS + index) % SLOTS_PER_TICK === 0;
      if (!isDue || strategy === Strategy.Baseline || node.id === paused) {
        return;
      }
      applyEvent(node, {
        type: "ticked",
        now,
        wall: START_WALL_MS + now,
        config: log.state,
        readers: readersOf.get(node.domain) ?? [],
        present,
        random: node.random.uniform(),
      });
    });
    if (strategy === Strategy.Baseline && now % 1_000 === 0) tickBaseline();
  }
  return {
    phase: log.rollout().phase,
    steps: log.rollout().steps,
    endMs: now,
    firstPerMille,
    calls: totals.calls,
    badCalls: totals.badCalls,
    ...(evidenceAt === undefined
      ? {}
      : { stopMs: Math.max(0, lastNewAt - evidenceAt) }),
    ...(firstHoldAt === undefined
      ? {}
      : { alarmMs: Math.max(0, lastNewAt - firstHoldAt) }),
    ...(firstBadAt === undefined
      ? {}
      : { exposedMs: Math.max(0, lastNewAt - firstBadAt) }),
  };
}

function roundUpToSlot(time: number): number {
  return Math.ceil(time / SLOT_MS) * SLOT_MS;
}

function createNodes(
  scenario: Scenario,
  random: ReturnType<typeof createRandom>,
): readonly Node[] {
  const { domains, nodesPerDomain } = scenario.deployment;
  return Array.from({ length: domains * nodesPerDomain }, (_, index) => {
    const domain = index % domains;
    const id = `n${index}`;
    return {
      id,
      domain,
      state: createRolloutState({ self: id, domain: `d${domain}`, boot: "b" }),
      random: createRandom(Math.floor(random.uniform() * 2 ** 31)),
    };
  });
}
