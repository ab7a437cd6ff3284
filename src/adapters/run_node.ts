/**
 * Puts a node together: control, calls and the three ports.
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

const logTimeoutMs = 5_000;

/** Time in which peers hear of the leave before connections close. */
const leaveGraceMs = 300;

/** Added to the longest timeout of a route when the node stops. */
const stopSlackMs = 1_000;

/** Time for outcomes of keyed calls to reach the log, in milliseconds. */
const recordBoundMs = 2_000;

const longestStopMs = 120_000;

export interface RunningNode {
  readonly control: Control;
  /**
   * Graceful shutdown: finishes calls in flight, then closes all. Called again,
   * it resolves with the first.
   */
  close(): Promise<void>;
}

/** Starts a node. Rejects when a port is taken. */
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
    timeoutMs: logTimeoutMs,
  });
  const metrics = await createMetrics({
    address: settings.statsdAddr,
    domain,
    node: self.id,
  });
  const recording = openRecording({ file: settings.record, node: self.id });
  const { recorder } = recording;
  // Links need the peers' server, which needs the call path.
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
  log("Node %s of %s is up.", self.id, domain);

  let closed: Promise<void> | undefined;

  return { control, close: () => closed ??= shutDown() };

  async function shutDown() {
    log("Node %s leaves.", self.id);
    const boundMs = longestCallMs(control) + stopSlackMs;
    await control.leave();
    callPath.stop();
    await sleep(leaveGraceMs);
    await Promise.all([calls.close(boundMs), callPath.idle(boundMs)]);
    await callPath.close();
    await control.once.idle(recordBoundMs);
    control.close();
    reporter.close();
    links?.close();
    await peers.close();
    await admin.close();
    await logClient.close();
    await metrics.close();
    await recording.close();
    log("Node %s is down.", self.id);
  }
}

/** Longest time that a call in flight may still take, in milliseconds. */
function longestCallMs(control: Control): number {
  let longest = 0;
  for (const served of control.serving()?.services.values() ?? []) {
    for (const route of served.routes) {
      longest = Math.max(longest, route.timeoutMs);
    }
  }
  return Math.min(longest, longestStopMs);
}
