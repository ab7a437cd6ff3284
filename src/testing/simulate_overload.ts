/**
 * Replays a load on the queues of several endpoints, without a network: calls
 * are offered as callers offer them, refused calls come back, and running calls
 * make nested ones. Time is simulated, and the seed is fixed.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { retryAfterMs } from "../calls/retry_after.ts";
import { lateWaitShare } from "../shedding/late_wait_share.ts";
import { decideQueue, reportQueue } from "../queue/decide_queue.ts";
import {
  createQueueState,
  type QueueEffect,
  type QueueState,
  RefusalReason,
} from "../queue/state.ts";

const SEED = 20_261_206;

/** Interval of queue checks, in milliseconds, as of a home node. */
const TICK_MS = 40;

/** Homes that one request is sent to before its caller is refused. */
const MAX_OFFERS = 6;

/** Run times vary from this fraction of the mean to its counterpart above. */
const LEAST_RUN_SHARE = 0.6;

/** Calls of one route. */
export interface RouteLoad {
  readonly name: string;
  readonly service: string;
  /** Calls of clients per second. 0 for a route that only nested calls use. */
  readonly perSecond: (now: number) => number;
  readonly runMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Time after which the node answers a request, if it is shorter. */
  readonly timeoutMs?: number;
  readonly urgency: number;
  /** What an answer within the objective, and one after it, is worth. */
  readonly worth: readonly [number, number];
  /** Nested calls that a run makes, one after the other. */
  readonly nested?: { readonly route: string; readonly count: number };
  /** Accounts that the calls belong to, with the share of calls of each. */
  readonly accounts?: ReadonlyMap<string, number>;
}

export interface OverloadOptions {
  /** Run time of each endpoint of a service relative to the route's. */
  readonly endpoints: ReadonlyMap<string, readonly number[]>;
  readonly slots: number;
  readonly routes: readonly RouteLoad[];
  readonly durationMs: number;
  /** Whether refused callers come back after the time that they are told. */
  readonly areRetried: boolean;
  /** Whether refused callers come back at once instead, up to 20 times. */
  readonly isAbusive?: boolean;
}

/** What the callers of a route, or of an account, got. */
export interface Served {
  calls: number;
  onTime: number;
  late: number;
  refused: number;
  /** Worth of the answers as a fraction of all calls answered on time. */
  worth: number;
  displaced: number;
}

interface Call {
  readonly key: number;
  readonly route: RouteLoad;
  readonly account: string | undefined;
  readonly bornAt: number;
  /** When the caller last sent the request. */
  sentAt: number;
  readonly parent: Run | undefined;
  offers: number;
  returns: number;
  refusedLate: boolean;
  readonly tried: Set<Endpoint>;
}

interface Endpoint {
  readonly state: QueueState;
  readonly speed: number;
}

interface Run {
  readonly call: Call;
  readonly endpoint: Endpoint;
  nestedLeft: number;
}

