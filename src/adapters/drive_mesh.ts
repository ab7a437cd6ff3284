/**
 * Drives membership, broadcasts and the distribution of records between nodes.
 * @module
 */
import createDebug from "debug";
import {
  CONFIG_STREAM,
  type LogRecord,
  RecordKind,
} from "../config_log/messages.ts";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type {
  Announcement,
  Directory,
  NodeId,
  NodeInfo,
  Offset,
} from "../core/types.ts";
import { decideDistribution } from "../distribution/decide_distribution.ts";
import type { DistributionMessage } from "../distribution/messages.ts";
import {
  createDistributionState,
  type DistributionEvent,
  type OverlayView,
} from "../distribution/state.ts";
import { createDirectory } from "../membership/create_directory.ts";
import { decideMembership } from "../membership/decide_membership.ts";
import { type MembershipMessage } from "../membership/messages.ts";
import { overlayOf } from "../membership/overlay_of.ts";
import { remoteGateways } from "../membership/publish_summary.ts";
import {
  createMembershipState,
  type MembershipEvent,
  type MembershipState,
} from "../membership/state.ts";
import { findContradiction } from "../membership/apply_row.ts";
import { decideBroadcast } from "../overlay/decide_broadcast.ts";
import type { OverlayMessage } from "../overlay/messages.ts";
import {
  ACK_TIMEOUT_MS,
  type BroadcastEvent,
  createBroadcastState,
} from "../overlay/state.ts";
import { TraceSlice } from "../trace/messages.ts";
import type { ControlContext } from "./control_context.ts";
import type { ConfigDriver } from "./drive_config.ts";
import { followLog, type LogFollower } from "./follow_log.ts";
import type { LogClient, LogPage } from "./log_client.ts";
import type { SliceMessage } from "./peer_message.ts";

const debugConfig = createDebug("lagoon:config");
const debugMembers = createDebug("lagoon:members");

/** Maximum number of seeds taken from a failure domain's presence record. */
const SEEDS_PER_DOMAIN = 3;

/** Options of `driveMesh`. */
export interface DriveMeshOptions {
  readonly context: ControlContext;
  readonly seeds: readonly NodeId[];
  readonly log: LogClient;
  readonly config: () => ConfigDriver;
  /** Handles a message that `origin` broadcast to the failure domain. */
  readonly deliver: (origin: NodeId, message: SliceMessage) => void;
}

export interface MeshDriver {
  readonly directory: Directory;
  readonly membership: Readonly<MembershipState>;
  isReader(): boolean;
  /** Lowest version that may be served, undefined until it is known. */
  floor(): Offset | undefined;
  /** Returns how a peer contradicts the known membership, if it does. */
  checkPeer(info: NodeInfo): string | undefined;
  receiveMembership(from: NodeId, message: MembershipMessage): void;
  receiveDistribution(from: NodeId, message: DistributionMessage): void;
  receiveOverlay(from: NodeId, message: OverlayMessage<SliceMessage>): void;
  /** Broadcasts to all other members of the failure domain over the ring. */
  broadcast(message: SliceMessage): void;
  handleFolded(records: readonly LogRecord[]): void;
  handleApplied(version: Offset): void;
  announce(announcement: Announcement): void;
  leave(): void;
  tick(): void;
  close(): void;
}

