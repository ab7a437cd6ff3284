#!/bin/sh
# Checks the stand-ins and scripts of the cases 11 to 15. They are plain
# modules and need no compilation; the sidecar is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
