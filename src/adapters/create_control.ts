/**
 * The control plane of a node: the drivers of all slices on one control loop.
 * @module
 */
import createDebug from "debug";
import type { SnapshotPolicy } from "../config_log/decide_snapshot.ts";
import type { ConfigRecord } from "../config_log/messages.ts";
import type { ConfigState, SubmitOutcome } from "../config_log/state.ts";
import { createControlLoop, Priority } from "../control/create_control_loop.ts";
import { exhausted } from "../core/exhausted.ts";
import type {
  Announcement,
  Directory,
  NodeId,
  NodeInfo,
} from "../core/types.ts";
import { aliveIds } from "../membership/alive_ids.ts";
import type { MembershipState } from "../membership/state.ts";
import type { CallEvent, EvidencePoint } from "../rollout/state.ts";
import type { ServingConfig } from "../serving/state.ts";
import { NOOP_RECORDER, type Recorder } from "../trace/create_recorder.ts";
import type { ControlContext } from "./control_context.ts";
import { type ConfigDriver, driveConfig } from "./drive_config.ts";
import { driveMesh } from "./drive_mesh.ts";
import {
  type ClaimRequestDriver,
  driveClaimRequests,
} from "./drive_claim_requests.ts";
import { driveQuarantine, type QuarantineDriver } from "./drive_quarantine.ts";
import { driveRollout } from "./drive_rollout.ts";
import type { LogClient } from "./log_client.ts";
import { type Metrics, NOOP_METRICS } from "./metrics.ts";
import type { PeerMessage } from "./peer_message.ts";

const logger = createDebug("lagoon:control");

/** Interval at which all drivers are ticked. */
const TICK_INTERVAL_MS = 1_000;
/** Number of waiting events from which the control loop refuses gossip. */
const MAX_WAITING_EVENTS = 10_000;

/** Options of `createControl`. */
export interface CreateControlOptions {
  readonly self: NodeInfo;
  readonly seeds: readonly NodeId[];
  readonly log: LogClient;
  readonly snapshots?: SnapshotPolicy;
  readonly metrics?: Metrics;
  readonly recorder?: Recorder;
  readonly send: (to: NodeId, message: PeerMessage) => void;
}

/** The control plane as the rest of the node uses it. */
export interface Control {
  readonly directory: Directory;
  readonly membership: Readonly<MembershipState>;
  /** Versions to which this node sends no calls, `service@version`. */
  readonly held: ReadonlySet<string>;
  readonly claimRequests: ClaimRequestDriver;
  readonly quarantine: QuarantineDriver;
  config(): ConfigState;
  /** Configuration in force, undefined while there is none. */
  serving(): ServingConfig | undefined;
  receive(from: NodeId, message: PeerMessage): void;
  /** Returns how a peer contradicts the known membership, if it does. */
  checkPeer(info: NodeInfo): string | undefined;
  announce(announcement: Announcement): void;
  /** Records that an attempt of a call began, ended or was abandoned. */
  recordCall(event: CallEvent): void;
  /** Evidence over time of a rollout that this node led, oldest first. */
  rolloutHistory(rollout: string): readonly EvidencePoint[];
  /** Appends a record. Resolves with its verdict once it was folded. */
  submit(record: ConfigRecord): Promise<SubmitOutcome>;
  /** Notifies the members that this node leaves. */
  leave(): Promise<void>;
  close(): void;
}

/** Starts the control plane of a node. */
export function createControl(opts: CreateControlOptions): Control {
  const { self, log } = opts;
  const loop = createControlLoop({
    onError: (err) => logger("Control loop event failed: %O.", err),
    maxWaiting: MAX_WAITING_EVENTS,
  });
  const now = () => performance.now();
  const { metrics = NOOP_METRICS, recorder = NOOP_RECORDER, send } = opts;
  const context: ControlContext = {
    self,
    loop,
    now,
    metrics,
    recorder,
    send,
  };
  const mesh = driveMesh({
    context,
    seeds: opts.seeds,
    log,
    config: (): ConfigDriver => config,
    deliver: receive,
  });
  const config = driveConfig({
    context,
    log,
    ...(opts.snapshots === undefined ? {} : { snapshots: opts.snapshots }),
    directory: () => mesh.directory,
    floor: mesh.floor,
    onFolded: mesh.handleFolded,
    onApplied: mesh.handleApplied,
  });
  const rollout = driveRollout({ context, config, mesh });
  const members = () => aliveIds(mesh.membership);
  const claimRequests = driveClaimRequests({ context, log, members });
  const quarantine = driveQuarantine({ context, members });

  function receive(from: NodeId, message: PeerMessage) {
    switch (message.type) {
      case "membership/join":
      case "membership/welcome":
      case "membership/rows":
      case "membership/ping":
      case "membership/ack":
      case "membership/sync":
      case "membership/applied":
      case "membership/summary":
      case "membership/marks":
      case "membership/want-summary":
      case "membership/want-floor":
      case "membership/floor":
        return mesh.receiveMembership(from, message);
      case "distribution/records":
      case "distribution/head":
      case "distribution/fetch":
      case "distribution/page":
      case "distribution/repair":
      case "distribution/snapshot":
        return mesh.receiveDistribution(from, message);
      case "overlay/broadcast":
      case "overlay/ack":
        return mesh.receiveOverlay(from, message);
      case "rollout/evidence":
      case "rollout/hold":
      case "rollout/held":
      case "rollout/release":
      case "rollout/leading":
        return rollout.receive(from, message);
      case "once/claim":
      case "once/verdict":
      case "once/finish":
      case "once/finished":
        return claimRequests.receive(from, message);
      case "quarantine/rows":
      case "quarantine/heard":
      case "quarantine/ask":
      case "quarantine/answer":
      case "quarantine/over":
        return quarantine.receive(from, message);
      default:
        exhausted(message);
    }
  }

  function tick() {
    mesh.tick();
    config.tick(mesh.isReader());
    rollout.tick();
    claimRequests.tick();
    quarantine.tick();
  }
  loop.post(Priority.Config, tick);
  const timer = setInterval(
    () => loop.post(Priority.Config, tick),
    TICK_INTERVAL_MS,
  );

  /** Runs `handle` on the control loop and resolves with its result. */
  const runOnLoop = <T>(priority: Priority, handle: () => T | Promise<T>) =>
    new Promise<T>((resolve) => {
      loop.post(priority, () => resolve(handle()));
    });

  return {
    directory: mesh.directory,
    membership: mesh.membership,
    held: rollout.held,
    claimRequests,
    quarantine,
    config: config.state,
    serving: config.serving,
    receive: (from, message) => {
      loop.post(Priority.Gossip, () => receive(from, message));
    },
    checkPeer: mesh.checkPeer,
    announce: (announcement) => {
      loop.post(Priority.Drain, () => mesh.announce(announcement));
    },
    recordCall: rollout.recordCall,
    rolloutHistory: rollout.history,
    submit: config.submit,
    leave: () => runOnLoop(Priority.Drain, mesh.leave),
    close: () => {
      clearInterval(timer);
      claimRequests.close();
      quarantine.close();
      mesh.close();
      config.close();
      loop.close();
    },
  };
}
