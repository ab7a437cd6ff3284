#!/bin/sh
# Installs the locked dependencies when they are missing or stale, then builds.
set -eu
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] ||
  [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --silent
  touch node_modules/.package-lock.json
fi
npx tsc -p .
