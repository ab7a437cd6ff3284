#!/bin/sh
# The stand-ins in review/lib-2 are plain JavaScript and need no build. The
# program of the deploy file must have been built.
cd "$(dirname "$0")/.." || exit 1
[ -f target/lagoon_sidecar.mjs ] || {
  echo "run the build line of deploy/system.toml first" >&2
  exit 1
}
for file in review/lib-2/*.mjs; do
  node --check "$file" || exit 1
done
