#!/bin/sh
# The stand-ins are JavaScript and use Node.js alone, so there is nothing to
# compile. The sidecar is built by the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do node --check "$file"; done
