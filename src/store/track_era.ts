/**
 * Wraps the store so that nothing read or written in one era is taken for part
 * of another. Offsets become positions (see `position.ts`).
 * @module
 */
import { err, errAsync, ok, type Result, type ResultAsync } from "neverthrow";
import type { Offset } from "../core/types.ts";
import { decideEra, type EraState } from "./decide_era.ts";
import { eraOf, offsetOf, positionOf } from "./position.ts";
import type {
  AppendCondition,
  Appended,
  KeyedStore,
  RecordPage,
  StoreError,
  StoreFault,
} from "./state.ts";

/** A store whose offsets are positions. */
export interface EraStore extends KeyedStore {
  /** Records an era that another node has seen. */
  observe(era: number): void;
  /** Highest era seen; 0 while the store states none. */
  era(): number;
}

/** Options of `trackEra`. */
export interface TrackEraOptions {
  readonly store: KeyedStore;
  /**
   * Called when the store was restored from a copy: what was written shortly
   * before is gone, and every read has to start anew.
   */
  readonly onRestored: (era: number, before: number) => void;
}

export function trackEra(opts: TrackEraOptions): EraStore {
  const { store } = opts;
  const state: EraState = { era: 0 };

  /** Returns false for an answer from before the store was restored. */
  function accepts(era: number | undefined): boolean {
    const verdict = decideEra(state, era);
    switch (verdict.type) {
      case "current":
        return true;
      case "risen":
        opts.onRestored(state.era, verdict.before);
        return true;
      case "stale":
        return false;
    }
  }

  /** Rejects answers of an earlier era, also refusals. */
  function check<T extends { readonly era?: number | undefined }>(
    step: string,
    call: ResultAsync<T, StoreError>,
  ): ResultAsync<T, StoreError> {
    return call
      .mapErr((error) => {
        accepts(error.era);
        return error;
      })
      .andThen((answer): Result<T, StoreError> =>
        accepts(answer.era) ? ok(answer) : err(staleError(step))
      );
  }

  function toPosition(page: RecordPage): RecordPage {
    return { ...page, next: positionOf(state.era, page.next) };
  }

  return {
    append(options) {
      const { condition } = options;
      const step = `append to ${options.topic}`;
      const era = state.era;
      const end = endOf(condition);
      if (end !== undefined && eraOf(end) !== era) {
        return errAsync(staleError(step, { type: "conflict" }));
      }
      const sent = { ...options, condition: withOffset(condition) };
      return check(step, store.append(sent)).andThen(
        (answer): Result<Appended, StoreError> =>
          // The condition was checked against records of another era.
          condition.type !== "none" && state.era !== era && era !== 0
            ? err(staleError(step))
            : ok({ ...answer, offset: positionOf(state.era, answer.offset) }),
      );
    },
    read(options) {
      const step = `read ${options.topic}`;
      const era = eraOf(options.from);
      if (era !== state.era) return errAsync(droppedError(step));
      const sent = { ...options, from: offsetOf(options.from) };
      return check(step, store.read(sent))
        .mapErr((error) => era === state.era ? error : droppedError(step))
        .andThen((page): Result<RecordPage, StoreError> =>
          era === state.era ? ok(toPosition(page)) : err(droppedError(step))
        );
    },
    newest: (topic, signal) =>
      check(`read the newest records of ${topic}`, store.newest(topic, signal))
        .map(toPosition),
    close: () => store.close(),
    observe: accepts,
    era: () => state.era,
  };
}

function endOf(condition: AppendCondition): Offset | undefined {
  switch (condition.type) {
    case "none":
    case "fenced":
      return undefined;
    case "at-end":
    case "at-end-fenced":
      return condition.end;
  }
}

function withOffset(condition: AppendCondition): AppendCondition {
  switch (condition.type) {
    case "none":
    case "fenced":
      return condition;
    case "at-end":
    case "at-end-fenced":
      return { ...condition, end: offsetOf(condition.end) };
  }
}

function staleError(
  step: string,
  fault: StoreFault = { type: "unavailable", mayBeDone: true },
): StoreError {
  return {
    code: "LAGOON_STORE_RESTORED",
    step,
    peer: "store",
    message: "the store was restored from an older copy meanwhile",
    hint: "What the node remembers is written again.",
    fault,
  };
}

/** The records from an offset of an earlier era on are not kept. */
function droppedError(step: string): StoreError {
  return staleError(step, { type: "dropped", first: 0 });
}
