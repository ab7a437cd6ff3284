/**
 * Builds the lists of customers and uses for a measured deployment.
 * @module
 */
import type { Lists } from "../../src/lists/parse_lists.ts";
import type { UseEntry } from "../../src/lists/types.ts";
import type { Deployment, ServiceSize } from "../fleet/deployments.ts";

/** Versions to roll out, by service. */
export type RequestedVersions = ReadonlyMap<
  string,
  { readonly version: string; readonly takeOverBy?: string }
>;

const PLANS = ["basic", "gold"];

/** Builds both lists. Services without a requested version use `v1`. */
export function buildLists(
  deployment: Deployment,
  asked: RequestedVersions,
): Lists {
  return {
    customers: [{ customer: "measured", plan: "basic" }],
    ...buildUses(deployment, asked),
  };
}

/** Builds only the list of uses. Publishing it keeps the customers. */
export function buildUses(
  deployment: Deployment,
  asked: RequestedVersions,
): Lists {
  return {
    uses: PLANS.flatMap((plan) =>
      deployment.services.map((size) => buildUse(plan, size, asked))
    ),
  };
}

function buildUse(
  plan: string,
  size: ServiceSize,
  asked: RequestedVersions,
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
