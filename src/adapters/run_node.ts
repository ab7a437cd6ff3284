/**
 * Starts a node: its control plane, call path and three ports.
 * @module
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import createDebug from "debug";
import type { NodeSettings } from "../settings/node_settings.ts";
import { setUpAdmin } from "./admin_server.ts";
import { createCallPath } from "./create_call_path.ts";
import { type Control, createControl } from "./create_control.ts";
import { createMetrics } from "./create_metrics.ts";
import { openHttpServer } from "./http_server.ts";
import { createLogClient } from "./log_client.ts";
import { type NodeUsage, reportUsage } from "./node_usage.ts";
import { openRecording } from "./open_recording.ts";
import {
  createLinkTotals,
  createPeerLinks,
  type PeerLinks,
} from "./peer_links.ts";

const log = createDebug("lagoon:node");

/** Timeout of requests to the log, in addition to a poll's wait. */
const LOG_TIMEOUT_MS = 5_000;

/** Time for peers to receive the leave message before connections close. */
const LEAVE_GRACE_MS = 300;

/** Added to the longest timeout of a route when the node stops. */
const STOP_MARGIN_MS = 1_000;

/** Time for the outcomes of calls with a key to be recorded in the log. */
const OUTCOME_TIMEOUT_MS = 2_000;

/** Limit on the wait for calls in flight, without `STOP_MARGIN_MS`. */
const MAX_STOP_MS = 120_000;

export interface RunningNode {
  readonly control: Control;
  /**
   * Graceful shutdown: finishes calls in flight, then closes everything. Later
   * calls of `close` return the promise of the first call.
   */
  close(): Promise<void>;
}

/** Starts a node. Rejects if a port is in use. */
export async function runNode(settings: NodeSettings): Promise<RunningNode> {
  const { keys, domain, region } = settings;
  const self = {
    id: settings.peerAddr,
    domain,
    region,
    boot: randomUUID(),
  };
  const logClient = createLogClient({
    url: settings.logUrl,
    timeoutMs: LOG_TIMEOUT_MS,
  });
  const metrics = await createMetrics({
    address: settings.statsdAddr,
    domain,
    node: self.id,
  });
  const recording = openRecording({ file: settings.record, node: self.id });
  const { recorder } = recording;
  // The links need the peer server, which needs the call path, so they are
  // created last.
  let links: PeerLinks | undefined;
  const control = createControl({
    self,
    seeds: settings.seeds,
    log: logClient,
    metrics,
    recorder,
    ...(settings.snapshots === undefined
      ? {}
      : { snapshots: settings.snapshots }),
    send: (to, message) => links?.send(to, message),
  });
  const callPath = createCallPath({ control, self, keys, recorder });
  const usage = (): NodeUsage => ({
    peers: links?.totals ?? createLinkTotals(),
    log: logClient.totals,
    calls: callPath.totals,
  });
  const reporter = reportUsage({ metrics, usage });
  const peers = await openHttpServer({
    address: settings.peerAddr,
    handlesExpect: true,
    setUp: (app, server) => {
      callPath.setUpForwards(app);
      links = createPeerLinks({
        self,
        server,
        keys,
        onMessage: control.receive,
        checkPeer: control.checkPeer,
      });
    },
  });
  const admin = await openHttpServer({
    address: settings.adminAddr,
    setUp: (app) =>
      setUpAdmin({ app, control, keys, domain, nodeId: self.id, usage }),
  });
  const calls = await openHttpServer({
    address: settings.callAddr,
    handlesExpect: true,
    setUp: callPath.setUpCalls,
  });
  log("Node %s of failure domain %s started.", self.id, domain);

  let closed: Promise<void> | undefined;

  return { control, close: () => closed ??= shutDown() };

  async function shutDown() {
    log("Node %s is leaving the mesh.", self.id);
    const timeoutMs = longestCallMs(control) + STOP_MARGIN_MS;
    await control.leave();
    callPath.stop();
    await sleep(LEAVE_GRACE_MS);
    await Promise.all([calls.close(timeoutMs), callPath.idle(timeoutMs)]);
    await callPath.close();
    await control.claimRequests.idle(OUTCOME_TIMEOUT_MS);
    control.close();
    reporter.close();
    links?.close();
    await peers.close();
    await admin.close();
    await logClient.close();
    await metrics.close();
    await recording.close();
    log("Node %s stopped.", self.id);
  }
}

/** Returns the longest time that a call in flight may still take. */
function longestCallMs(control: Control): number {
  let longest = 0;
  for (const served of control.serving()?.services.values() ?? []) {
    for (const route of served.routes) {
      longest = Math.max(longest, route.timeoutMs);
    }
  }
  return Math.min(longest, MAX_STOP_MS);
}
