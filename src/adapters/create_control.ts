/**
 * The control side of a node: slices, their states and the effects between
 * them, all run in turn by one control loop.
 * @module
 */
import createDebug from "debug";
import { createConfigState } from "../config_log/create_config_state.ts";
import {
  type AppendEvent,
  createAppendState,
  decideAppend,
} from "../config_log/decide_append.ts";
import { decodeSnapshot } from "../config_log/decode_snapshot.ts";
import { encodeSnapshot } from "../config_log/encode_snapshot.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import {
  type ConfigRecord,
  configStream,
  type LogRecord,
} from "../config_log/messages.ts";
import type { ConfigState, Verdict } from "../config_log/state.ts";
import {
  type ControlLoop,
  createControlLoop,
  Priority,
} from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type {
  Announcement,
  Directory,
  NodeId,
  NodeInfo,
} from "../core/types.ts";
import { decideDistribution } from "../distribution/decide_distribution.ts";
import {
  createDistributionState,
  type DistributionEvent,
} from "../distribution/state.ts";
import { createDirectory } from "../membership/create_directory.ts";
import { aliveIds, decideMembership } from "../membership/decide_membership.ts";
import {
  createMembershipState,
  type MembershipEvent,
  type MembershipState,
} from "../membership/state.ts";
import { decideRollout } from "../rollout/decide_rollout.ts";
import { createRolloutState, type RolloutEvent } from "../rollout/state.ts";
import { compileConfig } from "../serving/compile_config.ts";
import { decideSwap } from "../serving/decide_swap.ts";
import type { ServingConfig } from "../serving/state.ts";
import { followLog, type LogFollower } from "./follow_log.ts";
import type { LogClient } from "./log_client.ts";
import type { PeerMessage } from "./peer_message.ts";

const logConfig = createDebug("lagoon:config");
const logMembers = createDebug("lagoon:members");

const tickMs = 1_000;
const maxWaitingEvents = 10_000;

/** Options of `createControl`. */
export interface CreateControlOptions {
  readonly self: NodeInfo;
  readonly seeds: readonly NodeId[];
  readonly log: LogClient;
  readonly send: (to: NodeId, message: PeerMessage) => void;
}

/** What the rest of the node sees of the control side. */
export interface Control {
  readonly directory: Directory;
  readonly membership: Readonly<MembershipState>;
  /** Versions that get no calls from this node, `service@version`. */
  readonly held: ReadonlySet<string>;
  config(): ConfigState;
  /** Configuration in force, none before the first. */
  serving(): ServingConfig | undefined;
  receive(from: NodeId, message: PeerMessage): void;
  announce(announcement: Announcement): void;
  noteAnswer(answer: Extract<RolloutEvent, { type: "answered" }>): void;
  /** Appends a record. Resolves with its verdict once the fold shows it. */
  submit(record: ConfigRecord): Promise<Verdict>;
  /** Tells the members that this node leaves. */
  leave(): Promise<void>;
  close(): void;
}

