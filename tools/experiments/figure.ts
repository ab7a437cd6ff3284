/**
 * One measured figure of an experiment.
 * @module
 */

/** A figure, and the target for it if the requirements state one. */
export interface Figure {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** Bound as stated, such as `< 14` or `>= 0.99`. */
  readonly target?: string;
  /** Whether the value meets the target. */
  readonly met?: boolean;
}

/** Options of every experiment. */
export interface ExperimentOptions {
  readonly seed: number;
  /** Reports progress to the person at the terminal. */
  readonly onProgress: (sentence: string) => void;
}

export type RunExperiment = (
  opts: ExperimentOptions,
) => Promise<readonly Figure[]>;

const comparisons: Readonly<
  Record<string, (value: number, bound: number) => boolean>
> = {
  "<": (value, bound) => value < bound,
  "<=": (value, bound) => value <= bound,
  ">": (value, bound) => value > bound,
  ">=": (value, bound) => value >= bound,
  "=": (value, bound) => value === bound,
};

/** Builds a figure and compares it with its target. */
export function figure(
  name: string,
  value: number,
  unit: string,
  target?: `${"<" | "<=" | ">" | ">=" | "="} ${number}`,
): Figure {
  if (target === undefined) return { name, value, unit };
  const [operator = "=", bound] = target.split(" ");
  const isMet = comparisons[operator]?.(value, Number(bound)) ?? false;
  return { name, value, unit, target, met: isMet };
}
