/**
 * Collects garbage at once, for tests of what must outlive it.
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");

/** Frees everything that nothing holds. */
export const collectGarbage = runInNewContext("gc") as () => void;
