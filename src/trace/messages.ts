/**
 * Lines of a trace: the events that a node's slices received and their effects.
 * @module
 */

/** Version of the trace format. A replay rejects any other. */
export const TRACE_FORMAT = 1;

/**
 * Slices whose decisions are recorded, by the names stored in traces. `Ask` is
 * the slice of claim requests for non-repeatable calls (see `idempotency`).
 */
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

/** Records that a slice's state was created from these options. */
export interface TraceCreated {
  readonly type: "created";
  readonly slice: string;
  readonly options: unknown;
}

/** Records an event that a slice received and the effects it returned. */
export interface TraceDecided {
  readonly type: "decided";
  readonly slice: string;
  readonly event: unknown;
  readonly effects: unknown;
}

export type TraceLine = TraceHeader | TraceCreated | TraceDecided;
