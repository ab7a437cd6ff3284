/**
 * Renders the report on one rollout as an HTML page without network requests.
 * @module
 */
import type { Rollout } from "../config_log/state.ts";
import type { WallMs } from "../core/types.ts";
import { explainRollout } from "./explain_rollout.ts";
import type { EvidencePoint } from "./state.ts";

/** Options of `renderReport`. */
export interface RenderReportOptions {
  readonly rollout: Rollout;
  /** Oldest first, as the lease holder keeps them. */
  readonly points: readonly EvidencePoint[];
  readonly wall: WallMs;
  /** Text of `uplot/dist/uPlot.iife.min.js`. */
  readonly plotScript: string;
  /** Text of `uplot/dist/uPlot.min.css`. */
  readonly plotStyle: string;
  /** A sentence on data that the report lacks. */
  readonly note?: string;
}

/** Series of one plot. The first series in `data` is the time in seconds. */
interface Plot {
  readonly title: string;
  readonly labels: readonly string[];
  readonly data: readonly (readonly (number | null)[])[];
}

const PERCENT_PER_UNIT = 100;
const MS_PER_SECOND = 1_000;

/** Returns the complete page. */
export function renderReport(opts: RenderReportOptions): string {
  const { rollout, points, wall } = opts;
  const title = `Rollout ${rollout.id}`;
  const lines = [
    ...explainRollout(rollout, wall),
    ...(opts.note === undefined ? [] : [opts.note]),
  ];
  const plots = [
    plotShare(rollout, wall),
    ...(points.length === 0 ? [] : [plotErrors(points), plotLatency(points)]),
  ];
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>${escapeHtml(title)}</title>
<style>${opts.plotStyle}
body { font-family: sans-serif; margin: 2em; max-width: 60em; }
li { margin: 0.4em 0; }
</style>
</head>
<body>
<h1>${escapeHtml(title)}</h1>
<ul>
${lines.map((line) => `<li>${escapeHtml(line.trim())}</li>`).join("\n")}
</ul>
<div id="plots"></div>
<script>${opts.plotScript}</script>
<script>
const plots = ${toScript(plots)};
const colors = ["#1f77b4", "#d62728"];
for (const plot of plots) {
  const series = plot.labels.map((label, index) => ({
    label, stroke: colors[index], width: 2, spanGaps: true,
  }));
  new uPlot({
    title: plot.title, width: 860, height: 260,
    scales: { y: { range: (_, min, max) => [0, Math.max(max, 1)] } },
    series: [{}, ...series],
  }, plot.data, document.getElementById("plots"));
}
</script>
</body>
</html>
`;
}

/** Plots the share of calls that the log records, as steps. */
function plotShare(rollout: Rollout, wall: WallMs): Plot {
  const times: number[] = [Date.parse(rollout.begunAt) / MS_PER_SECOND];
  const shares: number[] = [0];
  for (const step of rollout.steps) {
    const at = Date.parse(step.at) / MS_PER_SECOND;
    times.push(at, at);
    shares.push(shares.at(-1) ?? 0, step.perMille / 10);
  }
  times.push(Math.max(wall / MS_PER_SECOND, times.at(-1) ?? 0));
  shares.push(shares.at(-1) ?? 0);
  return {
    title: "Share of calls, %",
    labels: [rollout.version],
    data: [times, shares],
  };
}

function plotErrors(points: readonly EvidencePoint[]): Plot {
  return {
    title: "Failed calls in each interval, %",
    labels: ["new version", "old version"],
    data: [
      points.map((point) => point.at / MS_PER_SECOND),
      rates(points, (point) => [point.failures, point.calls]),
      rates(points, (point) => [point.oldFailures, point.oldCalls]),
    ],
  };
}

function plotLatency(points: readonly EvidencePoint[]): Plot {
  return {
    title: "Calls slower than the old version's 90th percentile, to date, %",
    labels: ["new version", "old version"],
    data: [
      points.map((point) => point.at / MS_PER_SECOND),
      points.map((point) => PERCENT_PER_UNIT * point.slowShare),
      points.map((point) => PERCENT_PER_UNIT * point.oldSlowShare),
    ],
  };
}

/** Rates between adjacent points in percent, null if no call ended. */
function rates(
  points: readonly EvidencePoint[],
  countsAt: (point: EvidencePoint) => readonly [number, number],
): (number | null)[] {
  return points.map((point, index) => {
    const before = points[index - 1];
    const [bad, calls] = countsAt(point);
    const [badBefore, callsBefore] = before ? countsAt(before) : [0, 0];
    const callsBetween = calls - callsBefore;
    return callsBetween > 0
      ? PERCENT_PER_UNIT * (bad - badBefore) / callsBetween
      : null;
  });
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}

/** Encodes JSON so that it can't end the script element around it. */
function toScript(value: unknown): string {
  return JSON.stringify(value).replaceAll("<", "\\u003c");
}
