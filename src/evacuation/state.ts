/**
 * State, events and effects of evacuations.
 * @module
 */

export interface EvacuationState {
  /** Evacuated failure domains. */
  readonly domains: Set<string>;
  /**
   * Those of them that no node or setting names. They have no endpoints, so
   * their evacuation changes nothing.
   */
  readonly unknown: Set<string>;
}

/** The newest record of a failure domain was read. */
export interface EvacuationEvent {
  readonly type: "recorded";
  readonly domain: string;
  /** Whether the record requests the evacuation. */
  readonly isActive: boolean;
  /** Whether the deployment has this failure domain. */
  readonly isKnown: boolean;
}

export type EvacuationEffect =
  | { readonly type: "began"; readonly domain: string }
  | { readonly type: "ended"; readonly domain: string }
  /** An evacuation names a failure domain that the deployment lacks. */
  | { readonly type: "unknown-domain"; readonly domain: string };

export function createEvacuationState(): EvacuationState {
  return { domains: new Set(), unknown: new Set() };
}
