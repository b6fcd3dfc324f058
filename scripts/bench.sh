#!/usr/bin/env bash
# Installs dependencies, builds, and runs the measurement tool with the given arguments.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
node scripts/build.mjs
exec node dist/daisyferry-bench.mjs "$@"
