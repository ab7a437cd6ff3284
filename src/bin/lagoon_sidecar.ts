#!/usr/bin/env node
/**
 * The one process beside an endpoint on the users' platform.
 * @module
 */
import process from "node:process";
import { createPlatform } from "../../platform/create_platform.ts";
import {
  readSidecarSettings,
  SETTINGS_VARIABLE,
} from "../../platform/read_sidecar_settings.ts";
import { formatError } from "../core/errors.ts";
import { followFile } from "../sidecar/follow_file.ts";
import { runSidecar } from "../sidecar/run_sidecar.ts";

const exitUsage = 2;

const path = process.env[SETTINGS_VARIABLE] ?? "";
const read = readSidecarSettings(path);
if (read.isErr()) {
  process.stderr.write(`${formatError(read.error)}\n`);
  process.exit(exitUsage);
}
const settings = read.value;
const platform = createPlatform({ storeAddress: settings.storeAddress });
const starting = runSidecar({ settings, platform });
// Signals that come again must not end the process by themselves.
const stop = () =>
  void starting
    .then((sidecar) => sidecar.close())
    .then(() => process.exit(0));
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
const sidecar = await starting;
const reload = () =>
  readSidecarSettings(path).match(
    (next) => sidecar.reload(next),
    (err) => sidecar.rejectReload(formatError(err)),
  );
process.on("SIGHUP", reload);
// The file may change without a signal.
followFile({ path, onChange: reload });
