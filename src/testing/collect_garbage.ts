/**
 * Forces a garbage collection, for tests of objects that must survive it.
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

setFlagsFromString("--expose-gc");

/** Runs a full garbage collection. */
export const collectGarbage = runInNewContext("gc") as () => void;
