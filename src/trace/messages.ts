/**
 * Lines of a trace: what a node's slices were given and what they decided.
 * @module
 */

/** Format of traces. A replay refuses any other. */
export const traceFormat = 1;

/** Slices whose decisions are recorded. */
export const TraceSlice = {
  Config: "config",
  Serving: "serving",
  Append: "append",
  Membership: "membership",
  Distribution: "distribution",
  Rollout: "rollout",
  Ask: "ask",
  ClaimReader: "claim-reader",
  Quarantine: "quarantine",
  Admission: "admission",
} as const;
export type TraceSlice = typeof TraceSlice[keyof typeof TraceSlice];

/** First line of a node's recording. A trace may hold several recordings. */
export interface TraceHeader {
  readonly type: "header";
  readonly format: number;
  readonly node: string;
  readonly binary: string;
}

/** A slice's state was created from these options. */
export interface TraceCreated {
  readonly type: "created";
  readonly slice: string;
  readonly options: unknown;
}

/** A slice decided on an event. */
export interface TraceDecided {
  readonly type: "decided";
  readonly slice: string;
  readonly event: unknown;
  readonly effects: unknown;
}

export type TraceLine = TraceHeader | TraceCreated | TraceDecided;
