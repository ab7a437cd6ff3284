/**
 * Finds the move that a message or a status is about.
 * @module
 */
import type { Move, MoveOrder, TakeoverState } from "./state.ts";

/** Undefined when a later order has taken its place. */
export function moveOf(
  state: TakeoverState,
  about: Pick<MoveOrder, "service" | "target">,
): Move | undefined {
  const move = state.moves.get(about.service);
  return move?.order.target === about.target ? move : undefined;
}
