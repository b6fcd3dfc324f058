#!/usr/bin/env bash
# Installs dependencies, builds, and runs the demonstration, a surge on a small deployment, then a
# short load test with the stand-ins for the users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
bash scripts/install.sh
node scripts/build.mjs
node dist/daisyferry-bench.mjs demo "$@"
echo
exec bash scripts/play.sh --seconds 5
