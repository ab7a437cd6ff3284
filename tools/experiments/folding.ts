/**
 * Experiment `folding`: cost of applying records, compiling the configuration
 * and snapshots, at three sizes of the configuration.
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createConfigState } from "../../src/config_log/create_config_state.ts";
import { decodeSnapshot } from "../../src/config_log/decode_snapshot.ts";
import { encodeSnapshot } from "../../src/config_log/encode_snapshot.ts";
import { foldRecord } from "../../src/config_log/fold_record.ts";
import type { EntryChange } from "../../src/config_log/messages.ts";
import type { ConfigState } from "../../src/config_log/state.ts";
import type { Directory } from "../../src/core/types.ts";
import { compileConfig } from "../../src/serving/compile_config.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const PLAN_COUNT = 4;
const REPETITIONS = 20;
const CHANGES_PER_DAY = 3_200;
const SECONDS_PER_DAY = 86_400;

/** Records that one change adds: the edit, a lease and the rollout's steps. */
const RECORDS_PER_CHANGE = 8;

interface Size {
  readonly services: number;
  readonly customers: number;
}

const SIZES: readonly Size[] = [
  { services: 83, customers: 1_000 },
  { services: 415, customers: 5_000 },
  { services: 830, customers: 10_000 },
];

interface Costs {
  readonly entries: number;
  readonly loadMs: number;
  readonly foldMs: number;
  readonly compileAllMs: number;
  readonly compileAgainMs: number;
  readonly encodeMs: number;
  readonly decodeMs: number;
  readonly snapshotKb: number;
  readonly stateMb: number;
}

/** Reports every service as present, to leave out the directory's cost. */
const directory: Directory = {
  homes: () => [],
  remotes: () => [],
  isPresent: () => true,
};

/** Measures each size, and the slopes from the smallest to the largest. */
export function runFolding(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const figures: Figure[] = [];
  const all: Costs[] = [];
  for (const size of SIZES) {
    opts.onProgress(
      `${size.services} services, ${PLAN_COUNT} plans, ${size.customers} customers.`,
    );
    const costs = measure(size, collect);
    all.push(costs);
    const at = `at ${costs.entries} entries`;
    figures.push(
      figure(`load in one edit ${at}`, costs.loadMs, "ms"),
      figure(`fold an edit of one entry ${at}`, costs.foldMs, "ms"),
      figure(`compile all ${at}`, costs.compileAllMs, "ms"),
      figure(`compile after a change ${at}`, costs.compileAgainMs, "ms"),
      figure(`encode a snapshot ${at}`, costs.encodeMs, "ms"),
      figure(`decode a snapshot ${at}`, costs.decodeMs, "ms"),
      figure(`snapshot ${at}`, costs.snapshotKb, "KB"),
      figure(`state on the heap ${at}`, costs.stateMb, "MB"),
    );
  }
  return Promise.resolve([...figures, ...createSlopeFigures(all)]);
}

function createSlopeFigures(all: readonly Costs[]): Figure[] {
  const [first, last] = [all[0], all.at(-1)];
  if (first === undefined || last === undefined) return [];
  const slope = (of: (costs: Costs) => number) =>
    (of(last) - of(first)) / (last.entries - first.entries);
  const cpuMsPerDay = CHANGES_PER_DAY * RECORDS_PER_CHANGE *
    (last.foldMs + last.compileAgainMs);
  const corePercent = cpuMsPerDay / (SECONDS_PER_DAY * 1_000) * 100;
  return [
    figure("fold slope", slope((one) => one.foldMs) * 1e6, "ns/entry"),
    figure(
      "compile slope",
      slope((one) => one.compileAgainMs) * 1e6,
      "ns/entry",
    ),
    figure("snapshot slope", slope((one) => one.snapshotKb) * 1024, "B/entry"),
    figure("state slope", slope((one) => one.stateMb) * 1024, "KB/entry"),
    figure("core for a day's changes", corePercent, "%", "< 1.4"),
  ];
}

function measure(size: Size, collect: () => void): Costs {
  collect();
  const before = process.memoryUsage().heapUsed;
  const state = createConfigState();
  const loadMs = time(1, () => fold(state, "load", createAllEntries(size)));
  collect();
  const stateMb = (process.memoryUsage().heapUsed - before) / 1024 ** 2;
  const previous = compileConfig({ state, directory });
  let expected = 1;
  const foldMs = time(REPETITIONS, () => {
    fold(state, "edit", [createUseChange(0, 0, expected)]);
    expected = state.next - 1;
  });
  const snapshot = encodeSnapshot(state);
  return {
    entries: size.services * PLAN_COUNT + size.customers,
    loadMs,
    foldMs,
    compileAllMs: time(REPETITIONS, () => compileConfig({ state, directory })),
    compileAgainMs: time(
      REPETITIONS,
      () => compileConfig({ state, directory, previous }),
    ),
    encodeMs: time(3, () => encodeSnapshot(state)),
    decodeMs: time(3, () => decodeSnapshot(snapshot)._unsafeUnwrap()),
    snapshotKb: snapshot.data.length / 1024,
    stateMb,
  };
}

/** Returns the mean time of `count` runs, in milliseconds. */
function time(count: number, run: () => unknown): number {
  const startedAt = performance.now();
  for (let index = 0; index < count; index++) run();
  return (performance.now() - startedAt) / count;
}

function fold(
  state: ConfigState,
  editor: string,
  changes: readonly EntryChange[],
) {
  const record = { kind: "edit", editor, changes };
  const writer = `writer-${state.next}`;
  const body = JSON.stringify({ writer, seq: 1, at: "", record });
  const verdict = foldRecord({ state, record: { offset: state.next, body } });
  if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
}

function createAllEntries(size: Size): EntryChange[] {
  const changes: EntryChange[] = [];
  for (let service = 0; service < size.services; service++) {
    for (let plan = 0; plan < PLAN_COUNT; plan++) {
      changes.push(createUseChange(plan, service, 0));
    }
  }
  for (let index = 0; index < size.customers; index++) {
    const customer = `customer-${index}`;
    changes.push({
      list: "customers",
      key: customer,
      expected: 0,
      value: { customer, plan: `plan-${index % PLAN_COUNT}` },
    });
  }
  return changes;
}

function createUseChange(
  plan: number,
  service: number,
  expected: number,
): EntryChange {
  const routes = ["accounts", "invoices", "pay"].map((name) => ({
    name,
    path: `/${name}`,
    methods: ["GET"],
    repeatable: true,
    timeoutMs: 1_000 + expected,
  }));
  return {
    list: "uses",
    key: `plan-${plan}/service-${service}`,
    expected,
    value: {
      plan: `plan-${plan}`,
      service: `service-${service}`,
      version: "v1",
      whenUnjudged: "proceed",
      routes,
    },
  };
}
