/**
 * The two lists of a deployment under measurement.
 * @module
 */
import type { Lists } from "../../src/lists/parse_lists.ts";
import type { UseEntry } from "../../src/lists/types.ts";
import type { Deployment, ServiceSize } from "../fleet/deployments.ts";

/** Versions asked for, by service. */
export type AskedVersions = ReadonlyMap<
  string,
  { readonly version: string; readonly takeOverBy?: string }
>;

const plans = ["basic", "gold"];

/** Builds the lists. Services without an asked version use `v1`. */
export function buildLists(
  deployment: Deployment,
  asked: AskedVersions,
): Lists {
  return {
    customers: [{ customer: "measured", plan: "basic" }],
    ...usesOf(deployment, asked),
  };
}

/** Builds the list of uses alone, which leaves the customers as they are. */
export function usesOf(deployment: Deployment, asked: AskedVersions): Lists {
  return {
    uses: plans.flatMap((plan) =>
      deployment.services.map((size) => useOf(plan, size, asked))
    ),
  };
}

function useOf(
  plan: string,
  size: ServiceSize,
  asked: AskedVersions,
): UseEntry {
  const { version, takeOverBy } = asked.get(size.service) ?? { version: "v1" };
  return {
    plan,
    service: size.service,
    version,
    ...(takeOverBy === undefined ? {} : { takeOverBy }),
    whenUnjudged: "proceed",
    routes: [
      {
        name: "read",
        path: size.read,
        methods: ["GET"],
        repeatable: true,
        timeoutMs: 5_000,
      },
      {
        name: "write",
        path: size.write,
        methods: ["POST"],
        repeatable: false,
        timeoutMs: 5_000,
      },
    ],
  };
}
