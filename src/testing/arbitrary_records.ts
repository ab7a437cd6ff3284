/**
 * Random log records for properties. They use few names, so that records
 * conflict often.
 * @module
 */
import fc from "fast-check";
import { createConfigState } from "../config_log/create_config_state.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import type {
  ConfigRecord,
  EntryChange,
  Envelope,
  LogRecord,
} from "../config_log/messages.ts";
import { isLive, leaseNameOf } from "../config_log/rollout_rows.ts";
import type { ConfigState } from "../config_log/state.ts";
import { exhausted } from "../core/exhausted.ts";

const PLANS = ["basic", "gold"] as const;
const SERVICES = ["portaal", "opslag"] as const;
const VERSIONS = ["v1", "v2", "v3"] as const;
const CUSTOMERS = ["ann", "bob", "cas"] as const;

const pick = <T>(values: readonly T[]) => fc.constantFrom(...values);
const smallOffset = fc.integer({ min: 0, max: 12 });

const ROUTE = {
  name: "accounts",
  path: "/accounts",
  methods: ["GET"],
  repeatable: true,
  timeoutMs: 1_000,
};

const customerChange = fc.tuple(
  pick(CUSTOMERS),
  smallOffset,
  fc.option(pick(PLANS)),
).map(([key, expected, plan]) => ({
  list: "customers" as const,
  key,
  expected,
  value: plan === null ? null : { customer: key, plan },
}));

const useChange = fc.tuple(
  pick(PLANS),
  pick(SERVICES),
  smallOffset,
  fc.option(pick(VERSIONS)),
).map(([plan, service, expected, version]) => ({
  list: "uses" as const,
  key: `${plan}/${service}`,
  expected,
  value: version === null ? null : {
    plan,
    service,
    version,
    whenUnjudged: "proceed" as const,
    routes: [ROUTE],
  },
}));

const rolloutId = fc.tuple(pick(SERVICES), pick(VERSIONS), smallOffset).map((
  [service, version, offset],
) => `${service}@${version}#${offset}`);

const term = fc.integer({ min: 1, max: 3 });

const step = fc.oneof(
  fc.constantFrom(20, 500, 1000).map((perMille) => ({
    type: "share" as const,
    perMille,
    reason: "r",
  })),
  fc.constantFrom("bake", "done", "rollback", "block").map((type) => ({
    type,
    reason: "r",
  })),
);

/** A record of any kind. */
const record = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("edit"),
      editor: fc.constantFrom("eva", "finn"),
      changes: fc.array(fc.oneof(useChange, useChange, customerChange), {
        minLength: 1,
        maxLength: 3,
      }),
    }),
  },
  fc.record({
    kind: fc.constant("lease"),
    name: rolloutId.map((id) => `rollout/${id}`),
    holder: fc.constantFrom("n1", "n2"),
    term,
  }),
  fc.record({
    kind: fc.constant("rollout-step"),
    rollout: rolloutId,
    term,
    step,
  }),
  fc.record({
    kind: fc.constant("reinstate"),
    editor: fc.constant("eva"),
    service: pick(SERVICES),
    version: pick(VERSIONS),
  }),
  fc.record({
    kind: fc.constant("snapshot"),
    through: smallOffset,
    chunk: fc.integer({ min: 0, max: 1 }),
    chunks: fc.integer({ min: 1, max: 2 }),
    hash: fc.constantFrom("a", "b"),
    data: fc.constant("x"),
  }),
) as fc.Arbitrary<ConfigRecord>;

const envelope = fc.record({
  writer: fc.constantFrom("w1", "w2", "w3"),
  seq: fc.integer({ min: 1, max: 60 }),
  // Clocks of writers may be wrong or step back.
  at: fc.constantFrom("2026-01-01T00:00:00Z", "1999-01-01T00:00:00Z"),
  record,
  /** Adapts eight of ten records to the state, so that most are accepted. */
  isAcceptable: fc.integer({ min: 0, max: 9 }).map((chance) => chance > 1),
});

const entry = fc.oneof(
  { weight: 30, arbitrary: envelope },
  fc.constant("{torn" as const),
);

/** A log from its first offset, with repeated and malformed records. */
export const arbitraryLog: fc.Arbitrary<LogRecord[]> = fc.array(entry, {
  maxLength: 60,
}).map((entries) => {
  const state = createConfigState();
  return entries.map((one) => {
    const body = one === "{torn" ? one : bodyOf(state, one);
    const logged = { offset: state.next, body };
    foldRecord({ state, record: logged });
    return logged;
  });
});

function bodyOf(
  state: ConfigState,
  drawn: Envelope & { readonly isAcceptable: boolean },
): string {
  const { isAcceptable, ...rest } = drawn;
  const last = state.writers.get(drawn.writer)?.seq ?? 0;
  return JSON.stringify(
    isAcceptable
      ? { ...rest, seq: last + 1, record: makeAcceptable(state, drawn.record) }
      : rest,
  );
}

function makeAcceptable(state: ConfigState, drawn: ConfigRecord): ConfigRecord {
  const live = [...state.rollouts.values()].find(isLive);
  const termOf = (id: string) => state.leases.get(leaseNameOf(id))?.term ?? 0;
  switch (drawn.kind) {
    case "edit":
      return {
        ...drawn,
        changes: drawn.changes.map((one) => withCurrentRevision(state, one)),
      };
    case "lease":
      return live === undefined
        ? drawn
        : { ...drawn, name: leaseNameOf(live.id), term: termOf(live.id) + 1 };
    case "rollout-step":
      return live === undefined
        ? drawn
        : { ...drawn, rollout: live.id, term: termOf(live.id) };
    case "reinstate": {
      const [withdrawn] = state.withdrawn.values();
      return withdrawn === undefined ? drawn : {
        ...drawn,
        service: withdrawn.service,
        version: withdrawn.version,
      };
    }
    case "presence":
    case "snapshot":
      return drawn;
    default:
      return exhausted(drawn);
  }
}

function withCurrentRevision(
  state: ConfigState,
  change: EntryChange,
): EntryChange {
  const row = change.list === "uses"
    ? state.uses.get(change.key)
    : state.customers.get(change.key);
  return { ...change, expected: row?.revision ?? 0 };
}
