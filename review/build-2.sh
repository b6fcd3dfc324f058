#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain JavaScript modules of this folder, so
# that there is nothing to compile: each is checked for errors of syntax.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs [0-9]*/case.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
[ -f ../target/daisyferry-sidecar.cjs ] || { echo 'build-2: run the build of the deploy file first' >&2; exit 1; }
