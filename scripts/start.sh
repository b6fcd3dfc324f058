#!/usr/bin/env bash
# Installs, builds and runs the demonstration on the embedded default.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
node scripts/build.mjs
exec node dist/daisyferry-bench.mjs demo "$@"
