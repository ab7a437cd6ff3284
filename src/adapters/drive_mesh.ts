/**
 * Drives membership and the spreading of records between nodes.
 * @module
 */
import createDebug from "debug";
import { configStream, type LogRecord } from "../config_log/messages.ts";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type { Announcement, Directory, NodeId, Offset } from "../core/types.ts";
import { encodeSnapshot } from "../config_log/encode_snapshot.ts";
import { decideDistribution } from "../distribution/decide_distribution.ts";
import type { DistributionMessage } from "../distribution/messages.ts";
import {
  createDistributionState,
  type DistributionEvent,
} from "../distribution/state.ts";
import { createDirectory } from "../membership/create_directory.ts";
import { aliveIds, decideMembership } from "../membership/decide_membership.ts";
import type { MembershipMessage } from "../membership/messages.ts";
import {
  createMembershipState,
  type MembershipEvent,
  type MembershipState,
} from "../membership/state.ts";
import type { ControlContext } from "./control_context.ts";
import type { ConfigDriver } from "./drive_config.ts";
import { followLog, type LogFollower } from "./follow_log.ts";
import type { LogClient } from "./log_client.ts";

const logConfig = createDebug("lagoon:config");
const logMembers = createDebug("lagoon:members");

/** Options of `driveMesh`. */
export interface DriveMeshOptions {
  readonly context: ControlContext;
  readonly seeds: readonly NodeId[];
  readonly log: LogClient;
  readonly config: () => ConfigDriver;
}

export interface MeshDriver {
  readonly directory: Directory;
  readonly membership: Readonly<MembershipState>;
  isReader(): boolean;
  /** Live nodes of the own domain, and gateways of the others. */
  aliveNodes(): NodeId[];
  receiveMembership(from: NodeId, message: MembershipMessage): void;
  receiveDistribution(from: NodeId, message: DistributionMessage): void;
  noteFolded(records: readonly LogRecord[]): void;
  noteApplied(version: Offset): void;
  announce(announcement: Announcement): void;
  leave(): void;
  tick(): void;
  close(): void;
}

/** Creates the driver. All its methods run on the control loop. */
export function driveMesh(opts: DriveMeshOptions): MeshDriver {
  const { context, log, config } = opts;
  const { self, loop, now, send } = context;
  let follower: LogFollower | undefined;
  const distribution = createDistributionState(self.id, 1);
  const membership = createMembershipState({
    self,
    seeds: opts.seeds,
    startedAt: Date.now(),
    now: now(),
  });
  const gateways = () =>
    [...membership.summaries.values()].flatMap((known) =>
      known.summary.gateways
    );

  function runMembership(event: MembershipEvent) {
    for (const effect of decideMembership(membership, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "upstreams-changed":
          config().recompile();
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
          config().fold(effect.records);
          break;
        case "load-snapshot":
          config().loadSnapshot(effect.snapshot);
          break;
        case "send-snapshot": {
          const snapshot = encodeSnapshot(config().state());
          send(effect.to, { type: "distribution/snapshot", snapshot });
          break;
        }
        default:
          exhausted(effect);
      }
    }
  }

  function follow(isReader: boolean) {
    follower?.close();
    follower = undefined;
    if (!isReader) return;
    logConfig("This node follows the log.");
    follower = followLog({
      log,
      stream: configStream,
      next: () => config().state().next,
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

  return {
    directory: createDirectory(membership),
    membership,
    isReader: () => distribution.isReader,
    aliveNodes: () => [...aliveIds(membership), ...gateways()],
    receiveMembership: (from, message) =>
      runMembership({ type: "received", from, message, now: now() }),
    receiveDistribution: (from, message) => {
      const members = aliveIds(membership);
      runDistribution({ type: "received", from, message, members });
    },
    noteFolded: (records) => {
      const { next, digest } = config().state();
      const members = aliveIds(membership);
      runDistribution({ type: "folded", next, digest, records, members });
    },
    noteApplied: (version) =>
      runMembership({ type: "applied", version, now: now() }),
    announce: (announcement) =>
      runMembership({ type: "announced", announcement, now: now() }),
    leave: () => runMembership({ type: "leaving", now: now() }),
    tick: () => {
      runMembership({ type: "ticked", now: now() });
      runDistribution({
        type: "ticked",
        members: aliveIds(membership),
        domain: self.domain,
        gateways: gateways(),
        random: Math.random(),
      });
    },
    close: () => follower?.close(),
  };
}
