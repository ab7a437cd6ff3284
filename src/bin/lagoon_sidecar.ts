#!/usr/bin/env node
/**
 * The lagoon-sidecar binary: the process that runs beside an endpoint on the
 * users' platform.
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

const EXIT_USAGE = 2;

const path = process.env[SETTINGS_VARIABLE] ?? "";
const firstRead = readSidecarSettings(path);
if (firstRead.isErr()) {
  process.stderr.write(`${formatError(firstRead.error)}\n`);
  process.exit(EXIT_USAGE);
}
const settings = firstRead.value;
const platform = createPlatform({ storeAddress: settings.storeAddress });
const starting = runSidecar({ settings, platform, startedAt: 0 });
// Handlers stay registered, since without them a second signal would kill the
// process before its shutdown ends.
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
// The settings file may also change without a signal.
followFile({ path, onChange: reload });
