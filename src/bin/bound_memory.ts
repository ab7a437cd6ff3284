/**
 * Makes V8 collect garbage early, for VMs with little memory. It has to be
 * imported before all other modules.
 *
 * A node needs only a few megabytes of live objects, but by default V8 lets
 * garbage grow to many times that size before it collects.
 * @module
 */
import { setFlagsFromString } from "node:v8";

// The space for young objects keeps its initial size.
setFlagsFromString("--semi-space-growth-factor=1");
// Old objects are collected once their space has grown by a fifth.
setFlagsFromString("--heap-growing-percent=20");
