#!/bin/sh
# Bundles the sidecar into one file. A start then loads one module instead of
# hundreds, which halves its processor time.
set -eu
cd "$(dirname "$0")/.."
# Some bundled libraries are CommonJS and call require.
require="import{createRequire as loadFrom}from'node:module';"
require="${require}const require=loadFrom(import.meta.url);"
npx esbuild src/bin/lagoon_sidecar.ts --bundle --platform=node --format=esm \
  --minify-whitespace --minify-syntax \
  --target=node20 --outfile=target/lagoon_sidecar.mjs --log-level=warning \
  --banner:js="$require"
