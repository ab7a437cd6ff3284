/**
 * Measures the memory that a claim reader needs for each claim. A claim is the
 * record that lets one attempt of a non-repeatable call run.
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  createClaimReaderState,
  decideClaimReader,
} from "../../src/idempotency/decide_claim_reader.ts";

/** Returns the heap bytes for each claim that is held with its outcome. */
export function measureClaimMemory(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const count = 20_000;
  const reader = createClaimReaderState("w");
  collect();
  const before = process.memoryUsage().heapUsed;
  for (let index = 0; index < count; index++) {
    const key = index.toString(36).padStart(22, "k");
    const attempt = `10.0.0.17:7000/${"b".repeat(36)}/${index}`;
    const outcome = { type: "unknown" };
    const items = [
      { type: "claim", key, attempt, digest: key, leftMs: 1 },
      { type: "outcome", key, attempt, outcome },
    ];
    const body = JSON.stringify({ writer: "x", floor: 1, items });
    const records = [{ offset: index + 1, body }];
    decideClaimReader(reader, { type: "read", records, oldest: 1, now: 0 });
  }
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  return bytes / reader.claims.held.size;
}
