/**
 * Measures failed and slow calls while one of four endpoints hangs.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { type CallFleet, runLoadProcess } from "../../measure/call_fleet.ts";
import { type Figure, figure } from "../figure.ts";

/** Loads four endpoints; after 2 s one of them stops answering. */
export async function measureHang(calls: CallFleet): Promise<Figure[]> {
  const [hung] = calls.endpoints.get("tracker") ?? [];
  const load = runLoadProcess({
    targets: calls.fleet.nodes.map((node) => node.call),
    path: "/tracker/parcels",
    rate: 480,
    seconds: 10,
    slowMs: 100,
    settleMs: 3_000,
  });
  await sleep(2_000);
  await calls.setFaults(hung ?? "", { hangShare: 1 });
  const report = await load;
  await calls.setFaults(hung ?? "", {});
  const share = report.felt / report.settled;
  return [
    figure("hang: calls after its first second", report.settled, "calls"),
    figure("hang: failed or over 100 ms", share, "of calls", "< 0.01"),
    figure("hang: failed", report.failed + report.notRun, "calls"),
  ];
}
