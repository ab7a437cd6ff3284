#!/bin/sh
# Installs the locked dependencies when they are missing or stale, then builds.
set -eu
cd "$(dirname "$0")/.."
installed=node_modules/.lagoon-lock.json
if ! cmp -s package-lock.json "$installed"; then
  npm ci --silent
  cp package-lock.json "$installed"
fi
npx tsc -p .
