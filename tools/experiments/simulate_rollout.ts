/**
 * Runs one rollout on the real decisions, with a fake clock and simple calls.
 * @module
 */
import { isLive, leaseOf } from "../../src/config_log/rollout_rows.ts";
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
  newVersion,
  service,
  startWall,
} from "./rollouts_fold.ts";
import { createRandom } from "./rollouts_random.ts";
import { type Scenario, Trouble } from "./rollouts_scenarios.ts";

const slotMs = 50;
const tickSlots = 5;
const logDelayMs = 100;
const lossShare = 0.2;
/** Simulated time after the time asked. */
const graceMs = 30_000;
/** Calls of longer latency are told when they begin, too. */
const shortCallMs = 200;

export const Strategy = {
  Real: "real",
  /** The real decisions, told of a call only when it has ended. */
  EndedCallsOnly: "ended-calls-only",
  Baseline: "baseline",
} as const;
export type Strategy = typeof Strategy[keyof typeof Strategy];

/** What came of one rollout. */
export interface RolloutOutcome {
  readonly phase: RolloutPhase;
  readonly endMs: number;
  readonly steps: readonly RecordedStep[];
  readonly firstPerMille: number;
  readonly calls: number;
  readonly badCalls: number;
  /** From the first alarm of any node to the last new call. */
  readonly alarmMs?: number;
  /** From the holder's evidence showing the fault to the last new call. */
  readonly stopMs?: number;
  /** From the first bad call to the end of new calls. */
  readonly exposedMs?: number;
}

interface Node {
  readonly id: string;
  readonly domain: number;
  readonly state: RolloutState;
  readonly random: ReturnType<typeof createRandom>;
}

/** Runs a scenario to its end. */
export function runRollout(
  scenario: Scenario,
  strategy: Strategy,
): RolloutOutcome {
  const random = createRandom(scenario.seed);
  const { deployment, totalMs } = scenario;
  const log = createSimulatedLog({ totalMs });
  const nodes = createNodes(scenario, random);
  const byId = new Map(nodes.map((node) => [node.id, node]));
  const due = new Map<number, (() => void)[]>();
  const totals = { calls: 0, badCalls: 0, newCalls: 0, newFailures: 0 };
  let served: ServedService = log.served();
  let now = 0;
  let call = 0;
  let steppedAt = 0;
  let firstPerMille = 0;
  let shownAt: number | undefined;
  let alarmAt: number | undefined;
  let firstBadAt: number | undefined;
  let lastNewAt = 0;
  let paused: string | undefined;

  const later = (delayMs: number, run: () => void) => {
    const slot = Math.max(now + slotMs, snap(now + delayMs));
    const waiting = due.get(slot);
    if (waiting === undefined) due.set(slot, [run]);
    else waiting.push(run);
  };

  function append(record: Parameters<typeof log.append>[0], by: string) {
    const isOut = scenario.trouble === Trouble.LogOutage &&
      now >= 8_000 && now < 23_000;
    later(isOut ? 23_000 - now : logDelayMs, () => {
      const before = log.state.version;
      log.append(record, now);
      if (record.kind === "rollout-step") steppedAt = now;
      if (log.state.version !== before) served = log.served();
      const rollout = log.rollout();
      firstPerMille ||= rollout.perMille;
      const node = byId.get(by);
      if (node) run(node, { type: "settled", rollout: rollout.id });
    });
  }

  function deliver(from: Node, to: Node | undefined, message: RolloutMessage) {
    if (to === undefined) return;
    const isLost = scenario.trouble === Trouble.Loss &&
      random.uniform() < lossShare;
    if (isLost) return;
    later(slotMs, () => {
      if (to.id === paused) return;
      run(to, { type: "received", from: from.id, message, now });
    });
  }

  function run(node: Node, event: RolloutEvent) {
    for (const effect of decideRollout(node.state, event)) {
      switch (effect.type) {
        case "send":
          deliver(node, byId.get(effect.to), effect.message);
          break;
        case "tell-domain":
          noteOrder(node, effect.message);
          for (const other of nodes) {
            if (other.domain !== node.domain || other === node) continue;
            deliver(node, other, effect.message);
          }
          break;
        case "append":
          append(effect.record, node.id);
          break;
        case "hold-changed":
          // A hold before the first bad call is no alarm of the fault.
          if (firstBadAt !== undefined && node.state.held.size > 0) {
            alarmAt ??= now;
          }
          break;
        default:
          exhausted(effect);
      }
    }
  }

  /** The holder's order to hold tells when its results show the fault. */
  function noteOrder(node: Node, message: RolloutMessage) {
    if (message.type === "rollout/release") shownAt = undefined;
    if (message.type !== "rollout/hold") return;
    const track = node.state.tracks.get(message.rollout);
    if (track?.leadership && message.origin === node.id) shownAt ??= now;
  }

  function takeCalls(node: Node) {
    const rollout = log.rollout();
    const mean = deployment.rate * slotMs / 1_000 / nodes.length;
    for (let left = node.random.poisson(mean); left > 0; left--) {
      const version = chooseVersion({
        served,
        held: node.state.held,
        random: node.random.uniform(),
      });
      const isNew = version === newVersion;
      const result = drawCall({
        random: node.random,
        scenario,
        isNew,
        domain: node.domain,
        perMille: rollout.perMille,
        isBaking: rollout.phase === RolloutPhase.Baking,
        isSharedFault: scenario.trouble === Trouble.SharedFault &&
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
    const about = { service, version, route };
    const outcome = result.isFailed ? CallOutcome.Failed : CallOutcome.Served;
    const number = ++call;
    const answer = () => {
      pool(version, result.isFailed);
      const event = { type: "answered", ...about, outcome, latencyMs } as const;
      if (strategy === Strategy.Baseline) return;
      run(node, latencyMs < shortCallMs ? event : { ...event, call: number });
    };
    if (latencyMs < shortCallMs) return answer();
    if (strategy === Strategy.Real) {
      run(node, { type: "begun", call: number, ...about, now });
    }
    later(latencyMs, answer);
  }

  function pool(version: string, isFailed: boolean) {
    if (version !== newVersion) return;
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
  const present = new Set([`${service}@${newVersion}`]);
  const endMs = totalMs + graceMs;
  for (; now < endMs && isLive(log.rollout()); now += slotMs) {
    for (const run of due.get(now) ?? []) run();
    due.delete(now);
    if (scenario.trouble === Trouble.HolderPause) {
      const lease = log.state.leases.get(leaseOf(log.rollout().id));
      if (now === 6_000) paused = lease?.holder;
      if (now === 16_000) paused = undefined;
    }
    nodes.forEach((node, index) => {
      takeCalls(node);
      const isDue = (now / slotMs + index) % tickSlots === 0;
      if (!isDue || strategy === Strategy.Baseline || node.id === paused) {
        return;
      }
      run(node, {
        type: "ticked",
        now,
        wall: startWall + now,
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
    ...(shownAt === undefined
      ? {}
      : { stopMs: Math.max(0, lastNewAt - shownAt) }),
    ...(alarmAt === undefined
      ? {}
      : { alarmMs: Math.max(0, lastNewAt - alarmAt) }),
    ...(firstBadAt === undefined
      ? {}
      : { exposedMs: Math.max(0, lastNewAt - firstBadAt) }),
  };
}

function snap(time: number): number {
  return Math.ceil(time / slotMs) * slotMs;
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