/** Returns what callers got, by route and by `route/account`. */
export function simulateOverload(
  opts: OverloadOptions,
): ReadonlyMap<string, Served> {
  const randomOf = (seed: number) => {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
  };
  const random = randomOf(SEED);
  const routes = new Map(opts.routes.map((route) => [route.name, route]));
  const services = new Map(
    [...opts.endpoints].map(([service, speeds]) => [
      service,
      speeds.map((speed) => ({ state: createQueueState(), speed })),
    ]),
  );
  const open = new Map<number, { call: Call; endpoint: Endpoint }>();
  const served = new Map<string, Served>();
  const agenda: { at: number; act: () => void }[] = [];
  let now = 0;
  let lastKey = 0;

  function schedule(at: number, act: () => void) {
    let low = 0;
    let high = agenda.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      // The agenda is in descending order, so that its next entry is the last.
      if ((agenda[middle]?.at ?? 0) > at) low = middle + 1;
      else high = middle;
    }
    agenda.splice(low, 0, { at, act });
  }

  /** `next` is of the route alone, so that policies meet the same arrivals. */
  function arrive(route: RouteLoad, next: () => number) {
    const rate = route.perSecond(now);
    schedule(now - Math.log(1 - next()) * 1_000 / rate, () => {
      if (now >= opts.durationMs) return;
      create(route, undefined, next());
      arrive(route, next);
    });
  }

  function create(route: RouteLoad, parent: Run | undefined, share = 0) {
    const account = route.accounts === undefined
      ? parent?.call.account
      : pick(route.accounts, share);
    const call: Call = {
      key: ++lastKey,
      route,
      account,
      bornAt: now,
      sentAt: now,
      parent,
      offers: 0,
      returns: 0,
      refusedLate: false,
      tried: new Set(),
    };
    offer(call);
  }

  function pick(accounts: ReadonlyMap<string, number>, share: number): string {
    let rest = share;
    for (const [name, share] of accounts) {
      rest -= share;
      if (rest <= 0) return name;
    }
    return "";
  }

  function offer(call: Call) {
    const { route, bornAt, parent } = call;
    const deadlineAt = Math.min(
      bornAt + route.deadlineMs,
      call.sentAt + (route.timeoutMs ?? Infinity),
    );
    if (now >= deadlineAt) return conclude(call, "refused");
    const endpoint = choose(call);
    if (endpoint === undefined) return giveUp(call, TICK_MS);
    call.offers++;
    call.tried.add(endpoint);
    const key = ++lastKey;
    open.set(key, { call, endpoint });
    apply(
      endpoint,
      decideQueue(endpoint.state, {
        type: "arrived",
        call: {
          key,
          route: route.name,
          urgency: route.urgency,
          isNested: parent !== undefined,
          arrivedAt: now,
          objectiveAt: bornAt + route.objectiveMs,
          deadlineAt,
          account: call.account,
          ...patienceOf(route),
        } as never,
        mayBeLate: call.refusedLate || call.offers > 2,
        now,
      }),
    );
  }

  /** The endpoint with the fewest calls for its speed, of those not tried. */
  function choose(call: Call): Endpoint | undefined {
    let best: Endpoint | undefined;
    let least = Infinity;
    for (const endpoint of services.get(call.route.service) ?? []) {
      if (call.tried.has(endpoint)) continue;
      const { running, waiting } = reportQueue(endpoint.state);
      const cost = (running + waiting + random()) * endpoint.speed;
      if (cost < least) [best, least] = [endpoint, cost];
    }
    return best;
  }

  function apply(endpoint: Endpoint, effects: readonly QueueEffect[]) {
    for (const effect of effects) {
      const entry = open.get(effect.key);
      if (entry === undefined) continue;
      switch (effect.type) {
        case "start": {
          const { call } = entry;
          const nestedLeft = call.route.nested?.count ?? 0;
          work(effect.key, { call, endpoint, nestedLeft }, nestedLeft + 1);
          break;
        }
        case "refuse":
          open.delete(effect.key);
          refuse(entry.call, effect.reason, effect.waitMs);
          break;
        case "overdue":
        case "delayed":
          break;
        default:
          exhausted(effect);
      }
    }
  }

  /** Runs one of `parts` parts of a call, between which it makes nested calls. */
  function work(key: number, run: Run, parts: number) {
    const spread = LEAST_RUN_SHARE + random() * 2 * (1 - LEAST_RUN_SHARE);
    const tookMs = run.call.route.runMs / parts * run.endpoint.speed * spread;
    schedule(now + tookMs, () => {
      const nested = routes.get(run.call.route.nested?.route ?? "");
      if (run.nestedLeft === 0 || nested === undefined) {
        return end(key, run, true);
      }
      run.nestedLeft--;
      pending.set(run, (isServed) => {
        pending.delete(run);
        if (isServed) work(key, run, parts);
        else end(key, run, false);
      });
      create(nested, run);
    });
  }

  const pending = new Map<Run, (isServed: boolean) => void>();

  function end(key: number, run: Run, isServed: boolean) {
    open.delete(key);
    const { state } = run.endpoint;
    const event = { type: "ended", key, isAnswered: isServed, now } as const;
    const effects = decideQueue(state, event);
    const { bornAt, route } = run.call;
    const tookMs = now - bornAt;
    if (!isServed || tookMs > route.deadlineMs) conclude(run.call, "refused");
    else conclude(run.call, tookMs <= route.objectiveMs ? "onTime" : "late");
    apply(run.endpoint, effects);
  }

  function refuse(call: Call, reason: RefusalReason, waitMs: number) {
    const isFull = reason === RefusalReason.QueueFull ||
      call.offers >= MAX_OFFERS ||
      (reason !== RefusalReason.Late && call.offers > 2);
    if (reason === ("displaced" as never)) sumsOf(call).displaced++;
    if (isFull) return giveUp(call, waitMs);
    if (reason === RefusalReason.Late) {
      call.refusedLate = call.offers >= 1;
      if (call.refusedLate) call.tried.clear();
    }
    schedule(now + 2, () => offer(call));
  }

  function giveUp(call: Call, waitMs: number) {
    const leftMs = call.bornAt + call.route.deadlineMs - now;
    const isAbusive = opts.isAbusive === true && call.returns < 20;
    const isRetried = opts.areRetried && call.parent === undefined &&
      leftMs > call.route.runMs && call.returns < 4;
    if (!isAbusive && !isRetried) return conclude(call, "refused");
    call.returns++;
    call.offers = 0;
    call.refusedLate = false;
    call.tried.clear();
    const delayMs = isAbusive
      ? 5
      : retryAfterMs({ waitMs, leftMs, random: random() });
    schedule(now + delayMs, () => {
      call.sentAt = now;
      offer(call);
    });
  }

  function sumsOf(call: Call): Served {
    return sumsAt(call.route.name);
  }

  function sumsAt(name: string): Served {
    let sums = served.get(name);
    if (sums === undefined) {
      sums = {
        calls: 0,
        onTime: 0,
        late: 0,
        refused: 0,
        worth: 0,
        displaced: 0,
      };
      served.set(name, sums);
    }
    return sums;
  }

  function conclude(call: Call, result: "onTime" | "late" | "refused") {
    const { route, account } = call;
    const names = account === undefined
      ? [route.name]
      : [route.name, `${route.name}/${account}`];
    for (const name of names) {
      const sums = sumsAt(name);
      sums.calls++;
      sums[result]++;
      const [onTime, late] = route.worth;
      if (result === "onTime") sums.worth++;
      if (result === "late") sums.worth += late / onTime;
    }
    if (call.parent !== undefined) {
      pending.get(call.parent)?.(result !== "refused");
    }
  }

  for (const endpoints of services.values()) {
    for (const endpoint of endpoints) {
      decideQueue(endpoint.state, {
        type: "gate-changed",
        gate: { type: "open", slots: opts.slots },
        coldUntil: -Infinity,
        now,
      });
      const tick = () => {
        apply(endpoint, decideQueue(endpoint.state, { type: "ticked", now }));
        if (now < opts.durationMs + 20_000) schedule(now + TICK_MS, tick);
      };
      schedule(random() * TICK_MS, tick);
    }
  }
  opts.routes.forEach((route, n) => {
    if (route.perSecond(0) > 0) arrive(route, randomOf(SEED + 1 + n));
  });
  for (let next = agenda.pop(); next !== undefined; next = agenda.pop()) {
    now = next.at;
    next.act();
  }
  return served;
}

function patienceOf({ objectiveMs, deadlineMs }: RouteLoad) {
  return { lateShare: lateWaitShare(deadlineMs / objectiveMs) };
}

/** Describes what callers got in percent of their calls. */
export function describeServed(
  served: ReadonlyMap<string, Served>,
): readonly string[] {
  return [...served].filter(([name]) => !name.includes("/")).map(
    ([name, { calls, onTime, late, refused, worth, displaced }]) => {
      const share = (count: number) => (100 * count / calls).toFixed(1);
      return `${name}: ${calls} calls, on time ${share(onTime)}, late ${
        share(late)
      }, refused ${share(refused)}, worth ${share(worth)}, ` +
        `displaced ${displaced}`;
    },
  );
}
