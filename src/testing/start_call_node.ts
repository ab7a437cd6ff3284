/**
 * Starts the call path of one node on real sockets, with a fake control part
 * (no membership, log or rollouts).
 * @module
 */
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { TestContext } from "node:test";
import { type CallPath, createCallPath } from "../adapters/create_call_path.ts";
import type { Control } from "../adapters/create_control.ts";
import type { QuarantineDriver } from "../adapters/drive_quarantine.ts";
import { type HttpServer, openHttpServer } from "../adapters/http_server.ts";
import {
  type Announcement,
  EndpointState,
  type HomeCapacity,
  type RemoteCapacity,
} from "../core/types.ts";
import type { OwnEndpoint } from "../membership/state.ts";
import { SuspicionLevel } from "../quarantine/state.ts";
import type { CallEvent } from "../rollout/state.ts";
import type { ServingConfig } from "../serving/state.ts";

/** A running node, whose known home nodes and endpoints a test can change. */
export interface CallNode {
  readonly id: string;
  readonly url: string;
  readonly path: CallPath;
  readonly calls: HttpServer;
  readonly own: Map<string, OwnEndpoint>;
  homes: HomeCapacity[];
  remotes: RemoteCapacity[];
  readonly answers: Extract<CallEvent, { type: "answered" }>[];
}

/** Fake of the quarantine driver that never suspects a request. */
const noSuspicion: Pick<
  QuarantineDriver,
  "check" | "start" | "end" | "failed"
> = {
  check: () => SuspicionLevel.Clear,
  start: () => Promise.resolve({ type: "started", call: 0 }),
  end: () => {},
  failed: () => Promise.resolve({ isCrash: false }),
};

/** Long before the tests, so that endpoints have all their slots. */
const READY_SINCE_MS = -1e9;

/** Starts a node for one test. Customer `baker` holds plan `basic`. */
export async function startCallNode(
  t: TestContext,
  opts: { readonly timeoutMs?: number } = {},
): Promise<CallNode> {
  const id = `127.0.0.1:${await freePort()}`;
  const route = {
    methods: ["GET", "PUT"],
    timeoutMs: opts.timeoutMs ?? 20_000,
  };
  const routes = [
    { name: "once", path: "/once", repeatable: false, ...route },
    { name: "again", path: "/again", repeatable: true, ...route },
  ];
  const config: ServingConfig = {
    version: 1,
    digest: "",
    planOf: new Map([["baker", "basic"]]),
    services: new Map([["basic/portaal", {
      plan: "basic",
      service: "portaal",
      rules: routes,
      routes,
      split: { stable: "v1" },
    }]]),
    inactive: new Set(),
    customersAt: 1,
    plansHeld: new Set(["basic"]),
  };
  const node: Partial<CallNode> = { homes: [], remotes: [] };
  const own = new Map<string, OwnEndpoint>();
  const answers: CallNode["answers"] = [];
  const control = {
    directory: {
      homes: () => node.homes,
      remotes: () => node.remotes,
      isPresent: () => true,
    },
    membership: { own },
    held: new Set(),
    serving: () => config,
    quarantine: noSuspicion,
    recordCall: (event: CallEvent) => {
      if (event.type === "answered") answers.push(event);
    },
  } as unknown as Control;
  const self = { id, domain: "a", region: "r", boot: id };
  const path = createCallPath({ control, self, keys: ["k"] });
  const handlesExpect = true;
  const peers = await openHttpServer({
    address: id,
    setUp: path.setUpForwards,
    handlesExpect,
  });
  const calls = await openHttpServer({
    address: `127.0.0.1:${await freePort()}`,
    setUp: path.setUpCalls,
    handlesExpect,
  });
  t.after(async () => {
    calls.server.closeAllConnections();
    peers.server.closeAllConnections();
    await calls.close(0);
    await peers.close(0);
    await path.close();
  });
  const { port } = calls.server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  return Object.assign(node, {
    id,
    url,
    path,
    calls,
    own,
    answers,
  }) as CallNode;
}

/** Adds an endpoint on the VM of `home`, and makes it known to `nodes`. */
export function addEndpoint(
  home: CallNode,
  endpoint: string,
  nodes: readonly CallNode[] = [home],
  slots = 4,
): void {
  const announcement: Announcement = {
    endpoint,
    service: "portaal",
    version: "v1",
    slots,
    connections: 100,
    state: EndpointState.Ready,
    load: 0,
    healthy: true,
  };
  home.own.set(endpoint, {
    announcement,
    receivedAt: 0,
    readySince: READY_SINCE_MS,
  });
  for (const node of nodes) {
    node.homes = [...node.homes, {
      home: home.id,
      slots,
      readySince: READY_SINCE_MS,
    }];
  }
}

/** Starts an upstream that answers with `answer`. Returns its `host:port`. */
export async function startUpstream(
  t: TestContext,
  answer: RequestListener,
): Promise<string> {
  const server = createServer(answer);
  return await listen(t, server);
}

async function listen(t: TestContext, server: Server): Promise<string> {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