/** Starts the control side of a node. */
export function createControl(opts: CreateControlOptions): Control {
  const { self, log, send } = opts;
  const now = () => performance.now();
  const loop: ControlLoop = createControlLoop({
    onError: (err) => logConfig("Event failed: %O.", err),
    maxWaiting: maxWaitingEvents,
  });
  let config = createConfigState();
  let serving: ServingConfig | undefined;
  let follower: LogFollower | undefined;
  const append = createAppendState(`${self.id}/${self.boot}`);
  const waiting = new Map<number, (verdict: Verdict) => void>();
  const distribution = createDistributionState(self.id, config.next);
  const membership = createMembershipState({
    self,
    seeds: opts.seeds,
    startedAt: Date.now(),
    now: now(),
  });
  const directory = createDirectory(membership);
  const rollout = createRolloutState(self.id);

  function runMembership(event: MembershipEvent) {
    for (const effect of decideMembership(membership, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "upstreams-changed":
          recompile();
          break;
        case "refuse-peer":
          logMembers("Peer %s refused: %s.", effect.peer, effect.reason);
          break;
        default:
          exhausted(effect);
      }
    }
  }

  function runDistribution(event: DistributionEvent) {
    for (const effect of decideDistribution(distribution, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "follow":
          follow(effect.isReader);
          break;
        case "fold":
          foldAll(effect.records);
          break;
        case "load-snapshot": {
          const decoded = decodeSnapshot(effect.snapshot);
          if (decoded.isErr()) {
            logConfig("%s", formatError(decoded.error));
            break;
          }
          config = decoded.value;
          logConfig("Snapshot through %d loaded.", effect.snapshot.through);
          noteFolded([]);
          break;
        }
        case "send-snapshot":
          send(effect.to, {
            type: "distribution/snapshot",
            snapshot: encodeSnapshot(config),
          });
          break;
        default:
          exhausted(effect);
      }
    }
  }

  function foldAll(records: readonly LogRecord[]) {
    for (const record of records) {
      const verdict = foldRecord({ state: config, record });
      settleOwn(record, verdict);
    }
    noteFolded(records);
  }

  /** Tells the writer's queue that one of its records came through. */
  function settleOwn(record: LogRecord, verdict: Verdict) {
    if (append.pending.length === 0) return;
    const mark = config.writers.get(append.writer);
    if (mark?.lastOffset !== record.offset) return;
    runAppend({ type: "folded", seq: mark.seq, verdict, now: now() });
  }

  function noteFolded(records: readonly LogRecord[]) {
    const members = aliveIds(membership);
    const { next, digest } = config;
    runDistribution({ type: "folded", next, digest, records, members });
    recompile();
  }

  function recompile() {
    const candidate = compileConfig({ state: config, directory });
    const decision = decideSwap({ current: serving, candidate, floor: 0 });
    switch (decision.type) {
      case "swap":
        if (candidate.version === 0) return;
        if (candidate.version !== serving?.version) {
          logConfig("Version %d is in force.", candidate.version);
        }
        serving = candidate;
        if (membership.applied !== candidate.version) {
          const { version } = candidate;
          runMembership({ type: "applied", version, now: now() });
        }
        return;
      case "older":
      case "broken":
        logConfig("Version %d refused: %s.", candidate.version, decision);
        return;
      default:
        exhausted(decision);
    }
  }

  function runAppend(event: AppendEvent) {
    for (const effect of decideAppend(append, event)) {
      switch (effect.type) {
        case "append":
          sendBatch(effect.envelopes.map((one) => JSON.stringify(one)));
          break;
        case "settle":
          waiting.get(effect.seq)?.(effect.verdict);
          waiting.delete(effect.seq);
          break;
        case "overflow":
          logConfig("Record %s dropped: too many wait.", effect.record.kind);
          break;
        default:
          exhausted(effect);
      }
    }
  }

  async function sendBatch(bodies: readonly string[]) {
    const reply = await log.append(configStream, bodies);
    if (reply.isErr()) logConfig("%s", formatError(reply.error));
    loop.post(Priority.Config, () =>
      runAppend(
        reply.isOk()
          ? { type: "replied", now: now() }
          : { type: "failed", now: now(), random: Math.random() },
      ));
  }

  function runRollout(event: RolloutEvent) {
    for (const effect of decideRollout(rollout, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "append":
          submit(effect.record);
          break;
        case "hold-changed":
          break;
        default:
          exhausted(effect);
      }
    }
  }

  function submit(record: ConfigRecord): number {
    const seq = append.nextSeq;
    const at = new Date().toISOString();
    runAppend({ type: "submitted", record, at, now: now() });
    return seq;
  }

  function follow(isReader: boolean) {
    follower?.close();
    follower = undefined;
    if (!isReader) return;
    logConfig("This node follows the log.");
    follower = followLog({
      log,
      stream: configStream,
      next: () => config.next,
      onPage: ({ records }) =>
        new Promise((resolve) => {
          loop.post(Priority.Config, () => {
            resolve();
            runDistribution({ type: "read", records });
          });
        }),
      onGone: () => Promise.resolve(),
      onError: (err, failures) => {
        if (failures === 1) logConfig("%s", formatError(err));
      },
    });
  }

  function tick() {
    runMembership({ type: "ticked", now: now() });
    const gateways = [...membership.summaries.values()].flatMap((known) =>
      known.summary.gateways
    );
    const members = aliveIds(membership);
    runDistribution({
      type: "ticked",
      members,
      domain: self.domain,
      gateways,
      random: Math.random(),
    });
    runAppend({ type: "ticked", now: now() });
    runRollout({
      type: "ticked",
      now: now(),
      wall: Date.now(),
      config,
      isReader: distribution.isReader,
      alive: new Set([...members, ...gateways]),
    });
  }

  function receive(from: NodeId, message: PeerMessage) {
    switch (message.type) {
      case "membership/rows":
      case "membership/summary":
        return runMembership({ type: "received", from, message, now: now() });
      case "distribution/records":
      case "distribution/head":
      case "distribution/fetch":
      case "distribution/snapshot": {
        const members = aliveIds(membership);
        return runDistribution({ type: "received", from, message, members });
      }
      case "rollout/evidence":
        return runRollout({ type: "received", from, message });
      default:
        exhausted(message);
    }
  }

  loop.post(Priority.Config, tick);
  const timer = setInterval(() => loop.post(Priority.Config, tick), tickMs);

  return {
    directory,
    membership,
    held: rollout.held,
    config: () => config,
    serving: () => serving,
    receive: (from, message) => {
      loop.post(Priority.Gossip, () => receive(from, message));
    },
    announce: (announcement) => {
      loop.post(
        Priority.Drain,
        () => runMembership({ type: "announced", announcement, now: now() }),
      );
    },
    noteAnswer: (answer) => runRollout(answer),
    submit: (record) =>
      new Promise((resolve) => {
        loop.post(Priority.Config, () => waiting.set(submit(record), resolve));
      }),
    leave: () =>
      new Promise((resolve) => {
        loop.post(Priority.Drain, () => {
          runMembership({ type: "leaving", now: now() });
          resolve();
        });
      }),
    close: () => {
      clearInterval(timer);
      follower?.close();
      loop.close();
    },
  };
}