/** Creates the driver. All its methods run on the control loop. */
export function driveMesh(opts: DriveMeshOptions): MeshDriver {
  const { context, log, config } = opts;
  const { self, loop, now, send, recorder } = context;
  let follower: LogFollower | undefined;
  const distributionOptions = { self: self.id, next: 1 };
  const distribution = recorder.created(
    TraceSlice.Distribution,
    distributionOptions,
    createDistributionState(distributionOptions.self, distributionOptions.next),
  );
  const membershipOptions = {
    self,
    seeds: opts.seeds,
    startedAt: Date.now(),
    now: now(),
  };
  const membership = recorder.created(
    TraceSlice.Membership,
    membershipOptions,
    createMembershipState(membershipOptions),
  );
  const decideMember = recorder.traced(
    TraceSlice.Membership,
    decideMembership,
  );
  const decideRecords = recorder.traced(
    TraceSlice.Distribution,
    decideDistribution,
  );
  const broadcasts = createBroadcastState<SliceMessage>(self.id, self.boot);
  let broadcastTimer: NodeJS.Timeout | undefined;
  /** Head of the log when the first page was read. */
  let firstHead: Offset | undefined;
  /** Head that the state must reach before the version floor is reported. */
  let awaitedHead: Offset | undefined;
  let presence: ReadonlyMap<string, readonly NodeId[]> = new Map();
  const gateways = () => remoteGateways(membership);
  const ring = () => overlayOf(membership).ring;
  const view = (): OverlayView => ({
    ...overlayOf(membership),
    gateways: gateways(),
  });

  function runMembership(event: MembershipEvent) {
    for (const effect of decideMember(membership, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "upstreams-changed":
          config().recompile();
          break;
        case "floor-known":
          debugMembers(
            "Configuration versions below %d are not served.",
            effect.floor,
          );
          config().recompile();
          break;
        case "read-head":
          readHead();
          break;
        case "record-presence":
          config().submit({
            kind: RecordKind.Presence,
            domain: self.domain,
            nodes: effect.nodes,
          });
          break;
        case "member-changed":
          debugMembers("Member %s is %s.", effect.node, effect.status);
          break;
        case "refuse-peer":
          debugMembers("Peer %s refused: %s.", effect.peer, effect.reason);
          break;
        default:
          exhausted(effect);
      }
    }
  }

  async function readHead() {
    const bounds = await log.bounds(CONFIG_STREAM);
    loop.post(Priority.Config, () => {
      if (bounds.isErr()) return runMembership({ type: "head-unknown" });
      awaitedHead = bounds.value.head;
      checkAwaitedHead();
    });
  }

  function checkAwaitedHead() {
    const { next, version } = config().state();
    if (awaitedHead === undefined || next < awaitedHead) return;
    awaitedHead = undefined;
    runMembership({ type: "head-reached", version });
  }

  function runDistribution(event: DistributionEvent) {
    for (const effect of decideRecords(distribution, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "follow":
          follow(effect.isReader);
          break;
        case "fold":
          config().fold(effect.records);
          break;
        case "load-snapshot":
          config().loadSnapshot(effect.snapshot);
          break;
        case "send-snapshot": {
          const snapshot = config().snapshot();
          send(effect.to, { type: "distribution/snapshot", snapshot });
          break;
        }
        case "diverged":
          debugConfig(
            "State diverged at offset %d: digest %s on this node, %s on %s.",
            effect.next,
            effect.own,
            effect.theirs,
            effect.peer,
          );
          break;
        default:
          exhausted(effect);
      }
    }
  }

  function runBroadcast(event: BroadcastEvent<SliceMessage>) {
    for (const effect of decideBroadcast(broadcasts, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "deliver":
          opts.deliver(effect.origin, effect.message);
          break;
        default:
          exhausted(effect);
      }
    }
    if (broadcasts.unconfirmed.size === 0) return;
    broadcastTimer ??= setTimeout(() => {
      broadcastTimer = undefined;
      loop.post(Priority.Rollback, () => {
        runBroadcast({ type: "ticked", ring: ring(), now: now() });
      });
    }, ACK_TIMEOUT_MS).unref();
  }

  function handleLogPage(page: LogPage) {
    const { records } = page;
    firstHead ??= page.head;
    runDistribution({ type: "read", records, now: now(), view: view() });
    if (membership.floor === undefined && config().state().next >= firstHead) {
      runMembership({ type: "caught-up", now: now() });
    }
  }

  /** Adds seeds from presence records that have changed. */
  function updateSeeds() {
    const recorded = config().state().presence;
    const seeds = [...recorded].flatMap(([domain, nodes]) =>
      presence.get(domain) === nodes ? [] : nodes.slice(0, SEEDS_PER_DOMAIN)
    );
    presence = new Map(recorded);
    if (seeds.length > 0) runMembership({ type: "seeded", seeds });
  }

  function follow(isReader: boolean) {
    follower?.close();
    follower = undefined;
    if (!isReader) return;
    debugConfig("This node follows the log.");
    follower = followLog({
      log,
      stream: CONFIG_STREAM,
      next: () => config().state().next,
      onPage: (page) =>
        new Promise((resolve) => {
          loop.post(Priority.Config, () => {
            resolve();
            handleLogPage(page);
          });
        }),
      onGone: () => config().startOver(),
      onError: (err, failures) => {
        if (failures === 1) debugConfig("%s", formatError(err));
      },
    });
  }

  return {
    directory: createDirectory(membership),
    membership,
    isReader: () => distribution.isReader,
    floor: () => membership.floor,
    checkPeer: (info) => findContradiction(membership, info),
    receiveMembership: (from, message) =>
      runMembership({ type: "received", from, message, now: now() }),
    receiveDistribution: (from, message) =>
      runDistribution({
        type: "received",
        from,
        message,
        now: now(),
        view: view(),
      }),
    receiveOverlay: (from, message) =>
      runBroadcast({
        type: "received",
        from,
        message,
        ring: ring(),
        now: now(),
      }),
    broadcast: (message) =>
      runBroadcast({ type: "started", message, ring: ring(), now: now() }),
    handleFolded: (records) => {
      const { next, digest } = config().state();
      runDistribution({ type: "folded", next, digest, records });
      updateSeeds();
      checkAwaitedHead();
    },
    handleApplied: (version) =>
      runMembership({ type: "applied", version, now: now() }),
    announce: (announcement) =>
      runMembership({ type: "announced", announcement, now: now() }),
    leave: () => runMembership({ type: "leaving", now: now() }),
    tick: () => {
      runMembership({
        type: "ticked",
        now: now(),
        random: Math.random(),
        presence: presence.get(self.domain) ?? [],
      });
      runDistribution({
        type: "ticked",
        now: now(),
        view: view(),
        random: Math.random(),
      });
    },
    close: () => {
      clearTimeout(broadcastTimer);
      follower?.close();
    },
  };
}
